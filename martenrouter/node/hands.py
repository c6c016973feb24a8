"""What the module decides is done here, and what is seen on the sockets is told to it: the facts of each req,
no choices.

Each req gets one final answer: done (its stream's end passed on), pushed back, or aborted. After it nothing
is sent for it but calls that let go of what is held.
"""

import math

from martenrouter.edge import clock
from martenrouter.edge.lines import Broke, Stopped
from martenrouter.node.engines import Forward
from martenrouter.node.guard import Guard, Reason
from martenrouter.node.held_states import HeldStates
from martenrouter.node.load import Load
from martenrouter.rules import GiveUp

LOOKS = 50_000  # microseconds between looks at what no event tells (node/life.py)
LONG = 60_000_000  # microseconds that a stream may go on of which nothing is known
LEAVES_NOTHING = (
    "read",
    "unreachable",
    "not sent",
    "full",
)  # any other end of a read may leave a state behind
UNANSWERED = ("cancelled", "timed out", "reset")  # nothing has shown that its server is done with it
# endings of a decode attempt that only a server's process can cause: no other shows that it has the call
SERVER_ANSWERED = ("done", "error", "full")

# seconds from what leaves a state to the calls that let go of it, 300 ms being the limit. Where nobody knows
# whether there is one, its like may be sent in the next round, and the first call waits for that
AT_ONCE_AND_AGAIN, LATER_AND_AGAIN = (0, 0.1), (0.02, 0.12)


class Req:
    def __init__(self, ask, conn, arrived, deadline):
        self.ask, self.id, self.conn, self.arrived, self.deadline = ask, ask.id, conn, arrived, deadline
        self.forwards, self.used = {}, 0
        self.reader = None  # where its state is or may be
        self.streams = None  # the forward whose events go to the client
        self.holds = False  # whether a read has ended and nothing has taken its state, as far as is known
        self.repeat_by = None  # a keyed one that may have run: no further forward to a writer begins later
        self.doubtful = (
            False  # whether there may be a state all the same: a read broke, or a writer could not get it
        )
        self.may_have_left = False  # whether a read ended that may have left a state, released since or not
        self.left_since = None  # when an attempt ended that may have left a state; no release answered since
        self.may_have_run = {}  # n -> an attempt that is no read, from its first byte on; kept by the guard
        self.held_since = None  # when the read ended whose state nothing has taken or released yet
        self.history = []  # of its attempts that ended: (n, engine, ending, milliseconds)
        self.first_attempt_after = None  # microseconds from its arrival to the decision
        self.state_waited = None  # microseconds from its read's end to the attempt at a decode server
        self.why = None  # why it was given up, in the policy's words
        self.over = None  # its final answer: done, pushed back, aborted, broken or gone


class Hands:
    """`desk`, `door`, `engines`, `phases` are set by the node that these are the hands of."""

    def __init__(self, settings, counters, log):
        self.settings, self.counters, self.log = settings, counters, log
        self.leaving = []
        self.windows = {
            group.get("name"): group.get("repeat_window", 0)
            for group in settings.get("groups", ())
            if group.get("effect") == "keyed"
        }
        self.customers = {customer.get("name") for customer in settings.get("customers", ())}
        self.all_by = (
            None  # a planned stop: when every answer has to be out, whatever deadline its client gave
        )
        self.guard = Guard(settings, counters, log)
        self.load = Load(log, clock.now(), LOOKS, counters)
        self.states = HeldStates(settings, counters, log)
        self.reqs, self.roles = {}, dict(zip(settings.get("kinds", ()), settings.get("role_by_kind", ())))
        self.phases, self.kinds = self.guard.phases, {}  # engine -> its phase and kind, as last told

    # ---- from the door ----

    def arrived(self, conn, ask, at):
        """A whole req was read; `at`: when its first bytes were, the latest that it can have been sent."""
        deadline = at + ask.timeout if self.all_by is None else min(at + ask.timeout, self.all_by)
        r = self.reqs[ask.id] = Req(ask, conn, at, deadline)
        self.counters["reqs"] += 1
        self.log.debug(
            "req_arrived",
            req=r.id,
            group=ask.group,
            session=ask.session,
            left=r.deadline - clock.now(),
            flags=ask.flags,
            prefix=ask.prefix,
            prompt=ask.prompt,
            shared=ask.shared,
        )
        customer = (
            ask.customer if ask.customer in self.customers else None
        )  # others would be remembered for good
        self.desk.post(
            "arrived",
            r.id,
            ask.group,
            customer,
            ask.session,
            r.deadline,
            ask.hint,
            ask.prefix,
            ask.prompt,
            ask.shared,
            ask.max_out,
            ask.flags,
        )
        return r

    def may_take(self, id):
        """Whether a request of this id may be taken: none of that id is open, nor may one have had an effect
        that must not be repeated."""
        return id not in self.reqs and self.desk.front.repeated_ids.may_run(id)

    def answer_all_by(self, at):
        """Guards against a kill that comes before a deadline: reqs that are open and all that come later are
        to be answered by then. A stream that has begun has no deadline any more."""
        self.all_by = at
        for r in self.reqs.values():
            if r.over is None and r.streams is None and r.deadline > at:
                r.deadline = at
                self.desk.post("due", r.id, at)

    def client_left(self, r):
        if r.over is None:
            self._finish(r, "gone")
            self.desk.post("gone", r.id)
            if r.streams:
                # the module leaves a stream that has started alone; nobody reads this one, so it ends
                self.engines.stop(r.streams)
                self._end(r.streams, "cancelled", 0)

    # ---- decisions of the module ----

    def forward(self, id, engine, time_out):
        r = self.reqs.get(id)
        if r is None:
            return  # its end is in the inbox: a round that failed had not come to it
        now = clock.now()
        f = Forward(
            r,
            r.used,
            engine,
            now,
            min(r.deadline, now + time_out) if time_out else r.deadline,
            self.reads(engine),
        )
        r.used += 1
        r.forwards[f.n] = f
        self._note_waits(r, f, now)
        self.log.debug("forward", req=id, n=f.n, engine=engine)
        if r.over or engine not in self.engines.addresses:
            return self._end(f, "not sent", 0)
        if f.reads:
            r.reader = engine
            f.follows_left_state = r.may_have_left
        self.engines.start(f, self)

    def _note_waits(self, r, f, now):
        if f.n == 0:
            r.first_attempt_after = now - r.arrived
            self.load.first_attempt(r.first_attempt_after)
        if not f.reads and r.held_since is not None:
            r.state_waited = now - r.held_since
            self.load.state_waited(r.state_waited)

    def push_back(self, id, wait):
        r = self.reqs.get(id)
        if r and r.over is None and r.streams is None:
            r.why = self.desk.front.given_up_for
            told = [("retry-after", "%.3f" % (math.ceil(wait / 1000) / 1000))] if wait else ()
            self._finish(r, "pushed back", 503, "pushed back: trying again is harmless", told)

    def abort(self, id):
        r = self.reqs.get(id)
        if r and r.over is None and r.streams is None:
            r.why = self.desk.front.given_up_for
            self._finish(r, "aborted", 502, "aborted: it may have run")

    def cancel(self, id, n):
        r = self.reqs.get(id)
        f = r and r.forwards.get(n)
        if f and not f.began and not f.ended:
            self.engines.stop(f)
            self._end(f, "cancelled", 0)

    def let_go(self, id):
        r = self.reqs.get(id)
        if r and r.reader:
            now = clock.now()
            held = None if r.held_since is None else now - r.held_since
            if held is not None:
                self.load.state_waited(held)
            self.states.released(r, now)
            self.log.info("state_released", req=id, reader=r.reader, held=held, attempts_out=len(r.forwards))
            r.holds, r.held_since = False, None
            self._clear(r, AT_ONCE_AND_AGAIN, r.reader)

    def wake(self, mark, after):
        self.desk.wake(mark, after)

    def subscribe(self):
        """The watch of the list runs from the start."""

    # ---- from forwards ----

    def reads(self, engine):
        return self.roles.get(self.kinds.get(engine)) == "read"

    def may_still_send(self, f):
        """The last look before the first byte. The loop may be behind with reading that the client has
        closed, and nothing may begin for it by then."""
        why = self.guard.refuses(f, clock.now())
        if why is Reason.CLIENT_UNSEEN:
            self.desk.post("client_unseen", f.req.id)
        if why is not None:
            return False
        self.guard.begins(f)
        return True

    def events(self, f, data):
        """Whole events came. The first ones make this the forward whose stream the client gets."""
        r = f.req
        if f.ended:
            # its end has been said and its greenlet is to be stopped, but what had come already got here
            # first: the module may have another one out by now
            raise Stopped
        if not f.began:
            if r.over or r.streams:
                raise Broke("cancelled", "late")
            f.began, r.streams, r.held_since, r.left_since = clock.now(), f, None, None
            self.desk.post("first_token", r.id, f.n, f.engine, clock.now() - f.at)
            for other in list(r.forwards.values()):
                if other is not f:
                    self.engines.stop(other)
                    self._end(other, "cancelled", 0)
            r.conn.begin_stream()
        r.conn.pass_on(data)

    def ended(self, f, ending, note):
        if not f.ended:
            self._end(f, ending, note)

    def _end(self, f, ending, note):
        r = f.req
        f.ended = True
        elapsed = clock.now() - f.at
        r.forwards.pop(f.n, None)
        if r.streams is f and r.over is None:
            self._finish(r, "done" if ending == "done" else "broken")
        self.counters["ended_" + ending.replace(" ", "_")] += 1
        self.log.debug(
            "forward_ended",
            req=r.id,
            n=f.n,
            engine=f.engine,
            ending=ending,
            note=note,
            took=elapsed,
            load=f.load,
            why=f.why,
            idled=f.idled,
        )
        came = self.door.turns.earliest() if ending == "read" else clock.now()
        self.desk.post(
            "outcome", r.id, f.n, ending, f.engine, elapsed, r.over is not None, note, f.load, came
        )
        self.guard.ended(f, ending in LEAVES_NOTHING)
        r.history.append((f.n, f.engine, ending, elapsed // 1000))
        may_hold = f.reads or r.reader is not None  # servers that do both leave no state
        if may_hold and ending in UNANSWERED and f.written is not None and not f.began:
            self.engines.owed.owe(r.id, f.engine, f.reads)
        if f.reads:
            r.may_have_left = r.may_have_left or ending not in LEAVES_NOTHING or ending == "read"
            r.holds = ending == "read"
            r.held_since = came if r.holds else None
            r.doubtful = r.doubtful or ending not in LEAVES_NOTHING
        elif ending == "full" and note == 1:
            # its reader may only be cut off from that writer, and hold the state all the same
            r.holds, r.held_since, r.doubtful = False, None, True
        elif r.held_since is not None and ending in SERVER_ANSWERED:
            r.held_since = clock.now()  # the state has been waited for, and waits anew
        if ending == "read" or ending in SERVER_ANSWERED:
            self.states.answered(r, clock.now())
        if (
            not f.reads
            and ending not in LEAVES_NOTHING
            and r.repeat_by is None
            and r.ask.group in self.windows
        ):
            # counted as the module does, from its decision; two rounds for what lies between a send and its
            # engine
            r.repeat_by = f.at + self.windows[r.ask.group] - 2 * self.settings.get("round", 0)
        if r.doubtful and not r.holds and r.streams is None:
            self.states.may_be_left(r, f, ending, clock.now())
            self._clear(r, LATER_AND_AGAIN)
        self._forget(r)

    def _clear(self, r, after, first=None):
        """Releases its states twice, as the first call may come before a server has seen a connection close.
        It is not done where it would lose the state of a later attempt. `first` is the engine of a read that
        ended well; where one broke, its engine may be silent, and the policy says whom to ask."""
        used = r.used

        def still():
            if r.holds or r.over or r.streams is not None:
                return self._may_release(r, [])
            later = [f for f in r.forwards.values() if f.n >= used]
            return self._may_release(r, [f for f in later if self.engines.taken.find_out(f)])

        def answered(asked_at):
            self.states.release_answered(r, asked_at)

        self.engines.let_go(r.id, first, self.desk.front.release_order, after, still, answered)

    def _may_release(self, r, later):
        """Whether a call to release loses nothing: neither the state of a read that ended well, nor what the
        attempts `later`, which servers have taken, still need. Only bytes that were written hold nothing up:
        it takes an answer to show that a process has them."""
        if r.holds or later:
            r.doubtful = True  # to be released when they end
            self.states.withheld(r, later)
        return not (r.holds or later) and r.streams is None

    def state_wanted(self, id):
        """Whether a state of the request waits to be taken, or an attempt at it is out that a server may have
        taken."""
        r = self.reqs.get(id)
        if r is None or r.streams is not None or r.over:
            return False
        out = [f for f in r.forwards.values() if f.written is not None]
        return r.holds or any(self.engines.taken.known(f) is not False for f in out)

    def move_streams(self, after, moved, part):
        """Running streams end here, and their clients ask for the rest at another front: those that would end
        after the time
        `after`, by their clients' hints, latest first, until with `moved` before them `part` of all are.
        Returns how many."""
        running = [(f.began + (f.req.ask.hint or LONG), f) for f in self.engines.out.values() if f.began]
        late = sorted((pair for pair in running if pair[0] > after), key=lambda pair: -pair[0])
        due = late[: max(math.ceil((moved + len(late)) * part) - moved, 0)]
        for _, f in due:
            self.counters["streams_moved"] += 1
            self.engines.stop(f)
            self._end(f, "cancelled", 0)
        return len(due)

    def buffers(self, f, size):
        """So many bytes of the attempt's answer are held, as no whole event yet."""
        self.door.memory.half_heard += size - f.buffered
        f.buffered = size
        if size:
            self.door.keep_within_memory()

    def may_read_on(self, f):
        """Whether more of the attempt's answer may be read, as its client takes it."""
        if f.ended:
            return True
        f.req.conn.look_at_unsent(clock.now())
        most = self._read_ahead()
        return most is None or len(f.req.conn.buffer) <= most

    def read_at_once(self):
        """Bytes of an answer that are read in one go."""
        return self._read_ahead() or self.door.transfers.read_at_once

    def _read_ahead(self):
        return self.door.memory.read_ahead(self.door.most_reqs)

    # ---- ends of reqs ----

    def given_up_unread(self, r):
        """The client takes nothing of its running stream, for which there is no room any more."""
        r.why = GiveUp.CLIENT_TAKES_NOTHING
        self.engines.stop(r.streams)
        self._end(r.streams, "cancelled", 0)

    def end_for_memory(self, f):
        """The attempt's answer can't be held: its request ends with it, as no other attempt would find more
        room."""
        self.engines.stop(f)
        self.buffers(f, 0)
        if f.req.over is None and f.req.streams is None:
            f.req.why = GiveUp.MEMORY_SHORT
            self._finish(f.req, "aborted", 502, "aborted: no memory for its answer; it may have run")
            self.desk.post("gone", f.req.id)
        if not f.ended:
            self._end(f, "cancelled", 0)

    def failed(self, r):
        """A fault of this process at the request's connection: it gets its final answer all the same."""
        if r.over is None:
            if r.streams:
                self.engines.stop(r.streams)
                self._end(r.streams, "cancelled", 0)
            else:
                self._finish(r, "aborted", 500, "the router failed")
                self.desk.post("gone", r.id)

    def _finish(self, r, over, status=None, text=None, more=()):
        r.over = over
        if over == "done":
            self.engines.taken.served = r.id
        if status:
            r.conn.answer(status, text, more)
        elif over == "done":
            r.conn.end_stream()
        elif over == "broken":
            r.conn.cut()
        self._stop_unwritten(r)
        self.counters["over_" + over.replace(" ", "_")] += 1
        self.log.info(
            "req_over",
            req=r.id,
            over=over,
            took=clock.now() - r.arrived,
            left=r.deadline - clock.now(),
            forwards=r.used,
            engine=r.streams.engine if r.streams else None,
            first_attempt_after=r.first_attempt_after,
            state_waited=r.state_waited,
            **({} if over == "done" else {"why": r.why, "history": r.history}),
        )
        if r.doubtful and r.streams is None:
            self._clear(r, LATER_AND_AGAIN)
        self._forget(r)

    def _stop_unwritten(self, r):
        """An attempt begins with its last byte: one that its engine has not got whole by the end of its
        request never begins, also where nothing may be cancelled."""
        for f in list(r.forwards.values()):
            if f.written is None:
                self.engines.stop(f)
                self._end(f, "not sent", 0)
            elif not f.began and f.connection is not None and f.connection.unsent():
                self.engines.stop(f)
                self._end(f, "reset", 0)  # the last byte may be there by now

    def _forget(self, r):
        if r.over and not r.forwards:
            self.leaving.append(r)

    def round_over(self):
        """Reqs leave here and not in mid-round: the module lets go of what is held right after it cancels the
        last forward."""
        leaving, self.leaving = self.leaving, []
        for r in leaving:
            if self.reqs.get(r.id) is r:
                del self.reqs[r.id]
            effect = self.desk.front.groups[r.ask.group].get("effect")
            self.desk.front.repeated_ids.ended(r.id, effect, bool(r.may_have_run))
            # they hold each other, and the request's body: freed by count, as the collector seldom looks
            r.streams = None
            r.may_have_run.clear()

    def look_after(self, now):
        """What no event tells: a req past its deadline, a stream that has gone silent, a send that does not
        arrive."""
        self.states.look(self.engines.out.values(), self.desk, now)
        self.states.look_for_overdue(self.reqs.values(), now)
        self.guard.look(self.reqs.values(), now)
        for f in list(self.engines.out.values()):
            if f.began and self.desk.front.transfers.is_stalled(f, now):
                self.counters["streams_silent"] += 1
                self.engines.stop(f)
                self._end(f, "reset", 0)
        early = (
            LOOKS if self.desk.failed else 0
        )  # the module answers before the deadline, unless its rounds fail
        for r in list(self.reqs.values()):
            if now >= r.deadline - early and r.over is None and r.streams is None:
                # guards against a round that failed: the module answers before the deadline by itself
                self.counters["answered_late"] += 1
                self._finish(r, "aborted", 504, "no answer within X-Timeout-Ms")
                self.desk.post("gone", r.id)
