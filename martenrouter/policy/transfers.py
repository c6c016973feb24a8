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

    # microseconds of a stream that has begun. The platform wants the client of a spoilt one let off within
    # 5 s, and that of one whose server is silent: half an event that stands still for so long is spoilt
    half_stands_still, silent_between_events = 3_000_000, 4_500_000
    event_within = 60_000_000  # microseconds for one event that moves
    # microseconds from the first byte of a read's answer to its last: its state is held meanwhile
    read_answer_within = 100_000

    def is_stalled(self, stream, now):
        """Whether nothing more is to be expected of the stream: `heard` tells when its last whole event came,
        `moved` when its last bytes did, `half` whether some came that are no whole event yet."""
        if stream.half or stream.moved > stream.heard:
            return now - stream.moved > self.half_stands_still or now - stream.heard > self.event_within
        return now - stream.heard > self.silent_between_events

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

    @staticmethod
    def displaced_first(unfinished):
        """Of requests that are not whole, each with `reading_since`, the one that gives its place to a whole
        one: the oldest, as a usual one is whole before long. None where there is none."""
        return min(unfinished, key=lambda one: one.reading_since, default=None)

    @staticmethod
    def closed_first(waiting, now):
        """Of clients whose answers wait for them, each with `unsent` and `unsent_since`, the one that leaves
        most for longest; None where all have just begun to."""
        slow = (one for one in waiting if now > one.unsent_since)
        return max(slow, key=lambda one: one.unsent * (now - one.unsent_since), default=None)
