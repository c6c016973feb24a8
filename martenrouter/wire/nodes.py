"""The list of engines: newline-delimited JSON, this project's own (a full list, then changes; epoch and
version)."""

import msgspec

LINE_LIMIT = 4 * 1024 * 1024  # bytes: a full list of some ten thousand engines


class Entry(msgspec.Struct, forbid_unknown_fields=True):
    id: str
    phase: str  # up, draining, gone
    kind: str = ""
    zone: str = ""
    cell: int = 0
    address: str = ""  # host:port
    start: int = 0  # wall time of the process's start, microseconds; 0: long ago
    weight: float = 1.0


class Told(msgspec.Struct, forbid_unknown_fields=True):
    """`scope`: whole, changes (after the version `after`), or same (nothing new)."""

    scope: str
    epoch: int
    version: int
    after: int = 0
    entries: list[Entry] = []


class Ask(msgspec.Struct, forbid_unknown_fields=True):
    """A subscriber's first line; -1 asks for the whole list."""

    front: str
    epoch: int = -1
    version: int = -1


class BadLine(Exception):
    """A line that is not of this protocol."""


_told, _ask = msgspec.json.Decoder(Told), msgspec.json.Decoder(Ask)


def _decode(decoder, line):
    try:
        return decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as why:
        raise BadLine(str(why)) from why


def told(line):
    """One line of the service, or the whole of a list file. Raises BadLine."""
    message = _decode(_told, line)
    if message.scope not in ("whole", "changes", "same"):
        raise BadLine("scope %r is none of whole, changes, same" % message.scope)
    for entry in message.entries:
        if entry.phase not in ("up", "draining", "gone"):
            raise BadLine("engine %s: phase %r is none of up, draining, gone" % (entry.id, entry.phase))
        host, _, port = entry.address.rpartition(":")
        if entry.phase != "gone" and not (host and port.isdigit() and 0 < int(port) < 65536):
            raise BadLine("engine %s: address %r is not host:port" % (entry.id, entry.address))
    return message


def ask(line):
    return _decode(_ask, line)


def encode(message):
    return msgspec.json.encode(message) + b"\n"


class Lines:
    """Bytes in, whole lines out. Raises BadLine on a line over the limit."""

    def __init__(self, limit=LINE_LIMIT):
        self._rest, self._limit = b"", limit

    def feed(self, data):
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self._limit:
            raise BadLine("a line over %d bytes" % self._limit)
        return [line for line in lines if line]
