"""Server-sent events of an engine's answer: bytes in, whole events out, unchanged.

An event is given only once it is whole, the chunk that brought it is whole, and it is one: what else a stream
may hold was not made by an engine and must not reach a client.
"""

import msgspec

from martenrouter.wire.platform import answers
from martenrouter.wire.platform.messages import BODY_LIMIT


class BadEvents(Exception):
    """The stream is spoilt: says how."""


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    choices: list[msgspec.Raw]
    usage: _Usage | None = None


_event = msgspec.json.Decoder(_Event)
DONE = b"[DONE]"
PASSED_OVER = b"event:", b"id:", b"retry:"  # fields of an event that are passed on unread
LINE_STARTS = b"data:", b":", *PASSED_OVER


class Events:
    """`done`: the last event came; `found`: prompt tokens found kept; `load`: the report behind it, or
    None."""

    def __init__(self):
        self._part, self._size = b"", 0
        self._checked = 0  # bytes of a chunk that is not whole whose lines have been looked at
        self.done, self.found, self.load = False, 0, None

    @property
    def inside(self):
        """Whether part of an event has come."""
        return bool(self._part)

    @property
    def held(self):
        """Bytes of an event that is not whole."""
        return len(self._part)

    def feed(self, data):
        """`data`: whole chunks of the body. Returns whole events as one piece of bytes; raises BadEvents."""
        self._checked = 0
        self._size += len(data)
        if self._size > BODY_LIMIT:
            raise BadEvents("an answer over %d bytes" % BODY_LIMIT)
        text = self._part + data
        end = max(text.rfind(b"\n\n") + 2, text.rfind(b"\n\r\n") + 3)
        if text.rfind(b"\n", 0, end) < 0:
            self._part = text
            return b""
        whole, self._part = text[:end], text[end:]
        for line in whole.split(b"\n"):
            self._line(line.rstrip(b"\r"))
        return whole

    def check(self, chunk):
        """`chunk`: what came of one that is not whole. Raises BadEvents where a whole line in it is of no
        event."""
        end = chunk.rfind(b"\n", self._checked) + 1
        if not end:
            return
        begins = b"" if self._checked else self._part  # its first line may have begun in the chunk before
        for line in (begins + chunk[self._checked : end - 1]).split(b"\n"):
            line = line.rstrip(b"\r")
            if line and not line.startswith(LINE_STARTS):
                raise BadEvents("a line that is of no event")
        self._checked = end

    def _line(self, line):
        if line.startswith(b"data:"):
            told = line[5:].strip()
            if self.done:
                raise BadEvents("an event after the last one")
            if told == DONE:
                self.done = True
                return
            try:
                event = _event.decode(told)
            except (msgspec.MsgspecError, UnicodeDecodeError) as why:
                raise BadEvents("an event that is none: %s" % why)
            if event.usage is not None and event.usage.prompt_tokens_details is not None:
                self.found = max(event.usage.prompt_tokens_details.cached_tokens, 0)
        elif line.startswith(b":"):
            name, _, value = line[1:].decode("latin-1").strip().partition(":")
            if name.lower() == answers.LOAD:
                self.load = answers.load(value)
        elif line and not line.startswith(PASSED_OVER):
            raise BadEvents("a line that is of no event")
