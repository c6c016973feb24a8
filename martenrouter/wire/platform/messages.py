"""HTTP/1.1 on the platform: readers that tell all that came before what can't be read, and bounds on what may
come.

`feed` gives ("head", Head), ("body", bytes), ("chunk",) after each whole chunk, ("end",), and as the last one
("bad", why) where bytes can't be read; nothing after that is looked at.
"""

from martenrouter.wire import http

BODY_LIMIT = 256 * 1024  # bytes: no body of this protocol holds more
RAW_LIMIT = 4 * BODY_LIMIT  # bytes of a whole message with its head and the chunks' sizes
HEAD_END, UPGRADE = b"\r\n\r\n", b"upgrade:"


class _Bounded:
    """What both readers add to those of wire/http.py."""

    def __init__(self):
        self._raw, self._body, self.bad, self._whole = 0, 0, False, True
        super().__init__()

    def feed(self, data):
        if self.bad:
            return []
        why = None
        try:
            events = super().feed(data)
        except http.BadBytes as wrong:
            events, self._events, why = self._events, [], str(wrong)
        # an endless head, trailer or chunk head is never told by the parser; what it has taken is counted
        # here
        self._raw = 0 if self._whole else self._raw + len(data)
        if self._raw > self.raw_limit:
            why = why or "a message over %d bytes" % RAW_LIMIT
        elif self.in_head and self._raw > http.HEAD_LIMIT:
            why = why or "head lines over %d bytes" % http.HEAD_LIMIT
        if why:
            self.bad = True
            events.append(("bad", why))
        return events

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
    in_head = half = False  # half: a chunk has begun and not ended

    def on_headers_complete(self):
        self.in_head = False
        super().on_headers_complete()

    def on_chunk_header(self):
        self.half = True

    def on_chunk_complete(self):
        self.half = False
        self._events.append(("chunk",))

    def on_message_complete(self):
        self._whole = True
        super().on_message_complete()


class Requests(_Bounded, http.RequestReader):
    """What a client sends. Fed in the pieces that `piece_end` names, it is never given a byte behind the
    request's last one."""

    def __init__(self):
        super().__init__()
        self._body_left = 0  # bytes of a body whose length was told
        self._in_body, self._at_line_start, self._held = False, True, b""

    def feed(self, data):
        if self._in_body:
            return super().feed(data)
        data, self._held = self._held + data, b""
        if self._at_line_start and UPGRADE.startswith(data[: len(UPGRADE)].lower()):
            # other protocols are offered, never asked for (RFC 9110, 7.8), but the parser would take the body
            # for one
            if not data.endswith(b"\n") and len(data) < http.HEAD_LIMIT:
                self._held = data
            return []
        self._at_line_start = data.endswith(b"\n")
        return super().feed(data)

    def piece_end(self, data, start):
        """Up to where `data` is to be fed from `start` on: a told body's end, else a line's, as a head and
        chunks end with one."""
        if self.bad:
            return len(data)
        if self._body_left:
            return min(start + self._body_left, len(data))
        return data.find(b"\n", start) + 1 or len(data)

    def _head(self):
        head, self._in_body = super()._head(), True
        head.version = self._parser.get_http_version()
        told = head.headers.get("content-length", "")
        self._body_left = int(told) if told.isdigit() and "transfer-encoding" not in head.headers else 0
        return head

    def on_body(self, data):
        self._body_left = max(self._body_left - len(data), 0)
        super().on_body(data)


class Answers(_Bounded, http.ResponseReader):
    """What an engine or the list's agent answers; 1xx answers ahead of it are passed over."""

    def on_headers_complete(self):
        if self._parser.get_status_code() >= 200:
            super().on_headers_complete()

    def on_message_complete(self):
        if self._parser.get_status_code() >= 200:
            super().on_message_complete()


class Lasting(Answers):
    """An answer that stays open for as long as the process: its lines are bounded, not its length."""

    raw_limit = float("inf")


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
