"""How late this process is itself: what it hears, and what it does, may be so much later than it seems."""

HALVES = 1_000_000  # microseconds: a processor that others use stays so for seconds


class Lateness:
    """The longest hold-up of the event loop lately; all times are microseconds."""

    def __init__(self):
        self._late = self._at = 0

    def held_up(self, now, late):
        self._late, self._at = max(late, self.read(now)), now

    def read(self, now):
        return int(self._late * 0.5 ** ((now - self._at) / HALVES)) if self._late else 0
