"""The door for clients: takes connections within a bound, closes those of no use, ends with the process.

Each connection has a greenlet of its own (client_connection.py); bad clients get an error or a close within
the platform's 3 s.
"""

import errno

import gevent

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.node.arrivals import LoopTurns
from martenrouter.node.client_connection import ClientConnection, ClientLeft, State
from martenrouter.node.fair_share import FairShare
from martenrouter.node.listener import SHORT_OF_RESOURCES, Listener
from martenrouter.node.transfer_memory import TransferMemory

# microseconds from a connection's start, or a request's first byte, to its last: 3 s are allowed
WHOLE_WITHIN = 2_200_000
# between requests: the platform allows a close after 2 s; some clients ask once and stay for good
IDLE_WITHIN = 3_000_000
LINGER = 600_000  # after the last answer: the client reads it before a close can reset it away
NEWCOMERS = 16  # connections over the bound that are read and answered: a part of the reserve of descriptors
NEWCOMER = (
    300_000  # a connection's first request is on its way for so long; older silent ones are closed first
)
PIECES = (
    500_000  # of a connection that was silent at first: its request may still come in pieces, within the 3 s
)


ACCEPT_LOGGED_EACH = 1_000_000  # microseconds between log lines of failed accepts; all are counted
SHORT_WAIT = 0.01  # seconds between tries to take what waits when no more will be taken later


class Door:
    def __init__(self, listen, most, most_reqs, budget, groups, come_back, transfers, hands, counters, log):
        """`listen`: (host, port); `most`: connections for which there are descriptors; `most_reqs`: reqs;
        `budget`: policy.memory.MemoryBudget; `groups`: names of endpoint groups; `come_back`: headers of what
        is turned away over a bound; `transfers`: the policy's bounds on what is on its way."""
        self.budget, self.most, self.most_reqs = budget, budget.connections(most), budget.requests(most_reqs)
        self.system_buffers = budget.system_buffers(self.most)
        self.come_back = come_back
        self.memory = TransferMemory(budget, transfers)
        self.groups, self.hands, self.counters, self.log = groups, hands, counters, log
        self.conns, self.begun, self.listens = {}, False, False
        self.accept_logged = -ACCEPT_LOGGED_EACH  # when a failed accept was last logged
        self.empties = False  # whether some may still wait to be taken, of which none comes any more
        self.stopping = self.leaving = False  # not ready any more; connections end with their answers
        self.transfers = transfers
        self.turns = LoopTurns()
        self.fair_share = FairShare(self.turns, transfers.read_turn)
        self.server = Listener(
            listen, self._accepted, self._full, self.turns, self._accept_failed, self.system_buffers
        )

    @property
    def most_now(self):
        """Connections that may be open, as memory is just now."""
        return self.budget.now(self.most, self.budget.connections_least)

    @property
    def most_reqs_now(self):
        """Requests that may be open, as memory is just now."""
        return self.budget.now(self.most_reqs, self.budget.requests_least)

    def start(self):
        """Raises OSError when the address can't be had."""
        self.turns.start()
        self.server.start()
        self.begun = self.listens = True

    def stop_listening(self):
        """What the system has accepted already is taken first: a close over it would reset reqs that their
        clients have sent."""
        if self.listens:
            self.listens, self.empties = False, True
            gevent.spawn(self._take_all_and_close)

    def _take_all_and_close(self):
        while True:
            try:
                taken = self.server.do_read()
            except OSError:
                break  # nothing more can come from it
            if taken:
                self.server.do_handle(*taken)
            elif self.server.short:
                gevent.sleep(SHORT_WAIT)
            else:
                break
        self.server.close()
        self.empties = False

    def _accept_failed(self, why):
        now = clock.now()
        self.counters["accept_failed"] += 1
        if now >= self.accept_logged + ACCEPT_LOGGED_EACH:
            self.accept_logged = now
            name = errno.errorcode.get(why.errno, str(why))
            self.log.warning("accept_failed", error=name, open=len(self.conns))
        if why.errno in SHORT_OF_RESOURCES:
            self._make_room(now)

    def sees_end(self, line):
        """Whether the end of a client's connection would be seen behind what stands unread on it."""
        return self.transfers.sees_end(line.unread_bytes(), self.server.receive_buffer)

    def ready(self):
        return self.begun and not self.stopping and self.hands.ready()

    def _full(self):
        """Whether not even a newcomer can be answered: what is in the system's queue waits until one has
        been."""
        if len(self.conns) < self.most_now + NEWCOMERS:
            return False
        return not self._make_room(clock.now()) and not self._displace_reader(self.conns.values())

    def gives_places_round(self):
        """Whether connections wait for places that only answered requests can free."""
        return self.listens and self.server.is_held

    def keep_within_memory(self):
        """Ends what the policy names while more is held than may be; each alone is within its limit."""
        while self.memory.is_over:
            now = clock.now()
            unfinished = (conn for conn in self.conns.values() if conn.state is State.READING)
            waiting = (conn for conn in self.conns.values() if conn.left)
            attempts = (attempt for attempt in self.hands.engines.out.values() if attempt.buffered)
            holder = self.transfers.first_to_go(unfinished, waiting, attempts, now)
            if holder is None:
                return
            self._end_for_memory(holder)

    def _end_for_memory(self, holder):
        if not isinstance(holder, ClientConnection):
            self.counters["answer_ended_for_memory"] += 1
            self.hands.end_for_memory(holder)
        elif holder.state is State.READING:
            self.counters["refused_for_memory"] += 1
            holder.refuse(503, "too many bytes are on their way", self.come_back)
        else:
            self.counters["connection_closed_for_memory"] += 1
            self._close_unread(holder, "its answer is left unread, and memory is short")

    def _accepted(self, sock, came):
        now = clock.now()
        try:
            line = Line(None, None, made=sock)
        except OSError:
            return  # reset before it was taken
        conn = ClientConnection(line, self, now, came)
        if len(self.conns) >= self.most_now and not self._make_room(now):
            # its request is on its way: it is read and refused, as a close over it would leave it without an
            # answer
            self.counters["connection_over_bound"] += 1
            conn.over_bound = True
        self.conns[id(conn)] = conn
        try:
            self._serve(conn)
        finally:
            self._over(conn)

    def _serve(self, conn):
        try:
            conn.serve()
        except ClientLeft:
            return
        except OSError:
            self.counters["connection_broken"] += 1
        except Exception as why:
            # a peer's bytes never end the process, and never leave a request without an answer
            self.counters["connection_failed"] += 1
            self.log.error("connection_failed", error="%s: %s" % (type(why).__name__, why))
            conn.fail()
            self._wait_after_fault(conn)

    @staticmethod
    def _wait_after_fault(conn):
        try:
            conn.wait_for_close()
        except Exception:
            return  # the client left, or the fault lasts: the answer has been given

    def _over(self, conn):
        request, conn.request = conn.request, None
        self.forget(conn)
        if request is not None:
            self.hands.client_left(request)
        conn.free()
        if self.listens:
            self.server.resume()

    def closes(self, conn, why):
        """One is about to be closed from this side."""
        self.log.debug("connection_closed", why=why, state=conn.state.value, requests=conn.asked)
        self.hands.guard.closes(conn)

    def forget(self, conn):
        """It is closed, and takes no room any more."""
        self.conns.pop(id(conn), None)

    def _make_room(self, now):
        """Whether a place is free by now. If nobody can be closed, requests that are not whole are refused;
        their places are free once their clients have got the answers. As many leave at once as newcomers are
        read."""
        if self._close_of_least_use(now):
            return True
        leaving = sum(conn.state in (State.DISCARDING, State.CLOSING) for conn in self.conns.values())
        for _ in range(NEWCOMERS - leaving):
            if not self._refuse_unfinished(now):
                break
        return False

    def _close_of_least_use(self, now):
        """Closes the connection of least use: one whose last answer is out, silent from its start, then
        longest without a request. False if there is none. One on which something has come that nobody has
        read is not closed for another."""
        idle = [
            conn
            for conn in self.conns.values()
            if conn.state is State.IDLE and conn.buffer.empty or conn.closing_since is not None
        ]
        for conn in sorted(
            idle, key=lambda c: (c.closing_since is None, c.asked > 0 or now - c.since < NEWCOMER, c.since)
        ):
            if conn.closing_since is not None or not conn.line.unread():
                self.counters["connection_made_room"] += 1
                conn.close("room for another")
                return True
        return False

    def _refuse_unfinished(self, now):
        """Refuses a request that is not whole: one that would be anyway, or an old one. False if there is
        none."""
        unfinished = (conn for conn in self.conns.values() if conn.state is State.READING)
        conn = self.transfers.refused_for_newcomer(unfinished, now)
        if conn is None:
            return False
        self.counters["connection_made_room"] += 1
        conn.refuse(503, "too many connections", self.come_back)
        return True

    def make_room_for_whole(self, newcomer):
        """Whether a connection over the bound, whose request is whole, has got the place of another whose
        request is not."""
        unfinished = (
            conn for conn in self.conns.values() if conn.state is State.READING and not conn.over_bound
        )
        conn = self.transfers.displaced_first(unfinished)
        if conn is not None:
            self.counters["connection_made_room"] += 1
            conn.refuse(503, "too many connections", self.come_back)
        elif not self._displace_reader(self.conns.values()):
            return False
        newcomer.over_bound = False
        return True

    def make_room_for_request(self):
        """Whether a whole request has got the place of one whose client takes nothing of its stream."""
        return self._displace_reader(conn for conn in self.conns.values() if conn.streaming)

    def _displace_reader(self, conns):
        waiting = (conn for conn in conns if conn.waits_since is not None)
        conn = self.transfers.displaced_reader(waiting, clock.now())
        if conn is None:
            return False
        self.counters["connection_closed_unread"] += 1
        self._close_unread(conn, "its client takes nothing, and another wants its place")
        return True

    def sweep(self, now):
        if self.listens:
            self.server.resume()  # connections may have come to rest, none of which has ended
        for conn in list(self.conns.values()):
            try:
                self._look_at(conn, now)
            except Exception as why:
                # the others are looked at all the same
                self.counters["connection_failed"] += 1
                self.log.error("connection_failed", error="%s: %s" % (type(why).__name__, why))
                conn.close("a fault in looking at it")
        self.keep_within_memory()
        if self.budget.part < 1:
            self._make_fewer(now)

    def _make_fewer(self, now):
        """Memory is short: there may be fewer connections than there are."""
        for _ in range(len(self.conns) - self.most_now - NEWCOMERS):
            if not self._close_of_least_use(now) and not self._refuse_unfinished(now):
                return

    def _close_unread(self, conn, why):
        """Its client leaves its answer: a stream that still runs is given up, and ends in the log too."""
        if conn.streaming:
            self.hands.given_up_unread(conn.request)
        conn.close(why)

    def _look_at(self, conn, now):
        conn.look_at_unsent(now)
        if conn.waits_since is not None and self.transfers.takes_nothing(conn.waits_since, now):
            self.counters["connection_closed_unread"] += 1
            self._close_unread(conn, "its client takes nothing")
        elif conn.closing_since is not None and now - conn.closing_since > LINGER:
            conn.close("after its last answer")
        elif conn.state is State.SERVING and conn.arrivals.pending or conn.state is State.CLOSING:
            conn.changed.set()  # it looks whether its client has gone, behind bytes that nobody has read
        elif conn.state is State.READING:
            self._look_at_unfinished(conn, now)
        elif conn.state is State.IDLE and conn.buffer.empty and conn.line.quiet():
            if now - conn.since > (IDLE_WITHIN if conn.asked else WHOLE_WITHIN):
                self.counters["connection_closed_idle"] += 1
                conn.close("idle")

    def _look_at_unfinished(self, conn, now):
        reading = now - conn.reading_since
        if reading > WHOLE_WITHIN or not conn.asked and now - conn.since > WHOLE_WITHIN and reading > PIECES:
            conn.refuse(408, "a request has to come whole within %.1f s" % (WHOLE_WITHIN / 1e6))

    def retire(self):
        """A stop ends connections between requests and refuses requests that are not whole."""
        for conn in list(self.conns.values()):
            conn.retire()
