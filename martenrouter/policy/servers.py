"""The servers that may be chosen, kept as the list changes: pools by role, and bounded sets of candidates.

A choice looks at no more than `CANDIDATES` servers, however large the fleet is. Where a pool holds no more
than that, the candidates are the whole pool.
"""

import collections
import dataclasses
from bisect import bisect_left

from martenrouter.policy.hashing import point

CANDIDATES = 100  # servers that one choice looks at; the least loaded of them is close to the least of all
REMEMBERED = 400  # sets of candidates that are kept until the list changes


class Ring:
    """Servers in the order of their points, so that every process finds the same ones behind a key."""

    def __init__(self):
        self._points, self._servers = [], []

    def __len__(self):
        return len(self._servers)

    def add(self, server):
        at = bisect_left(self._points, server.point)
        self._points.insert(at, server.point)
        self._servers.insert(at, server)

    def remove(self, server):
        at = bisect_left(self._points, server.point)
        while self._servers[at] is not server:
            at += 1  # another with the same point
        del self._points[at], self._servers[at]

    def behind(self, place, count):
        """The `count` servers from `place` on, around the end; all where there are no more."""
        if count >= len(self._servers):
            return list(self._servers)
        at = bisect_left(self._points, place)
        found = self._servers[at : at + count]
        return found + self._servers[: count - len(found)]


@dataclasses.dataclass(frozen=True, eq=False)
class Candidates:
    """Servers that one choice looks at; `id` is the same for the same set of a list."""

    id: tuple
    servers: list


class Pool:
    """Servers that are up and may get one kind of work."""

    def __init__(self, name):
        self.name = name
        self.members = {}  # server's id -> server, in the order in which they came up
        self.ring, self.cells, self.zones = Ring(), {}, {}
        self.memory = self.held = 0  # tokens: of all members; and those that this process holds there

    def __len__(self):
        return len(self.members)

    def __contains__(self, server):
        return server.id in self.members

    def add(self, server):
        self.members[server.id] = server
        self.memory += server.memory
        self.held += server.streams
        self.ring.add(server)
        self.cells.setdefault(server.cell, Ring()).add(server)
        self.zones.setdefault(server.zone, Ring()).add(server)

    def remove(self, server):
        del self.members[server.id]
        self.memory -= server.memory
        self.held -= server.streams
        self.ring.remove(server)
        self._leave(self.cells, server.cell, server)
        self._leave(self.zones, server.zone, server)

    @staticmethod
    def _leave(groups, key, server):
        groups[key].remove(server)
        if not groups[key]:
            del groups[key]

    def whole(self):
        return Candidates((self.name,), list(self.members.values()))

    def behind(self, key):
        """Candidates for a key, the same at every process."""
        return Candidates((self.name, key), self.ring.behind(point(key), CANDIDATES))

    def near(self, cells, zones, place):
        """Candidates from these cells and zones first, then from all; in each those from `place` on."""
        found = {}
        for group in [self.cells.get(cell) for cell in cells] + [self.zones.get(zone) for zone in zones]:
            if group is not None:
                half = (CANDIDATES - len(found)) // 2
                found.update((server.id, server) for server in group.behind(place, half))
        for server in self.ring.behind(place, CANDIDATES):
            if len(found) >= CANDIDATES:
                break
            found.setdefault(server.id, server)
        return Candidates((self.name, cells, zones, place), list(found.values()))


class Servers:
    """The pools of the fleet. `writers_read`: whether decode servers prefill where there is nobody else."""

    def __init__(self, writers_read):
        self._writers_read = writers_read
        self._prefill, self._alone, self.decode = Pool("prefill"), Pool("alone"), Pool("decode")
        self._up, self._kept = collections.Counter(), {}  # servers that are up, by role; candidates

    @property
    def prefill(self):
        """Those that only prefill; where there is none, those that do both."""
        return self._prefill if self._prefill else self._alone

    @property
    def has_prefill_only(self):
        return bool(self._prefill)

    def up_of_role(self, role):
        return self._up[role]

    def leave(self, server):
        """It is not up any more, or comes back changed. Nothing happens where it was in no pool."""
        if not server.pooled:
            return
        for pool in self._pools(server.role):
            pool.remove(server)
        server.pooled = False
        self._up[server.role] -= 1
        self._kept.clear()

    def join(self, server):
        """It is up, with its role, memory, cell and zone."""
        for pool in self._pools(server.role):
            pool.add(server)
        server.pooled = True
        self._up[server.role] += 1
        self._kept.clear()

    def _pools(self, role):
        if role == "read":
            return (self._prefill,)
        if role == "both":
            return self._alone, self.decode
        return (self._alone, self.decode) if self._writers_read else (self.decode,)

    def hold(self, server, tokens):
        """This process holds so many tokens more at the server, or fewer."""
        server.streams += tokens
        if server in self.decode:
            self.decode.held += tokens

    # ---- candidates ----

    def all_of(self, pool):
        return self._remembered((pool.name,), pool.whole)

    def behind(self, pool, key):
        return self._remembered((pool.name, key), lambda: pool.behind(key))

    def near(self, cells, zones, place):
        """Decode servers near those cells and zones, from `place` of the ring on."""
        return self._remembered((cells, zones, place), lambda: self.decode.near(cells, zones, place))

    def sample(self, pool, place):
        """Servers that stand for the whole pool."""
        if len(pool) <= CANDIDATES:
            return self.all_of(pool)
        return self._remembered(
            (pool.name, place), lambda: Candidates((pool.name, place), pool.ring.behind(place, CANDIDATES))
        )

    def _remembered(self, key, make):
        found = self._kept.get(key)
        if found is None:
            if len(self._kept) >= REMEMBERED:
                del self._kept[next(iter(self._kept))]
            found = self._kept[key] = make()
        return found
