"""All decisions of one front, called once a round: admission, the module, begun streams, conversations, the
stop.

`Chain.turn(now, inbox, out)` is called like the module and takes its calls, and besides:

    arrived(id, …, connection)   the module's `arrived` with the deadline of the whole answer and the
    connection after it flowed(counts)               tokens of begun streams since the last round
    swamped(id)                  a client reads too slowly
    call(id, call, name, repeatable)           a tool call is whole while its step still streams
    step(id, n, engine, elapsed, load, held, calls, prompt, left)   a step ended with tool calls; held: its
    state is kept adopt(id, facts)             what follows of a req that the decider before had; None when it
    has been answered changed(id, call)            the step, written anew, asks for something else at that
    call's place tool(id, call, prompt, left)               a call has its result; prompt: tokens of the
    answer so far with all results stop()                       nothing new from now on

`out` takes the module's decisions, and besides: `push_back` and `abort` with a reason as a further argument,
`end_stream(id, n)`, which closes a begun forward, and what decisions/conversations.py names. Ids of forwards'
reqs are leg ids. One logic decides wherever it runs: the edge's own process, a planner, the laboratory.
"""

from martenrouter.decisions.admission import Admission
from martenrouter.decisions.conversations import Conversations, leg_id, req_of
from martenrouter.decisions.gate import Gate
from martenrouter.decisions.learnt import export, put
from martenrouter.decisions.streams import Streams
from martenrouter.rules import UNREAD, Front

OF_A_REQ = frozenset(
    "first_token outcome gone swamped call changed step tool".split()
)  # calls that begin with an id
STREAM_LOOK = 200_000  # stalls are judged in seconds; looking each fifth of one is early enough


class Chain:
    def __init__(self, seed, module_settings, settings):
        self.front = Front(seed, module_settings)
        self.admission, self.streams = Admission(settings), Streams(settings)
        self.talks = Conversations(settings)
        self.settings, self.groups = settings, settings["groups"]
        self.gate = Gate(settings["shares"]) if settings.get("shares") else None
        self.whole = {}  # open req -> (group, deadline of the whole answer)
        self._ended_before, self._swamped_before, self._orphans = [], [], []
        self.pending = set()  # open reqs of a decider before this one, of which the facts are still to come
        self.next_legs = []  # calls of the module that begin legs found due in this round
        self.stop_by = None
        self.looked, self.wake_at = 0, 0
        self.stream_due = (
            None  # when a begun stream is next to be looked at; computed at each look, not each round
        )

    def turn(self, now, inbox, out):
        self.now, self.out = now, out
        inner = []
        for call, arguments in inbox:
            if self.pending and call in OF_A_REQ and req_of(arguments[0]) in self.pending:
                continue  # its facts, read later than this came in, hold it already
            take = getattr(self, "_" + call, None)
            if take is None or take(inner, *arguments):
                inner.append((call, arguments))
        if inner or self.front.live:
            self.front.turn(now, inner, _Reasons(self))
        if self.gate is not None and self.gate:
            self._look_at_gate()
        for talk in self.talks.adopted_ready():
            self._go_on(talk)
        self._end_adopted()
        self._look_at_streams()
        self._look_at_talks()
        if self.next_legs:
            begun, self.next_legs = self.next_legs, []
            # one that left in the round in which its stream broke or its last result came gets no further leg
            inner = [one for one in begun if req_of(one[1][0]) in self.talks.talks]
            for call, told in begun:
                if call == "resumed" and req_of(told[0]) not in self.talks.talks:
                    out.let_go(told[0])
            self.front.turn(now, inner, _Reasons(self))
        if self.stop_by is not None and now >= self.stop_by:
            self._end_all()
        self._set_wake()

    # ---- taking over ----

    def adopt(self, now, facts, learnt=None):
        """Rebuilds all state from an edge's facts (edge/handover.py says what they are), decides nothing
        yet."""
        self.now = self.front.now = now
        self.front.out = _Nothing()
        self.front.listed(facts["version"], "first", [tuple(row) for row in facts["rows"]])
        if learnt:
            put(self.front, learnt, now)
            # begun anew, a usual gap of 60 ms would call slow engines' streams stalled after each hand-over
            self.streams.gap = learnt.get("stream_gap", self.streams.gap)
        if facts["stopping"]:
            self._stop(())
        for one in facts["reqs"]:
            self._adopt_one(one)
        for id, conn in facts["later"]:
            self.pending.add(id)
            self.admission.taken(id, conn)  # they count for the bounds from the start
        self.front.same.clear()

    def learnt(self, now):
        """What another decider would otherwise have to learn anew, as plain data (decisions/learnt.py)."""
        return {**export(self.front, now), "stream_gap": self.streams.gap}

    def _adopt_one(self, one):
        id, told = one["id"], one["told"]
        group, deadline = told[0], told[3]
        self.whole[id] = group, deadline
        self.admission.taken(id, one["conn"])
        if one["swamped"]:
            self._swamped_before.append(id)
        if one["orphan"]:
            self._orphans.append(id)
        self.talks.begun(self.now, id, *told)
        talk = self.talks.talks[id]
        talk.leg, talk.steps, talk.rewrites, talk.effects = (
            one["leg"],
            one["steps"],
            one["rewrites"],
            one["effects"],
        )
        talk.prompt, talk.max_out, talk.flowed = one["prompt"], one["left"], one["flowed"]
        leg = leg_id(id, talk.leg)
        self.talks.adopt_calls(self.now, talk, one["calls"])
        if one["paused"]:
            holder = self.front.engines.get(one["holder"])
            self.talks.adopt_pause(self.now, talk, one["holder"], holder.born if holder else 0, one["since"])
            return
        if one["broke"]:
            # its stream broke, and the one before didn't come to decide what follows
            self.streams.began(self.now, leg, group, deadline, one["reader"], one["used"])
            self._ended_before.append(leg)
            return
        if talk.leg == 0 and not one["used"] and one["stage"] == 0:
            self.next_legs.append(("arrived", self._told(talk, leg)))  # nothing was decided for it yet
            return
        self.front.adopted(
            leg,
            self._told(talk, leg)[1:],
            one["age"],
            one["stage"],
            one["used"],
            one["reader"],
            one["since"],
            one["held"],
            one["effect"] and tuple(one["effect"]),
            [tuple(forward) for forward in one["out"]],
        )
        if one["effect"] and not one["out"] and self.groups[group]["effect"] == "non-replayable":
            self._ended_before.append(leg)
        for n, engine, _, began in one["out"]:
            if began:
                self.streams.began(self.now, leg, group, deadline, engine, n)

    def _end_adopted(self):
        """What had ended in a way that the decider before it had still to answer."""
        swamped, self._swamped_before = self._swamped_before, []
        for id in swamped:
            self._swamped([], id)
        orphans, self._orphans = self._orphans, []
        for id in orphans:
            self._orphaned(id)
        legs, self._ended_before = self._ended_before, []
        for leg in legs:
            if leg in self.streams.open:
                self._broke(leg, self.streams.broke(self.now, leg, "reset"))
            elif leg in self.front.reqs:
                self.front.now, self.front.out = self.now, _Reasons(self)
                self.front.give_up(self.front.reqs[leg])

    def _adopt(self, inner, id, one):
        """A req of the decider before, in its turn; None: it has been answered since."""
        self.pending.discard(id)
        if one is None:
            self.admission.ended_one(self.now, id)
        else:
            self.front.now, before, self.front.out = self.now, self.front.out, _Nothing()
            self._adopt_one(one)
            self.front.same.clear()
            self.front.out = before
        return False

    # ---- calls that concern more than the module: True hands the call on to it as it is ----

    def _arrived(
        self,
        inner,
        id,
        group,
        customer,
        session,
        deadline,
        hint,
        prefix,
        prompt,
        shared,
        max_out,
        flags,
        connection,
    ):
        refused = self.admission.arrived(self.now, id, group, connection, deadline)
        if refused:
            self.out.push_back(id, refused[1], refused[0])
            return False
        self.whole[id] = group, deadline
        self.talks.begun(
            self.now, id, group, customer, session, deadline, hint, prefix, prompt, shared, max_out, flags
        )
        if self.gate is not None and self.gate.closed(self._unread() + len(inner)):
            g = self.groups.get(group, {})
            # answered in time also where its deadline comes first
            until = min(
                self.now + int(g.get("target", 0) * self.gate.PART),
                deadline - 2 * self.settings["round"] - 2000,
            )
            self.gate.put(id, customer, prompt + max_out / 4, g.get("importance", 1), until)
        else:
            inner.append(("arrived", self._told(self.talks.talks[id], id)))
        return False

    def _unread(self):
        return sum(r.stage == UNREAD for r in self.front.live.values())

    def _look_at_gate(self):
        """Reqs go on to the module as it has room, and those that waited too long are pushed back."""
        for id in self.gate.due(self.now):
            target = self.groups.get(self.whole[id][0], {}).get("target", 0)
            self._give_up(id, (True, "others' turn", min(target // 2, self.settings["advice_cap"])))
        for id in self.gate.released(self._unread()):
            self.next_legs.append(("arrived", self._told(self.talks.talks[id], id)))

    def _told(self, talk, leg):
        """What the module is told of a leg: its deadline is that of the first token."""
        first = self.now + self.groups[talk.group]["first_token_within"]
        return (
            leg,
            talk.group,
            talk.customer,
            talk.session,
            min(talk.deadline, first),
            talk.hint,
            talk.prefix,
            talk.prompt,
            talk.shared,
            talk.max_out,
            talk.flags,
        )

    def _first_token(self, inner, id, n, engine, elapsed):
        talk = self.talks.talks.get(req_of(id))
        if talk and id == leg_id(talk.id, talk.leg):
            group, deadline = self.whole[talk.id]
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
                final = True  # for the module: what follows is another leg, or nothing
                self._broke(id, self.streams.broke(self.now, id, ending))
        if ending == "done":
            self._closed(id)
        inner.append(("outcome", (id, n, ending, engine, elapsed, final, note, load)))
        return False

    def _gone(self, inner, id):
        talk = self.talks.talks.get(req_of(id))
        leg = leg_id(req_of(id), talk.leg) if talk else id
        self.streams.ended(leg)
        if talk and talk.holder:
            self.out.let_go(leg)
        self._closed(id)
        inner.append(("gone", (leg,)))
        return False

    def _flowed(self, inner, counts):
        self.streams.flowed(self.now, counts)
        for leg, count in counts.items():
            talk = self.talks.talks.get(req_of(leg))
            if talk:
                talk.flowed += count
        return False

    def _swamped(self, inner, id):
        talk = self.talks.talks.get(id)
        leg = leg_id(id, talk.leg) if talk else id
        stream = self.streams.open.get(leg)
        if stream:
            answer = self.streams.swamped(self.now, leg)
            self._give_up(leg, answer)
            self.out.end_stream(leg, stream[3])
        elif talk:
            self._end_talk(talk, "client reads too slowly")
        return False

    def _call(self, inner, id, call, name, repeatable):
        talk = self.talks.talks.get(req_of(id))
        if talk:
            self.talks.early_call(talk, call, name, repeatable)
        return False

    def _changed(self, inner, id, call):
        """Written anew, a step asks for something else where `call` stood. With effects it is run and can't
        be unrun: an answer that doesn't show it must not go on."""
        talk = self.talks.talks.get(id)
        old = talk and talk.calls.get(call)
        if old is None:
            return False
        if old.state == "queued" or old.repeatable:
            self.talks.answered(self.now, talk, call)
        else:
            self._orphaned(id)
        return False

    def _orphaned(self, id):
        talk = self.talks.talks.get(id)
        if talk:
            leg = leg_id(id, talk.leg)
            stream = self.streams.open.pop(leg, None)
            self._give_up(leg, (False, "another tool asked for after one with effects", 0))
            if stream:
                self.out.end_stream(leg, stream[3])

    def _step(self, inner, id, n, engine, elapsed, load, held, calls, prompt, left):
        """To the module the leg is done; the conversation pauses."""
        inner.append(("outcome", (id, n, "done", engine, elapsed, True, 0, load)))
        self.streams.ended(id)
        talk = self.talks.talks.get(req_of(id))
        if talk is None or id != leg_id(talk.id, talk.leg):
            if held:
                self.out.let_go(id)
            return False
        known = self.front.engines.get(engine)
        self.front.now = self.now
        room = max(self.front.room(known), 0) / known.memory if known and known.memory else 1.0
        self.front.same.clear()
        talk.prompt, talk.max_out = prompt, left
        why = self.talks.step_ended(self.now, talk, engine, known.born if known else 0, held, room, calls)
        if why:
            talk.holder = engine if held else None
            self._end_talk(talk, why)
        elif self.talks.ready(talk):
            self._go_on(talk)  # asked again for what is recorded: nothing to wait for
        elif held and talk.holder is None:
            self.out.let_go(id)
        return False

    def _tool(self, inner, id, call, prompt, left):
        talk = self.talks.talks.get(id)
        if talk:
            talk.prompt, talk.max_out = (
                (prompt, left) if self.talks.ready(talk) or prompt else (talk.prompt, talk.max_out)
            )
            if self.talks.answered(self.now, talk, call):
                self._go_on(talk)
        return False

    def _stop(self, inner):
        self.admission.stopping = True
        self.stop_by = (
            self.now + self.settings["stop_within"] * 4 // 5
        )  # the rest is for the answers to get out
        return False

    def _look(self, inner):
        return False

    # ---- how it is decided ----

    def _closed(self, id):
        id = req_of(id)
        if self.gate is not None:
            self.gate.leave(id)
        self.whole.pop(id, None)
        self.talks.ended(id)
        self.admission.ended_one(self.now, id)

    def _give_up(self, id, answer):
        """The final answer, for whichever leg it is given up."""
        harmless, reason, wait = answer
        talk = self.talks.talks.get(req_of(id))
        if talk and not self.talks.harmless(talk):
            harmless = False
        if harmless:
            self.out.push_back(id, wait, reason)
        else:
            self.out.abort(id, reason)
        self._closed(id)

    def _broke(self, id, answer):
        """A begun stream can't be taken up where it was; what may repeat is read anew, with its answer so
        far."""
        talk = self.talks.talks.get(req_of(id))
        if talk and id == leg_id(talk.id, talk.leg) and self.talks.may_rewrite(self.now, talk):
            talk.rewrites += 1
            talk.prompt += talk.flowed
            talk.max_out = max(talk.max_out - talk.flowed, 1)
            self.out.next_leg(talk.id, True)
            self.next_legs.append(("arrived", self._told(talk, self.talks.next_leg(talk))))
        else:
            self._give_up(id, answer)

    def _go_on(self, talk):
        """All calls of a pause have their results."""
        engine = self.front.engines.get(talk.holder)
        self.front.now = self.now
        suspected = engine is not None and self.front.strain(engine) >= 3
        self.front.same.clear()
        how, holder, before = (
            self.talks.where(talk, engine, suspected),
            talk.holder,
            leg_id(talk.id, talk.leg),
        )
        if holder and how == "anew":
            self.out.let_go(before)
        self.out.next_leg(talk.id, False)
        leg = self.talks.next_leg(talk)
        if how == "anew":
            self.next_legs.append(("arrived", self._told(talk, leg)))
        else:
            # the pause counts to the state's release: begun anew, the limit would be passed by up to its
            # length
            waited = max(self.now - talk.hold_until + self.talks.hold_for, 0)
            self.next_legs.append(("resumed", (*self._told(talk, leg), holder, how == "here", waited)))

    def _end_talk(self, talk, reason):
        """A paused conversation is given up: what is held is let go, then its final answer."""
        leg = leg_id(talk.id, talk.leg)
        if talk.holder:
            self.out.let_go(leg)
        target = self.groups.get(talk.group, {}).get("target", 0)
        self._give_up(leg, (True, reason, min(target // 2, self.settings["advice_cap"])))

    def _look_at_talks(self):
        self.talks.send_calls(self.now, self.out)
        if self.talks.soonest is None or self.now < self.talks.soonest:
            return
        holds, calls, over = self.talks.due(self.now)
        for talk in over:
            self._end_talk(talk, "deadline in a pause")
        for talk in holds:
            if talk.holder and talk.id in self.talks.talks:
                self.out.let_go(leg_id(talk.id, talk.leg))
                talk.holder = None
        for talk, call in calls:
            if talk.id in self.talks.talks:
                self.out.fail_call(talk.id, call, "no answer in time")
                if self.talks.answered(self.now, talk, call):
                    self._go_on(talk)
        self.talks.send_calls(self.now, self.out)
        self.talks.soonest = self.talks.next_due()

    def _look_at_streams(self):
        if not self.streams.open:
            self.stream_due = None
        elif self.stream_due is None or self.now >= self.stream_due:
            for id, engine, n, answer in self.streams.due(self.now):
                if answer[1] == "stream stalled":
                    self._broke(id, answer)
                else:
                    self._give_up(id, answer)
                self.out.end_stream(id, n)
            due = self.streams.next_due(self.now)
            self.stream_due = due and min(due, self.now + STREAM_LOOK)

    def _end_all(self):
        """What is still open when the time to stop has come is answered: pushed back where that is
        harmless."""
        for id in list(self.whole):
            talk = self.talks.talks[id]
            leg = leg_id(id, talk.leg)
            stream = self.streams.open.get(leg)
            if stream:
                self._give_up(leg, self.streams.swamped(self.now, leg)[:1] + ("stopping", 0))
                self.out.end_stream(leg, stream[3])
            elif leg in self.front.reqs:
                self.front.now, self.front.out = self.now, _Reasons(self, "stopping")
                self.front.give_up(self.front.reqs[leg])
            else:
                self._end_talk(talk, "stopping")
        self.stop_by = self.stop_by if self.whole or self.pending else None

    def _set_wake(self):
        gate = self.gate.next_due() if self.gate is not None else None
        times = [
            time for time in (self.stop_by, self.stream_due, self.talks.soonest, gate) if time is not None
        ]
        if not times:
            return
        due = max(min(times), self.now + 1)
        if due < self.wake_at or self.wake_at <= self.now:
            self.wake_at = due
            self.out.wake_chain(due - self.now)


class _Nothing:
    """A writer for what was decided before."""

    def __getattr__(self, name):
        return lambda *_: None


class _Reasons:
    """The module's writer: what it gives up on is no longer open, and its answers get a reason."""

    def __init__(self, chain, reason=None):
        self.chain, self.out, self.reason = chain, chain.out, reason

    def __getattr__(self, name):
        return getattr(self.out, name)

    def push_back(self, id, wait):
        talk = self.chain.talks.talks.get(req_of(id))
        if talk and talk.leg and not self.chain.talks.harmless(talk):
            return self.abort(id)  # an earlier leg ran what may not repeat
        self.chain._closed(id)
        self.out.push_back(id, wait, self.reason or "no engine answers in time")

    def abort(self, id):
        self.chain._closed(id)
        self.out.abort(id, self.reason or "no engine answers in time, and it may have run")
