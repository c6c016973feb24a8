"""HTTP/1.1 messages (RFC 9112) as bytes in, events out; the parsing is httptools'.

A reader is fed what a socket gave and returns what is complete by then: ("head", Head), ("body", bytes),
("end",). Bytes that are not HTTP raise BadBytes, after which the connection can only be closed.
"""

import httptools

HEAD_LIMIT = 64 * 1024  # bytes of head lines a peer may send: servers in the field allow 8 to 64 KiB
FIELDS_LIMIT = 100  # of a head, and of a trailer: each costs its objects, however short it is

FRAMING = ("content-length", "transfer-encoding", "connection")  # fields that tell where a message ends
FIELD_COSTS = 250  # bytes that a field takes besides its own: two strings and an entry


class BadBytes(Exception):
    """What came is not HTTP/1.1, or its head is over the limit."""


class HeadTooLarge(BadBytes):
    """The head is over the limit on its bytes or on its fields."""


class Head:
    __slots__ = ("status", "method", "path", "headers", "keep", "version")

    def __init__(self, status, method, path, headers, keep):
        self.status, self.method, self.path, self.headers, self.keep = status, method, path, headers, keep


class _Reader:
    def __init__(self):
        self._events, self._headers, self._size, self._path = [], {}, 0, b""
        self._fields, self._head_is_whole = 0, False
        self._too_large = None  # what is, if anything
        self._discards = False  # whether nothing but the message's end is asked for any more
        self._parser = self._new_parser()

    def feed(self, data):
        """`data`: bytes from the socket. Returns the events they complete; raises BadBytes."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as why:
            raise BadBytes("the peer asked for another protocol") from why
        except httptools.HttpParserError as why:
            if self._too_large is not None:
                raise HeadTooLarge(self._too_large) from why
            raise BadBytes(str(why) or type(why).__name__) from why
        events, self._events = self._events, []
        return events

    @property
    def held(self):
        """Bytes that what has come of the head takes."""
        return self._size + FIELD_COSTS * len(self._headers)

    def on_message_begin(self):
        self._headers, self._size, self._path = {}, 0, b""
        self._fields, self._head_is_whole = 0, False

    def on_url(self, url):
        self._path += url

    def on_header(self, name, value):
        self._size += len(name) + len(value)
        self._fields += 1
        if self._size > HEAD_LIMIT:
            self._refuse("head lines over %d bytes" % HEAD_LIMIT)
        if self._fields > FIELDS_LIMIT:
            self._refuse("a head of over %d fields" % FIELDS_LIMIT)
        if self._head_is_whole:
            return  # a field of the trailer, which says nothing of the request to who reads its head
        # blanks around a value are no part of it (RFC 9110, 5.5); the parser takes off those before it
        name = name.decode("latin-1").lower()
        if not self._discards or name in FRAMING:
            self._headers[name] = value.decode("latin-1").rstrip(" \t")

    def discard(self):
        """Nothing is asked for any more but where the message ends: what has come of it is let go of."""
        self._discards = True
        self._headers = {name: self._headers[name] for name in FRAMING if name in self._headers}

    def _refuse(self, what):
        self._too_large = what
        raise httptools.HttpParserError(what)

    def on_headers_complete(self):
        self._fields, self._head_is_whole = 0, True
        self._events.append(("head", self._head()))

    def on_body(self, data):
        self._events.append(("body", data))

    def on_message_complete(self):
        self._events.append(("end",))


class ResponseReader(_Reader):
    """What an engine answers."""

    def _new_parser(self):
        return httptools.HttpResponseParser(self)

    def _head(self):
        parser = self._parser
        return Head(parser.get_status_code(), None, None, self._headers, parser.should_keep_alive())


class RequestReader(_Reader):
    """What a client of HTTP sends."""

    def _new_parser(self):
        return httptools.HttpRequestParser(self)

    def _head(self):
        parser = self._parser
        return Head(
            None,
            parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            self._headers,
            parser.should_keep_alive(),
        )


PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def request_head(method, path, host, headers, length):
    """The head of a request with a body of `length` bytes. `headers`: pairs."""
    lines = ["%s %s HTTP/1.1" % (method, path), "host: %s" % host, "content-length: %d" % length]
    lines += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request(method, path, host, headers, body=b""):
    """One request as bytes. `headers`: pairs; the body's length is told."""
    return request_head(method, path, host, headers, len(body)) + body


def response(status, headers, body=b"", chunked=False):
    """One response as bytes; with `chunked` only its head, the body follows by `chunk`."""
    lines = ["HTTP/1.1 %d %s" % (status, PHRASES.get(status, "Status"))]
    lines += ["%s: %s" % pair for pair in headers]
    lines.append("transfer-encoding: chunked" if chunked else "content-length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (b"" if chunked else body)


def chunk(data):
    """A piece of a chunked body (RFC 9112, 7.1); empty data ends it."""
    return b"%x\r\n%s\r\n" % (len(data), data)
