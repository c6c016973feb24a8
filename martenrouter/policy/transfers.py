"""Messages that are on their way: what one may take of this process before it is whole.

Bytes of clients that are not a whole request yet have no claim of their own, whoever sends them and however
they are cut; the bounds here keep what they cost from whoever else is served.
"""


class Transfers:
    """Asked by the front node; without state of requests."""

    read_turn = 5_000  # microseconds of one turn of the event loop that are spent on clients' bytes
    # of one connection in one turn: bytes of heads and chunks, and calls of the parser; a body of a told
    # length costs little
    read_part, read_pieces = 4 * 1024, 200

    small = 8 * 1024  # bytes of a message that is never the first to go
    large_part = 3 / 4  # of what may be on its way: for requests that are larger
    # of what may be on its way: up to it answers are read ahead of clients that take them slowly; the rest is
    # shared out evenly among all that may be open
    reads_ahead_part = 3 / 4
    read_at_once, read_at_once_least = 64 * 1024, 2 * 1024  # bytes of an answer

    whole_soon = 100_000  # microseconds in which a usual request is whole
    # microseconds for which a client may take nothing of its answer; where another wants its place
    takes_nothing_within, takes_nothing_displaced = 5_000_000, 500_000

    # microseconds of a stream that has begun. Its client may wait for 5 s after the last event, half an event
    # or none behind it, and for 5 s after one that was spoilt
    silent_between_events, half_stands_still = 4_500_000, 3_000_000
    event_within = 60_000_000  # microseconds for one event that moves
    # microseconds from the first byte of a read's answer to its last: its state is held meanwhile
    read_answer_within = 100_000

    def is_stalled(self, stream, now):
        """Whether nothing more is to be expected of the stream: `heard` tells when its last whole event came,
        `moved` when its last bytes did, `half` whether some came that are no whole event yet."""
        since_heard = now - stream.heard
        if stream.half or stream.moved > stream.heard:
            stands_still = now - stream.moved > self.half_stands_still
            return (
                stands_still and since_heard > self.silent_between_events or since_heard > self.event_within
            )
        return since_heard > self.silent_between_events

    @staticmethod
    def sees_end(unread, buffer):
        """Whether the end of a connection on which so many bytes stand unread would be seen. With more, its
        peer may have closed long ago behind bytes for which there is no room: the system takes a third of
        `buffer`, its bound, and more. 0 for a bound that is not known."""
        return not buffer or unread < buffer // 4

    @staticmethod
    def refused_first(unfinished, now):
        """Of requests that are not whole, each with `size` and `reading_since`, the one that holds most for
        longest, as a usual one never does; None where there is none."""
        return max(unfinished, key=lambda one: one.size * (now - one.reading_since + 1), default=None)

    def first_to_go(self, unfinished, waiting, attempts, now):
        """What ends where more is on its way than may be; None where nothing may. A request that is not whole
        loses least, as its client may send it again; but a small one is on its way like any, so that answers
        that clients leave, and those that are half heard, go before it. Each of `attempts` has `buffered`."""
        request = self.refused_first(unfinished, now)
        if request is not None and request.size > self.small:
            return request
        heard = max(attempts, key=lambda one: one.buffered, default=None)
        if heard is not None and heard.buffered <= self.small:
            heard = None
        return self.closed_first(waiting, now) or heard or request

    def may_hold_whole(self, size, held, limit):
        """Whether a whole request of so many bytes may be served where those that are open hold `held` of
        `limit`: large ones leave room for small ones."""
        return held + size <= (limit if size <= self.small else limit * self.large_part)

    def takes_nothing(self, waits_since, now):
        """Whether a client is given up that has taken nothing since then."""
        return now - waits_since > self.takes_nothing_within

    def displaced_reader(self, waiting, now):
        """Of clients whose answers wait for them, each with `waits_since`, the one that gives its place to a
        whole request: who has taken nothing for longest. None where all have taken something lately."""
        slowest = min(waiting, key=lambda one: one.waits_since, default=None)
        if slowest is None or now - slowest.waits_since < self.takes_nothing_displaced:
            return None
        return slowest

    def reads_ahead(self, on_their_way, limit):
        """Whether answers are read as fast as they come, however slowly their clients take them."""
        return on_their_way <= limit * self.reads_ahead_part

    def read_share(self, limit, streams):
        """Bytes of one answer of so many that are read ahead of its client where more is not: what its client
        has not taken waits at its server then, as a stream that is cut is lost."""
        share = int(limit * (1 - self.reads_ahead_part) / (2 * streams))  # a piece is read beyond it
        return min(max(share, self.read_at_once_least), self.read_at_once)

    def refused_for_newcomer(self, unfinished, now):
        """Of requests that are not whole, each with `reading_since` and `over_bound`, whether it has no place
        of its own, the one that is refused where newcomers want places; None where all have just begun."""
        old = (one for one in unfinished if one.over_bound or now - one.reading_since > self.whole_soon)
        return min(old, key=lambda one: (not one.over_bound, one.reading_since), default=None)

    @staticmethod
    def displaced_first(unfinished):
        """Of requests that are not whole, each with `reading_since`, the one that gives its place to a whole
        one: the oldest, as a usual one is whole before long. None where there is none."""
        return min(unfinished, key=lambda one: one.reading_since, default=None)

    @staticmethod
    def closed_first(waiting, now):
        """Of clients whose answers wait for them, each with `unsent` and `unsent_since`, when it last took
        something of it, the one that leaves most for longest; None where all have just begun to."""
        slow = (one for one in waiting if now > one.unsent_since)
        return max(slow, key=lambda one: one.unsent * (now - one.unsent_since), default=None)
