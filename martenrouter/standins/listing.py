"""The state of a list service, without I/O or clock: versions, what may be told by when, and how it
misbehaves."""

from martenrouter.wire import nodes


class Listing:
    def __init__(self, epoch, late=0):
        """`late`: microseconds between a change and its push."""
        self.epoch, self.late, self.silent = epoch, late, False
        self.version, self.log = 0, []  # (version, time told, changed entries)

    def set(self, now, entries):
        self.version += 1
        self.log.append((self.version, now + self.late, list(entries)))

    def back(self, count):
        """As a service that was restored from an old copy."""
        self.log = self.log[:-count] or self.log[:1]
        self.version = self.log[-1][0]

    def new_epoch(self, now):
        entries = self.whole(self.version)
        self.epoch, self.version, self.log = self.epoch + 1, 1, [(1, now, entries)]

    def visible(self, now):
        """The newest version that may be told by now."""
        return max((version for version, at, _ in self.log if at <= now), default=0)

    def next_due(self, now):
        """When something that is not told yet may be, or None."""
        return min((at for _, at, _ in self.log if at > now), default=None)

    def whole(self, upto):
        entries = {}
        for version, _, changed in self.log:
            if version <= upto:
                entries.update((entry.id, entry) for entry in changed)
        return list(entries.values())

    def news(self, now, at):
        """What a subscriber that holds version `at` (-1: nothing) is told: (nodes.Told or None, the version
        it then holds)."""
        upto = self.visible(now)
        if at < 0 or at > upto:
            return nodes.Told("whole", self.epoch, upto, 0, self.whole(upto)), upto
        if upto == at:
            return None, at
        news = {}
        for version, _, entries in self.log:
            if at < version <= upto:
                news.update((entry.id, entry) for entry in entries)
        return nodes.Told("changes", self.epoch, upto, at, list(news.values())), upto
