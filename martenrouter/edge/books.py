"""A front's budgets and ledger: who may be taken, what is charged, and that nobody is told done before it is
on disk.

What was spent is a fact, so the books are the edge's, whoever decides placement. The choices are
decisions/budgets.py and decisions/booking.py; this plays them: a thread writes to the ledger in groups,
greenlets wait for their group.
"""

import os

import gevent
import msgspec
from gevent.event import Event

from martenrouter.decisions import booking
from martenrouter.decisions.budgets import Budgets, Limits
from martenrouter.decisions.heavy import Heavy
from martenrouter.decisions.parts import Following, Leased, fixed
from martenrouter.decisions.periods import calendar
from martenrouter.edge import clock
from martenrouter.state.ledger import Ledger, Unusable

GROUP = 2_000  # microseconds that a group waits for others: under the scatter of a final answer
AGAIN = 200_000  # between tries while the disk is full
COUNTERS_EACH = 30_000_000
LOOK_EACH = 1_000_000
SPARE = 60_000_000  # a reservation lives this much longer than its req's deadline
EXPORTED_KEPT = 100_000  # entries that stay after they were exported, for corrections and questions
MARGIN = 100_000  # a final answer that can't be booked by then is an abort, before the deadline


class Leases(msgspec.Struct, forbid_unknown_fields=True):
    """The file that hands out parts: until when (wall time in milliseconds), and customer -> front -> part of
    its limits."""

    until_ms: int
    parts: dict[str, dict[str, float]]


class Books:
    def __init__(self, told, name, fronts, counters, log):
        """`told`: settings.front.Budgets. Raises state.ledger.Unusable."""
        self.told, self.name, self.counters, self.log = told, name, counters, log
        self.way = {"fixed": None, "following": Following(fronts), "leased": Leased(name, fronts)}[told.parts]
        self.even, self.fronts, self.leases_seen = fixed(fronts), fronts, 0
        if isinstance(self.way, Leased):
            self._read_leases()
        self.ledger = Ledger(told.ledger, name) if told.ledger else None
        now, wall = clock.now(), clock.wall()
        self.period_end, self.period = 0, None
        self.budgets = Budgets(now, self._limits, told.read_price, told.write_price, self._part)
        self.queue, self.opened, self.ended, self.came = [], [], [], Event()
        self.heavy = Heavy(256, 600_000_000)  # over ten minutes: who it is that fills the fleet just now
        self.failing = self.writing = False
        self.greenlets = []
        self.expected = {}  # endpoint group -> answer tokens usually written, in 1/256ths
        self._turn(wall)
        if self.ledger is not None:
            self._start(now, wall)

    # ---- limits, parts, period ----

    def _limits(self, key):
        kind, told = key[0], None
        if kind == "installation":
            told = self.told.installation
        elif kind == "customer":
            told = self.told.customers.get(key[1], self.told.each_customer)
        elif kind == "group":
            told = self.told.groups.get(key[2])
        elif kind == "session":
            told = self.told.each_session
        return (
            None
            if told is None
            else Limits(
                told.cap, told.period, told.rate_per_s, told.burst, told.open, told.share, told.on_cap
            )
        )

    def _part(self, key):
        if self.way is None:
            return self.even
        if isinstance(self.way, Leased):
            return self.way.part(clock.wall(), key[1] if len(key) > 1 else None)
        return self.way.part(key)

    def _turn(self, wall):
        """The ledger's period: goes on with the wall clock, never back."""
        if wall >= self.period_end:
            self.period, _, self.period_end = calendar("day", wall)

    # ---- start ----

    def _start(self, now, wall):
        at, told = self.ledger.counters()
        if told is not None:
            self.budgets.put(now, told)
        count = 0
        for entry in self.ledger.entries(at + 1):
            # a period that has not been is not begun by an entry of the future: the wall clock had been ahead
            if booking.counts(entry):
                self.budgets.correct(
                    entry["wall"],
                    self.budgets.path(entry["customer"], entry["group"], entry["session"]),
                    entry["units"],
                    now,
                )
            self.period_end = max(self.period_end, calendar("day", entry["wall"])[2])
            if entry["period"] and entry["period"] > self.period:
                self.period = entry["period"]
            count += 1
        left = self.ledger.resolve(
            lambda identity, fields: booking.resolved(
                identity,
                self.period,
                wall,
                fields.get("customer"),
                fields.get("group"),
                fields.get("session"),
            )
        )
        self.log.info(
            "ledger_opened",
            entries=self.ledger.last,
            counters_at=at,
            entries_after=count,
            left_by_a_crash=len(left),
        )

    def changed(self, told):
        """New limits from a settings file, under load: what is spent, reserved and open stays. Ledger, prices
        and the way to parts are those of the start."""
        kept = {
            name: getattr(self.told, name)
            for name in ("ledger", "read_price", "write_price", "parts", "leases")
        }
        self.told = msgspec.structs.replace(told, **kept)
        self.budgets.changed(clock.now(), clock.wall())
        self.log.info("budgets_changed", customers=len(told.customers))

    def _read_leases(self):
        """The operator's file, when it is a newer one; a bad one is said and the old lease runs on to its
        end."""
        try:
            stat = os.stat(self.told.leases)
            if stat.st_mtime_ns == self.leases_seen:
                return
            self.leases_seen = stat.st_mtime_ns
            with open(self.told.leases, "rb") as file:
                found = msgspec.json.decode(file.read(), type=Leases)
            wrong = Leased.check(found.parts, self.fronts)
            if wrong:
                raise ValueError(wrong)
        except (OSError, msgspec.MsgspecError, ValueError) as why:
            self.log.warning(
                "leases_unusable",
                path=self.told.leases,
                why=str(why),
                mend="the lease held runs on to its end",
            )
            return
        self.way.put(
            found.until_ms * 1000,
            {customer: of[self.name] for customer, of in found.parts.items() if self.name in of},
        )

    def start(self):
        self.greenlets = [gevent.spawn(self._look)] + (
            [gevent.spawn(self._write)] if self.ledger is not None else []
        )

    def stop(self):
        """What is still to be written is, then the counters; the ledger is closed."""
        if self.ledger is None:
            return gevent.killall(self.greenlets, block=False)
        until = clock.now() + 2_000_000
        while (
            (self.queue or self.opened or self.ended or self.writing)
            and clock.now() < until
            and not self.failing
        ):
            self.came.set()
            gevent.sleep(0.005)
        gevent.killall(self.greenlets)
        if not self.failing:
            self._keep()
        self.ledger.close()

    def _append(self, *group):
        """Runs in a thread; what went wrong, or None."""
        try:
            self.ledger.append(*group)
        except Unusable as why:
            return why

    # ---- a req's way ----

    def taken(self, r, prompt):
        """None when the req may be taken, else (reason, microseconds until it may be)."""
        if self.failing:
            return "ledger can't be written", AGAIN
        now, wall = clock.now(), clock.wall()
        path = self.budgets.path(r.customer, r.group.name, r.session)
        expected = min(self.expected.get(r.group.name, r.max_tokens * 64) // 256 + 1, r.max_tokens)
        refused = self.budgets.reserve(
            now, wall, r.id, path, prompt, expected, max(r.deadline - now, 0) + SPARE
        )
        if refused is not None:
            self.counters["budget_refused: " + refused.limit] += 1
            return "budget: %s of %s" % (refused.limit, " ".join(map(str, refused.key))), refused.after or 0
        return None

    def opened_(self, r, identity):
        """Told once the req is known: what a crash leaves of it can be resolved."""
        if self.ledger is not None:
            self.opened.append(
                (identity, {"customer": r.customer, "group": r.group.name, "session": r.session})
            )

    def wrote(self, r):
        """Tokens came. False: the answer ends here, its budget is spent."""
        if self.budgets.more(clock.now(), clock.wall(), r.id, len(r.texts)):
            return True
        self.counters["budget_ended_answer"] += 1
        return False

    def read(self, r, prompt):
        """An engine has counted the prompt; where the budget has no room for it, the answer ends at its first
        token."""
        self.budgets.more(clock.now(), clock.wall(), r.id, len(r.texts), prompt)

    def settled(self, r, identity, prompt, then):
        """The client gets its answer: charged for the prompt and what was written, once; `then(booked)` when
        it is on disk, or when it can't be by shortly before the deadline."""
        now, wall = clock.now(), clock.wall()
        written = len(r.texts)
        self._turn(wall)
        units = self.budgets.settle(now, wall, r.id, prompt, written)
        old = self.expected.get(r.group.name, written * 256)
        self.expected[r.group.name] = old + (written * 256 - old) // 16
        if r.usage[0] > prompt or r.usage[1] > written:
            self.budgets.waste(
                "read or written anew", max(r.usage[0] - prompt, 0), max(r.usage[1] - written, 0)
            )
        if units and r.customer is not None:
            self.heavy.add(now, r.customer, units)
        if self.ledger is None or units is None:
            return then(True)
        self.queue.append(
            (
                booking.charge(
                    identity,
                    self.period,
                    wall,
                    r.customer,
                    r.group.name,
                    r.session,
                    prompt,
                    written,
                    units,
                    r.trace,
                ),
                then,
                r.deadline - MARGIN,
            )
        )
        self.came.set()

    def dropped(self, r, identity, prompt):
        """The client got no answer that counts: nothing is charged, what was worked goes to the house."""
        if self.budgets.drop(r.id):
            self.budgets.waste("not answered", prompt if r.used else 0, len(r.texts))
            if self.ledger is not None:
                self.ended.append(identity)

    # ---- greenlets ----

    def _write(self):
        """Groups to the disk, in a thread: the loop goes on meanwhile."""
        pool = gevent.get_hub().threadpool
        while True:
            self.came.wait(1.0)
            self.came.clear()
            if not (self.queue or self.opened or self.ended):
                continue
            gevent.sleep(GROUP / 1e6)
            group, self.queue = self.queue, []
            opened, self.opened = self.opened, []
            ended, self.ended = self.ended, []
            done = [entry["id"] for entry, _, _ in group] + ended
            known = set(done)
            self.writing = True
            # one that was opened and has ended within the group was never open on disk
            why = pool.apply(
                self._append,
                ([entry for entry, _, _ in group], [one for one in opened if one[0] not in known], done),
            )
            self.writing = False
            if why is not None:
                if not self.failing:
                    self.failing = True
                    self.log.error(
                        "ledger_failing", why=str(why), mend="reqs are pushed back until it can be written"
                    )
                self._late(group)
                self.opened, self.ended = opened + self.opened, ended + self.ended
                gevent.sleep(AGAIN / 1e6)
                self.came.set()
                continue
            if self.failing:
                self.failing = False
                self.log.info("ledger_writes_again")
            for entry, then, _ in group:
                self.counters["charged"] += 1
                then(True)

    def _late(self, group):
        """Those that can still wait are tried again; an answer that can't is given as an abort, and its
        charge taken back."""
        now = clock.now()
        for entry, then, until in group:
            if now + AGAIN < until:
                self.queue.append((entry, then, until))
            else:
                self.budgets.correct(
                    entry["wall"],
                    self.budgets.path(entry["customer"], entry["group"], entry["session"]),
                    -entry["units"],
                    now,
                )
                self.ended.append(entry["id"])
                self.counters["not_booked"] += 1
                then(False)

    def _look(self):
        since = clock.now()
        while True:
            gevent.sleep(LOOK_EACH / 1e6)
            now = clock.now()
            self.look(now, clock.wall())
            if (
                self.ledger is not None
                and now - since > COUNTERS_EACH
                and not self.failing
                and not self.queue
            ):
                since = now
                self._keep()

    def look(self, now, wall):
        """Each second or so: what nobody settled, and parts that move."""
        for id in self.budgets.lapsed(now):
            self.counters["reservation_lapsed"] += 1
            self.log.warning("reservation_lapsed", req=id)
        if isinstance(self.way, Leased):
            self._read_leases()
        elif isinstance(self.way, Following):
            for key, node in self.budgets.nodes.items():
                if node.period is not None and node.limits.period in ("hour", "day", "month"):
                    _, begin, end = calendar(node.limits.period, wall)
                    self.way.look(
                        key, node.period.read(wall), self.budgets.cap(node), (wall - begin) / (end - begin)
                    )

    def _keep(self):
        """Counters as of the last entry, so that a start is quick; then old entries go, a slice at a time."""
        # exported and numbered without a switch in between: what it holds is what is booked
        told = (self.budgets.export(), self.ledger.last) if not self.queue else None
        why = gevent.get_hub().threadpool.apply(self._keep_apart, (told,))
        if why is not None:
            self.log.warning("counters_not_kept", why=str(why))

    def _keep_apart(self, told):
        """Runs in a thread; what went wrong, or None."""
        try:
            if told is not None:
                self.ledger.keep_counters(*told)
            self.ledger.compact(EXPORTED_KEPT)
        except Unusable as why:
            return why

    def status(self):
        return {
            "heavy": [[name, round(most, 3)] for name, most, _ in self.heavy.top(10)],
            "house": dict(self.budgets.house),
            "refused": dict(self.budgets.refused),
            "open": len(self.budgets.open),
            "entries": self.ledger.last if self.ledger is not None else None,
            "failing": self.failing,
        }
