"""When servers started, on this process's monotonic clock.

The platform tells starts in wall time, and this process's wall clock may be stepped, before or after its own
start. So a start is read from the wall clock only within what the order of events shows: no server starts
after it was told, and none whose start is told as new had started long before its entry was last heard
otherwise.

Nothing was heard before the first list. There the servers that started last may have started just now,
whatever the clock says: where they are few, they are taken for cold.
"""

NEWS_LATE = 2_000_000  # microseconds that news of a start may take: the watch's empty lines come at this pace

# servers whose starts are kept, four times the largest fleet; those told longest ago go first
REMEMBERED = 12_800


class ServerStarts:
    """Kept from the first list on; all times are microseconds of the process's monotonic clock."""

    def __init__(self, now, wall, warm_within=0):
        """`wall`: the wall clock in microseconds since the Unix epoch, at `now`; `warm_within`: how long a
        server that has started is cold."""
        self._offset = wall - now  # as first read: a later step of this clock must not move a server's start
        self._warm_within = warm_within
        self._heard = None  # when the watch last told anything: what is new since then began since then
        self._starts = {}  # server's id -> (its start as told, its start)
        self._first = set()  # ids of the servers told before the watch told anything

    def heard(self, now):
        """The watch told something, if only that nothing has changed."""
        self._heard = now
        self._first.clear()

    def told(self, id):
        """The server's start as last told, in milliseconds since the Unix epoch; None for long ago."""
        known = self._starts.get(id)
        return known and known[0]

    def take(self, told, now):
        """{server's id: when it started, None for long ago} of a message; `told`: {id: milliseconds since the
        Unix epoch, 0 for long ago}."""
        first = self._heard is None
        no_earlier = self._youngest(told, now) if first else {}
        usual = 1 if first else self._heard - NEWS_LATE
        starts = {id: self._start(id, since, now, no_earlier.get(id, usual)) for id, since in told.items()}
        while len(self._starts) > REMEMBERED:
            del self._starts[next(iter(self._starts))]
        return starts

    def _youngest(self, told, now):
        """{id: the latest time at which it can have started} of those that started last, if they are at most
        a quarter of all: a fleet that was started at once is not taken for cold when this process starts."""
        self._first.update(told)
        newest = max(told.values(), default=0) * 1000
        ages = {id: newest - since * 1000 for id, since in told.items() if since}
        young = {id: now - age for id, age in ages.items() if age < self._warm_within}
        return young if 4 * len(young) <= len(self._first) else {}

    def _start(self, id, since, now, no_earlier):
        known = self._starts.pop(id, None)
        if not since:
            return None
        if known is not None and known[0] == since:
            start = known[1]
        else:
            start = max(min(since * 1000 - self._offset, now), no_earlier, 1)
        self._starts[id] = since, start
        return start
