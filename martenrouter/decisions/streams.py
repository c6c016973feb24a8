"""Answers that have begun: the module's part ends with the first token, and what may still go wrong is chosen
here.

A stream can break (reset, error, an end without a finish), stall, outlast its deadline, or be read too slowly
by its client. Each ends with one final answer: pushed back where a retry is harmless, else aborted. Tokens
that the client has by then stay with it; a retry starts anew.
"""


class Streams:
    # A stream that waits behind a preempted answer pauses for a second or two: under that a stall is no news.
    # Then thirty times the usual gap: in the stand-ins' steps none longer was seen at an engine that still
    # wrote.
    LEAST, TIMES = 2_000_000, 30
    USUAL = 60_000  # a gap before any was seen: the common token target

    def __init__(self, settings):
        self.groups, self.round = settings["groups"], settings["round"]
        self.advice_cap = settings["advice_cap"]
        self.open = {}  # req -> [group, deadline, engine, forward, last token at]
        self.gap, self.gap_weight = self.USUAL, 0

    def began(self, now, id, group, deadline, engine, n):
        self.open[id] = [group, deadline, engine, n, now]

    def flowed(self, now, counts):
        """`counts`: req -> tokens since the last round that told."""
        for id, count in counts.items():
            stream = self.open.get(id)
            if stream and count:
                gap = (now - stream[4]) / count
                self.gap += (min(gap, 4 * self.gap + 1000) - self.gap) / 256  # the mean of some hundred gaps
                stream[4] = now

    def ended(self, id):
        self.open.pop(id, None)

    def patience(self):
        return max(self.LEAST, self.TIMES * self.gap)

    def broke(self, now, id, ending):
        """The writer's end of a begun stream failed. Returns (harmless, reason, time to return) or None."""
        stream = self.open.pop(id, None)
        return stream and self._answer(stream, "stream broke: " + ending)

    def swamped(self, now, id):
        """The client reads its stream too slowly for what may be kept unsent."""
        stream = self.open.pop(id, None)
        return stream and self._answer(stream, "client reads too slowly")

    def due(self, now):
        """(req, engine, forward, answer) of each stream that is given up now."""
        given_up = []
        for id, stream in self.open.items():
            if now >= stream[1] - 2 * self.round - 2000:  # two rounds early, like the module's answer_by
                given_up.append((id, stream, "deadline in mid-stream"))
            elif now - stream[4] > self.patience():
                given_up.append((id, stream, "stream stalled"))
        for id, _, _ in given_up:
            del self.open[id]
        return [(id, stream[2], stream[3], self._answer(stream, why)) for id, stream, why in given_up]

    def next_due(self, now):
        """When a stream has to be looked at next, None without streams."""
        patience = self.patience()
        return min(
            (
                min(stream[1] - 2 * self.round - 2000, stream[4] + patience + 1)
                for stream in self.open.values()
            ),
            default=None,
        )

    def _answer(self, stream, reason):
        group = self.groups.get(stream[0]) or {}
        effect = group.get("effect")
        harmless = effect == "replayable" or effect == "keyed" and group.get("repeat_scope") == "all"
        return harmless, reason, min(group.get("target", 0) // 2, self.advice_cap) if harmless else 0
