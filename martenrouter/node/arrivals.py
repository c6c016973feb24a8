"""When bytes came that this process has not read yet, as far as that can be known: a time no later than when
they did.

What is told a server of the client's deadline counts from there, so that a busy event loop, a full accept
queue or a request that is served first never adds to it.
"""

import collections

import gevent

from martenrouter.edge import clock

# microseconds: the node wakes its loop each 50 ms, so a longer turn is one in which the loop was held
USUAL_TURN = 60_000


class LoopTurns:
    """Notes when the event loop looked for events."""

    def __init__(self):
        self._previous = self._latest = clock.now()
        self.number = 0  # how many turns there have been
        self._check = gevent.get_hub().loop.check()

    def start(self):
        self._previous = self._latest = clock.now()
        self._check.start(self._looked)

    def stop(self):
        self._check.stop()

    def _looked(self):
        self._previous, self._latest = self._latest, clock.now()
        self.number += 1

    def earliest(self):
        """What the loop reports in this turn came no earlier: now, or when it looked before if it was held
        since then."""
        return self._previous if self._latest - self._previous > USUAL_TURN else clock.now()


MARKS_MOST = 32  # of one connection; what comes after them is taken to have come as early as the last of them


class Arrivals:
    """Of one connection: how many bytes were seen unread, and when."""

    def __init__(self):
        self._marks = collections.deque()  # (bytes that were unread, when they were seen), oldest first

    @property
    def pending(self):
        """Whether bytes were seen that have not been read since."""
        return bool(self._marks)

    def seen(self, unread, at):
        if self._marks and unread <= self._marks[-1][0]:
            return
        if len(self._marks) >= MARKS_MOST:
            _, at = self._marks.pop()
        self._marks.append((unread, at))

    def consumed(self, count):
        while self._marks and self._marks[0][0] <= count:
            self._marks.popleft()
        self._marks = collections.deque((unread - count, at) for unread, at in self._marks)

    def first(self):
        """When the next byte to be read came at the latest; None if none was seen."""
        return self._marks[0][1] if self._marks else None
