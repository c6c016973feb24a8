"""Which servers are asked to release a state: each takes such a call for any request, so the first that
answers will do. And how often a server is asked that may only come to hold one."""

import collections
from itertools import chain, islice, zip_longest

TRIES = 24  # servers for one call, one after the other
LATELY = 8  # of these, those that answered something lately
DEAF = 1_000_000  # microseconds for which a server that did not answer such a call is asked last

# A server goes on with what it has begun though its caller has closed, and no answer tells when that ends. It
# is asked as often as a state may be held for as long as the slowest work of a server that is slow or hangs
# takes, and ever more rarely then.
OFTEN_FOR = 40_000_000  # microseconds from the attempt's end
ASKED_EACH = 350_000  # microseconds from one call to the next: states may be held for 300 ms beyond the limit
RARELY_PART = 4  # of a debt's age that passes until the next call, one part


def is_asked_often(now, since):
    """Whether a state that may come to be since the time `since` is looked for at the frequent pace."""
    return now - since < OFTEN_FOR


def next_release(now, since):
    """When a server that may hold a state since the time `since`, and was asked now, is asked again."""
    return now + (ASKED_EACH if is_asked_often(now, since) else (now - since) // RARELY_PART)


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
