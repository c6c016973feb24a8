"""Releases that are owed after attempts that were given up or broke without an answer: their servers may not
know, and may leave a state later of which nobody is told.

Once the first calls to release are made, each server is asked itself, in rounds. Its answer shows that it
goes on, but neither that it has seen the attempt's connection end nor that it is done with what it had begun:
only its new start or its leaving does. All that is owed there is released in each round, ever more rarely in
the end; what is dropped before that is counted and logged. For as long as a server does not answer, it may be
cut off from this process alone, and any other server is asked to release the same.
"""

import gevent
from gevent.lock import BoundedSemaphore
from gevent.pool import Group

from martenrouter.edge import clock
from martenrouter.rules import is_asked_often, next_release

ASKED_AFTER = 0.25  # seconds from the first attempt given up
ROUND = 0.2  # seconds from one round to the next
RARE_ROUND = 1.0  # seconds, for servers that are asked rarely
ASK_WAITS = 1.0  # seconds for an answer; then a new connection may be heard earlier than the old one
RELEASE_WAITS = 0.25  # seconds for an answer of a server that has just answered
READ_ROUNDS, DECODE_ROUNDS = 4, 2  # first rounds in which a server that answers releases the state
MOST_OWED = 500  # requests at one server that are asked for often; the oldest are forgotten
MOST_RARE = 2000  # requests at all servers that are asked for rarely


class Owed:
    """One request's at one server. `since`: when the attempt ended; `start`: the server's, as told then;
    `rounds`: first ones still to be made; `due_at`, `elsewhere_at`: when its server, and while that does not
    answer another, is asked next."""

    __slots__ = "since", "start", "rounds", "due_at", "elsewhere_at"

    def __init__(self, since, start, rounds):
        self.since, self.start, self.rounds, self.due_at, self.elsewhere_at = since, start, rounds, 0, 0

    def asked(self, now):
        """Its server was, and answered."""
        self.rounds = max(self.rounds - 1, 0)
        self.due_at = now if self.rounds else next_release(now, self.since)


class OwedReleases:
    """`most`: servers that are asked at once, as each call holds a descriptor; `ask(id, server, within)`
    makes one call to release and tells whether it was answered within so many seconds; `release(id)` tells
    whether any of some servers answered one; `wanted(id)`, whether the request waits for a state just now.
    `start_of(server)`, `has_left(server)`: what the list tells; set by the node."""

    def __init__(self, most, ask, release, wanted, counters, log):
        self._asked = BoundedSemaphore(most)
        self._ask, self._release, self._wanted = ask, release, wanted
        self._counters, self._log = counters, log
        self.start_of, self.has_left = lambda server: None, lambda server: False
        self._debts = {}  # server -> {request's id: Owed, oldest first}
        self._rare = {}  # (request's id, server) -> Owed, of those asked for rarely, oldest first
        self._rarely = None  # the greenlet that asks for them
        self._greenlets = Group()

    @property
    def count(self):
        """How many are asked for often."""
        return sum(map(len, self._debts.values()))

    @property
    def rare_count(self):
        return len(self._rare)

    def owe(self, id, server, is_read):
        """The server may come to hold, or go on holding, a state of this request. `is_read`: whether the
        attempt was a read."""
        debt = self._debts.get(server)
        if debt is None:
            debt = self._debts[server] = {}
            self._greenlets.spawn(self._settle, server, debt)
        debt[id] = Owed(clock.now(), self.start_of(server), READ_ROUNDS if is_read else DECODE_ROUNDS)
        if len(debt) > MOST_OWED:
            self._forget(next(iter(debt)), server, debt.pop(next(iter(debt))))

    def stop(self):
        """Nothing is asked for any more, as where the process has ended."""
        self._greenlets.kill(block=False)

    def given_up(self):
        """The process ends: names what is still owed."""
        for server, debt in self._debts.items():
            self._log.info("releases_owed_at_the_end", engine=server, reqs=list(debt))

    def _forget(self, id, server, owed):
        self._counters["releases_forgotten"] += 1
        age = clock.now() - owed.since
        self._log.info("release_forgotten", req=id, engine=server, owed_for=age)

    def _is_settled(self, server, owed):
        """Whether what the server had begun has ended, by what the list tells."""
        if self.has_left(server):
            return not is_asked_often(clock.now(), owed.since)  # it may run a little longer than it is listed
        return self.start_of(server) != owed.start

    def _settle(self, server, debt):
        """Until nothing is asked for often at the server."""
        try:
            gevent.sleep(ASKED_AFTER)
            while self._go_on(server, debt):
                first = next(self._due(debt), None)
                if first is not None and self._is_heard(server, debt, first):
                    self._was_asked(debt, first)
                    self._release_there(server, debt, first)
                gevent.sleep(ROUND)
        finally:
            del self._debts[server]

    def _go_on(self, server, debt):
        """Takes out what is settled and what is asked for rarely from now on; whether anything is left."""
        now = clock.now()
        for id, owed in list(debt.items()):
            if self._is_settled(server, owed):
                del debt[id]
            elif not is_asked_often(now, owed.since):
                del debt[id]
                self._ask_rarely(id, server, owed)
        return debt

    @staticmethod
    def _was_asked(debt, id):
        owed = debt.get(id)
        if owed is not None:
            owed.asked(clock.now())

    def _due(self, debt):
        """Ids of the requests for which a server is to be asked now."""
        now = clock.now()
        due = [id for id, owed in debt.items() if owed.due_at <= now]
        return (id for id in due if not self._wanted(id))

    def _is_heard(self, server, debt, first):
        """Whether the server answers a call to release; others are asked while it does not."""
        if not self._asked.acquire(blocking=False):
            self._release_elsewhere(debt)
            return False
        try:
            call = gevent.spawn(self._ask, first, server, ASK_WAITS)
            while not call.ready():
                call.join(timeout=ROUND)
                if not call.value:
                    self._release_elsewhere(debt)
            return call.value
        finally:
            self._asked.release()

    def _release_elsewhere(self, debt):
        now = clock.now()
        for id in self._due(debt):
            owed = debt.get(id)
            if owed is None or now < owed.elsewhere_at:
                continue
            owed.elsewhere_at = next_release(now, owed.since)
            if not self._release(id):
                return  # nobody answers now: the rest would only add to what they have to do
            self._counters["releases_elsewhere"] += 1

    def _release_there(self, server, debt, asked):
        """All but the one that it was asked for."""
        for id in self._due(debt):
            if id != asked and self._ask(id, server, RELEASE_WAITS):
                self._counters["releases_owed"] += 1
                self._was_asked(debt, id)

    # ---- those that are owed for long ----

    def _ask_rarely(self, id, server, owed):
        owed.due_at = next_release(clock.now(), owed.since)
        self._rare[id, server] = owed
        if len(self._rare) > MOST_RARE:
            oldest = next(iter(self._rare))
            self._forget(*oldest, self._rare.pop(oldest))
        if self._rarely is None:
            self._rarely = self._greenlets.spawn(self._settle_rare)

    def _settle_rare(self):
        try:
            while self._rare:
                gevent.sleep(RARE_ROUND)
                for (id, server), owed in list(self._rare.items()):
                    self._settle_one(id, server, owed)
        finally:
            self._rarely = None

    def _settle_one(self, id, server, owed):
        now = clock.now()
        if self._is_settled(server, owed):
            self._rare.pop((id, server), None)
        elif owed.due_at <= now and not self._wanted(id):
            owed.due_at = next_release(now, owed.since)
            self._counters["releases_rare"] += 1
            with self._asked:
                heard = self._ask(id, server, RELEASE_WAITS)
            if not heard:
                self._release(id)
