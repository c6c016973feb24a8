"""A client's connection: HTTP/1.1, one request at a time.

Just the bytes of the request whose turn it is are read, all others stay with the system. So each request is
either read and gets one whole answer, or it is not read: a close over it then resets the connection, and its
client sends it again on another.

States, and what leads from one to another:

    IDLE        nothing of a request has been read     -> READING: its first bytes were
    READING     a part of a request has been read      -> SERVING: it is whole; IDLE or CLOSING: whole, and
    answered at once;
                                                          DISCARDING: refused before it was whole
    SERVING     a whole request has no whole answer    -> IDLE or CLOSING: it has
    DISCARDING  refused; its rest is read and dropped  -> CLOSING: at its end, or after a while
    CLOSING     the last answer has been given         -> CLOSED: the client closed, or after a while
    CLOSED      nothing is read or sent any more
"""

import enum
import socket

import gevent
from gevent.event import Event

from martenrouter.edge import clock
from martenrouter.edge.line import CALL_PAUSE
from martenrouter.edge.send_buffer import SendBuffer
from martenrouter.node.arrivals import Arrivals
from martenrouter.wire import http
from martenrouter.wire.platform import asks, messages

CHUNK = 64 * 1024
DISCARD_LIMIT = (
    4 * 1024 * 1024
)  # bytes of a refused request that are read, so that its client comes to read the answer
UNSENT_LIMIT = (
    messages.BODY_LIMIT * 5 // 4
)  # no whole answer is larger, with its chunks' sizes: a client that leaves more reads nothing
PROBES = ("/ready", "/health")


class State(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    DISCARDING = "discarding"
    CLOSING = "closing"
    CLOSED = "closed"


class ClientLeft(Exception):
    """The client closed or reset its connection."""


class ClientConnection:
    """`server`: node/door.py; `accepted`: when; `came`: what has come by now came no earlier."""

    def __init__(self, line, server, accepted, came):
        self.line, self.server, self.state = line, server, State.IDLE
        self.buffer = SendBuffer(line, UNSENT_LIMIT, self._send_failed, self._drained)
        self.changed = Event()  # what the connection's greenlet waits for came about, or should be looked at
        self.arrivals = Arrivals()
        if line.unread():
            self.arrivals.seen(1, came)
        self.reader, self.head, self.body = None, None, bytearray()
        self.size = 0  # bytes that the request which is read or open holds, as they are held
        self.open_size = 0  # the same once that request is whole
        # bytes that wait for the client, and when it last took some, or they began to; those that wait here
        self.unsent, self.unsent_since, self.left = 0, None, 0
        self.request, self.asked = None, 0  # the one that is served; how many have been whole
        self.since = accepted  # when it was accepted, or its last answer ended
        self.reading_since = None  # when the first bytes of the request that is being read were
        self.begun = None  # when they came
        self.refused_since = None  # when the request that is discarded was refused
        self.closing_since = None  # when the last answer had gone out
        self.keep = True  # whether the client lets the connection go on after the request
        self.streaming, self.discarded, self.over_bound = False, 0, False

    # ---- reading ----

    def serve(self):
        """Runs in the connection's greenlet until the connection is over. Raises ClientLeft, OSError."""
        while self.state not in (State.CLOSING, State.CLOSED):
            if self.state is State.SERVING:
                self._wait_for_answer()
            elif self.state is State.IDLE and not self.buffer.empty:
                self._wait_for_sending()
            else:
                self._read()
        self.wait_for_close()

    def _wait(self, watch):
        """Until `changed`, and with `watch` also until something has come."""
        if watch:
            self.line.when_readable(self.changed.set)
        try:
            self.changed.wait()
        finally:
            if watch:
                self.line.stop_watching()
        self.changed.clear()

    def _wait_for_answer(self):
        self._wait(
            watch=not self.arrivals.pending
        )  # unread bytes would wake it each turn: the sweep does so instead
        if self.state is State.SERVING:
            if self.line.ended():
                raise ClientLeft
            self.arrivals.seen(len(self.line.peek(CHUNK) or b""), self.server.turns.earliest())

    def _wait_for_sending(self):
        """The next request is not read before the last answer is out, but seen when it comes."""
        self._wait(watch=not self.arrivals.pending and not self.line.ended())
        self.arrivals.seen(len(self.line.peek(CHUNK) or b""), self.server.turns.earliest())

    def wait_for_close(self):
        """Nothing is read any more. Raises ClientLeft once the client has closed."""
        watch = True
        while self.state is State.CLOSING:
            self._wait(watch)
            if self.line.ended():
                raise ClientLeft
            watch = not self.line.unread()

    def _read(self):
        self.line.wait_readable()
        came = self.server.turns.earliest()
        begun = self.server.fair_share.wait_for_turn(begins=self.state is State.IDLE)
        if self.state in (State.CLOSING, State.CLOSED):
            return  # closed meanwhile: what came stays unread
        data = self.line.peek(CHUNK)
        if data == b"":
            raise ClientLeft
        if data is None:
            return gevent.sleep(CALL_PAUSE)  # there is something, and it can't be had just now
        self.arrivals.seen(len(data), came)
        if self.state is State.IDLE:
            self._begin_reading()
        self._take(data)
        self.server.fair_share.took(begun)

    def _begin_reading(self):
        self.state, self.reader = State.READING, messages.Requests()
        self.reading_since, self.begun = clock.now(), self.arrivals.first()

    def _take(self, data):
        """Feeds `data`, which stands unread, to the parser up to the end of the request or of this turn's
        part, and consumes just that."""
        taken = consumed = 0
        part, pieces = min(len(data), self.server.transfers.read_part), self.server.transfers.read_pieces
        try:
            while taken < part and pieces and self.state in (State.READING, State.DISCARDING):
                end = self.reader.piece_end(data, taken, part)
                pieces -= 1
                events = self.reader.feed(data[taken:end])
                taken = end
                if events:
                    self._consume(taken - consumed)
                    consumed = taken
                for event in events:
                    if self.state in (State.READING, State.DISCARDING):
                        self._on(*event)
        finally:
            self._consume(taken - consumed)
        if self.state is State.READING:
            self._hold(self._price())
            self.server.keep_within_memory()

    def _consume(self, count):
        self.line.consume(count)
        self.arrivals.consumed(count)
        if self.state is State.DISCARDING:
            self.discarded += count
            if self.discarded > DISCARD_LIMIT:
                self._close_gracefully()

    def _on(self, kind, told=None):
        if kind == "end":
            self.reader.close()
        if kind == "bad":
            if self.state is State.READING:
                self._refuse_unreadable(told)
        elif self.state is State.DISCARDING:
            if kind == "end":
                self._close_gracefully()
        elif kind == "head":
            self._on_head(told)
        elif kind == "body":
            self._on_body(told)
        elif kind == "end":
            self._on_end()

    def _refuse_unreadable(self, why):
        if self.reader.head_too_large:
            self.refuse(431, why)
        else:
            self.refuse(400, "not HTTP/1.1: " + why)

    def _on_head(self, head):
        self.head, self.keep = head, head.keep
        if self._is_probe(head):
            return
        try:
            asks.check_head(head, self.server.groups)
        except asks.BadAsk as why:
            return self.refuse(why.status, str(why))
        if head.headers.get("expect", "").lower() == "100-continue":
            self.put(b"HTTP/1.1 100 Continue\r\n\r\n")

    @staticmethod
    def _is_probe(head):
        return head.method in ("GET", "HEAD") and head.path in PROBES

    def _on_body(self, data):
        self.body += data
        if len(self.body) > messages.BODY_LIMIT:
            self.refuse(413, "a body over %d bytes" % messages.BODY_LIMIT)

    def _hold(self, size):
        """So much is held for the request that is read or open."""
        self.server.memory.requests += size - self.size
        self.size = size

    def _hold_open(self, size):
        """So much of it is held for a request that is whole."""
        self.server.memory.whole_requests += size - self.open_size
        self.open_size = size
        self._hold(size)

    def _price(self):
        """What the request that is being read holds."""
        return self.reader.held + len(self.body)

    def _on_end(self):
        price, head, body = self._price(), self.head, bytes(self.body)
        self.head, self.body = None, bytearray()
        self.asked += 1
        if self._is_probe(head):
            ready = self.server.ready() or head.path == "/health"
            return self.answer(
                200 if ready else 503, "ready" if ready else "not ready", with_body=head.method != "HEAD"
            )
        if self.over_bound and not self.server.make_room_for_whole(self):
            return self.answer(503, "too many connections", self.server.come_back)
        if not self.server.memory.may_hold_whole(price):
            self.server.counters["refused_for_memory"] += 1
            return self.answer(503, "too many bytes are on their way", self.server.come_back)
        try:
            ask = asks.ask(head, body, self.server.groups, self.server.hands.customers)
        except asks.BadAsk as why:
            self.server.counters["refused_%d" % why.status] += 1
            return self.answer(why.status, str(why))
        proxy = self.server.hands
        if not proxy.may_take(ask.id):
            self.server.counters["refused_409"] += 1
            return self.answer(409, "a request with this X-Request-ID is open, or may have run")
        if len(proxy.reqs) >= self.server.most_reqs_now and not self.server.make_room_for_request():
            # guards the descriptors that the list's watch and calls to let go need: each open request may
            # hold one at a server
            self.server.counters["refused_over_bound"] += 1
            return self.answer(503, "too many requests are open", self.server.come_back)
        if self.arrivals.pending and not self.sees_end():
            self.keep = False
            self.server.counters["refused_unseen"] += 1
            return self.answer(503, "too much was sent ahead of the answer", self.server.come_back)
        self.state = State.SERVING
        self._hold_open(price)
        self.request = proxy.arrived(self, ask, self.begun)

    def sees_end(self):
        """Whether it would be seen that the client has closed."""
        return self.server.sees_end(self.line)

    # ---- answering ----

    def answer(self, status, text, more=(), with_body=True):
        """The whole answer to the request that was read last."""
        keep = self._keeps()
        self.put(messages.plain(status, text, keep, more, with_body))
        self._answered(keep)

    def refuse(self, status, text, more=()):
        """An answer to a request that is not whole; the connection ends with it."""
        self.server.counters["refused_%d" % status] += 1
        self.put(messages.plain(status, text, False, more))
        self.state, self.refused_since = State.DISCARDING, clock.now()
        self.reader.discard()
        self.head, self.body = None, bytearray()
        self._hold(0)
        if self.buffer.empty:
            self._drained()

    def fail(self):
        """After a fault in the connection's greenlet: what was read is answered all the same."""
        self.keep = False
        if self.request is not None:
            self.server.hands.failed(self.request)
        elif self.state in (State.READING, State.SERVING):
            self.put(messages.plain(500, "the router failed", False))
        if self.state is not State.CLOSED:
            self._close_gracefully()

    def begin_stream(self):
        self.streaming, self.keep = True, self._keeps()
        self.request.ask.body = b""  # no attempt is made any more
        self._hold_open(0)
        self.put(messages.stream_head(self.keep))

    def pass_on(self, data):
        self.put(http.chunk(data))
        if not self.buffer.empty:
            self.look_at_unsent(clock.now())
            self.server.keep_within_memory()

    def end_stream(self):
        self.put(http.chunk(b""))
        self._answered(self._keeps())  # not what its head said: a stop may have begun since

    def cut(self):
        """A stream that broke: its end without the last chunk."""
        self._answered(keep=False)

    def _keeps(self):
        """Whether the connection goes on: in a stop it ends, as what is read late may be cut by the kill; and
        where others wait to be accepted, its client waits behind them for its next request."""
        goes_on = self.keep and not self.over_bound and not self.server.leaving
        return goes_on and not self.server.gives_places_round()

    def _answered(self, keep):
        if self.state is State.CLOSED:
            return
        self.request, self.streaming, self.since = None, False, clock.now()
        self._hold_open(0)
        if keep:
            self.state = State.IDLE
            self.changed.set()
        else:
            self._close_gracefully()

    # ---- sending and closing ----

    def look_at_unsent(self, now):
        """Notes what of its answers the client has not taken: `unsent` with what the system holds, which has
        bounds of its own, and in the server's sum what this process does."""
        before, self.unsent = self.unsent, len(self.buffer) + self.line.unsent()
        self._leave(len(self.buffer))
        if not self.unsent:
            self.unsent_since = None
        elif self.unsent_since is None or self.unsent < before:
            self.unsent_since = now

    @property
    def waits_since(self):
        """When the client last took something of its answer, or that began to wait; None where none waits."""
        return self.buffer.waits_since

    def _leave(self, size):
        """So much of its answers waits here for the client."""
        self.server.memory.unread += size - self.left
        self.left = size

    def put(self, data):
        if self.state is not State.CLOSED:
            self.buffer.put(data)

    def free(self):
        """It is over: parts that hold each other let go, as the collector of cycles seldom looks."""
        self.state = State.CLOSED
        self.buffer.stop()
        self._hold_open(0)
        self._leave(0)
        if self.reader is not None:
            self.reader.close()
        self.line.close()

    def _send_failed(self, why):
        self.server.counters["connection_closed_unread"] += len(self.buffer) > UNSENT_LIMIT
        self.close("not sent: " + why)

    def _drained(self):
        """All that was put has gone out."""
        if self.state in (State.DISCARDING, State.CLOSING) and self.closing_since is None:
            self.closing_since = clock.now()
            self.line.shut(socket.SHUT_WR)
        self.changed.set()

    def _close_gracefully(self):
        """No more is read; what was put goes out, then this side's end."""
        self.state = State.CLOSING
        self.changed.set()
        if self.buffer.empty:
            self._drained()

    def retire(self):
        """A stop ends a connection between requests. One on which a request was answered may hold the next,
        unread: it is not read any more, and its client sends it again elsewhere. A first one is still read
        and answered. A request of which only a part has come is refused: it would be taken late, and nothing
        bounds how late."""
        if self.state is State.IDLE and self.buffer.empty:
            if self.line.quiet():
                self.close("stop")
            elif self.asked:
                self._close_gracefully()
        elif self.state is State.READING:
            self.refuse(503, "the router is stopping", self.server.come_back)

    def close(self, why="by its owner"):
        """From any greenlet: the connection's own sees it and clears up. `why`: a few words for the log."""
        if self.state is not State.CLOSED:
            self.server.closes(self, why)
            self.state = State.CLOSED
            self.server.forget(self)
            self.buffer.stop()
            self._leave(0)
            self.changed.set()
            self.line.shut(socket.SHUT_RDWR)
