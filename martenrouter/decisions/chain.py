"""All decisions of one front, called once a round: admission, the module, begun streams, the stop.

`Chain.turn(now, inbox, out)` is called like the module and takes its calls, and besides:

    arrived(id, …, connection)   the module's `arrived` with the deadline of the whole answer and the connection after it
    flowed(counts)               tokens of begun streams since the last round
    swamped(id)                  a client reads too slowly
    stop()                       nothing new from now on

`out` takes the module's decisions, and besides: `push_back` and `abort` with a reason as a further argument, and
`end_stream(id, n)`, which closes a begun forward. One logic decides wherever it runs: the edge's own process, a planner,
the laboratory.
"""
from martenrouter.decisions.admission import Admission
from martenrouter.decisions.streams import Streams
from martenrouter.rules import Front

STREAM_LOOK = 200_000  # stalls are judged in seconds; looking each fifth of one is early enough


class Chain:
    def __init__(self, seed, module_settings, settings):
        self.front = Front(seed, module_settings)
        self.admission, self.streams = Admission(settings), Streams(settings)
        self.settings, self.groups = settings, settings["groups"]
        self.whole = {}      # open req -> (group, deadline of the whole answer)
        self.stop_by = None
        self.looked, self.wake_at = 0, 0
        self.stream_due = None  # when a begun stream is next to be looked at; computed at each look, not each round

    def turn(self, now, inbox, out):
        self.now, self.out = now, out
        inner = []
        for call, arguments in inbox:
            take = getattr(self, "_" + call, None)
            if take is None or take(inner, *arguments):
                inner.append((call, arguments))
        if inner or self.front.live:
            self.front.turn(now, inner, _Reasons(self))
        self._look_at_streams()
        if self.stop_by is not None and now >= self.stop_by:
            self._end_all()
        self._set_wake()

    # ---- calls that concern more than the module: True hands the call on to it as it is ----

    def _arrived(self, inner, id, group, customer, session, deadline, hint, prefix, prompt, shared, max_out, flags,
                 connection):
        refused = self.admission.arrived(self.now, id, group, connection, deadline)
        if refused:
            self.out.push_back(id, refused[1], refused[0])
            return False
        self.whole[id] = group, deadline
        first = self.now + self.groups[group]["first_token_within"]
        inner.append(("arrived", (id, group, customer, session, min(deadline, first), hint, prefix, prompt, shared,
                                  max_out, flags)))
        return False

    def _first_token(self, inner, id, n, engine, elapsed):
        if id in self.whole:
            group, deadline = self.whole[id]
            self.streams.began(self.now, id, group, deadline, engine, n)
            if self.stream_due is not None and deadline < self.stream_due:
                self.stream_due = None  # a deadline before the next look
        return True

    def _outcome(self, inner, id, n, ending, engine, elapsed, final, note, load):
        stream = self.streams.open.get(id)
        if stream and stream[3] == n:
            if ending == "done":
                self.streams.ended(id)
            else:
                # a begun stream that breaks can't be taken up elsewhere: its req ends with it
                self._give_up(id, self.streams.broke(self.now, id, ending))
                final = True
        if ending == "done":
            self._closed(id)
        inner.append(("outcome", (id, n, ending, engine, elapsed, final, note, load)))
        return False

    def _gone(self, inner, id):
        self.streams.ended(id)
        self._closed(id)
        return True

    def _flowed(self, inner, counts):
        self.streams.flowed(self.now, counts)
        return False

    def _swamped(self, inner, id):
        stream = self.streams.open.get(id)
        if stream:
            n = stream[3]
            self._give_up(id, self.streams.swamped(self.now, id))
            self.out.end_stream(id, n)
        return False

    def _stop(self, inner):
        self.admission.stopping = True
        self.stop_by = self.now + self.settings["stop_within"] * 4 // 5  # the rest is for the answers to get out
        return False

    def _look(self, inner):
        return False

    # ---- how it is decided ----

    def _closed(self, id):
        self.whole.pop(id, None)
        self.admission.ended_one(self.now, id)

    def _give_up(self, id, answer):
        harmless, reason, wait = answer
        if harmless:
            self.out.push_back(id, wait, reason)
        else:
            self.out.abort(id, reason)
        self._closed(id)

    def _look_at_streams(self):
        if not self.streams.open:
            self.stream_due = None
        elif self.stream_due is None or self.now >= self.stream_due:
            for id, engine, n, answer in self.streams.due(self.now):
                self._give_up(id, answer)
                self.out.end_stream(id, n)
            due = self.streams.next_due(self.now)
            self.stream_due = due and min(due, self.now + STREAM_LOOK)

    def _end_all(self):
        """What is still open when the time to stop has come is answered: pushed back where that is harmless."""
        for id in list(self.whole):
            stream = self.streams.open.get(id)
            if stream:
                n = stream[3]
                self._give_up(id, self.streams.swamped(self.now, id)[:1] + ("stopping", 0))
                self.out.end_stream(id, n)
            elif id in self.front.reqs:
                self.front.now, self.front.out = self.now, _Reasons(self, "stopping")
                self.front.give_up(self.front.reqs[id])
        self.stop_by = None if not self.whole else self.stop_by

    def _set_wake(self):
        times = [time for time in (self.stop_by, self.stream_due) if time is not None]
        if not times:
            return
        due = max(min(times), self.now + 1)
        if due < self.wake_at or self.wake_at <= self.now:
            self.wake_at = due
            self.out.wake_chain(due - self.now)


class _Reasons:
    """The module's writer: what it gives up on is no longer open, and its answers get a reason."""

    def __init__(self, chain, reason=None):
        self.chain, self.out, self.reason = chain, chain.out, reason

    def __getattr__(self, name):
        return getattr(self.out, name)

    def push_back(self, id, wait):
        self.chain._closed(id)
        self.out.push_back(id, wait, self.reason or "no engine answers in time")

    def abort(self, id):
        self.chain._closed(id)
        self.out.abort(id, self.reason or "no engine answers in time, and it may have run")
