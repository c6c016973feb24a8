"""Order between customers when the fleet, not the budget, is short: who of those that wait is taken next.

Start-time fair queueing (Goyal, Vin, Cheng, "Start-time Fair Queuing", IEEE/ACM ToN 1997): a customer's req
gets a start tag, the later of the system's virtual time and the finish of the customer's last one; finish is
start plus cost over share. The least start is next. What a customer leaves unused is used by the others at
once; when it is back it begins at the system's time, so that it neither gets back what it left nor pays for
what others had. Importance goes first between reqs of different importance, within a bound: after `BOUND`
reqs of higher importance in a row one of lower importance is taken.
"""

import heapq


class Sharing:
    BOUND = 16  # the important go first, the others are slowed, not starved

    def __init__(self, share_of):
        """`share_of(customer)`: over 0."""
        self.share_of, self.virtual, self.finish = share_of, {}, {}
        self.waiting, self.gone, self.row, self.count = (
            {},
            set(),
            0,
            0,
        )  # importance -> heap of (start, count, id, customer, cost)

    def __len__(self):
        return sum(map(len, self.waiting.values())) - len(self.gone)

    def put(self, id, customer, cost, importance):
        start = max(self.virtual.get(importance, 0.0), self.finish.get((importance, customer), 0.0))
        self.finish[(importance, customer)] = start + cost / self.share_of(customer)
        self.count += 1
        heapq.heappush(self.waiting.setdefault(importance, []), (start, self.count, id, customer, cost))

    def leave(self, id):
        """It waits no longer: given up on, or answered otherwise."""
        self.gone.add(id)

    def next(self):
        """(id, customer, cost) of the one to be taken, or None."""
        levels = sorted((importance for importance in self.waiting if self._clean(importance)), reverse=True)
        if not levels:
            return None
        lower = self.row >= self.BOUND and len(levels) > 1
        importance = levels[1] if lower else levels[0]
        self.row = 0 if lower or len(levels) == 1 else self.row + 1
        start, _, id, customer, cost = heapq.heappop(self.waiting[importance])
        self.virtual[importance] = start
        if not self.waiting[importance]:
            # nobody waits: all begin alike again, and nothing is kept of customers that left
            del self.waiting[importance]
            for key in [key for key in self.finish if key[0] == importance]:
                del self.finish[key]
            self.virtual[importance] = 0.0
        return id, customer, cost

    def _clean(self, importance):
        heap = self.waiting[importance]
        while heap and heap[0][2] in self.gone:
            self.gone.discard(heapq.heappop(heap)[2])
        if not heap:
            del self.waiting[importance]
            return False
        return True
