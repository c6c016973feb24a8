"""Rounds: an inbox, marks that fall due, and one greenlet that plays what came in, one round at a time.

Greenlets post what they saw and never decide. A round takes all that came in, in the order it came; rounds lie at least
`round` microseconds apart, so that under load many events share the cost of one.
"""
import gevent
from gevent.event import Event

from martenrouter.edge import clock
from martenrouter.edge.timers import Timers


class Rounds:
    """`play(now, marks)` of a subclass plays one round: `self.inbox` holds (call, arguments), `marks` those due."""

    def __init__(self, round_us):
        self.round = round_us
        self.inbox, self.timers, self.came = [], Timers(), Event()
        self.rounds = self.faults = 0
        self.greenlet = None

    def post(self, call, *arguments):
        self.inbox.append((call, arguments))
        self.came.set()

    def wake(self, mark, after):
        self.timers.add(clock.now() + after, mark)

    def start(self):
        self.greenlet = gevent.spawn(self._run)

    def before(self, now):
        """What a subclass does ahead of a round."""

    def _run(self):
        last = 0
        while True:
            if not self.inbox:
                due = self.timers.next_at()
                self.came.wait(None if due is None else max(due - clock.now(), 0) / 1e6)
            early = last + self.round - clock.now()
            if early > 0:
                gevent.sleep(early / 1e6)
            self.came.clear()
            last = clock.now()
            self.before(last)
            marks = self.timers.due(last)
            if self.inbox or marks:
                self.play(last, marks)

    def taken(self):
        """What came in, which is no longer there after it."""
        inbox, self.inbox = self.inbox, []
        return inbox
