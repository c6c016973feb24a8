"""How busy this process is: lateness of its event loop, rounds of the policy, lists, waits of requests.

All times are microseconds of the process's monotonic clock. What an interval held is logged as `load`; one
round that takes long is logged as `round_slow`.
"""

import dataclasses
import time

INTERVAL = 5_000_000  # microseconds between two `load` lines
ROUND_SLOW = 20_000  # microseconds from which a round is logged by itself: a tenth of the shortest limits
ROUND_SLOW_EACH = 1_000_000  # microseconds between two such lines


@dataclasses.dataclass
class Interval:
    """What happened since the last line; the names are those of the log."""

    loop_late_most: int = 0
    loop_late_turns: int = 0
    rounds: int = 0
    rounds_time: int = 0
    round_most: int = 0
    lists: int = 0
    lists_time: int = 0
    requests: int = 0
    first_attempt_after_most: int = 0
    state_waited_most: int = 0


class Load:
    """`log`: a structlog logger; `late_from`: lateness of the loop that is counted as a late turn."""

    def __init__(self, log, now, late_from):
        self._log, self._late_from = log, late_from
        self._interval, self._begun, self._processor = Interval(), now, time.process_time()
        self._slow_logged = now - ROUND_SLOW_EACH

    def woke(self, late):
        """The loop woke `late` microseconds after it was to."""
        self._interval.loop_late_most = max(self._interval.loop_late_most, late)
        self._interval.loop_late_turns += late >= self._late_from

    def round(self, now, took, **about):
        """A round of the policy took so long; `about` is told with one that is slow."""
        interval = self._interval
        interval.rounds += 1
        interval.rounds_time += took
        interval.round_most = max(interval.round_most, took)
        if took >= ROUND_SLOW and now >= self._slow_logged + ROUND_SLOW_EACH:
            self._slow_logged = now
            self._log.warning("round_slow", took=took, **about)

    def list_taken(self, took):
        """A message of the list of servers was taken in."""
        self._interval.lists += 1
        self._interval.lists_time += took

    def first_attempt(self, after):
        """A request's first attempt was decided `after` its arrival."""
        self._interval.requests += 1
        self._interval.first_attempt_after_most = max(self._interval.first_attempt_after_most, after)

    def state_waited(self, waited):
        """A read state got its decode attempt, or was released, after so long."""
        self._interval.state_waited_most = max(self._interval.state_waited_most, waited)

    def look(self, now, **gauges):
        """Logs the interval when it is over; `gauges`: what holds just now."""
        if now < self._begun + INTERVAL:
            return
        processor = time.process_time()
        self._log.info(
            "load",
            span=now - self._begun,
            processor=int((processor - self._processor) * 1e6),
            **dataclasses.asdict(self._interval),
            **gauges,
        )
        self._interval, self._begun, self._processor = Interval(), now, processor
