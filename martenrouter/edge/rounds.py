"""Rounds: an inbox, marks that fall due, and one greenlet that plays what came in, one round at a time.

Greenlets post what they saw and never decide. A round takes all that came in, in the order it came; rounds
lie at least
`round` microseconds apart, so that under load many events share the cost of one.
"""

import gevent
from gevent.event import Event

from martenrouter.edge import clock
from martenrouter.edge.timers import Timers

AFTER_FAULT = 0.02  # seconds before the next round: a fault that lasts must not take all of the processor


class Rounds:
    """`play(now, marks)` of a subclass plays one round: `self.inbox` holds (call, arguments), `marks` those
    due."""

    def __init__(self, round_us):
        self.round = round_us
        self.inbox, self.timers, self.came = [], Timers(), Event()
        self.rounds = self.faults = 0
        self.greenlet = None

    def post(self, call, *arguments):
        self.inbox.append((call, arguments))
        self.came.set()

    def post_quietly(self, call, *arguments):
        """It is taken with the next round and makes none."""
        self.inbox.append((call, arguments))

    def wake(self, mark, after):
        self.timers.add(clock.now() + after, mark)

    def start(self):
        self.greenlet = gevent.spawn(self._run)

    def before(self, now):
        """What a subclass does ahead of a round."""

    def _run(self):
        last = 0
        while True:
            self._wait(last)
            last = clock.now()
            try:
                self._once(last)
            except Exception:
                # without rounds every request would be left to its deadline; what is still in the inbox is
                # played next
                self.faults += 1
                gevent.sleep(AFTER_FAULT)

    def _wait(self, last):
        """Until something has come or a mark is due, and the last round is long enough ago."""
        if not self.inbox:
            due = self.timers.next_at()
            self.came.wait(None if due is None else max(due - clock.now(), 0) / 1e6)
        early = last + self.round - clock.now()
        if early > 0:
            gevent.sleep(early / 1e6)
        self.came.clear()

    def _once(self, now):
        self.before(now)
        marks = self.timers.due(now)
        if self.inbox or marks:
            self.play(now, marks)

    def taken(self):
        """What came in, which is no longer there after it."""
        inbox, self.inbox = self.inbox, []
        return inbox
