"""The platform's list of engines: JSON objects, whole or changes, one a line of a watch."""

import re

import msgspec

LINE_LIMIT = (
    8 * 1024 * 1024
)  # bytes of one object: a list of forty thousand engines, far over any fleet of the pages


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


PHASES = {
    "active": "up",
    "leaving": "draining",
    "left": "gone",
}  # the module's words; others are taken as draining
_decoder = msgspec.json.Decoder(Told)
_MARKS = re.compile(rb'[{}]|"(?:[^"\\]|\\.)*"')


def told(data):
    """Told of one object's bytes; raises BadLine. A phase that these pages don't name gets nothing new."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise BadLine("not a list of engines: %s" % why)
    for member in message.members:
        host, _, port = member.host_port.rpartition(":")
        if PHASES.get(member.phase) != "gone" and not (
            host and port.isascii() and port.isdigit() and 0 < int(port) < 65536
        ):
            raise BadLine("engine %r has no address: %r" % (member.id[:60], member.host_port[:60]))
    return message


def row(member, start):
    """A member as the policy's entry; `start`: when it started, in microseconds of the process's clock, None
    for long ago."""
    return (
        PHASES.get(member.phase, "draining"),
        member.size,
        member.locality,
        member.id,
        member.cell,
        member.flavor,
        start,
    )


def _is_object(line):
    """Whether the line is a whole message: most are, and decoding is quicker than counting braces."""
    if not line.rstrip().endswith(b"}"):
        return False
    try:
        _decoder.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
    return True


def _begins_an_object(line):
    """Raises BadLine when no further lines could make a message of it: they would be waited for in vain."""
    try:
        _decoder.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        if "truncated" not in str(why):
            raise BadLine("not a list of engines: %s" % why)


class Lines:
    """Bytes in, whole objects out, each as its bytes. An object may stand on one line or, indented, on
    several; empty lines, which only say that the watch lives, are left out. `count`: whole lines that came,
    empty ones too; who reads it sets it back."""

    def __init__(self):
        self._rest, self._rest_size = [], 0  # pieces of the line that has no end yet, and their bytes
        self._object, self._size, self._depth, self.count = [], 0, 0, 0

    @property
    def inside(self):
        """Whether an object has begun, on a whole line, and not ended."""
        return self._depth > 0

    @property
    def begun(self):
        """Whether a part of a message has come and its end has not."""
        return self.inside or any(piece.strip() for piece in self._rest)

    def feed(self, data):
        """Raises BadLine when an object has no end within LINE_LIMIT."""
        self._rest.append(data)
        self._rest_size += len(data)
        lines = []
        if b"\n" in data:
            *lines, rest = b"".join(self._rest).split(b"\n")
            self._rest, self._rest_size = [rest], len(rest)
        self.count += len(lines)
        whole = []
        for line in lines:
            if self._depth and line[:1] in (b"", b"\r", b"{"):
                raise BadLine("an object was cut off: %r" % self._object[0][:60])
            if not line.strip():
                continue
            if not self._depth and _is_object(line):
                whole.append(line)
                continue
            # braces outside of strings: a string of JSON never goes on in another line
            marks = _MARKS.findall(line)
            self._depth += marks.count(b"{") - marks.count(b"}")
            self._object.append(line)
            self._size += len(line)
            if self._depth <= 0:
                whole.append(b"\n".join(self._object))
                self._object, self._size, self._depth = [], 0, 0
            elif len(self._object) == 1:
                _begins_an_object(line)
        if self._size + self._rest_size > LINE_LIMIT:
            raise BadLine("an object over %d bytes" % LINE_LIMIT)
        return whole


def whole(revision=None):
    """The path of a watch from a revision on."""
    return "/v1/endpoints?stream=1&index=%d" % (revision or 0)
