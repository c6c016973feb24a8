"""When servers started, on this process's monotonic clock.

The platform tells starts in wall time, and this process's wall clock may be stepped, before or after its own
start. So a start is read from the wall clock only within what the order of events shows: no server starts
after it was told, and none whose start is told as new had started when its entry was last heard otherwise.
"""

REMEMBERED = 4096  # servers whose starts are kept; those told longest ago go first


class ServerStarts:
    """Kept from the first list on; all times are microseconds of the process's monotonic clock."""

    def __init__(self, now, wall):
        """`wall`: the wall clock in microseconds since the Unix epoch, at `now`."""
        self._offset = wall - now  # as first read: a later step of this clock must not move a server's start
        self._heard = None  # when the watch last told anything: what is new since then began since then
        self._starts = {}  # server's id -> (its start as told, its start)

    def heard(self, now):
        """The watch told something, if only that nothing has changed."""
        self._heard = now

    def take(self, told, now):
        """{server's id: when it started, None for long ago} of a message; `told`: {id: milliseconds since the
        Unix epoch, 0 for long ago}."""
        starts = {id: self._start(id, since, now) for id, since in told.items()}
        while len(self._starts) > REMEMBERED:
            del self._starts[next(iter(self._starts))]
        return starts

    def _start(self, id, since, now):
        if not since:
            self._starts.pop(id, None)
            return None
        known = self._starts.pop(id, None)
        if known is not None and known[0] == since:
            start = known[1]
        else:
            start = max(min(since * 1000 - self._offset, now), self._heard or 0, 1)
        self._starts[id] = since, start
        return start
