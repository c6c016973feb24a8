"""How long the loop of this process was held at a time: a greenlet that should wake each few milliseconds
notes how late it is.

What holds a loop holds all streams alike, so this is the figure behind a pause between tokens that no engine
made. A machine that doesn't run the process shows here too: compare with the planner's and the engines' own.
"""

import gevent
from hdrh.histogram import HdrHistogram

from martenrouter.edge import clock

EACH = 10_000  # microseconds: a tenth of the shortest bound that is kept (takeover), and some 0.2% of a core


class LoopWatch:
    def __init__(self):
        self.late = HdrHistogram(1, 60_000_000, 3)  # microseconds

    def start(self):
        gevent.spawn(self._run)

    def _run(self):
        while True:
            due = clock.now() + EACH
            gevent.sleep(EACH / 1e6)
            self.late.record_value(max(clock.now() - due, 1))

    def status(self):
        return {
            "p50": self.late.get_value_at_percentile(50),
            "p99": self.late.get_value_at_percentile(99),
            "max": self.late.get_max_value(),
        }
