"""When the fleet is short, who waits before the module: reqs beyond a few unread ones stand here, in the fair
order of their customers.

The module takes the important and the early first and knows customers by their quota only; one that asks for
much more than others fills its queue. With a gate it never has more unread reqs than `LIMIT`, and the next
one is whose customer had least (decisions/sharing.py). What has waited for half of its response target is
pushed back with a time to return: it was never forwarded, so a retry is harmless.
"""

from martenrouter.decisions.sharing import Sharing


class Gate:
    # unread reqs in the module: under some two dozen it still picks among enough, and the wait behind them is
    # short
    LIMIT = 24
    PART = 0.5  # of the response target: the rest is for reading and writing, or for the next front

    def __init__(self, shares):
        """`shares`: customer -> share, None -> that of all others."""
        self.shares = shares
        self.sharing = Sharing(lambda customer: shares.get(customer, shares[None]))
        self.until = {}  # waiting req -> when it is pushed back, the earliest not always first

    def __len__(self):
        return len(self.until)

    def closed(self, unread):
        """Whether a new req stands here: behind those that do, and when the module has enough."""
        return bool(self.until) or unread >= self.LIMIT

    def put(self, id, customer, cost, importance, until):
        self.sharing.put(id, customer, cost, importance)
        self.until[id] = until

    def leave(self, id):
        if self.until.pop(id, None) is not None:
            self.sharing.leave(id)

    def released(self, unread):
        """Ids that go on to the module, in order."""
        ids = []
        while self.until and unread + len(ids) < self.LIMIT:
            id, _, _ = self.sharing.next()
            del self.until[id]
            ids.append(id)
        return ids

    def due(self, now):
        """Ids that have waited too long; they have left."""
        ids = [id for id, until in self.until.items() if until <= now]
        for id in ids:
            self.leave(id)
        return ids

    def next_due(self):
        return min(self.until.values(), default=None)
