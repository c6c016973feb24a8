"""Who is heavy, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005) over amounts that halve with time.

A name that takes more than one in `size` of all is always among those kept; a name's count is over the truth
by at most what the least kept one had when it came in (`over`).
"""


class Heavy:
    def __init__(self, size, half):
        """`size`: names kept; `half`: microseconds in which amounts halve."""
        self.size, self.half = size, half
        self.counts, self.over, self.total, self.at = {}, {}, 0.0, 0

    def _age(self, now):
        """All are aged at once, and seldom: a factor for new amounts stands for it in between."""
        if now - self.at >= 8 * self.half:
            factor = 0.5 ** ((now - self.at) / self.half)
            for held in (self.counts, self.over):
                for name in held:
                    held[name] *= factor
            self.total *= factor
            self.at = now

    def add(self, now, name, amount):
        if not self.counts:
            self.at = now
        self._age(now)
        amount *= 2.0 ** ((now - self.at) / self.half)
        self.total += amount
        if name in self.counts:
            self.counts[name] += amount
        elif len(self.counts) < self.size:
            self.counts[name], self.over[name] = amount, 0.0
        else:
            least = min(self.counts, key=self.counts.get)
            floor = self.counts.pop(least)
            del self.over[least]
            self.counts[name], self.over[name] = floor + amount, floor

    def top(self, count):
        """[(name, part of all at most, part of all at least)], the heaviest first."""
        ranked = sorted(self.counts, key=lambda name: (-self.counts[name], str(name)))[:count]
        return (
            [
                (name, self.counts[name] / self.total, (self.counts[name] - self.over[name]) / self.total)
                for name in ranked
            ]
            if self.total
            else []
        )
