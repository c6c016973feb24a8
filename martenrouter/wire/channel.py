"""What an edge and its planner say to each other over a Unix socket: frames of msgpack, four bytes of length
before each.

This project's own; the version in the greeting tells builds apart. A frame that is cut short is waited for,
one that is too large or no message is a BadFrame: the connection is closed and made anew, since nothing
behind it can be trusted.
"""

import struct

import msgspec

VERSION = 1
FRAME_LIMIT = 64 * 1024 * 1024  # bytes: a hand-over of some ten thousand open reqs


class Greeting(msgspec.Struct, tag="greeting", array_like=True):
    """The planner's first word."""

    version: int
    planner: str


class Welcome(msgspec.Struct, tag="welcome", array_like=True):
    """The edge's: who it is and what its decisions need. Settings are those of the module and of the
    chain."""

    version: int
    front: str
    seed: int
    module: dict
    chain: dict


class Refused(msgspec.Struct, tag="refused", array_like=True):
    reason: str


class Handover(msgspec.Struct, tag="handover", array_like=True):
    """All facts at one moment; decisions count only under this epoch."""

    epoch: int
    now: int
    facts: dict
    learnt: dict | None = None


class Round(msgspec.Struct, tag="round", array_like=True):
    epoch: int
    seq: int
    now: int
    inbox: list


class Decisions(msgspec.Struct, tag="decisions", array_like=True):
    """The answer to the round of that number: (name, arguments) in order; `learnt` now and then."""

    epoch: int
    seq: int
    decisions: list
    spent: int  # microseconds that deciding took
    learnt: dict | None = None


Message = Greeting | Welcome | Refused | Handover | Round | Decisions


class BadFrame(Exception):
    """Bytes that are no frame of this channel."""


_encode, _decoder = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Message)


def encode(message):
    data = _encode(message)
    return struct.pack(">I", len(data)) + data


class Frames:
    """Bytes in, messages out."""

    def __init__(self, limit=FRAME_LIMIT):
        self._rest, self._limit = bytearray(), limit

    def feed(self, data):
        """Messages complete by now. Raises BadFrame."""
        self._rest += data
        messages = []
        while len(self._rest) >= 4:
            (size,) = struct.unpack_from(">I", self._rest)
            if size > self._limit:
                raise BadFrame("a frame of %d bytes; %d is the most" % (size, self._limit))
            if len(self._rest) < 4 + size:
                break
            try:
                messages.append(_decoder.decode(bytes(self._rest[4 : 4 + size])))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as why:
                raise BadFrame("no message: %s" % why) from why
            del self._rest[: 4 + size]
        return messages
