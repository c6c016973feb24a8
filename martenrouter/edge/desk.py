"""The desk: an inbox, one round at a time, decisions into a writer (the hands). Whoever decides, the
interface is the same: the edge's own chain in this process, or a planner at the other end of a channel.

Rounds are those of edge/rounds.py. While a planner has a round, what comes in waits for the next one; when
the planner is silent for too long, the edge rebuilds its own chain from its facts and goes on.
"""

import traceback

import gevent
from gevent.event import AsyncResult
from hdrh.histogram import HdrHistogram

from martenrouter.decisions.takeover import Takeover
from martenrouter.edge import clock
from martenrouter.edge.rounds import Rounds
from martenrouter.wire.channel import Handover, Round

DECISIONS = frozenset(
    "forward push_back abort cancel let_go wake wake_chain subscribe end_stream call_tool fail_call "
    "next_leg".split()
)
CHAIN, BEAT = -1, -2  # marks of the chain's own wake-ups and of beats; the module's marks start at 1


class Desk(Rounds):
    def __init__(self, make_chain, hands, facts, of_one, round_us, counters, log):
        """`make_chain()` gives an empty decisions.chain.Chain; `facts()` all that one is rebuilt from,
        `of_one(id)` what follows later of a req (edge/handover.py)."""
        super().__init__(round_us)
        self.make_chain, self.hands, self.facts, self.of_one = make_chain, hands, facts, of_one
        self.later = []  # reqs that the decider has still to be told of
        self.counters, self.log = counters, log
        self.chain = make_chain()
        self.takeover, self.link, self.waiting = Takeover(), None, None
        self.newcomer, self.learnt, self.seq = None, None, 0
        self.flow = {}  # req -> tokens since the last round: told along, never a reason for a round
        self.cost = HdrHistogram(1, 60_000_000, 3)  # microseconds a round

    def who(self):
        return "planner" if self.takeover.in_charge else "edge"

    def before(self, now):
        if self.newcomer is not None:
            self._hand_over(now)

    def play(self, now, marks=()):
        """One round at the time `now`."""
        inbox = self.taken()
        for mark in marks:
            inbox.append(("timer", (mark,)) if mark > 0 else ("look", ()))
        if self.flow:
            flow, self.flow = self.flow, {}
            inbox.append(("flowed", (flow,)))
        if self.later:
            # last in the round: what came in before is part of these facts, what comes in after is news to
            # the decider
            some, self.later = self.later[: self.takeover.AT_ONCE], self.later[self.takeover.AT_ONCE :]
            inbox += [("adopt", (id, self.of_one(id))) for id in some]
            self.wake(CHAIN, self.round)
        if self.takeover.in_charge:
            self._ask_planner(now, inbox)
        else:
            self._decide(now, inbox)
        self.rounds += 1
        self.cost.record_value(max(clock.now() - now, 1))

    # ---- the edge's own ----

    def _decide(self, now, inbox):
        try:
            self.chain.turn(now, inbox, self.hands)
        except Exception as why:
            # what was decided stands; what was not is found by the edge's own look for reqs past their time
            self.faults += 1
            place = traceback.extract_tb(why.__traceback__)[-1]
            self.log.error(
                "round_failed",
                error="%s: %s" % (type(why).__name__, why),
                where=place.name,
                line=place.lineno,
                file=place.filename.rpartition("/")[2],
            )
            self.wake(CHAIN, 20_000)

    # ---- a planner's ----

    def planner_came(self, link):
        """A planner has greeted; it gets the facts in the next round, or when it may. `link` has send and
        close."""
        self.newcomer = link
        wait = max(self.takeover.not_before - clock.now(), 0)
        self.wake(BEAT, wait + 1)
        self.came.set()

    def planner_left(self, link):
        if self.newcomer is link:
            self.newcomer = None
        if self.link is link:
            if self.waiting is not None:
                self.waiting.set(None)  # the desk waits for it just now
            else:
                self._take_over(clock.now(), "left")

    def answered(self, link, message):
        """A planner's decisions came in."""
        if (
            link is not self.link
            or self.waiting is None
            or not self.takeover.counts(message.epoch)
            or (message.seq != self.seq)
        ):
            self.counters["decisions_of_old_epoch"] += 1
            return
        self.waiting.set(message)

    def _hand_over(self, now):
        if not self.takeover.may_hand_over(now):
            return
        link, self.newcomer = self.newcomer, None
        self.inbox = []  # all of it is in the facts
        epoch = self.takeover.handed_over(now)
        facts = self.facts()
        self.later = [id for id, _ in facts["later"]]
        self.link, self.chain = link, None
        self.counters["handed_over"] += 1
        self.log.info(
            "handed_over",
            epoch=epoch,
            open=len(facts["reqs"]) + len(self.later),
            planner=link.name,
            took_us=clock.now() - now,
        )
        if not link.send(Handover(epoch, now, facts, self.learnt)):
            return self._take_over(now, "left")
        self.post("look")
        self.wake(BEAT, self.takeover.BEAT)

    def _ask_planner(self, now, inbox):
        self.seq += 1
        self.waiting = AsyncResult()
        message = None
        if self.link.send(Round(self.takeover.epoch, self.seq, now, inbox)):
            while message is None and not self.waiting.ready():
                # looked at again when the time is over: this process may not have run either, with the answer
                # in hand
                self.waiting.wait(self.takeover.SILENT / 1e6)
                gevent.sleep(0)
                if not self.waiting.ready() and self.takeover.overdue(clock.now(), now):
                    break
            message = self.waiting.value if self.waiting.ready() else None
        self.waiting = None
        if message is None:
            return self._take_over(clock.now(), "silent")
        for name, arguments in message.decisions:
            if name in DECISIONS:
                getattr(self.hands, name)(*arguments)
            else:
                self.counters["decision_unknown"] += 1
        if message.learnt is not None:
            self.learnt = message.learnt
        self.wake(BEAT, self.takeover.BEAT)

    def _take_over(self, now, why):
        link, self.link = self.link, None
        epoch = self.takeover.taken_over(now)
        self.inbox = []
        facts = self.facts()
        self.later = [id for id, _ in facts["later"]]
        self.chain = self.make_chain()
        self.chain.adopt(now, facts, self.learnt)
        self.counters["taken_over"] += 1
        self.log.warning(
            "taken_over",
            why=why,
            epoch=epoch,
            open=len(facts["reqs"]) + len(self.later),
            took_us=clock.now() - now,
        )
        if link is not None:
            link.close()
        self._decide(clock.now(), [("look", ())])
        if self.later:
            self.wake(CHAIN, self.round)
