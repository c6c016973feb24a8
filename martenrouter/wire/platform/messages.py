"""HTTP/1.1 on the platform: readers that tell all that came before what can't be read, and bounds on what may
come.

`feed` gives ("head", Head), ("body", bytes), ("chunk",) after each whole chunk, ("end",), and as the last one
("bad", why) where bytes can't be read; nothing after that is looked at.
"""

import itertools
import re

from martenrouter.wire import http

BODY_LIMIT = 256 * 1024  # bytes: no body of this protocol holds more
RAW_LIMIT = 4 * BODY_LIMIT  # bytes of a whole message with its head and the chunks' sizes
CHUNK_HEAD = 64  # bytes that hold a chunk's size and the line's end before it
EMPTY_LIMIT = 1024  # bytes of empty lines before a request
HEAD_END, UPGRADE = b"\r\n\r\n", b"upgrade:"
BLANK_LINES = b"\n\r\n", b"\n\n"  # each ends a head, with the end of the line before
OFFER = re.compile(rb"\nupgrade:[^\n]*(?=\n)", re.IGNORECASE)


class _Bounded:
    """What both readers add to those of wire/http.py."""

    def __init__(self):
        self._raw, self._body, self.bad, self._whole = 0, 0, False, True
        self.head_too_large = False  # whether that is what is wrong
        super().__init__()

    def feed(self, data):
        if self.bad:
            return []
        why = None
        try:
            events = super().feed(data)
        except http.BadBytes as wrong:
            events, self._events, why = self._events, [], str(wrong)
            self.head_too_large = isinstance(wrong, http.HeadTooLarge)
        self._add_body(events)
        # an endless head, trailer or chunk head is never told by the parser; what it has taken is counted
        # here
        self._raw = 0 if self._whole else self._raw + len(data)
        if self._raw > self.raw_limit:
            why = why or "a message over %d bytes" % RAW_LIMIT
        elif self.in_head and self._raw > http.HEAD_LIMIT and not why:
            why, self.head_too_large = "head lines over %d bytes" % http.HEAD_LIMIT, True
        if why:
            self.bad = True
            events.append(("bad", why))
        return events

    def _add_body(self, events):
        """Adds what came of a body that has not been told yet."""

    def close(self):
        """The parser and this hold each other: without this, what a req leaves would wait for the collector
        of cycles."""
        self._parser = None

    @property
    def inside(self):
        """Whether a message has begun and not ended."""
        return not self._whole

    def on_message_begin(self):
        super().on_message_begin()
        self._whole, self.in_head, self._raw = (
            False,
            True,
            0,
        )  # what came before it on the connection is not its

    raw_limit = RAW_LIMIT
    # half: a chunk has begun and not ended; size_looked_at: whether the size that it was told to have was
    in_head = half = size_looked_at = False

    def on_headers_complete(self):
        self.in_head = False
        super().on_headers_complete()

    def on_chunk_header(self):
        self.half, self.size_looked_at = True, False

    def on_chunk_complete(self):
        self.half = False
        self._events.append(("chunk",))

    def on_message_complete(self):
        self._whole = True
        super().on_message_complete()


class Requests(_Bounded, http.RequestReader):
    """What a client sends. Fed in the pieces that `piece_end` names, it is never given a byte behind the
    request's last one.

    Pieces are as long as that allows, as each costs about as much as a kilobyte of its bytes: what precedes a
    request, a head up to its blank line, a body of a told length, and chunks up to what may be the last one.
    """

    on_chunk_header = on_chunk_complete = None  # nobody asks for them, and each would cost a call

    def __init__(self):
        super().__init__()
        self._empty = 0  # bytes of empty lines before the request
        self._begun = self._in_body = False
        self._body_left = 0  # bytes of a body whose length was told
        self._body_part = bytearray()  # of the piece that is being fed
        self._at_line_start, self._held, self._last_two = True, b"", b""
        # the line that is next may be the last chunk's size or a trailer: the request may end with it
        self._may_end = False

    def feed(self, data):
        if self.bad:
            return []
        if not self._in_body:
            return self._feed_head(data)
        return self._parse(data)

    def _parse(self, data):
        self._at_line_start = data.endswith(b"\n")
        return super().feed(data)

    def _add_body(self, events):
        """What came of the body is one event, however it was cut."""
        if self._body_part:
            events.append(("body", bytes(self._body_part)))
            self._body_part.clear()

    def _feed_head(self, data):
        if not self._begun:
            if not data.strip(b"\r\n"):
                return self._skip_empty_lines(data)
            self._begun = True
        self._last_two = (self._last_two + data)[-2:]
        data, self._held = self._held + data, b""
        last_line = data.rfind(b"\n") + 1
        if last_line or self._at_line_start:
            last = data[last_line:]
            if last and UPGRADE.startswith(last[: len(UPGRADE)].lower()) and len(last) < http.HEAD_LIMIT:
                data, self._held = data[:last_line], last
        data = self._without_offers(data)
        return self._parse(data) if data else []

    def _skip_empty_lines(self, data):
        """A few before a request are passed over (RFC 9112, 2.2)."""
        self._empty += len(data)
        if self._empty <= EMPTY_LIMIT:
            return []
        self.bad = True
        return [("bad", "empty lines in place of a request")]

    def _without_offers(self, data):
        """Other protocols are offered, never asked for (RFC 9110, 7.8), but the parser would take the body
        for one."""
        if UPGRADE not in data.lower():
            return data
        before = b"\n" if self._at_line_start else b" "
        return OFFER.sub(b"", before + data)[1:]

    def piece_end(self, data, start, stop):
        """Up to where `data` is to be fed from `start` on: no further than the request's end, and than `stop`
        but in a body whose length was told."""
        if self.bad:
            return len(data)
        if self._body_left:
            return min(start + self._body_left, len(data))
        return self._chunks_end(data, start, stop) if self._in_body else self._head_end(data, start, stop)

    def _head_end(self, data, start, stop):
        piece = data[start:stop]
        if not self._begun:
            empty = len(piece) - len(piece.lstrip(b"\r\n"))
            if empty:
                return start + empty
        text = self._last_two + piece
        ends = [at + len(end) for end in BLANK_LINES if (at := text.find(end)) >= 0]
        return start + min(ends) - len(self._last_two) if ends else stop

    def _chunks_end(self, data, start, stop):
        """The last chunk's size is zero: the request can't end but behind a line that begins with one."""
        if self._at_line_start and data[start : start + 1] == b"0":
            self._may_end = True
        if self._may_end:
            return data.find(b"\n", start, stop) + 1 or stop
        at = data.find(b"\n0", start, stop)
        return at + 1 if at >= 0 else stop

    def _head(self):
        head, self._in_body = super()._head(), True
        head.version = self._parser.get_http_version()
        told = head.headers.get("content-length", "")
        self._body_left = int(told) if told.isdigit() and "transfer-encoding" not in head.headers else 0
        return head

    def on_body(self, data):
        self._body_left = max(self._body_left - len(data), 0)
        self._may_end = False  # the line was of a chunk
        self._body_part += data

    def on_message_complete(self):
        self._add_body(self._events)
        super().on_message_complete()


class Answers(_Bounded, http.ResponseReader):
    """What an engine or the list's agent answers; 1xx answers ahead of it are passed over."""

    chunk_limit = BODY_LIMIT  # bytes

    def __init__(self):
        super().__init__()
        self._before = b""  # the end of what was fed before

    def feed(self, data):
        events = super().feed(data)
        if self.half and not self.size_looked_at and not self.bad:
            self.size_looked_at = True
            size = self._size_told(self._before + data, events)
            if size > self.chunk_limit:
                self.bad = True
                events.append(("bad", "a chunk of %d bytes" % size))
        self._before = data[-CHUNK_HEAD:] if len(data) >= CHUNK_HEAD else (self._before + data)[-CHUNK_HEAD:]
        return events

    @staticmethod
    def _size_told(data, events):
        """Of the chunk that has begun in `data`; the parser knows it and does not tell. 0 where it can't be
        found."""
        of_chunk = itertools.takewhile(lambda event: event[0] == "body", reversed(events))
        came = sum(len(event[1]) for event in of_chunk)
        line = data[: len(data) - came].rstrip(b"\r\n").rpartition(b"\n")[2]
        try:
            return int(line.partition(b";")[0], 16)
        except ValueError:
            return 0

    def on_headers_complete(self):
        if self._parser.get_status_code() >= 200:
            super().on_headers_complete()

    def on_message_complete(self):
        if self._parser.get_status_code() >= 200:
            super().on_message_complete()


class Lasting(Answers):
    """An answer that stays open for as long as the process: its lines are bounded, not its length."""

    raw_limit = chunk_limit = float("inf")


def plain(status, text, keep, more=(), with_body=True):
    """A whole answer of the node's own, as bytes; `text` says to a person what is wrong. Without its body it
    answers HEAD."""
    headers = [("content-type", "text/plain; charset=utf-8"), *more]
    if not keep:
        headers.append(("connection", "close"))
    whole = http.response(status, headers, (text + "\n").encode())
    return whole if with_body else whole[: whole.index(HEAD_END) + len(HEAD_END)]


def stream_head(keep):
    headers = [("content-type", "text/event-stream"), ("cache-control", "no-cache")]
    return http.response(200, headers + ([] if keep else [("connection", "close")]), chunked=True)
