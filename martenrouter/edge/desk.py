"""The desk in the edge's process: an inbox, one round at a time, decisions into a writer (the hands).

Greenlets post what they saw and never decide. A round takes all that came in, in the order it came; rounds lie at least
`round` microseconds apart, so that under load many events share the cost of one.
"""
import traceback

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from martenrouter.edge import clock
from martenrouter.edge.timers import Timers

CHAIN = -1  # the mark of the chain's own wake-ups; the module's marks start at 1


class Desk:
    def __init__(self, chain, hands, round_us, log):
        self.chain, self.hands, self.round, self.log = chain, hands, round_us, log
        self.inbox, self.timers, self.came = [], Timers(), Event()
        self.flow = {}           # req -> tokens since the last round: told along, never a reason for a round
        self.rounds = self.faults = 0
        self.cost = HdrHistogram(1, 60_000_000, 3)  # microseconds a round
        self.greenlet = None

    def post(self, call, *arguments):
        self.inbox.append((call, arguments))
        self.came.set()

    def wake(self, mark, after):
        self.timers.add(clock.now() + after, mark)

    def start(self):
        self.greenlet = gevent.spawn(self._run)

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
            marks = self.timers.due(last)
            if self.inbox or marks:
                self.play(last, marks)

    def play(self, now, marks=()):
        """One round at the time `now`."""
        inbox, self.inbox = self.inbox, []
        inbox.extend(("look", ()) if mark == CHAIN else ("timer", (mark,)) for mark in marks)
        if self.flow:
            flow, self.flow = self.flow, {}
            inbox.append(("flowed", (flow,)))
        try:
            self.chain.turn(now, inbox, self.hands)
        except Exception as why:
            # what was decided stands; what was not is found by the edge's own look for reqs past their time
            self.faults += 1
            place = traceback.extract_tb(why.__traceback__)[-1]
            self.log.error("round_failed", error="%s: %s" % (type(why).__name__, why), where=place.name,
                           line=place.lineno, file=place.filename.rpartition("/")[2])
            self.wake(CHAIN, 20_000)
        self.rounds += 1
        self.cost.record_value(max(clock.now() - now, 1))
