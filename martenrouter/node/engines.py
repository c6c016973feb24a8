"""Forwards to engines: a greenlet carries each over one connection and says how it ended, in the module's
words.

What proves that nothing ran, besides the statuses of wire/platform/answers.py: no connection, or one that
broke before the last byte was written (unreachable), and what was never written (not sent). A connection that
breaks or ends later, and bytes that can't be read, prove nothing (reset). Nothing is sent twice here.
"""

import gevent

from martenrouter.edge import clock
from martenrouter.edge.lines import Broke, Stopped
from martenrouter.node.release_calls import ReleaseCalls
from martenrouter.wire.platform import answers, messages
from martenrouter.wire.platform.events import BadEvents, Events

TOLD_WITHIN = (
    100_000  # microseconds from telling an engine what is left to the request's last byte: 0.15 s are allowed
)
# microseconds beyond a state's limit in which a connection to its writer may still come up: of the 300 ms
# that sockets have more, 150 are for a process that is held up
CONNECTS_OVER = 80_000
CONNECTS_AT_LEAST = 20_000  # microseconds: what usual connections need
# microseconds: the answer of a machine that knows nothing of a connection comes within a round trip
AT_ONCE = 10_000
CLIENT_PAUSE = 0.02  # seconds between looks whether a client has taken what it had left


class AnswerStalls(Exception):
    """A read's answer has begun and was not whole in time."""


class PartialAnswer:
    """What has come of a server's answer. `body`: bytes that are no whole chunk yet; `whole_by`: of a read's
    answer that has begun, when it has to be whole."""

    def __init__(self, reader):
        self.reader, self.head, self.body, self.events, self.whole_by = reader, None, bytearray(), None, None

    @property
    def size(self):
        """Bytes that are held of it."""
        return len(self.body) + (self.events.held if self.events is not None else 0)


class Forward:
    """`n`: its number within the req; `at`: when it was decided; `writing_since`: when its first byte was
    written, `written`: when its last one was; `began`: when its first event came; `heard`: when whole events
    last did; `moved`: when any bytes of its answer last did. All of the node's clock. `reads`: whether it
    asks for a read, whatever the list says of its engine later."""

    def __init__(self, req, n, engine, at, until, reads=False):
        self.req, self.n, self.engine, self.reads = req, n, engine, reads
        self.at, self.until, self.heard, self.moved = at, until, at, at
        self.greenlet, self.began, self.ended, self.load = None, None, False, None
        self.writing_since = self.written = None
        self.connection = None  # once there is one
        self.why = self.idled = None  # idled: microseconds its connection had been unused, None for a new one
        self.half = False  # part of an event or of a chunk has come
        self.buffered = 0  # bytes of its answer that are held, as no whole event yet
        self.place = None  # (zone, cell) of its engine when it began; see guard.py
        self.arrived = None  # whether its last byte has reached the engine's machine; None: not looked yet
        # whether the engine's process has it, None where nobody knows; when it was probed, and the probe that
        # is out: see taken_attempts.py
        self.taken = self.probed_at = self.probe = None
        # an earlier attempt of its request may have left a state: its connection is to be shown to work first
        self.follows_left_state = False
        self.connection_answered = False  # whether it was shown, right before the attempt was written
        self.unanswered_logged = False  # whether the log has it as unanswered at its state's limit


class Engines(ReleaseCalls):
    local_ending = "not sent"  # it speaks against no server

    def __init__(self, kept, connect_within, release_within, releases, counters, log):
        """`connect_within`, `release_within`: microseconds, as the settings have them; `releases`: calls to
        release that may be out at once."""
        super().__init__(kept, connect_within, releases, counters, log)
        self.release_within = release_within
        self.out = {}

    def start(self, forward, hear):
        self.out[forward.req.id, forward.n] = forward
        forward.greenlet = gevent.spawn(self._carry, forward, hear)

    def stop(self, forward):
        self.out.pop((forward.req.id, forward.n), None)
        super().stop(forward)

    def _carry(self, f, hear):
        connection, clean, note = None, False, 0
        try:
            with gevent.Timeout(max(f.until - clock.now(), 1) / 1e6) as patience:
                connection = f.connection = self._connect_for(f)
                # connecting took time: the req may be over, its engine may drain by now, and a send counts
                # from its first byte
                if hear.may_still_send(f):
                    ending, note, clean = self._talk(f, connection, hear, patience)
                else:
                    ending, clean = "not sent", True
        except Stopped:
            return
        except gevent.Timeout:
            ending = "timed out" if f.written else "unreachable"
        except Broke as why:
            ending, f.why = why.ending, why.why
            self.counters["forward_" + why.why.partition(":")[0].replace(" ", "_")] += 1
        except Exception as why:
            # guards against a fault of this node: a forward without an end would be waited for to its req's
            # deadline
            ending, f.why = (
                "unreachable" if connection is None else "reset",
                "%s: %s" % (type(why).__name__, why),
            )
            self.counters["forward_failed"] += 1
            self.log.error("forward_failed", req=f.req.id, n=f.n, engine=f.engine, error=f.why)
        finally:
            self.out.pop((f.req.id, f.n), None)
            if connection is not None and not clean:
                connection.abort()  # a request that its engine has not got whole by now never gets there
        if clean:
            connection.given = clock.now()
            self._close(self.kept.give(connection.given, f.engine, connection))
        hear.ended(f, ending, note)

    def _connect_for(self, f):
        """A connection for the attempt. Where an earlier one may have left a state, a call to release has
        been answered over it: a later call shows then whether the server has the attempt (taken_attempts.py),
        and one to a server or over a connection that is silent is never written. Raises Broke."""
        within, id = self._connect_limit(f.req), self._id_to_release(f)
        connection = self._connect(f.engine, within=within)
        if id is None:
            return connection
        f.connection_answered = self._answers_over(connection, id, f.engine)
        if not f.connection_answered and connection.given is not None:  # the server may run all the same
            connection = self._connect(f.engine, within=within, fresh=True)
            f.connection_answered = self._answers_over(connection, id, f.engine)
        if not f.connection_answered:
            raise Broke("unreachable", "silent: no answer to a call to release")
        return connection

    def _connect_limit(self, req):
        """Seconds for a connection: a state behind it waits for as long as that takes, and no longer than a
        little over its limit."""
        if not req.holds or req.held_since is None:
            return self.connect_within
        left = req.held_since + self.release_within + CONNECTS_OVER - clock.now()
        return min(self.connect_within, max(left, CONNECTS_AT_LEAST) / 1e6)

    def _talk(self, f, connection, hear, patience):
        self._write(f, connection)
        f.idled = f.written - connection.given if connection.given else None
        reader = messages.Answers()
        try:
            return self._listen(f, connection, reader, hear, patience)
        finally:
            reader.close()

    def _write(self, f, connection):
        """Raises Broke where the server has not got the whole request by the time up to which what it was
        told of the deadline holds."""
        host = "%s:%d" % self.addresses.get(f.engine, ("gone", 0))
        told_at = f.writing_since = clock.now()

        def check():
            # between its parts others run: what held when the first went out may not any more, and none may
            # have been the last
            if not connection.quiet():
                raise Broke("unreachable", "unwritten: bytes came before it was whole")
            if clock.now() - told_at > TOLD_WITHIN:
                raise Broke(
                    "unreachable", "unwritten: slowly taken, and what was told of the deadline holds no more"
                )
            if f.ended or f.req.over is not None or f.req.conn.line.ended():
                raise Broke("not sent", "unwritten: its request is over")

        try:
            for part in answers.request_parts(f.req.ask, host, f.until - told_at):
                connection.sendall(part, check, check_within=TOLD_WITHIN / 1e6)
        except OSError as why:
            raise Broke("unreachable", "unwritten: %s" % why) from why
        f.written = clock.now()

    def _listen(self, f, connection, reader, hear, patience):
        answer = PartialAnswer(reader)
        try:
            while (outcome := self._hear_more(f, connection, answer, hear, patience)) is None:
                self._wait_for_client(f, hear)
                if answer.size != f.buffered:
                    hear.buffers(f, answer.size)
                if f.ended:
                    raise Stopped  # by what was held for it, in this very greenlet
            return outcome
        finally:
            hear.buffers(f, 0)

    @staticmethod
    def _wait_for_client(f, hear):
        """While its client leaves what came before and memory is short, the rest waits at its server, which
        is not silent then."""
        while f.began and not hear.may_read_on(f):
            gevent.sleep(CLIENT_PAUSE)
            f.heard = f.moved = clock.now()

    def _hear_more(self, f, connection, answer, hear, patience):
        """Takes in what comes next: (ending, note, whether the connection can be used again) once the answer
        is whole. Raises Broke. What came is not kept while the next is waited for."""
        data = self._next_of(f, connection, answer, hear.read_at_once)
        if data is None:
            return "read", 0, False  # the state waits there, whatever else was to be told
        if answer.head is None and connection.unsent():
            raise Broke(
                "unreachable", "unwritten: bytes came before it was whole"
            )  # it closes, and so never becomes whole
        f.moved = clock.now()
        if f.reads and answer.whole_by is None:
            answer.whole_by = f.moved + hear.desk.front.transfers.read_answer_within
        whole, came = [], answer.reader.feed(data)
        for at, event in enumerate(came, 1):
            if event[0] == "head":
                self._on_head(f, answer, event[1])
            elif event[0] == "body":
                answer.body += event[1]
            elif event[0] == "bad":
                self._pass_on(f, whole, hear, patience)
                raise Broke("reset", "unreadable: %s" % event[1])
            elif answer.events is not None and answer.body:
                try:
                    whole.append(answer.events.feed(bytes(answer.body)))
                except BadEvents as why:
                    self._pass_on(f, whole, hear, patience)
                    raise Broke("reset", "spoilt: %s" % why) from why
                answer.body.clear()
            if event[0] == "end":
                self._pass_on(f, whole, hear, patience)
                # what follows an answer was not asked for: the answer stands, the connection is done with
                is_last = at == len(came) and not answer.reader.inside
                return self._whole(f, answer, answer.head.keep and is_last and connection.quiet())
        self._pass_on(f, whole, hear, patience)
        self._check_rest(f, answer)
        return None

    def _next_of(self, f, connection, answer, most):
        """Up to `most()` bytes of the answer; None where a read has ended and the rest does not come. Raises
        Broke."""
        try:
            data = self._receive(connection, answer.whole_by, most)
        except AnswerStalls as why:
            if answer.head is not None and answer.head.status == answers.READ:
                return None
            raise Broke("reset", "half an answer") from why
        except OSError as why:
            self._kept_one(f, answer.head is None)
            raise Broke("reset", "broken: %s" % why) from why
        if not data:
            self._kept_one(f, answer.head is None)
            raise Broke("reset", "closed in mid-answer" if answer.head else "closed without an answer")
        return data

    def _on_head(self, f, answer, head):
        answer.head = head
        self._kept_one(f, False)
        f.load = answers.load(head.headers.get(answers.LOAD))
        answer.events = Events() if head.status == 200 else None

    @staticmethod
    def _whole(f, answer, clean):
        """What a whole answer is the end of. Raises Broke."""
        if answer.events is None:
            return (*answers.ending(answer.head, bytes(answer.body)), clean)
        if not answer.events.done:
            raise Broke("reset", "ended without its last event")
        f.load = answer.events.load or f.load
        return "done", answer.events.found, clean

    def _check_rest(self, f, answer):
        """Looks at what is no whole event yet. Raises Broke."""
        if len(answer.body) > messages.BODY_LIMIT:
            raise Broke("reset", "spoilt: more than %d bytes in one piece" % messages.BODY_LIMIT)
        if answer.events is not None:
            f.half = answer.reader.half or answer.events.inside
            if answer.body:
                self._check_half(answer.events, answer.body)

    @staticmethod
    def _receive(connection, whole_by, most):
        """Up to `most()` bytes, b"" at the end. Raises OSError, and AnswerStalls once it is `whole_by`,
        if that is set."""
        if whole_by is None:
            return connection.recv_some(most)
        with gevent.Timeout(max(whole_by - clock.now(), 1) / 1e6, AnswerStalls):
            return connection.recv_some(most)

    @staticmethod
    def _check_half(events, part):
        """`part`: what came of a chunk that is not whole. Raises Broke where no chunk of events begins so:
        a chunk whose size is too large swallows those behind it."""
        try:
            events.check(part)
        except BadEvents as why:
            raise Broke("reset", "spoilt: %s" % why) from why

    def _kept_one(self, f, broke):
        """Tells what became of a connection that had been kept. One that breaks long after the bytes went out
        is no sign: the engine had them."""
        if f.idled is not None:
            self.kept.tell(clock.now(), broke and clock.now() - f.written < AT_ONCE)

    def _pass_on(self, f, whole, hear, patience):
        data = b"".join(whole)
        whole.clear()
        if data:
            f.heard = clock.now()
            if not f.began:
                patience.close()  # from its first event on, the stream has no deadline
            hear.events(f, data)
