"""What this process holds of messages that are on their way, as one sum against one limit."""


class TransferMemory:
    """All are bytes. `budget`: policy.memory.MemoryBudget; `transfers`: policy.transfers.Transfers."""

    def __init__(self, budget, transfers):
        self._budget, self._transfers = budget, transfers
        self.limit = budget.transfers
        self.requests = 0  # that are read or open
        self.whole_requests = 0  # of those, what is whole
        self.half_heard = 0  # of servers' answers, as no whole event yet
        self.unread = 0  # of answers that clients have not taken, but for what the system holds

    @property
    def limit_now(self):
        """As memory is just now."""
        return self._budget.now(self.limit, self._budget.transfers_least)

    @property
    def held(self):
        """All together."""
        return self.requests + self.half_heard + self.unread

    @property
    def is_over(self):
        """Whether more is held than may be."""
        return self.held > self.limit_now

    def may_hold_whole(self, size):
        """Whether a request that is whole and holds so much may be served."""
        return self._transfers.may_hold_whole(size, self.whole_requests, self.limit_now)

    def read_ahead(self, streams):
        """How much of one answer of so many may be read ahead of its client; None: as much as comes."""
        limit = self.limit_now
        if self._transfers.reads_ahead(self.held, limit):
            return None
        return self._transfers.read_share(limit, streams)
