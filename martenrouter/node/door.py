"""The client door: HTTP/1.1, one req at a time on a connection, what else has come waits its turn.

A greenlet reads each connection; answers are sent without waiting and what does not go out is sent by a second greenlet that
exists only while there is something. Bad clients get an error or a close within the platform's 3 s.
"""
import collections
import socket

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.wire import http
from martenrouter.wire.platform import asks, messages

CHUNK = 64 * 1024
WHOLE_WITHIN = 2_200_000    # microseconds from a connection's start, or a req's first byte, to its last: 3 s are allowed
IDLE_WITHIN = 3_000_000     # between reqs: the platform allows a close after 2 s; some clients ask once and stay for good
LINGER = 600_000            # after an error: the client reads it before a close can reset it away
LINGER_BYTES = 4 * 1024 * 1024  # and no more than this is read and thrown away for it
UNSENT_LIMIT = 256 * 1024   # no whole answer is larger: a client that leaves so much unread reads nothing
UNSENT_WITHIN = 5_000_000   # the same by time: a stream's end has to reach its client in seconds
AT_ONCE = 16                # connections taken before others get their turn: those over the bound hold descriptors until then
AHEAD = 16 * 1024           # bytes that may wait behind an open req before no more is read: the system's own bounds hold the rest
NEWCOMERS = 16              # connections over the bound that are answered and read on: a part of the reserve of descriptors
NEWCOMER = 300_000          # a connection's first req is on its way for so long; older silent ones are closed first
HALF = 1_000_000            # half a req that is this old may be closed for a newcomer: a usual client's is whole by then
PIECES = 500_000            # of a connection that was silent at first: its req may still come in pieces, within the 3 s
OPEN, LAST, CLOSED = range(3)


class Conn:
    def __init__(self, line, door, now):
        self.line, self.door, self.state = line, door, OPEN
        self.reader, self.events = messages.Requests(), collections.deque()
        self.head, self.body, self.size = None, [], 0
        self.raw, self.room = b"", Event()  # what waits behind the open req, and whether more may
        self.req, self.asked = None, 0      # the open req; how many have come
        self.since = now                    # when it was made, its last answer ended, or its unfinished req began
        self.begun = None                   # when the first bytes of an unfinished req came, or its turn did
        self.heard = now                    # when the last bytes came: the latest that what waits can have been sent
        self.keep, self.rest, self.writer = True, b"", None
        self.going = False                  # whether go_on runs: answers that it gives itself don't begin it again
        self.lingers, self.thrown, self.unsent_since, self.streaming = None, 0, None, False

    # ---- reading ----

    def read(self):
        """Runs in the connection's greenlet until the client closes or this side does."""
        try:
            while self.state != CLOSED:
                data = self.line.recv(CHUNK)
                if not data:
                    return
                if self.lingers is not None:
                    self.thrown += len(data)
                    if self.thrown > LINGER_BYTES:
                        return
                    continue
                self.heard = clock.now()
                if self.begun is None:
                    self.begun = self.heard
                self.raw += data
                self.go_on()
                while len(self.raw) >= AHEAD and self.state != CLOSED:
                    # back-pressure: closing here would lose the open req. That the client has gone is seen by the sweep
                    self.room.clear()
                    self.room.wait()
        except OSError:
            self.door.counters["connection_broken"] += 1

    def go_on(self):
        """Takes what has come, up to the end of the next req."""
        if self.going:
            return
        self.going = True
        try:
            self._go_on()
        finally:
            self.going = False

    def _go_on(self):
        while (self.events or self.raw) and self.req is None and self.lingers is None and self.state == OPEN:
            if not self.events:
                data, self.raw = self.raw[:AHEAD], self.raw[AHEAD:]
                self.room.set()
                self.events.extend(self.reader.feed(data))
                continue
            event = self.events.popleft()
            if event[0] == "bad":
                self.refuse(400, "not HTTP/1.1: " + event[1])
            elif event[0] == "head":
                self._head(event[1])
            elif event[0] == "body":
                self.size += len(event[1])
                if self.size > messages.BODY_LIMIT:
                    self.refuse(413, "a body over %d bytes" % messages.BODY_LIMIT)
                elif sum(conn.size + len(conn.raw) for conn in self.door.conns.values()) > self.door.bytes_limit:
                    # guards the machine's memory against many large bodies at once; each alone is within its limit
                    self.refuse(503, "too many bytes are on their way")
                else:
                    self.body.append(event[1])
            elif event[0] == "end":
                self._whole()

    def _head(self, head):
        self.head, self.body, self.size, self.keep = head, [], 0, head.keep
        if head.method == "GET" and head.path in ("/ready", "/health"):
            return
        try:
            asks.check_head(head, self.door.groups)
        except asks.BadAsk as why:
            return self.refuse(why.status, str(why))
        if head.headers.get("expect", "").lower() == "100-continue":
            self.put(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _whole(self):
        head, body, begun = self.head, b"".join(self.body), min(self.begun or self.heard, self.heard)
        self.head, self.body = None, []
        self.begun = clock.now() if self.events or self.raw or self.reader.inside else None
        self.asked += 1
        if head.method == "GET":
            ready = self.door.ready() or head.path == "/health"
            return self.answer(200 if ready else 503, "ready" if ready else "not ready")
        try:
            ask = asks.ask(head, body)
        except asks.BadAsk as why:
            return self.refuse(why.status, str(why))
        if ask.id in self.door.hands.reqs:
            return self.refuse(409, "a req with this X-Request-ID is open")
        if len(self.door.hands.reqs) >= self.door.most_reqs:
            # guards the descriptors that the list's watch and calls to let go need: each open req may hold one at an engine
            self.door.counters["refused_over_bound"] += 1
            return self.answer(503, "too many reqs are open", self.door.come_back)
        self.req = self.door.hands.arrived(self, ask, begun)

    # ---- answering ----

    def answer(self, status, text, more=()):
        """The whole answer to what was read last; the next req may follow."""
        self.put(messages.plain(status, text, self._keeps(), more))
        self._answered()

    def refuse(self, status, text):
        """An error to a client that is not to be understood or not to be helped; the connection ends."""
        self.door.counters["refused_%d" % status] += 1
        self.put(messages.plain(status, text, False))
        self.linger()

    def begin_stream(self):
        self.streaming, self.keep = True, self._keeps()
        self.put(messages.stream_head(self.keep))

    def pass_on(self, data):
        self.put(http.chunk(data))

    def end_stream(self):
        self.put(http.chunk(b""))
        self.streaming = False
        self._answered()

    def cut(self):
        """A stream that broke: its end without the last chunk."""
        self.req = None
        self.linger()

    def _keeps(self):
        return self.keep and not self.door.leaving

    def _answered(self):
        self.req, self.size, self.since = None, 0, clock.now()
        self.begun = self.since if self.begun is not None else None  # what came meanwhile begins now
        if not self.keep or self.door.leaving:
            self.linger()
        else:
            self.go_on()

    # ---- sending ----

    def put(self, data):
        if self.state == CLOSED:
            return
        if not self.rest:
            try:
                data = self.line.send_now(data)
            except OSError:
                return self.close()
            if not data:
                return
            self.unsent_since = clock.now()
        self.rest += data
        if len(self.rest) > UNSENT_LIMIT:
            self.door.counters["connection_closed_unread"] += 1
            return self.close()
        if self.writer is None:
            self.writer = gevent.spawn(self._write)

    def _write(self):
        try:
            while self.rest and self.state != CLOSED:
                data, self.rest = self.rest[:CHUNK], self.rest[CHUNK:]
                self.line.sendall(data)
                self.unsent_since = clock.now()
        except OSError:
            self.close()
        finally:
            self.writer = self.unsent_since = None
            if self.lingers is not None:
                self.line.shut(socket.SHUT_WR)

    def linger(self):
        """Nothing more is said; the client is given the time to read what was."""
        if self.lingers is None:
            self.lingers = clock.now()
            self.events.clear()
            self.raw = b""
            self.room.set()
            self.head, self.body, self.size = None, [], 0
            if not self.rest:
                self.line.shut(socket.SHUT_WR)

    def close(self):
        """From any greenlet: the reading one sees the end and clears up."""
        if self.state != CLOSED:
            self.state = CLOSED
            self.room.set()
            self.line.shut(socket.SHUT_RDWR)


class Door:
    def __init__(self, listen, most, most_reqs, bytes_limit, groups, come_back, hands, counters, log):
        """`listen`: (host, port); `most`: connections that may be open; `most_reqs`: reqs; `bytes_limit`: bodies of all open and
        unfinished reqs together; `groups`: names of endpoint groups; `come_back`: headers of what is turned away over a bound."""
        self.most_reqs, self.come_back = most_reqs, come_back
        self.bytes_limit = bytes_limit
        self.most, self.groups, self.hands, self.counters, self.log = most, groups, hands, counters, log
        self.conns, self.begun, self.listens = {}, False, False
        self.stopping = self.leaving = False  # not ready any more; connections end with their answers
        self.server = StreamServer(listen, self._accepted, backlog=1024)
        self.server.max_accept = AT_ONCE

    def start(self):
        """Raises OSError when the address can't be had."""
        self.server.start()
        self.begun = self.listens = True

    def stop_listening(self):
        """What the system has accepted already is taken first: a close over it would reset reqs that their clients have sent."""
        if self.listens:
            self.listens = False
            try:
                while taken := self.server.do_read():
                    self.server.do_handle(*taken)
            except OSError:
                pass  # no descriptors: what is left is reset, and its clients come again elsewhere
            self.server.close()

    def ready(self):
        return self.begun and not self.stopping

    def _accepted(self, sock, _):
        now = clock.now()
        try:
            line = Line(None, None, made=sock)
        except OSError:
            return  # reset before it was taken
        conn = Conn(line, self, now)
        if len(self.conns) >= self.most and not self._make_room(now):
            self.counters["connection_over_bound"] += 1
            if len(self.conns) >= self.most + NEWCOMERS:
                line.close()
                return
            # its req is on its way: a close over it would reset the answer away, so it is read on for a moment
            conn.put(messages.plain(503, "too many connections", False, self.come_back))
            conn.linger()
        self.conns[id(conn)] = conn
        try:
            conn.read()
        except Exception as why:
            # a peer's bytes never end the process, and never leave a req behind
            self.counters["connection_failed"] += 1
            self.log.error("connection_failed", error="%s: %s" % (type(why).__name__, why))
        finally:
            conn.state = CLOSED
            self.conns.pop(id(conn), None)
            if conn.req is not None:
                self.hands.client_left(conn.req)
            if conn.writer is not None:
                conn.writer.kill(block=False)
            conn.reader.close()
            line.close()

    def _make_room(self, now):
        """Closes the connection of least use: silent from its start, then longest without a req, then with an old half of one.
        False if there is none. One on which something has come that nobody has read is not closed for another."""
        idle = [c for c in self.conns.values() if c.req is None and c.state == OPEN
                and (c.begun is None or c.lingers is not None or now - c.begun > HALF)]
        for conn in sorted(idle, key=lambda c: (c.lingers is None, c.begun is not None, c.asked > 0 or now - c.since < NEWCOMER, c.since)):
            if not conn.line.unread():
                self.counters["connection_made_room"] += 1
                conn.close()
                return True
        return False

    def sweep(self, now):
        for conn in list(self.conns.values()):
            if conn.lingers is not None:
                if now - conn.lingers > LINGER:
                    conn.close()
            elif conn.unsent_since is not None and now - conn.unsent_since > UNSENT_WITHIN:
                self.counters["connection_closed_unread"] += 1
                conn.close()
            elif conn.req is not None or conn.state != OPEN:
                if len(conn.raw) >= AHEAD and conn.line.ended():
                    conn.close()  # nobody reads there just now, and its client has gone
            elif conn.begun is not None and (now - conn.begun > WHOLE_WITHIN or not conn.asked and now - conn.since > WHOLE_WITHIN
                                             and now - conn.begun > PIECES):
                conn.refuse(408, "a req has to come whole within %.1f s" % (WHOLE_WITHIN / 1e6))
            elif conn.begun is None and now - conn.since > (IDLE_WITHIN if conn.asked else WHOLE_WITHIN) and conn.line.quiet():
                self.counters["connection_closed_idle"] += 1
                conn.close()

    def close_idle(self):
        """Not those on which something has come that nobody has read yet: closing over it would reset a req."""
        for conn in list(self.conns.values()):
            if conn.req is None and conn.lingers is None and conn.begun is None and conn.line.quiet():
                conn.close()
