"""Token budgets: what a customer may spend, how fast and how much at a time; reserved at admission, corrected
as tokens come, settled once. No I/O and no clock: `now` (monotonic, for rates) and `wall` (for periods) are
handed in, in whole microseconds.

Amounts are whole units: prompt tokens times the price of reading one, answer tokens times that of writing
one, so that nothing is lost by rounding. Limits nest: a req passes the installation's, its customer's, its
endpoint group's within the customer, its session's; it is taken only when all have room, and holds a place in
all.

    reserve -> [more as tokens come ...] -> settle          what the client got is charged, once
                                         -> drop            it got nothing: nothing is charged

What engines did besides (a forward repeated, an answer read anew) is booked to the house by `waste` and
touches no budget.

**The bound.** Spent and reserved of a node stay at or under its cap by admission and by each `more`, but for
the node's one *grace*: the first answer that would pass the cap while it is written holds it and may be
finished; all others are ended where the cap is. The next is given only when the holder has settled. So a
node's cap is passed by no more than what one answer writes beyond the cap (tests.test_budgets proves it for
random orders of events). With `on_cap` "end" nobody gets it and the cap is passed by nothing; with "finish"
all may be finished, and the bound is what was open.
"""

from martenrouter.decisions.periods import period
from martenrouter.decisions.wheel import Wheel

TICK = 100_000  # of the wheel: a lost reservation is freed a tenth of a second late at the most
ROOT = ("installation",)


class Limits:
    """What a node is held to. `cap`: units a period, or None; `rate`: units a second, or None, with `burst`
    units saved up;
    `open`: reqs at a time, or None; `share`: its part of its parent when that is short."""

    __slots__ = ("cap", "period", "rate", "burst", "open", "share", "on_cap")

    def __init__(self, cap=None, period="day", rate=None, burst=None, open=None, share=1.0, on_cap="one"):
        self.cap, self.period, self.rate, self.open, self.share, self.on_cap = (
            cap,
            period,
            rate,
            open,
            share,
            on_cap,
        )
        self.burst = burst if burst is not None else rate


class Node:
    __slots__ = (
        "key",
        "limits",
        "period",
        "reserved",
        "open",
        "level",
        "level_at",
        "grace",
        "used_at",
        "children",
    )

    def __init__(self, key, limits, now):
        self.key, self.limits = key, limits
        self.period = period(limits.period) if limits.cap is not None else None
        self.reserved = self.open = 0
        self.level, self.level_at = float(limits.burst or 0), now
        self.grace, self.used_at = None, now
        self.children = 0

    def fill(self, now):
        """Units that the rate has saved up."""
        limits = self.limits
        if limits.rate is None:
            return float("inf")
        self.level = min(self.level + limits.rate * max(now - self.level_at, 0) / 1e6, limits.burst)
        self.level_at = max(now, self.level_at)
        return self.level


class Refusal:
    """Why a req isn't taken: which node, which of its limits, and microseconds until it has room again (None:
    never as it is)."""

    __slots__ = ("key", "limit", "after")

    def __init__(self, key, limit, after):
        self.key, self.limit, self.after = key, limit, after

    def __repr__(self):
        return "Refusal(%r, %r, %r)" % (self.key, self.limit, self.after)


class Reservation:
    __slots__ = ("id", "path", "amount", "prompt", "expected", "written", "stopped")

    def __init__(self, id, path, amount, prompt, expected):
        self.id, self.path, self.amount, self.prompt, self.expected = id, path, amount, prompt, expected
        self.written, self.stopped = 0, False


class Budgets:
    MOST = 200_000  # nodes of customers and sessions; the longest unused that hold nothing leave first

    def __init__(self, now, limits_of, read_price, write_price, part=None):
        """`limits_of(key)`: Limits or None for a node; `part(key)`: this front's part of them, 0 to 1
        (decisions/parts.py)."""
        self.limits_of, self.read_price, self.write_price = limits_of, read_price, write_price
        self.part = part or (lambda key: 1.0)
        self.nodes, self.open, self.lapses = {}, {}, Wheel(now, TICK)
        self.house = {}  # why -> units that engines worked for nobody
        self.refused = {}  # limit -> count

    # ---- nodes ----

    def path(self, customer, group, session):
        keys = [ROOT]
        if customer is not None:
            keys += [("customer", customer), ("group", customer, group)]
            if session is not None:
                keys.append(("session", customer, session))
        return keys

    def _node(self, now, key):
        node = self.nodes.get(key)
        if node is None:
            limits = self.limits_of(key)
            if limits is None:
                return None
            if len(self.nodes) >= self.MOST:
                self._forget(now)
            node = self.nodes[key] = Node(key, limits, now)
        node.used_at = now
        return node

    def _forget(self, now):
        """Sessions and customers that hold nothing and spent nothing that counts. A node with a cap keeps
        what it spent."""
        idle = sorted(
            (node.used_at, str(key), key)
            for key, node in self.nodes.items()
            if not node.open and (node.period is None or not node.period.read(node.used_at))
        )
        for _, _, key in idle[: max(self.MOST // 16, 1)]:
            del self.nodes[key]

    def cap(self, node):
        """This front's part of a node's cap, in whole units, rounded down: all fronts' together stay under
        it."""
        return int(node.limits.cap * self.part(node.key))

    # ---- a req's way ----

    def price(self, prompt, written):
        return prompt * self.read_price + written * self.write_price

    def reserve(self, now, wall, id, keys, prompt, expected, lapse):
        """None when it is taken, else a Refusal. `expected`: answer tokens; `lapse`: microseconds after which
        the reservation is freed if nobody settled it. The first limit on the way that has no room refuses;
        nothing is held then."""
        amount = self.price(prompt, expected)
        nodes = [node for node in (self._node(now, key) for key in keys) if node is not None]
        for node in nodes:
            refusal = self._room(now, wall, node, amount)
            if refusal is not None:
                self.refused[refusal.limit] = self.refused.get(refusal.limit, 0) + 1
                return refusal
        for node in nodes:
            node.reserved += amount
            node.open += 1
            if node.limits.rate is not None:
                node.level -= amount
        self.open[id] = Reservation(id, [node.key for node in nodes], amount, prompt, expected)
        self.lapses.put(id, now + lapse)
        return None

    def _room(self, now, wall, node, amount):
        limits = node.limits
        if limits.open is not None and node.open >= max(int(limits.open * self.part(node.key)), 1):
            return Refusal(node.key, "open", 100_000)  # some answer of it ends in that time; none is promised
        if limits.rate is not None:
            level = node.fill(now)
            # a req dearer than the burst goes when the burst is whole, and leaves a debt: else it would never
            # go
            need = min(amount, limits.burst)
            if level < need:
                return Refusal(node.key, "rate", int((need - level) * 1e6 / limits.rate) + 1)
        if limits.cap is not None:
            cap = self.cap(node)
            if node.period.read(wall) + node.reserved + amount > cap:
                at = node.period.room_at(wall, amount + node.reserved, cap)
                if at is None:
                    at = node.period.room_at(
                        wall, amount, cap
                    )  # what is reserved is settled or lapses before
                return Refusal(node.key, "cap", None if at is None else max(at - wall, 0))
        return None

    def more(self, now, wall, id, written, prompt=None):
        """Tokens of the answer came, `written` so far, or an engine has counted the prompt. True: go on;
        False: end the answer here, its budget is spent (asked again it stays so)."""
        held = self.open.get(id)
        if held is None:
            return True
        held.prompt = held.prompt if prompt is None else prompt
        held.written = max(written, held.written)
        if held.stopped:
            return False
        beyond = self.price(held.prompt, held.written) - held.amount
        if beyond <= 0:
            return True
        for key in held.path:
            node = self.nodes.get(key)
            if node is None or node.limits.cap is None or node.limits.on_cap == "finish":
                continue
            if node.period.read(wall) + node.reserved + beyond <= self.cap(node) or node.grace == id:
                continue
            if node.limits.on_cap == "one" and node.grace is None:
                node.grace = id
                continue
            held.stopped = True
            return False
        for key in held.path:
            node = self.nodes.get(key)
            if node is not None:
                node.reserved += beyond
                if node.limits.rate is not None:
                    node.level -= beyond
        held.amount += beyond
        return True

    def settle(self, now, wall, id, prompt, written):
        """What the client got is charged; the rest of what was reserved is free again. Returns the units
        charged, None when there is no such reservation (settled already: a repeat charges nothing)."""
        held = self._release(id)
        if held is None:
            return None
        charged = self.price(prompt, written)
        if held.stopped and charged > held.amount:
            # a prompt that an engine counted longer than was guessed: what the cap has no room for is the
            # house's
            self.house["beyond a cap"] = self.house.get("beyond a cap", 0) + charged - held.amount
            charged = held.amount
        for key in held.path:
            node = self.nodes.get(key)
            if node is None:
                continue
            if node.period is not None:
                node.period.add(wall, charged)
            if node.limits.rate is not None:
                node.level = min(node.level + held.amount - charged, node.limits.burst)
        return charged

    def drop(self, id):
        """The client got nothing. Whether there was a reservation."""
        held = self._release(id)
        if held is None:
            return False
        for key in held.path:
            node = self.nodes.get(key)
            if node is not None and node.limits.rate is not None:
                node.level = min(node.level + held.amount, node.limits.burst)
        return True

    def _release(self, id):
        held = self.open.pop(id, None)
        if held is None:
            return None
        self.lapses.take(id)
        for key in held.path:
            node = self.nodes.get(key)
            if node is not None:
                node.reserved -= held.amount
                node.open -= 1
                if node.grace == id:
                    node.grace = None
        return held

    def lapsed(self, now):
        """Reservations that nobody settled in their time, freed; their ids. What is known to be written of
        them is for the caller to charge or not."""
        ids = self.lapses.due(now)
        for id in ids:
            self.drop(id)
        return ids

    def waste(self, why, prompt, written):
        self.house[why] = self.house.get(why, 0) + self.price(prompt, written)

    # ---- settings that change under load, corrections, restarts ----

    def changed(self, now, wall):
        """New limits: what is spent, reserved and open stays; a lowered cap ends answers at their next
        tokens, refuses new ones."""
        for key, node in list(self.nodes.items()):
            limits = self.limits_of(key)
            if limits is None:
                if not node.open:
                    del self.nodes[key]
                continue
            if limits.cap is not None and (node.period is None or node.limits.period != limits.period):
                spent = node.period.read(wall) if node.period is not None else 0
                node.period = period(limits.period)
                node.period.add(wall, spent)  # of another kind: what counted goes on to count, once
            elif limits.cap is None:
                node.period = None
            node.fill(now)
            node.limits = limits
            node.level = min(node.level, limits.burst or 0)

    def correct(self, wall, keys, units, now=0):
        """A correction of the ledger's, in units more (or less): it counts to the period that is on."""
        for key in keys:
            node = self._node(now, key)
            if node is not None and node.period is not None:
                node.period.add(wall, units)

    def export(self):
        """What has been spent, as plain data. Reservations are no part of it: after a crash they are resolved
        by the ledger's rule."""
        return [
            [list(key), node.period.state(), node.limits.period]
            for key, node in sorted(self.nodes.items(), key=lambda one: str(one[0]))
            if node.period is not None
        ]

    def put(self, now, told):
        for key, state, kind in told:
            node = self._node(now, tuple(key))
            if node is not None and node.period is not None and node.limits.period == kind:
                node.period.put(state)

    def holds(self, key):
        """(spent and reserved now, cap of this front) for operators and tests; None without a cap."""
        node = self.nodes.get(key)
        if node is None or node.period is None:
            return None
        spent = node.period.spent if hasattr(node.period, "spent") else node.period.total
        return spent + node.reserved, self.cap(node)
