"""Answers that stop for tools: what is kept meanwhile, where they go on, what they get when no way is left.

An answer is written in **legs**: the first is the req as it arrived; another begins after each pause for
tools, or after a stream broke and its answer so far is read anew. To the module each leg is a req of its own,
with the id `leg_id`; the edge and this file know that they are one conversation with one final answer.

    writing --step ended with calls--> paused --all answered--> writing (next leg) … --> ended
    writing --stream broke, replayable--> writing (next leg, answer so far read anew)
    any --deadline, no way left, client gone--> ended

`out` takes, besides the module's decisions: `call_tool(id, call)` (now it goes to the client), `fail_call(id,
call, why)` (its result is this error), `next_leg(id, anew)` (the edge makes the next leg's prompt; anew: from
the answer so far).
"""

# noqa: F401 - for the edge, which notes the forward that may have run
from martenrouter.rules import NEVER_RAN as NEVER_RAN

MASK = (1 << 32) - 1
WRITING, PAUSED = "writing", "paused"
QUEUED, OUT, ANSWERED = "queued", "out", "answered"


def leg_id(id, leg):
    return id + (leg << 32)


def req_of(leg):
    return leg & MASK


class Talk:
    __slots__ = (
        "id",
        "group",
        "customer",
        "session",
        "deadline",
        "hint",
        "prefix",
        "prompt",
        "shared",
        "max_out",
        "flags",
        "leg",
        "steps",
        "rewrites",
        "state",
        "calls",
        "holder",
        "holder_born",
        "hold_until",
        "flowed",
        "effects",
        "rank",
    )


class Call:
    __slots__ = ("name", "repeatable", "state", "sent", "due")

    def __init__(self, name, repeatable):
        self.name, self.repeatable, self.state, self.sent, self.due = name, repeatable, QUEUED, 0, 0


class Conversations:
    REWRITES = 2  # a third break in one answer is no chance: the fleet is failing, and each costs a read
    PART_FOR_CALLS = 0.75  # of the time left: the rest is for reading the result and writing on
    ROOM = 0.125  # of a writer's memory; with less free, a pause would push running answers out

    def __init__(self, settings):
        self.settings, self.groups = settings, settings["groups"]
        self.hold_for = settings["release_within"] - 2 * settings["round"] - settings["release_within"] // 10
        self.talks = {}
        self.queue = []  # (rank, id, call): calls that wait for a place
        self.out_now, self.out_by_customer = 0, {}
        self.soonest = None  # when a pause is next to be looked at; never later than the truth
        self._adopted = []
        self.took = {}  # tool -> usual time to its answer

    # ---- life of a conversation ----

    def begun(
        self, now, id, group, customer, session, deadline, hint, prefix, prompt, shared, max_out, flags
    ):
        talk = self.talks[id] = Talk()
        talk.id, talk.group, talk.customer, talk.session, talk.deadline = (
            id,
            group,
            customer,
            session,
            deadline,
        )
        talk.hint, talk.prefix, talk.prompt, talk.shared = hint, prefix, prompt, shared
        talk.max_out, talk.flags = max_out, flags
        talk.leg = talk.steps = talk.rewrites = talk.flowed = talk.hold_until = 0
        talk.state, talk.calls, talk.holder, talk.holder_born, talk.effects = WRITING, {}, None, 0, False
        talk.rank = -self.groups.get(group, {}).get("importance", 1), deadline, id

    def ended(self, id):
        """Answered or gone: its calls no longer count, waiting ones are not sent. What is held is let go by
        the caller."""
        talk = self.talks.pop(id, None)
        if talk:
            for call in talk.calls.values():
                if call.state == OUT:
                    self._back(talk)
            self.queue = [waiting for waiting in self.queue if waiting[1] != id]
        return talk

    def harmless(self, talk):
        """Whether the client may do it all again: what ran may repeat, and no tool with effects was
        called."""
        group = self.groups.get(talk.group) or {}
        effect = group.get("effect")
        again = effect == "replayable" or effect == "keyed" and group.get("repeat_scope") == "all"
        return again and not talk.effects

    def _note(self, at):
        self.soonest = at if self.soonest is None else min(self.soonest, at)

    # ---- pauses ----

    def step_ended(self, now, talk, engine, born, held, room, calls):
        """The writer asked for tools. `calls`: (id, name, repeatable) of those not answered yet; `room`: the
        part of the writer's memory that is free. Returns a reason to give up, or None; `holds(talk)` says
        whether it is kept."""
        talk.steps += 1
        if talk.steps > self.settings["tool_steps"]:
            return "too many tool steps"
        talk.state, talk.calls = PAUSED, {**talk.calls}
        for id, name, repeatable in calls:
            if id not in talk.calls:
                talk.calls[id] = Call(name, repeatable)
                self.queue.append((talk.rank, talk.id, id))
        # kept only if an answer within the limit is likely and others don't need the room: let go early costs
        # a read of what the home has kept, kept in vain costs every answer at that writer
        waiting = [call for call in talk.calls.values() if call.state != ANSWERED]
        usual = max((self.took.get(call.name, 0) for call in waiting), default=0)
        talk.holder, talk.holder_born = None, born
        if held and usual <= self.hold_for and room >= self.ROOM:
            talk.holder, talk.hold_until = engine, now + self.hold_for
            self._note(talk.hold_until)
        self._note(talk.deadline - 2 * self.settings["round"] - 2000)
        return None

    def early_call(self, talk, id, name, repeatable):
        """A call whose arguments are whole while its step still streams."""
        if id not in talk.calls:
            talk.calls[id] = Call(name, repeatable)
            self.queue.append((talk.rank, talk.id, id))

    def send_calls(self, now, out):
        """Calls that have a place go out, the most important first, then by deadline."""
        if not self.queue:
            return
        self.queue.sort()
        waiting = []
        for rank, id, name in self.queue:
            talk = self.talks.get(id)
            call = talk and talk.calls.get(name)
            if not call or call.state != QUEUED:
                continue
            of_customer = self.out_by_customer.get(talk.customer, 0)
            if self.out_now >= self.settings["pauses"] or (
                talk.customer is not None and of_customer >= self.settings["pauses_a_customer"]
            ):
                waiting.append((rank, id, name))
                continue
            self.out_now += 1
            self.out_by_customer[talk.customer] = of_customer + 1
            call.state, call.sent = OUT, now
            left = max(talk.deadline - now, 0)
            call.due = now + int(min(self.settings["tool_call_within"], left * self.PART_FOR_CALLS))
            talk.effects = talk.effects or not call.repeatable
            self._note(call.due)
            out.call_tool(id, name)
        self.queue = waiting

    def answered(self, now, talk, name):
        """True when this was the last one that its pause waited for."""
        call = talk.calls.get(name)
        if call is None or call.state == ANSWERED:
            return False
        if call.state == OUT:
            self._back(talk)
            took = now - call.sent
            usual = self.took.pop(call.name, took)
            self.took[call.name] = (
                usual + (took - usual) // 4
            )  # some four answers back: tools change with their load
            if len(self.took) > 1000:
                del self.took[next(iter(self.took))]
        call.state = ANSWERED
        return self.ready(talk)

    def ready(self, talk):
        return talk.state == PAUSED and all(call.state == ANSWERED for call in talk.calls.values())

    def _back(self, talk):
        self.out_now -= 1
        left = self.out_by_customer[talk.customer] - 1
        if left:
            self.out_by_customer[talk.customer] = left
        else:
            del self.out_by_customer[talk.customer]

    def due(self, now):
        """(lapsed holds, calls out of time, talks out of time): each a list."""
        holds, calls, over = [], [], []
        last = 2 * self.settings["round"] + 2000  # two rounds early, like the module's answer_by
        for talk in self.talks.values():
            if talk.state != PAUSED:
                continue
            if now >= talk.deadline - last:
                over.append(talk)
                continue
            if talk.holder and now >= talk.hold_until:
                holds.append(talk)
            calls += [
                (talk, name) for name, call in talk.calls.items() if call.state == OUT and now >= call.due
            ]
        return holds, calls, over

    def next_due(self):
        last, times = 2 * self.settings["round"] + 2000, []
        for talk in self.talks.values():
            if talk.state == PAUSED:
                times.append(talk.deadline - last)
                if talk.holder:
                    times.append(talk.hold_until)
                times += [call.due for call in talk.calls.values() if call.state == OUT]
        return min(times, default=None)

    # ---- taking over ----

    def adopt_calls(self, now, talk, calls):
        """`calls`: (id, name, repeatable, state, time since it was sent) from the edge's facts."""
        for id, name, repeatable, state, ago in calls:
            call = talk.calls[id] = Call(name, repeatable)
            call.state, call.sent = state, now - ago
            if state == QUEUED:
                self.queue.append((talk.rank, talk.id, id))
            elif state == OUT:
                self.out_now += 1
                self.out_by_customer[talk.customer] = self.out_by_customer.get(talk.customer, 0) + 1
                left = max(talk.deadline - now, 0)
                call.due = now + int(
                    min(max(self.settings["tool_call_within"] - ago, 0), left * self.PART_FOR_CALLS)
                )
                self._note(call.due)

    def adopt_pause(self, now, talk, holder, born, since):
        """A pause that another decider began `since` microseconds ago; what it holds is kept as long as it
        would have."""
        talk.state = PAUSED
        if holder:
            talk.holder, talk.holder_born, talk.hold_until = holder, born, now + max(self.hold_for - since, 0)
            self._note(talk.hold_until)
        self._note(talk.deadline - 2 * self.settings["round"] - 2000)
        if self.ready(talk):
            self._adopted.append(talk)

    def adopted_ready(self):
        """Pauses that had all their results when they were taken over, once."""
        ready, self._adopted = self._adopted, []
        return [talk for talk in ready if talk.id in self.talks and talk.state == PAUSED]

    # ---- going on ----

    def where(self, talk, engine, suspected):
        """How a paused answer goes on: `here` (the writer that holds it), `near` (its state is fetched from
        there by a writer that the module picks), or `anew`. `engine`: the holder as the module knows it, None
        if it doesn't."""
        if talk.holder is None or engine is None or engine.born != talk.holder_born:
            return "anew"  # let go, gone, or another process under the old id: nothing of it holds
        if not engine.up or suspected or engine.born:
            return (
                "near"  # drains: nothing new goes there; slow or still cold: its state may still be fetched
            )
        return "here"

    def next_leg(self, talk):
        talk.leg += 1
        talk.state, talk.holder, talk.flowed = WRITING, None, 0
        return leg_id(talk.id, talk.leg)

    def may_rewrite(self, now, talk):
        """Whether a broken stream's answer so far is read anew and written on elsewhere: only what may
        repeat."""
        effect = (self.groups.get(talk.group) or {}).get("effect")
        target = (self.groups.get(talk.group) or {}).get("target", 0)
        return effect == "replayable" and talk.rewrites < self.REWRITES and talk.deadline - now > target
