"""Releases that are owed to one server itself: a read that it was given and has not answered may still end
there, once the server goes on, long after the read was given up, and leave a state that nobody is told of.

Once the calls that any server may answer have had their time, one call to release goes to the server and
waits; its answer shows that the server goes on. All that is owed there is released then, and where the answer
took long, again while reads that it had begun may end.
"""

import gevent

from martenrouter.edge import clock

OWED_FOR = 15_000_000  # microseconds from the last read given up at a server for which it is asked
ASKED_AFTER = 0.25  # seconds from the first read given up, or from a call that failed
HUNG_AFTER = 100_000  # microseconds without an answer after which reads may end late there
RELEASED_AGAIN_AFTER = (0.1, 0.2, 0.3)  # seconds between further rounds of releases at such a server
MOST_OWED = 500  # requests at one server; the oldest are forgotten


class OwedReleases:
    """`most`: servers that are asked at once, as each call holds a descriptor; `ask(id, server, within)`
    makes one call to release and tells whether it was answered within so many seconds; `wanted(id)` tells
    whether the request waits for a state just now."""

    def __init__(self, most, ask, wanted, counters):
        self._most, self._ask, self._wanted, self._counters = most, ask, wanted, counters
        self._owed = {}  # server -> {request's id: None}, oldest first
        self._until = {}  # server -> when it is given up

    def owe(self, id, server):
        """The server may come to hold a state of this request."""
        if server not in self._owed:
            if len(self._owed) >= self._most:
                self._counters["releases_not_owed"] += 1
                return
            self._owed[server] = {}
            gevent.spawn(self._settle, server)
        owed = self._owed[server]
        owed[id] = None
        if len(owed) > MOST_OWED:
            del owed[next(iter(owed))]
        self._until[server] = clock.now() + OWED_FOR

    def _settle(self, server):
        """Until nothing is owed to the server, or it has not answered for long."""
        owed = self._owed[server]
        try:
            while owed and (left := self._until[server] - clock.now()) > 0:
                gevent.sleep(ASKED_AFTER)
                first = next((id for id in owed if not self._wanted(id)), None)
                asked_at = clock.now()
                if first is None or not self._ask(first, server, left / 1e6):
                    continue
                ready = [id for id in owed if not self._wanted(id)]
                was_hung = clock.now() - asked_at > HUNG_AFTER
                self._release(server, ready, RELEASED_AGAIN_AFTER if was_hung else ())
                for id in ready:
                    owed.pop(id, None)
        finally:
            del self._owed[server], self._until[server]

    def _release(self, server, ids, again_after):
        for pause in (0, *again_after):
            gevent.sleep(pause)
            for id in ids:
                if not self._wanted(id) and self._ask(id, server, ASKED_AFTER):
                    self._counters["releases_owed"] += 1
