"""Which connections to an engine are kept and used: no sockets here, a connection is whatever the caller
hands in.

Kept ones are used newest first, so that a burst's extra ones grow old and are closed. An idle one that is
older than engines commonly keep theirs is not used: its end may already be on the way, and a req sent into it
would end as a reset that proves nothing.

Something between here and the engines may also drop kept ones long before: what was kept then breaks at its
next use, at all engines alike. Where more than a quarter of those used lately did, none is used until that
has faded; a new one costs a handshake.
"""

from martenrouter.rules import Sum

RESTS = (
    50_000  # microseconds: the platform's engines may send a second answer some milliseconds behind the first
)


class Connections:
    IDLE = 4_000_000  # engines in the field close idle connections after 5 s and more
    FADES = 4_000_000  # microseconds: as the module's own measure of troubles that last for some seconds

    def __init__(self, most, idle=IDLE, total=None, rests=0):
        """`most` for one engine, `total` for all together; `idle`: microseconds an unused one is kept, where
        the engines' own limit is known; `rests`: microseconds before it is used again, in which what nobody
        asked for may still come: on a connection in use it would be taken for the answer to the next req."""
        self.most, self.total, self.within, self.rests = most, total, idle, rests
        self.idle, self.count = {}, 0  # engine -> [(since, connection)], oldest first; how many there are
        self.used, self.broke = Sum(self.FADES), Sum(self.FADES)

    def tell(self, now, broke):
        """How a kept connection served: `broke` if it broke before a byte of answer came."""
        self.used.add(now, 1)
        self.broke.add(now, broke)

    def trusted(self, now):
        return (
            self.broke.read(now) <= (self.used.read(now) + 4) / 4
        )  # four that held: one that broke says little

    def take(self, now, engine):
        """(connection or None, those to be closed)."""
        kept = self.idle.get(engine)
        if not kept:
            return None, ()
        if not self.trusted(now):
            return None, self.forget(engine)
        self.count -= len(kept)
        fresh = [pair for pair in kept if now - pair[0] < self.within]
        closing = [pair[1] for pair in kept if now - pair[0] >= self.within]
        rested = sum(now - pair[0] >= self.rests for pair in fresh)
        connection = fresh.pop(rested - 1)[1] if rested else None
        if fresh:
            self.idle[engine] = fresh
            self.count += len(fresh)
        else:
            del self.idle[engine]
        return connection, closing

    def give(self, now, engine, connection):
        """Back after use; returns those to be closed for it."""
        kept = self.idle.setdefault(engine, [])
        kept.append((now, connection))
        self.count += 1
        if len(kept) > self.most:
            return self._drop(engine)
        if self.total is not None and self.count > self.total:
            # guards against hundreds of engines, each within its own bound: the one that is unused for
            # longest goes
            return self._drop(min(self.idle, key=lambda engine: self.idle[engine][0][0]))
        return ()

    def _drop(self, engine):
        kept = self.idle[engine]
        self.count -= 1
        dropped = kept.pop(0)[1]
        if not kept:
            del self.idle[engine]
        return [dropped]

    def forget(self, engine):
        """The engine left, or another process answers for it: nothing of the old one is used."""
        kept = self.idle.pop(engine, ())
        self.count -= len(kept)
        return [connection for _, connection in kept]

    def sweep(self, now):
        closing = []
        for engine in list(self.idle):
            kept = self.idle[engine]
            while kept and now - kept[0][0] >= self.within:
                closing.append(kept.pop(0)[1])
                self.count -= 1
            if not kept:
                del self.idle[engine]
        return closing
