"""The front node's desk: rounds of the module alone, decisions into the hands."""

import traceback

from martenrouter.edge import clock
from martenrouter.edge.rounds import Rounds

AGAIN = -1  # a mark of the desk's own; the module's begin at 1


class Desk(Rounds):
    def __init__(self, front, hands, log):
        """`front`: rules.Front."""
        super().__init__(front.round_time)
        self.front, self.hands, self.log = front, hands, log
        self.slowest = 0  # microseconds of a round
        self.failed = False  # whether the last round did

    def play(self, now, marks=()):
        events = len(self.inbox)
        inbox = iter(self.taken() + [("timer", (mark,)) for mark in marks if mark > 0])
        try:
            self.front.turn(now, inbox, self.hands)
        except Exception as why:
            # what was decided stands, what had not been come to is told in the next round; a req that nobody
            # looks after any more is answered at its deadline by the hands
            self.inbox[:0] = inbox
            failed, self.failed = not self.failed, True
            self.faults += 1
            place = traceback.extract_tb(why.__traceback__)[-1]
            self.log.error(
                "round_failed",
                error="%s: %s" % (type(why).__name__, why),
                where=place.name,
                line=place.lineno,
            )
            self.wake(AGAIN, 20_000)
        else:
            failed = self.failed = False
        if (
            not failed
        ):  # what a req leaves may be let go of by what is still to be told: once, should each round fail
            self.hands.round_over()
        self.rounds += 1
        ended = clock.now()
        self.slowest = max(self.slowest, ended - now)
        self.hands.load.round(
            ended,
            ended - now,
            events=events,
            marks=len(marks),
            open=len(self.front.live),
            servers=len(self.front.engines),
        )
