"""Fronts to compare with: `python -m bench.fronts NAME edge …` runs the edge with one choice replaced."""

import random
import sys

from martenrouter.cli.main import main
from martenrouter.decisions.conversations import Conversations
from martenrouter.decisions.takeover import Takeover
from martenrouter.edge.desk import Desk


def holds_to_its_writer():
    """Keeps the writer's state for the whole pause and goes on nowhere else (this breaks the release
    limit)."""
    init = Conversations.__init__

    def long_hold(self, settings):
        init(self, settings)
        self.hold_for = 10**9

    Conversations.__init__ = long_hold
    Conversations.where = lambda self, talk, engine, suspected: "here" if talk.holder and engine else "anew"
    Conversations.may_rewrite = lambda self, now, talk: False
    Conversations.ROOM = 0


def always_anew():
    """Lets the state go at once and reads prompt, answer and results anew."""
    step_ended = Conversations.step_ended
    Conversations.step_ended = lambda self, now, talk, engine, born, held, room, calls: step_ended(
        self, now, talk, engine, born, False, room, calls
    )


def waits_for_its_planner():
    """Takes over after three seconds only."""
    Takeover.SILENT = 3_000_000


class Weights:
    """Decides by a table: engines of a role are drawn by the inverse of how late the planner had found them.
    No credit, no homes of prefixes, no health of its own; what fails is sent again where its group allows."""

    def __init__(self, settings):
        self.groups, self.random = settings["groups"], random.Random(1)
        self.engines, self.late, self.reqs = {}, {}, {}

    def adopt(self, now, facts, learnt):
        self._listed(facts["rows"])
        for id, sums, *_ in (learnt or {}).get("engines", ()):
            late, tries = sums
            self.late[id] = (late[1] + 2) / (tries[1] + 2)
        for one in facts["reqs"]:
            if not one["paused"]:
                told = one["told"]
                self.reqs[one["id"]] = [
                    told[0],
                    told[3],
                    one["stage"],
                    one["used"],
                    one["effect"] is not None,
                    len(one["out"]),
                ]

    def turn(self, now, inbox, out):
        self.out = out
        for call, told in inbox:
            if call in ("listed",):
                self._listed(told[2])
            elif call == "arrived":
                self.reqs[told[0]] = [told[1], told[4], 0, 0, False, 0]
            elif call == "first_token" and told[0] in self.reqs:
                self.reqs[told[0]][2] = 4
            elif call == "outcome" and told[0] in self.reqs:
                self._ended(*told[:3])
            elif call == "gone":
                r = self.reqs.pop(told[0], None)
                if r and r[2] == 2:
                    out.let_go(told[0])
        for id, r in list(self.reqs.items()):
            if now >= r[1] - 20_000:
                self._give_up(id, r)
            elif r[2] in (0, 2) and not r[5]:
                engine = self._draw(("rd",) if r[2] == 0 else ("wr", "mix"))
                if engine is None or r[3] >= 4:
                    self._give_up(id, r)
                else:
                    r[2], r[3], r[5] = r[2] + 1, r[3] + 1, 1
                    out.forward(id, engine, 2_000_000)
        if self.reqs:
            out.wake_chain(20_000)

    def _draw(self, kinds):
        able = sorted(id for id, row in self.engines.items() if row[0] == "up" and row[5] in kinds)
        return (
            self.random.choices(able, [1 / max(self.late.get(id, 1), 0.01) for id in able])[0]
            if able
            else None
        )

    def _ended(self, id, n, ending):
        r = self.reqs[id]
        r[5] = 0
        if ending == "done":
            del self.reqs[id]
        elif ending == "read":
            r[2] = 2
        elif (
            ending not in ("full", "unreachable", "not sent")
            and r[2] >= 3
            and self.groups[r[0]]["effect"] != "replayable"
            or r[2] == 4
        ):
            r[4] = True
            self._give_up(id, r)
        else:
            r[2] = 0 if r[2] == 1 else 2

    def _give_up(self, id, r):
        if self.groups[r[0]]["effect"] == "replayable" or not r[4] and not r[5]:
            self.out.push_back(id, 500_000, "table")
        else:
            self.out.abort(id, "table")
        if r[2] == 2:
            self.out.let_go(id)
        self.reqs.pop(id, None)

    def _listed(self, rows):
        for row in rows:
            self.engines[row[3]] = tuple(row)


def _instead_of_the_chain(make):
    take_over, init = Desk._take_over, Desk.__init__

    def begin(self, make_chain, *rest):
        init(self, make_chain, *rest)
        self.chain = make_chain()

    def taken(self, now, why):
        before, self.make_chain = self.make_chain, lambda: make(before())
        try:
            take_over(self, now, why)
        finally:
            self.make_chain = before

    Desk.__init__, Desk._take_over = begin, taken


def weights_without_planner():
    """From the first takeover on, while no planner decides, a table of weights does."""
    _instead_of_the_chain(lambda chain: Weights(chain.settings))


def pushes_back_without_planner():
    """While no planner decides, what arrives is pushed back at once; what is open goes on."""

    def closed(chain):
        def refused(inner, id, *told):
            chain.out.push_back(id, 500_000, "no planner")
            return False

        chain._arrived = refused
        return chain

    _instead_of_the_chain(closed)


def as_built():
    pass


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv[1:] = sys.argv[2:]
    main()
