"""How busy this process is: lateness of its event loop, rounds of the policy, lists, waits of requests.

All times are microseconds of the process's monotonic clock. What an interval held is logged as `load`; one
round that takes long is logged as `round_slow`.
"""

import dataclasses
import time

INTERVAL = 5_000_000  # microseconds between two `load` lines
ROUND_SLOW = 20_000  # microseconds from which a round is logged by itself: a tenth of the shortest limits
ROUND_SLOW_EACH = 1_000_000  # microseconds between two such lines
MEMORY_HIGH = 0.9  # part of the limit from which memory is logged by itself
MEMORY_HIGH_EACH = 1_000_000  # microseconds between two such lines
TURNED_AWAY = "refused_", "connection_closed_", "connection_made_room"  # beginnings of counters' names


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
    memory_most: int = 0


class Load:
    """`log`: a structlog logger; `late_from`: lateness of the loop that is counted as a late turn;
    `counters`: the node's, of which each line tells those that rose and say what was turned away."""

    def __init__(self, log, now, late_from, counters=()):
        self._log, self._late_from = log, late_from
        self._interval, self._begun, self._processor = Interval(), now, time.process_time()
        self._slow_logged = now - ROUND_SLOW_EACH
        self._counters, self._counted = counters, {}
        self._memory_high_logged = now - MEMORY_HIGH_EACH

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

    def memory(self, now, resident, limit, **about):
        """So many bytes of memory are resident of so many that may be; `about` is told where that is near."""
        self._interval.memory_most = max(self._interval.memory_most, resident)
        if resident >= MEMORY_HIGH * limit and now >= self._memory_high_logged + MEMORY_HIGH_EACH:
            self._memory_high_logged = now
            self._log.warning("memory_high", resident=resident, limit=limit, **about)

    def _turned_away(self):
        """Counters of what was turned away since the last line, by their names."""
        now = {name: count for name, count in dict(self._counters).items() if name.startswith(TURNED_AWAY)}
        rose = {name: count - self._counted.get(name, 0) for name, count in now.items()}
        self._counted = now
        return {name: count for name, count in rose.items() if count}

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
            turned_away=self._turned_away(),
        )
        self._interval, self._begun, self._processor = Interval(), now, processor
