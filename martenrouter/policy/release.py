"""Which servers are asked to release a state: each takes such a call for any request, so the first that
answers will do."""

import collections
from itertools import chain, islice, zip_longest

TRIES = 24  # servers for one call, one after the other
LATELY = 8  # of these, those that answered something lately
DEAF = 1_000_000  # microseconds for which a server that did not answer such a call is asked last


class Releases:
    """What became of calls to release; times are microseconds."""

    def __init__(self):
        self._answered = None  # id of the server that answered last
        self._deaf = collections.OrderedDict()  # server's id -> when it did not answer, oldest first

    def ended(self, now, id, answered):
        """A call to the server ended."""
        if answered:
            self._answered = id
            self._deaf.pop(id, None)
            return
        if id == self._answered:
            self._answered = None
        self._deaf.pop(id, None)
        self._deaf[id] = now

    def order(self, now, lately, others):
        """Ids, those first that are likely to answer. `lately`: servers, those that answered last first;
        `others`: servers drawn by chance. Both may be endless."""
        self._forget(now)
        pairs = zip_longest(islice(lately, LATELY), others)
        drawn = islice((server for server in chain.from_iterable(pairs) if server is not None), 2 * TRIES)
        ids = dict.fromkeys(server.id for server in sorted(drawn, key=lambda server: server.failed > 0))
        first = [self._answered] if self._answered else []
        ids = dict.fromkeys(chain(first, sorted(ids, key=self._deaf.__contains__)))
        return list(ids)[:TRIES]

    def _forget(self, now):
        while self._deaf and now - next(iter(self._deaf.values())) > DEAF:
            self._deaf.popitem(last=False)
