"""A front's part of what all fronts together may spend, when fronts share nothing. Three ways, each with its
worst overrun:

| way | a front's part | sum over fronts | what is lost |
| --- | --- | --- | --- |
| fixed | 1/N | 1 at the most: no overrun | a customer whose clients use few fronts gets only those fronts'
parts | | leased | what the operator's file grants it until a time, LEAST of 1/N after | 1 at the most while
files don't overlap and clocks agree to | nothing | |  |  | within GUARD; a front that can't read a newer file
falls back | while leases follow traffic | | following | 1/N, moved by what it sees of its own use, within
[1/(N·SPAN), SPAN/N] | SPAN at the most | least, at a bound of SPAN |

`following` rests on fronts being asked evenly or not at all: a front that uses little of its part gives up
some, one that is at its end takes some, and neither knows of the other; the bound holds whatever the clients
do, since no part is ever over SPAN/N. Its worst overrun is therefore (SPAN - 1) times the cap, with SPAN 1.25
a quarter.
"""


def fixed(fronts):
    """The part of each of so many fronts."""
    return 1 / max(fronts, 1)


class Following:
    SPAN = 1.25
    STEP = 1.02  # a change a look: some ten looks from one end to the other
    FULL, SPARE = 0.9, 0.5

    def __init__(self, fronts):
        self.even, self.parts = fixed(fronts), {}

    def part(self, key):
        return self.parts.get(key, self.even)

    def look(self, key, used, cap, passed):
        """Told each some seconds: `used` units of this front's `cap`, with `passed` (0 to 1) of the period
        gone. One that uses its part faster than time goes takes a little more; one that leaves half of it, a
        little less."""
        if cap <= 0 or not 0 < passed <= 1:
            return self.part(key)
        pace = used / cap / passed
        factor = self.STEP if pace >= self.FULL else 1 / self.STEP if pace <= self.SPARE else 1.0
        part = min(max(self.part(key) * factor, self.even / self.SPAN), self.even * self.SPAN)
        if abs(part - self.even) < 1e-12:
            self.parts.pop(key, None)
        else:
            self.parts[key] = part
        return part


class Leased:
    """Parts that an operator's file hands out for a time: {"until": wall, "parts": {"customer": {front:
    part}}}."""

    # microseconds: a lease ends this much before its time, so that clocks that differ by less don't overlap
    GUARD = 1_000_000
    LEAST = 0.5  # of 1/N, without a lease: a file that grants all of a cap leaves this out (see check)

    def __init__(self, name, fronts):
        self.name, self.even = name, fixed(fronts)
        self.until, self.parts = 0, {}

    def put(self, until, parts):
        """`parts`: customer -> this front's part."""
        self.until, self.parts = until, dict(parts)

    def part(self, wall, customer):
        if wall < self.until - self.GUARD and customer in self.parts:
            return self.parts[customer]
        return self.LEAST * self.even

    @classmethod
    def check(cls, parts, fronts):
        """What is wrong with a file's parts, or None. `parts`: customer -> {front: part}. Fronts that have no
        lease of a customer fall back to LEAST of an even part, also while the others hold theirs, and so does
        one that can't read the file: both are counted, so that the sum never passes 1."""
        for customer, of in sorted(parts.items()):
            if any(not 0 <= part <= 1 for part in of.values()):
                return "parts.%s: each is 0 to 1" % customer
            least = cls.LEAST * fixed(fronts)
            total = sum(max(part, least) for part in of.values()) + max(fronts - len(of), 0) * least
            if total > 1 + 1e-9:
                return "parts.%s: %g of the cap are handed out, with what fronts without a lease may use" % (
                    customer,
                    round(total, 4),
                )
        return None
