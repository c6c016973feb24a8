"""Requests that follow each other on a connection, however their bytes are cut: each is read to its end and
no further."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from martenrouter.wire.platform import messages

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
FIELDS = st.lists(
    st.sampled_from(
        [b"a: 0\r\n", b"Upgrade: h2c\r\n", b"upgradex: 1\r\n", b"x-long: " + b"y" * 90 + b"\r\n"]
    ),
    max_size=6,
)
# what may be taken for the last chunk, and what may not
BYTES = st.text("0\r\n1a", max_size=40).map(str.encode)
EMPTY_LINES = st.sampled_from([b"", b"\r\n", b"\r\n\r\n", b"\n"])


def _chunked(chunks, zeros, trailers):
    body = b"".join(b"%s%x\r\n%s\r\n" % (b"0" * zeros, len(data), data) for data in chunks if data)
    return b"transfer-encoding: chunked\r\n\r\n" + body + b"0" * (1 + zeros) + b"\r\n" + trailers + b"\r\n"


CHUNKED = st.tuples(
    st.lists(BYTES, max_size=6), st.integers(0, 2), st.sampled_from([b"", b"t: 1\r\n", b"t: 1\r\n0: 2\r\n"])
).map(lambda told: (b"".join(told[0]), _chunked(*told)))
SIZED = BYTES.map(lambda body: (body, b"content-length: %d\r\n\r\n%s" % (len(body), body)))
REQUESTS = st.lists(st.tuples(EMPTY_LINES, FIELDS, st.one_of(CHUNKED, SIZED)), min_size=1, max_size=4)


def _read(data, window, part):
    """[(body, bytes taken)] of the requests in `data`, of which `window` bytes are seen at a time."""
    found, at = [], 0
    while at < len(data):
        reader, begun, body, ended = messages.Requests(), at, b"", False
        while not ended and at < len(data):
            seen = data[at : at + window]
            taken = 0
            while taken < min(len(seen), part) and not ended:
                end = reader.piece_end(seen, taken, min(len(seen), part))
                for event in reader.feed(seen[taken:end]):
                    body += event[1] if event[0] == "body" else b""
                    ended = ended or event[0] == "end"
                    if event[0] == "bad":
                        raise AssertionError(event[1])
                taken = end
            at += taken
        found.append((body, at - begun) if ended else None)
    return found


class Pieces(unittest.TestCase):
    # Review 1, related: pieces longer than a line must still end where their request does.
    @settings(max_examples=1500, deadline=None)
    @given(REQUESTS, st.integers(1, 300), st.integers(1, 300))
    def test_each_request_is_read_to_its_end_and_no_further(self, requests, window, part):
        data, expected = b"", []
        for empty, fields, (body, rest) in requests:
            whole = empty + HEAD + b"".join(fields) + rest
            data += whole
            expected.append((body, len(whole)))
        self.assertEqual(_read(data, window, part), expected)

    # Picture (b): empty lines without end were no request, and no bound was reached.
    def test_empty_lines_are_bounded(self):
        reader, events = messages.Requests(), []
        for _ in range(3):
            data = b"\r\n" * 300
            events += reader.feed(data[: reader.piece_end(data, 0, len(data))])
        self.assertEqual([event[0] for event in events], ["bad"])


class Heads(unittest.TestCase):
    @staticmethod
    def events(data, reader):
        events = []
        for at in range(0, len(data), 50):
            events += reader.feed(data[at : at + 50])
        return events

    # Picture (a): the limit on a head's bytes said nothing of its fields.
    def test_fields_are_bounded_as_they_come(self):
        for make, first in (
            (messages.Requests, b"GET / HTTP/1.1\r\n"),
            (messages.Answers, b"HTTP/1.1 200 OK\r\n"),
        ):
            for count, kinds in ((100, []), (101, ["bad"])):
                with self.subTest(make.__name__, count=count):
                    reader = make()
                    events = self.events(first + b"a: 1\r\n" * count + b"b: 2", reader)
                    self.assertEqual([event[0] for event in events], kinds)
                    self.assertEqual(reader.head_too_large, bool(kinds))

    # Found by the review: a trailer's X-Request-ID took the place of the head's, unchecked.
    def test_trailers_are_no_part_of_the_head(self):
        data = HEAD + b"x-request-id: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-request-id: b\r\n"
        events = messages.Requests().feed(data + b"\r\n")
        self.assertEqual(events[0][1].headers["x-request-id"], "a")
        many = messages.Requests().feed(data + b"t: 1\r\n" * 100 + b"\r\n")
        self.assertEqual([event[0] for event in many], ["head", "bad"])
