"""The platform's list of engines: JSON objects, whole or changes, one a line of a watch."""
import msgspec

LINE_LIMIT = 8 * 1024 * 1024  # bytes of one line: a list of forty thousand engines, far over any fleet of the pages


class BadLine(Exception):
    """Not a message of this protocol."""


class Member(msgspec.Struct):
    id: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "active"
    size: float = 1.0
    up_since_ms: int = 0


class Told(msgspec.Struct):
    revision: int
    complete: bool
    members: list[Member] = []


PHASES = {"active": "up", "leaving": "draining", "left": "gone"}  # the module's words; others are taken as draining
_decoder = msgspec.json.Decoder(Told)


def told(data):
    """Told of one object's bytes; raises BadLine. A phase that these pages don't name gets nothing new."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise BadLine("not a list of engines: %s" % why)
    for member in message.members:
        host, _, port = member.host_port.rpartition(":")
        if PHASES.get(member.phase) != "gone" and not (host and port.isascii() and port.isdigit()
                                                       and 0 < int(port) < 65536):
            raise BadLine("engine %r has no address: %r" % (member.id[:60], member.host_port[:60]))
    return message


def row(member, offset):
    """A member as the module's entry; `offset`: microseconds from its clock's zero to the Unix epoch's, taken off."""
    born = max(member.up_since_ms * 1000 - offset, 1) if member.up_since_ms else None
    return (PHASES.get(member.phase, "draining"), member.size, member.locality, member.id, member.cell, member.flavor, born)


class Lines:
    """Bytes in, whole lines out; empty ones, which only say that the watch lives, are left out."""

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Raises BadLine when a line has no end within LINE_LIMIT."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > LINE_LIMIT:
            raise BadLine("a line over %d bytes" % LINE_LIMIT)
        return [line for line in lines if line.strip()]


def whole(revision=None):
    """The path of a watch from a revision on."""
    return "/v1/endpoints?stream=1&index=%d" % (revision or 0)
