"""How much of the memory limit may be held for clients, and how many of them may be there at once.

The process at rest and a reserve are taken off the limit first. What is left is shared out among
connections, open requests and the bytes of messages on their way, each at its price. Prices are estimates, so
resident memory is looked at too: near the limit all bounds are narrowed until it falls, and widened step by
step after.
"""

KILOBYTE = 1_000  # bytes, as the settings count


class MemoryBudget:
    """Bounds of one process. `limit` and `resident`, what it holds before it serves anybody, are bytes;
    `resident` is None where the system does not tell it; `servers`: how many it has been told of."""

    usual_at_rest = 30_000 * KILOBYTE  # where the system does not tell
    # for the list of servers, the policy's memory, the log, and what the allocator can't give back
    reserve_part, reserve_least = 1 / 16, 2_000 * KILOBYTE
    server_price = 500  # bytes, of each server, once the policy has looked at it
    left_least = 1_000 * KILOBYTE  # whatever the limit: a process that takes nobody serves nobody

    # shares of what is left; the rest is what prices miss
    connections_share, requests_share, transfers_share, ids_share = 1 / 3, 1 / 4, 1 / 5, 1 / 10
    connection_price = 12 * KILOBYTE  # greenlet, parser, head of a request
    request_price = 20 * KILOBYTE  # greenlet, connection to a server, what the policy knows
    id_price = 250  # bytes, of an id that must not run again
    connections_least, requests_least, transfers_least, ids_least = 32, 16, 100 * KILOBYTE, 400
    transfers_part = 1 / 6  # of the limit at most: half of it is to be free in usual service

    # of the system's buffers for a client, which grow and shrink with what stands in them
    receive_least, receive_most = 16 * 1024, 256 * 1024
    send_least, send_most = 16 * 1024, 64 * 1024

    narrows, widens, narrowest = 0.75, 0.02, 1 / 16  # of all bounds at one look

    def __init__(self, limit, resident, servers=0):
        at_rest = self.usual_at_rest if resident is None else resident
        at_rest += servers * self.server_price
        reserve = max(limit * self.reserve_part, self.reserve_least)
        self.left = max(limit - reserve - at_rest, self.left_least)
        # resident bytes from which bounds are narrowed: not by what is there before anybody came
        self.high = max(limit - reserve, at_rest + self.left_least)
        self.transfers = int(
            max(min(self.left * self.transfers_share, limit * self.transfers_part), self.transfers_least)
        )
        self.part = 1.0  # of the bounds that holds now

    def connections(self, most):
        """Connections to clients at once, `most` at the most."""
        return self._count(most, self.connections_share, self.connection_price, self.connections_least)

    def requests(self, most):
        """Open requests at once, `most` at the most."""
        return self._count(most, self.requests_share, self.request_price, self.requests_least)

    def remembered_ids(self, most):
        """Ids of requests that may have run and may not again, `most` at the most."""
        return self._count(most, self.ids_share, self.id_price, self.ids_least)

    def _count(self, most, share, price, least):
        return min(most, max(int(self.left * share / price), least))

    def system_buffers(self, connections):
        """(receive, send): bytes that the system is told to hold of each of so many connections at most; it
        counts twice as many."""
        each = int(self.left / (2 * connections))
        receive = min(max(each, self.receive_least), self.receive_most)
        return receive, min(max(each // 4, self.send_least), self.send_most)

    def look(self, resident):
        """So many bytes are resident now: whether that is too near to the limit."""
        if resident is None:
            return False
        if resident <= self.high:
            self.part = min(self.part + self.widens, 1.0)
            return False
        self.part = max(self.part * self.narrows, self.narrowest)
        return True

    def now(self, bound, least):
        """What holds of a bound just now."""
        return bound if self.part == 1 else max(int(bound * self.part), min(bound, least))
