"""All decisions of martenrouter: who reads a req, who writes it, and what is done when that fails.

`Front(seed, settings)` is one router instance; it shares nothing with others. Once a round it is called as
`turn(now, inbox, out)`: `inbox` holds (call, arguments) pairs, `out` takes decisions at once. The interface
stands in martenrouter/drill/codec.py. Times are whole microseconds, ids go back as they came.

Life of a req: unread -> reading -> read (its state waits at the reader) -> writing -> started -> ended.
"""

from itertools import islice
from math import exp, log2
from statistics import median
from zlib import crc32

from martenrouter.policy.endpoint_list import DiscoveryEvent as DiscoveryEvent  # for martenrouter.node
from martenrouter.policy.endpoint_list import EndpointList
from martenrouter.policy.hashing import draw, key_of, number, point
from martenrouter.policy.held_states import clock_after, is_unanswered
from martenrouter.policy.lateness import Lateness
from martenrouter.policy.memory import MemoryBudget
from martenrouter.policy.reasons import GiveUp
from martenrouter.policy.release import TRIES, Releases
from martenrouter.policy.release import is_asked_often as is_asked_often  # for martenrouter.node
from martenrouter.policy.release import next_release as next_release
from martenrouter.policy.repeated_ids import RepeatedIds
from martenrouter.policy.servers import CANDIDATES, Servers
from martenrouter.policy.transfers import Transfers

UNREAD, READING, READ, WRITING, STARTED, ENDED = range(6)
NEVER_RAN = ("full", "unreachable", "not sent", "read")  # endings that prove a forward had no effect
FAILED = ("error", "unreachable", "reset", "full")  # endings that speak against an engine
HELD_UP_ALLOWED = 200_000  # microseconds beyond a state's limit: two thirds of what sockets have more
HOMES_OF_A_KEY = 32  # of a prefix, in fleets that one set can't hold: a third of the set
FURTHER = 3  # sets of candidates that are looked at where the first holds nobody who may be sent to


class Sum:
    """A sum that halves every `half` microseconds, brought up to date when read."""

    __slots__ = ("half", "value", "at", "since")

    def __init__(self, half):
        self.half, self.value, self.at, self.since = half, 0.0, 0, None

    def read(self, now):
        if now > self.at:
            self.value *= 0.5 ** ((now - self.at) / self.half)
            self.at = now
        return self.value

    def add(self, now, amount):
        self.value = self.read(now) + amount
        self.since = now if self.since is None else self.since

    def rate(self, now):
        """What came in a microsecond; a sum that is young holds less than one that has run for long."""
        if self.since is None:
            return 0.0
        age = max(now - self.since, self.half / 8)
        return self.read(now) * 0.693 / self.half / (1 - 0.5 ** (age / self.half))


def once_a_round(compute):
    """What is the same for all reqs of a round is computed once, until something is sent."""

    def look_up(front, of=None):
        key = compute, getattr(of, "id", of)
        if key not in front.same:
            front.same[key] = compute(front) if of is None else compute(front, of)
        return front.same[key]

    return look_up


class Pace:
    """What a pool of engines needs for a piece of work, from all that this front saw of the pool."""

    BASE = 1000  # tokens that stand for the fixed part of each piece: about one step of an engine

    def __init__(self):
        self.spent, self.work = Sum(10_000_000), Sum(10_000_000)  # 10 s: long against an answer

    def add(self, now, spent, tokens, weight=1):
        self.spent.add(now, spent * weight)
        self.work.add(now, (tokens + self.BASE) * weight)

    def rate(self, now):
        return (self.spent.read(now) + 60 * 2000) / (self.work.read(now) + 2000)  # 60 us: a large model

    def expect(self, now, tokens):
        return self.rate(now) * (tokens + self.BASE)


def remember(where, key, value):
    where.pop(key, None)
    where[key] = value
    if len(where) > 400:  # a few minutes of sessions: older ones have been pushed out
        del where[next(iter(where))]


class Record:
    """A req, set up by `arrived` (`out`: its forwards not ended), or a forward, set up by `send`."""


class Engine:
    """One engine as this front knows it; a link is kept alike, as it too answers late or not at all."""

    def __init__(self, id):
        self.id, self.up, self.role, self.memory, self.born, self.left = id, False, "", 0, 0, False
        self.cell = self.zone = None
        self.point, self.pooled = point(id), False  # its place on the ring; whether it may be chosen
        self.waiting = {}  # forwards out that have neither started nor ended, oldest first
        self.pending = 0  # prompt tokens of those
        self.streams = 0  # tokens of this front's forwards out at a writer, started or not
        self.answered = self.tested = self.served_to = 0
        self.forget()

    def forget(self):
        """A fresh process, also under an old id: nothing learnt of another holds."""
        self.kept = {}  # prefix or session -> tokens that a reader probably has kept
        self.load, self.load_at, self.streams_then = None, 0, 0
        self.felt, self.felt_at = 0, 0  # prompt tokens of other fronts that a read found before it
        self.late, self.tries = Sum(4_000_000), Sum(4_000_000)  # follows troubles of some seconds
        self.failed = 0  # failures since the last answer
        self.cold_sends = None  # (time, work) of sends while it warms up

    def judge(self, now, ratio):
        self.late.add(now, min(ratio, 8))
        self.tries.add(now, 1)
        self.failed = 0

    def fail(self, now, weight):
        """An answer five times late. Told failures in a row condemn; silence may only be an engine behind."""
        row = self.failed + weight
        self.judge(now, 5)
        self.failed, self.tested = row, now


class Front:
    def __init__(self, seed, settings):
        self.settings, self.seed, self.draws, self.now, self.out = settings, seed, 0, 0, None
        get = settings.get
        self.groups = {}
        for i, group in enumerate(get("groups", ())):
            group = dict(group)
            for name in ("target_per_1000_prompt", "token_target"):
                told = get(name) or [0]
                group[name] = told[min(i, len(told) - 1)]
            self.groups[group.get("name")] = group
        self.fronts = max(1, get("fronts", 1))
        self.unseen = (1 - 1 / self.fronts) ** 4  # how much goes on unseen: little with two, most with twenty
        self.round_time, self.cap = get("round", 0), get("forwards_cap", 4)
        self.release_within = get("release_within", 1_000_000)
        self.engines, self.reqs, self.live, self.links = {}, {}, {}, {}
        self.servers = Servers(get("writers_read", False))
        self.place_on_ring = point(seed)  # where this process looks for decode servers: it meets them again
        self.releases, self.lateness, self.late = Releases(), Lateness(), 0
        self.transfers, self.repeated_ids = Transfers(), RepeatedIds()
        self.endpoint_list = EndpointList(get("drain_within", 0))
        self.departed = {}  # engines that left the list, until the last forward there has ended
        self.answered_lately = {}  # engines that answered, in the order of their last answers
        self.pace = {"read": Pace(), "write": Pace(), "port": Pace(), "out": Pace()}  # by way too: see send
        self.drained = Sum(4_000_000)  # tokens of ended answers: what makes room at the writers
        self.told, self.same = {}, {}  # reports of memory held, by cell and of all; see once_a_round
        self.prefixes, self.asked_for = {}, Sum(60_000_000)  # over a minute: few come to each of many fronts
        self.quota = {c.get("name"): c.get("quota_per_s") for c in get("customers", ())}
        self.mean_work, self.buckets = {}, {}
        self.carried, self.carried_each = {}, {}  # by role: work of all servers, and of one of those then up
        self.marks = self.wake_at = self.asked = self.ask_wait = 0
        self.given_up_for = GiveUp.OTHER  # why the request was given up that `out` is told of

    def turn(self, now, inbox, out):
        self.now, self.out, self.same = now, out, {}
        self.late = self.lateness.read(now)
        for call, arguments in inbox:
            getattr(self, call)(*arguments)
        self.follow_list()
        self.look_after_forwards()
        self.same.clear()
        self.place_unread()
        self.place_states()
        self.set_wake()

    def listed(self, version, scope, entries):
        if scope == "failed":
            cap = self.settings.get("ask_within", 10_000_000) // 2
            self.ask_wait = min(max(2 * self.ask_wait, 500_000), cap)  # back off: the service is crowded
            return
        self.ask_wait = 0
        if scope != "configuration":
            self.endpoint_list.confirm()
        roles = dict(zip(self.settings.get("kinds", ()), self.settings.get("role_by_kind", ())))
        memory = dict(zip(self.settings.get("kinds", ()), self.settings.get("memory_by_kind", ())))
        for phase, weight, zone, id, cell, kind, born in entries:
            engine = self.engine(id)
            if (born or 0) > engine.born and phase == "up":
                engine.forget()
            engine.born = born or 0
            self.stands(engine, phase == "up", zone, cell, roles.get(kind, "both"), memory.get(kind, 0))
            self.leaves(engine, phase == "gone")
        if scope != "changes":
            named = {entry[3] for entry in entries}
            for engine in [engine for id, engine in self.engines.items() if id not in named]:
                self.servers.leave(engine)
                engine.up = False
                self.leaves(engine, True)
        self.forget_departed()

    def list_current(self):
        """Discovery has nothing newer than what was listed."""
        self.endpoint_list.confirm()

    def discovery(self, event, at):
        """`event`: a DiscoveryEvent, which happened at the time `at`."""
        self.endpoint_list.take(event, at)

    def engine(self, id):
        """What is known of the engine; nothing yet where it is new."""
        engine = self.engines.get(id)
        if engine is None:
            engine = self.engines[id] = Engine(id)
        return engine

    def stands(self, engine, *told):
        """`told`: whether it is up, its zone, cell, role and memory."""
        if told != (engine.up, engine.zone, engine.cell, engine.role, engine.memory):
            self.servers.leave(engine)
            engine.up, engine.zone, engine.cell, engine.role, engine.memory = told
            if engine.up:
                self.servers.join(engine)

    def leaves(self, engine, left):
        engine.left = left
        if left:
            self.departed[engine.id] = engine
        else:
            self.departed.pop(engine.id, None)

    def forget_departed(self):
        """Ids come and go all day: what left is forgotten after its last forward."""
        for id, engine in list(self.departed.items()):
            if not engine.waiting and engine.streams < 1:
                del self.departed[id], self.engines[id]
                self.answered_lately.pop(id, None)

    def answers(self, engine):
        engine.answered = self.now
        self.answered_lately.pop(engine.id, None)
        self.answered_lately[engine.id] = engine

    def follow_list(self):
        again = not self.asked or self.ask_wait and self.now >= self.asked + self.ask_wait  # ever later
        if self.settings.get("discovery") == "subscribe" and again:
            self.asked = self.now
            self.out.subscribe()

    def arrived(self, id, group, customer, session, deadline, hint, prefix, prompt, shared, max_out, flags):
        r = self.reqs[id] = self.live[id] = Record()
        session, prefix = key_of(session), key_of(prefix)
        g = self.groups.get(group) or {}
        r.id, r.group, r.customer, r.session, r.prefix = id, g, customer, session, prefix
        r.home = prefix or session or str(id)
        r.prompt, r.shared, r.arrived, r.deadline = prompt, shared, self.now, deadline
        target = self.now + g.get("target", 0) + g.get("target_per_1000_prompt", 0) * prompt / 1000
        r.target = min(target, deadline)  # a client that gives up before it moves it forward
        token = g.get("token_target") or 50_000
        r.answer = hint / token if hint and (flags or 0) & 1 else max_out / 4  # else a quarter of a ceiling
        r.stage, r.reader, r.clock, r.used, r.out, r.effect = UNREAD, None, 0, 0, {}, None
        r.held, r.banned, r.shunned, r.weights = False, None, None, {}
        r.failed_at = set()  # ids of engines at which an attempt of it failed
        r.lingers = False  # whether its state was released while an attempt was out that may have kept it
        r.unheard = 0  # microseconds that its state may have waited before this process heard of it
        part = self.settings.get("over_share_importance", 1) if self.over_share(r) else 1
        r.rank = (-part * g.get("importance", 1), r.target, id)
        self.asked_for.add(self.now, 1)
        if prefix:
            often = self.prefixes.get(prefix) or Sum(60_000_000)
            often.add(self.now, 1)
            remember(self.prefixes, prefix, often)
        for name in (g.get("name"), None):  # None: of all
            total, count = self.mean_work.setdefault(name, (Sum(20_000_000), Sum(20_000_000)))
            total.add(self.now, prompt)
            count.add(self.now, 1)

    def memory_budget(self, limit, resident, servers):
        """The bounds of this process: see policy/memory.py. What is remembered here follows from them too."""
        budget = MemoryBudget(limit, resident, servers)
        self.repeated_ids.most = budget.remembered_ids(self.repeated_ids.most)
        return budget

    def resumed(self, id, *told):
        """An answer that paused for a tool; its state has waited at an engine; `here` goes on there."""
        self.arrived(id, *told[:-3])
        engine = self.engine(told[-3])
        r, here, waited = self.reqs[id], *told[-2:]
        r.stage, r.reader, r.clock, r.held = READ, engine, self.now - waited, True
        if here:
            way = engine.cell, "port"
            self.send(r, engine, False, self.links.setdefault(way, Engine(way)))

    def adopted(self, id, told, age, stage, used, reader, since, held, effect, out):
        """A req taken over in mid-life: `told` as in `arrived`, `age` ago; `since`: time from its last
        outcome; `effect`, `out`: (n, engine, sent ago, started) of what may have run, of those out."""
        now, writer = self.now, self.out
        self.now, self.out = now - age, Record()
        self.out.forward = lambda *_: None  # they are out already
        self.arrived(id, *told)
        r = self.reqs[id]
        r.reader = self.engines.get(reader)
        for n, engine, ago, started in ([effect] if effect else []) + out:
            engine, r.used, self.now = self.engine(engine), n, now - ago
            way = r.reader and (r.reader.cell, "port" if r.reader.cell == engine.cell else "out")
            reads = engine.role == "read"
            link = None if reads or not way else self.links.setdefault(way, Engine(way))
            self.send(r, engine, reads, link)
            if started or effect and n == effect[0]:
                r.out[n].started = True
                self.ended_waiting(r.out[n])
        if effect:
            r.effect = r.out.pop(effect[0])
            self.servers.hold(r.effect.engine, -r.effect.tokens)
        self.now, self.out = now, writer
        r.stage, r.used, r.clock, r.held = stage, used, now - since, held
        if stage == STARTED:
            self.live.pop(id, None)

    def due(self, id, deadline):
        """The front will be gone before its deadline: the answer has to be out sooner."""
        r = self.reqs.get(id)
        if r:
            r.deadline, r.target = min(r.deadline, deadline), min(r.target, deadline)

    def over_share(self, r):
        """Whether its customer sends more than this front's part of the quota, with a second's allowance."""
        rate = (self.quota.get(r.customer) or 0) / self.fronts
        level, at = self.buckets.get(r.customer, (rate, self.now))
        level = min(rate, level + rate * (self.now - at) / 1e6)
        self.buckets[r.customer] = (level - 1 if level >= 1 else level, self.now)
        return rate > 0 and level < 1

    def first_token(self, id, n, engine, elapsed):
        r = self.reqs.get(id)
        f = r and r.out.get(n)
        if not f or f.started:
            return
        f.started = True
        self.ended_waiting(f)
        self.learn(f, elapsed)
        r.held = r.lingers = False
        self.live.pop(id, None)
        r.stage = max(r.stage, STARTED)

    def arrival(self, id, n, arrived):
        """Whether the last byte of a decode attempt has reached its server's machine; told each time that
        changes, and never on the simulator."""
        r = self.reqs.get(id)
        f = r and r.out.get(n)
        if f:
            f.arrived = arrived

    def held_up(self, late):
        """This process's event loop was held for so many microseconds."""
        self.lateness.held_up(self.now, late)
        self.late = self.lateness.read(self.now)

    def outcome(self, id, n, ending, engine_id, elapsed, final, note, load, came=None):
        """`came`: when it can have come, where that is long before this round."""
        self.probed(ending, elapsed, engine_id, load)
        r = self.reqs.get(id)
        f = r and r.out.pop(n, None)
        if not f:
            return
        elapsed = elapsed or 0
        self.ended_waiting(f)
        if not f.reads:
            self.servers.hold(f.engine, -f.tokens)
            if ending == "done" and not f.started:  # it didn't stream: its end says what first tokens would
                self.learn(f, elapsed)
            self.drained.add(self.now, f.tokens if f.started or ending == "done" else 0)
            if ending not in NEVER_RAN and r.effect is None:
                r.effect = f
        if ending == "read" or ending == "done" and not f.link:  # mixed engines read for themselves
            if (note or 0) + Pace.BASE < (r.prompt - f.cost) / 2:
                f.engine.kept.clear()  # it has forgotten: what it kept of others is gone as well
            for key, tokens in ((r.prefix, r.shared), (r.session, r.prompt)):
                if key:
                    remember(f.engine.kept, key, tokens)
        missed = ending == "full" and note == 1  # there was no state to fetch: no fault of this writer
        if ending == "read":
            self.learn(f, elapsed)
            r.held = True
        elif ending in FAILED and not missed or ending == "timed out" and not f.started:
            f.engine.fail(self.now, 2 if ending == "unreachable" else 1)  # full too: one that drains
        if ending in ("full", "done"):
            self.answers(f.engine)
        if r.held and missed:
            self.let_go(r)  # its reader may only be cut off from that writer, and hold it all the same
        elif r.lingers and not (f.reads or f.started or missed or ending == "done"):
            self.let_go(r)  # the attempt may have kept it from being released, and leaves it with its end
        if ending == "done":
            r.held = r.lingers = False
        if final or r.stage >= STARTED:
            return self.finish(r) if final or r.stage == ENDED else None
        if ending == "read":
            r.stage, r.reader, r.clock = READ, f.engine, self.now
            r.unheard = 0 if came is None else self.now - came
        elif f.reads:
            r.stage, r.banned = UNREAD, f.engine
        else:
            r.clock = clock_after(r.clock, self.now, f.sent, ending, exact=came is None)
            r.stage, r.banned = READ if r.held else UNREAD, f.engine
        if ending != "read":
            r.failed_at.add(f.engine.id)
        never_up = min(self.settings.get("connect_within", 1), self.release_within)
        if ending == "unreachable" and elapsed >= never_up:
            r.shunned = f.engine.cell  # others there may be cut off too, and would cost as long

    def place(self, *_):
        """Places are not held ahead, fronts decide alone, and look at all they hold whatever wakes them."""

    message = timer = place

    def gone(self, id):
        if id in self.reqs:
            self.finish(self.reqs[id])

    def client_unseen(self, id):
        """So much stands unread on its client's connection that the client may have left unseen."""
        if id in self.live:
            self.give_up(self.live[id], GiveUp.CLIENT_UNSEEN)

    def probed(self, ending, elapsed, engine_id, load):
        engine = self.engines.get(engine_id)
        if engine and load:
            engine.load, engine.load_at, engine.streams_then = load, self.now, engine.streams
            if self.told_memory(load) is not None and engine.role != "read":
                for key in (None, engine.cell):
                    total, count = self.told.setdefault(key, (Sum(4_000_000), Sum(4_000_000)))
                    total.add(self.now, self.told_memory(load))
                    count.add(self.now, 1)

    def told_memory(self, load):
        return (load or {}).get("memory_share") if self.settings.get("memory_told", True) else None

    def ended_waiting(self, f):
        """Credit comes back here, exactly once: with the first token or the end, if not by the lapse."""
        if f.engine.waiting.pop((f.req.id, f.n), None):
            f.engine.pending -= f.cost
            if f.link:
                del f.link.waiting[(f.req.id, f.n)]

    def feel(self, f, elapsed):
        """A late read stood behind others' tokens: all one of many fronts sees of queues of seconds."""
        if f.reads:
            f.engine.felt = max(elapsed / f.expected - 1, 0) * (f.tokens + Pace.BASE)
            f.engine.felt_at = self.now

    def in_vain(self, f):
        """A forward ended without an answer was waited for all the same: left out, all would look quick."""
        self.feel(f, self.now - f.sent)
        for pace in f.paces if f.roomy else ():
            pace.add(self.now, max(self.now - f.sent - f.tail, 0), f.tokens, self.unseen)

    def pending(self, engine):
        return engine.pending + self.unseen * engine.felt * 0.5 ** ((self.now - engine.felt_at) / 4e6)

    def learn(self, f, elapsed):
        self.feel(f, elapsed)
        # what a cold engine is trusted with: what was answered and read, as it has kept nothing
        part = max(f.cost / max(f.req.prompt, 1), 0.125) if f.reads else 1
        role, work = f.engine.role, part * self.usual_work(f.req)
        self.carried.setdefault(role, Sum(30_000_000)).add(self.now, work)
        up = max(self.servers.up_of_role(role), 1)
        self.carried_each.setdefault(role, Sum(30_000_000)).add(self.now, work / up)
        for way in (f.engine, f.link):
            if way:
                way.answered, way.served_to = self.now, max(way.served_to, f.sent)
                if way is f.engine:
                    self.answers(way)
                if f.roomy:  # a wait for memory says nothing of how fast the engine is
                    way.judge(self.now, elapsed / f.expected)
        for pace in f.paces if f.roomy else ():
            pace.add(self.now, max(elapsed - f.tail, 0), f.tokens)

    def cost(self, engine, r):
        """Prompt tokens that this reader would have to read, less what it probably has kept."""
        return max(r.prompt - max(engine.kept.get(r.prefix, 0), engine.kept.get(r.session, 0)), 0)

    def cancel(self, f):
        if not f.cancelled and not f.started and self.settings.get("may_cancel"):
            f.cancelled = True
            self.out.cancel(f.req.id, f.n)

    def let_go(self, r):
        r.held = r.lingers = False
        self.out.let_go(r.id)

    def release_ended(self, engine_id, answered):
        """A call to release a state at this engine ended."""
        self.releases.ended(self.now, engine_id, answered)

    def release_order(self):
        """Ids of the engines to ask to release a state, one after the other."""
        lately = (engine for engine in reversed(self.answered_lately.values()) if not engine.left)
        place, half = int(self.chance() * 2**64), TRIES
        drawn = self.servers.prefill.ring.behind(place, half) + self.servers.decode.ring.behind(place, half)
        drawn.sort(key=lambda engine: draw(place, engine.id))
        if not drawn:  # all drain
            drawn = islice((engine for engine in self.engines.values() if not engine.left), TRIES)
        return self.releases.order(self.now, lately, drawn)

    def finish(self, r):
        """Cancels what is still out; the state is let go and the req forgotten with its last outcome."""
        r.stage = ENDED
        self.live.pop(r.id, None)
        for f in r.out.values():
            if not (f.started or f.cancelled) and self.now - f.sent > f.expected:
                self.in_vain(f)
            self.cancel(f)
        if r.held or r.lingers:
            self.let_go(r)
            # one that can't be cancelled may keep the state and leave it: let go again with its outcome
            r.held = any(not f.cancelled for f in r.out.values())
        if not r.out:
            self.reqs.pop(r.id, None)

    def harmless(self, r):
        """Whether a retry by the client is harmless: all that a pushback promises."""
        effect = r.group.get("effect")
        ran = r.effect or r.out  # a read counts too while it is out
        return effect == "replayable" or not ran or effect == "keyed" and r.group.get("repeat_scope") == "all"

    def repeatable(self, r):
        """Rule 2: whether a further forward of this req may go anywhere at all."""
        effect, ran = r.group.get("effect"), r.effect or next(iter(r.out.values()), None)
        if effect != "keyed" or ran is None:
            return effect == "replayable" or ran is None
        return self.now < ran.sent + r.group.get("repeat_window", 0) - 2 * self.round_time

    def may_send(self, r, engine):
        """Rule 2: whether it may go to this engine."""
        ran = r.effect or next(iter(r.out.values()), None)
        if r.group.get("effect") == "replayable" or ran is None:
            return True
        same = {"all": True, "zone": engine.zone == ran.zone, "cell": engine.cell == ran.cell}
        return self.repeatable(r) and same.get(r.group.get("repeat_scope"), False)

    def give_up(self, r, why=GiveUp.OTHER):
        """The final answer, at once."""
        self.given_up_for = why
        if self.harmless(r):
            wait = min(r.group.get("target", 0) // 2, self.settings.get("advice_cap", 0))  # in time
            self.out.push_back(r.id, wait if self.settings.get("may_advise") else 0)
        else:
            self.out.abort(r.id)
        self.finish(r)

    @once_a_round
    def strain(self, engine):
        """How many times later than its pool an engine answers; what is still out counts with its age."""
        value = (engine.late.read(self.now) + 2) / (engine.tries.read(self.now) + 2)
        first = next(iter(engine.waiting.values()), None)
        age = (self.now - first.sent) / first.expected / 2 if first and engine.answered < first.sent else 0
        return max(value, 2 * engine.failed, age, 1 / self.warmth(engine))

    def warmth(self, engine):
        warm = self.settings.get("warm_within", 0)
        age = self.now - engine.born
        if not engine.born or age >= warm:
            return 1
        return 1 - (1 - self.settings.get("cold_share", 1)) * (1 - max(age, 0) / warm)

    def pool(self, reads):
        return self.servers.prefill if reads else self.servers.decode

    def candidates(self, reads, r):
        """Sets of engines that this req may be sent to, each looked at where those before hold nobody. In a
        fleet that one set can hold there is only that."""
        pool = self.pool(reads)
        if len(pool) <= CANDIDATES:
            yield self.servers.all_of(pool)
            return
        for n in range(1 + FURTHER):
            if reads:
                yield self.servers.behind(pool, "%s %d" % (self.home(r), n) if n else self.home(r))
            else:
                yield self.near_state(r, n)

    def home(self, r):
        """The key whose engines on the ring read this req. A prefix with more homes than a part of one set
        has several keys, of which the session takes one."""
        keys = self.keys(r)
        return "%s %d" % (r.home, draw("key", r.session or r.id) % keys) if keys > 1 else r.home

    def keys(self, r):
        """How many keys its prefix has, in powers of two as its homes."""
        if len(self.pool(True)) <= CANDIDATES:
            return 1
        return max(self.homes(r) // HOMES_OF_A_KEY, 1)

    def near_state(self, r, n):
        """Decode engines in the cell and zone of the state, and where an attempt that may have run allows
        another."""
        cells, zones = [r.reader.cell], [r.reader.zone]
        ran = r.effect or next(iter(r.out.values()), None)
        if ran is not None:
            cells.insert(0, ran.cell)
            zones.insert(0, ran.zone)
        place = point("%s %d" % (self.seed, n)) if n else self.place_on_ring
        return self.servers.near(tuple(dict.fromkeys(cells)), tuple(dict.fromkeys(zones)), place)

    @once_a_round
    def fit(self, candidates):
        """Engines not suspected, and how strained each is against the others: where most are, it isn't
        they."""
        engines = candidates.servers
        strains = {e.id: self.strain(e) for e in engines}
        usual = max(median(strains.values()), 1) if strains else 1  # what all share is pace
        strains = {id: strain / usual for id, strain in strains.items()}
        good = [e for e in engines if strains[e.id] * self.warmth(e) < 3 and e.failed < 2 or self.due_test(e)]
        for e in good:  # one that is due for a test competes as if it were well
            strains[e.id] = 1 if strains[e.id] >= 3 and self.warmth(e) == 1 else strains[e.id]
        if 2 * len(good) < len(engines):
            # what told of its failing is only tested, but more often: reqs would burn up there
            good = [e for e in engines if e.failed < 2 or not e.waiting and self.now > e.tested + 250_000]
        return good, strains

    def usable(self, reads, r):
        """Of those, the engines that may get this req: allowed by rule 2, not pushed over while cold. None
        while nobody knows which of them drain."""
        if not self.endpoint_list.may_be_used(self.now):
            return [], {}
        fresh = not r.effect and not r.out  # asked of every engine for every req that is held, in each round
        for candidates in self.candidates(reads, r):
            r.candidates = candidates
            good, strains = self.fit(candidates)
            able = [
                e for e in good if (fresh or self.may_send(r, e)) and (not e.born or self.cold_room(e, r))
            ]
            if able:
                break
        fresh = [e for e in able if e.id not in r.failed_at]
        other = [e for e in fresh if e.cell != r.shunned]
        return other or fresh or [e for e in able if e is not r.banned] or able, strains

    def due_test(self, way):
        """One with nothing out is tested in two seconds, in four when it goes on failing."""
        return not way.waiting and self.now > way.tested + 500_000 * min(max(way.failed, 4), 8)

    def cold_room(self, engine, r):
        """Rule 4: this front's part of what an engine that warms up can take within one window."""
        if self.warmth(engine) == 1:
            engine.cold_sends = None
            return True
        window, work = self.settings.get("cold_window", 0), self.cold_work(r)
        carried = self.carried_by_one(engine.role)
        share = (self.settings.get("cold_share", 1) + self.warmth(engine)) / 2  # half of a straight line
        budget = self.settings.get("cold_multiple", 1) * share * carried * window
        # less than one req: one in a longer time, begun by chance, or many fronts' first would add up
        longer = window * (work / budget if budget else self.fronts)
        if engine.cold_sends is None:
            engine.cold_sends = [(self.now - int(self.chance() * longer), work)] if longer > window else []
        window, budget = max(window, longer), max(budget, work)
        return sum(w for at, w in engine.cold_sends if at > self.now - window) + work <= budget

    def carried_by_one(self, role):
        """Work that one server of the role carries in a microsecond: neither does a drain make the others
        carry more, nor do those that have just come up carry what their peers did before."""
        if role not in self.carried:
            return 0
        now_up = self.carried[role].rate(self.now) / self.servers.up_of_role(role)
        return min(now_up, self.carried_each[role].rate(self.now))

    def cold_work(self, r):
        """Never under the mean of all: the budget holds in calls, too."""
        return max(self.usual_work(r), self.usual_work(r, of_all=True))

    def usual_work(self, r, of_all=False):
        total, count = self.mean_work[None if of_all else r.group.get("name")]
        return total.read(self.now) / max(count.read(self.now), 1e-9)

    def tie(self):
        """From 0 to 1, to choose among equals. Linear in seed and count: fronts that draw as often as each
        other differ by a pattern of bits, and so spread evenly."""
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 2**32

    def chance(self):
        """From 0 to 1, of seed and count alone; independent of what fronts of other seeds draw."""
        self.draws += 1
        told = b"%d %d" % (self.seed, self.draws)
        return number(told, 32) / 2**32

    @once_a_round
    def held_usually(self, cell):
        """Share of memory an unknown writer of the cell probably holds: as others told, its cell's first."""
        share, weight = self.own_held()[0] * self.fronts, 0.5
        for key in (None, cell):
            total, count = self.told.get(key) or (Sum(1), Sum(1))
            share = (total.read(self.now) + weight * share) / (count.read(self.now) + weight)
            weight = 2
        return share

    @once_a_round
    def own_held(self):
        """Share of the writers' memory held by this front, and how few usual forwards a writer has of it."""
        writers = self.pool(False)
        return writers.held / max(writers.memory, 1), 2000 * len(writers) / max(writers.held, 1)

    @once_a_round
    def room(self, engine):
        """Tokens a writer probably has free: the usual, its report blended in by age, this front's own."""
        if not engine.memory:
            return float("inf")
        share = self.held_usually(engine.cell)
        own, each = self.own_held()
        others = (self.fronts - 1) / (1 + 10 * (1 - 1 / self.fronts) * each)
        share += (engine.streams / engine.memory - own) * (1 + others)
        told = self.told_memory(engine.load)
        if told is not None:
            trust = exp(-(self.now - engine.load_at) / 4e6)  # about as long as an answer holds its memory
            share += trust * (told + (engine.streams - engine.streams_then) / engine.memory - share)
        return (1 - share) * engine.memory

    def send(self, r, engine, reads, link=None, roomy=True):
        f = Record()
        f.req, f.n, f.engine, f.sent, f.reads, f.link = r, r.used, engine, self.now, reads, link
        f.started, f.cancelled, f.roomy, f.arrived = False, False, roomy, None
        f.zone, f.cell = engine.zone, engine.cell  # where it ran, wherever the list has that id later
        f.cost = 0 if link else self.cost(engine, r)  # a mixed engine that gets no state reads as well
        f.tokens = f.cost if reads else r.prompt + r.answer
        engine.pending += f.cost
        self.same.clear()
        r.used += 1
        r.out[f.n] = f
        if reads:
            f.paces = (self.pace["read"],)
            f.expected = f.paces[0].expect(self.now, engine.pending)
            r.stage = READING
        else:
            self.servers.hold(engine, f.tokens)
            f.paces = self.pace["write"], self.pace[link.id[1] if link else "port"]
            whole, way = (pace.expect(self.now, f.tokens) for pace in f.paces)
            f.expected = whole + self.unseen * (way - whole)  # thin: a slow link looks like slow writers
            r.stage = WRITING
        # without a stream the first that is told is the end: the answer's own time, no pace of engines
        whole = not reads and not r.group.get("stream", True)
        f.tail = r.answer * (r.group.get("token_target") or 50_000) if whole else 0
        f.expected = max(f.expected / self.warmth(engine), 1) + f.tail
        engine.waiting[(r.id, f.n)] = f
        if self.strain(engine) >= 3:
            engine.tested = self.now
        if self.warmth(engine) < 1:
            engine.cold_sends = [*(engine.cold_sends or ()), (self.now, self.cold_work(r))][-400:]
        if link:
            link.waiting[(r.id, f.n)] = f
            link.tested = self.now
        again = reads or self.repeatable(r)
        last = r.used >= self.cap or self.settings.get("may_cancel") or not again  # else patience goes along
        self.out.forward(r.id, engine.id, 0 if last else int(self.silence(f)))

    def silence(self, f):
        return max(5 * f.expected, (f.req.target - f.req.arrived) / 2)  # time for another try

    def look_after_forwards(self):
        """Cancels what an engine sits on, and answers what can no longer be served."""
        for r in list(self.live.values()):
            missed = self.now > r.target and any(not f.roomy for f in r.out.values()) and self.harmless(r)
            over = r.stage in (UNREAD, READ) and not self.repeatable(r)  # no engine may get it any more
            if self.now >= self.answer_by(r) or missed or over:
                late = GiveUp.TARGET if missed else GiveUp.NOT_REPEATABLE
                self.give_up(r, GiveUp.DEADLINE if self.now >= self.answer_by(r) else late)
                continue
            stuck = [f for f in r.out.values() if f.arrived is False and not (f.started or f.cancelled)]
            if stuck and r.held and self.now >= self.release_at(r):
                self.abandon(r, stuck)
                continue
            if r.held and self.now >= self.limit_at(r) and any(map(is_unanswered, r.out.values())):
                self.let_go(r)  # harmless where the server has taken it: nothing waits for it any more then
                r.lingers = True
            if r.used >= self.cap or not self.settings.get("may_cancel"):
                continue
            if not self.endpoint_list.may_be_used(self.now):
                continue  # nothing could take the place of an attempt
            for f in r.out.values():
                again = f.reads or self.repeatable(r)  # else it may have run: waited for to the deadline
                if not again or f.cancelled or self.now - f.sent < self.silence(f):
                    continue
                # hung: silent while peers answered; lost: one sent later was answered. Else it is only behind
                hung = f.engine.answered < f.sent and self.peer_answered(r, f)
                if hung or f.engine.served_to > f.sent:
                    for way in (f.engine, f.link):
                        if way and (way.answered < f.sent or way is f.engine and way.served_to > f.sent):
                            way.fail(self.now, 0)
                    self.in_vain(f)
                    self.cancel(f)

    def peer_answered(self, r, f):
        """Whether another engine that might serve this has answered since it was sent."""
        pool = self.pool(f.reads)
        for engine in reversed(self.answered_lately.values()):
            if engine.answered <= f.sent:
                return False
            if engine is not f.engine and engine in pool and (f.reads or self.may_send(r, engine)):
                return True
        return False

    def abandon(self, r, stuck):
        """Rule 5: forwards that have not arrived don't hold the state; it goes elsewhere, or is let go."""
        if not self.settings.get("may_cancel"):
            return self.give_up(r, GiveUp.SEND_NOT_ARRIVED)  # nothing can take their place meanwhile
        for f in stuck:
            f.engine.fail(self.now, 1)
            self.in_vain(f)
            self.cancel(f)

    def place_unread(self):
        unread = sorted((r for r in self.live.values() if r.stage == UNREAD), key=lambda r: r.rank)
        if not unread:
            return
        # tokens ahead of a new read: own ones without an answer, less this front's part of the free
        free, whole = self.free_memory()
        chance = 2 * (free / self.fronts * self.usual_work(unread[0])) ** 0.5
        free = free / self.fronts + (self.unseen * free / whole * chance if whole * self.unseen else 0)
        ahead = sum(r.prompt + r.answer for r in self.live.values() if r.stage != UNREAD) - free
        drain, blocked, self.parked = self.drained.rate(self.now), False, {}  # parked: states not landed
        for r in self.live.values():
            if r.stage in (READ, WRITING) and r.reader:
                self.parked[r.reader.id] = self.parked.get(r.reader.id, 0) + r.prompt
        steps = 2 if self.servers.has_prefill_only else 1  # alone they read and answer
        for r in unread:
            need = r.prompt + r.answer
            engine, alone, wait = self.pick_reader(r)
            queue = max(ahead + need, 0) / drain if drain else 0
            # nothing is sent into a wait of three fifths of the target; none passes one of higher rank
            blocked = blocked or ahead + free > 0 and queue > 0.6 * (r.target - self.now)
            able = r.used + steps <= self.cap
            in_time = self.late <= self.release_within + HELD_UP_ALLOWED  # else its state would wait too long
            if (
                engine
                and able
                and in_time
                and not blocked
                and (not self.pending(engine) or wait <= self.patience(r))
            ):
                self.send(r, engine, engine.role == "read")
                ahead += need
            elif not able or self.now + alone + queue > r.target:  # too late even with none of ours before it
                self.give_up(r, self.why_unread(in_time) if able else GiveUp.ATTEMPTS)

    def why_unread(self, in_time):
        """Why a request that might have been read was not. `in_time`: whether this process keeps up."""
        if not self.endpoint_list.may_be_used(self.now):
            return GiveUp.LIST_UNCONFIRMED
        return GiveUp.QUEUE if in_time else GiveUp.PROCESS_LATE

    def pick_reader(self, r):
        engines, strains = self.usable(True, r)
        pace = self.pace["read"]
        if not engines:
            return None, pace.expect(self.now, r.prompt), 0
        rank = r.weights  # drawn once, or held reqs would draw them in each round
        rank.update((e.id, draw(r.home, e.id)) for e in engines if e.id not in rank)
        homes = sorted(engines, key=lambda e: (-rank[e.id], e.id))[: self.homes(r) // self.keys(r)]
        pick = max(homes, key=lambda e: draw(r.session or r.id, e.id))
        load = self.reading(r.candidates)
        if load[pick.id] > 2 * median(load[e.id] for e in engines) + Pace.BASE / self.fronts:  # clearly over
            # fewest pending with its own unread part, by two steps, or reading anew jams the rest
            total = {e.id: load[e.id] + self.cost(e, r) * strains[e.id] for e in engines}
            least = min(engines, key=lambda e: (int(total[e.id] / Pace.BASE), -rank[e.id], e.id))
            pick = least if total[least.id] + 2 * Pace.BASE < total[pick.id] else pick

        def expect(engine, pending, rate=pace.rate(self.now)):
            return rate * (pending + self.cost(engine, r) + Pace.BASE) * strains[engine.id]

        wait = expect(pick, self.pending(pick))
        if wait > self.patience(r):  # in time elsewhere goes before home
            waits = {e.id: expect(e, self.pending(e)) for e in engines}
            quick = min(engines, key=lambda e: (waits[e.id], -rank[e.id], e.id))
            pick, wait = (quick, waits[quick.id]) if waits[quick.id] <= self.patience(r) else (pick, wait)
        return pick, expect(pick, 0), wait

    def homes(self, r):
        """How many engines read a prefix: one asked for more than a reader's even part has as many homes, in
        powers of two, so that all fronts agree."""
        often = self.prefixes[r.prefix].read(self.now) if r.prefix in self.prefixes else 0
        part = max(often / (self.asked_for.read(self.now) + 10), 1 / 11)  # ten: a young front knows little
        most = max(len(self.pool(True)) * part, often * self.fronts / 10)
        return 2 ** round(log2(1 + self.unseen * most))

    def free_memory(self):
        """(tokens that decode engines which are well probably have free, tokens of their memory)."""
        pool = self.pool(False)
        sample = self.servers.sample(pool, self.place_on_ring).servers
        well = [e for e in sample if self.strain(e) * self.warmth(e) < 3]
        free, whole = sum(max(self.room(e) - e.memory / 16, 0) for e in well), sum(e.memory for e in well)
        stands_for = len(pool) / max(len(sample), 1)
        return free * stands_for, whole * stands_for

    @once_a_round
    def reading(self, candidates):
        """What each reader has before it; one step's worth on top shows an idle but slow one."""
        good, strains = self.fit(candidates)
        parked = self.parked.get
        return {e.id: (self.pending(e) + parked(e.id, 0) + Pace.BASE) * strains[e.id] for e in good}

    def patience(self, r):
        return min((r.target - r.arrived) * 0.6, r.target - self.now)

    def place_states(self):
        waiting = sorted((r for r in self.live.values() if r.stage == READ), key=lambda r: r.rank)
        one_cell = len(self.pool(True).cells) < 2
        for r in waiting:
            # past the limit forwards that never left have held it: each further one may take as long to fail
            over = r.used >= self.cap or self.now > r.clock + self.release_within
            last = over or self.now >= self.release_at(r)
            engines, strains = ([], {}) if over else self.usable(False, r)
            ids = {way: (r.reader.cell, way) for way in ("port", "out")}
            links = {way: self.links.setdefault(id, Engine(id)) for way, id in ids.items()}
            ways = [key for key, link in links.items() if self.strain(link) < 3 or self.due_test(link)]
            if one_cell and not any(self.way(r, e) in ways for e in engines):
                ways = list(links)  # nowhere else to read it anew, and a late link may only be behind
            funds = [key for key in ways if self.has_credit(r, links[key])]
            paid = [e for e in engines if self.way(r, e) in funds]
            engines = [e for e in engines if self.way(r, e) in ways]
            choice = self.pick_writer(r, [e for e in paid if self.room(e) >= r.prompt], strains)
            if choice:
                self.send(r, choice, False, links[self.way(r, choice)])
                continue
            choice = self.pick_writer(r, paid or engines, strains)
            if last and choice:
                self.send(r, choice, False, links[self.way(r, choice)], roomy=False)
            elif last and r.used + 2 <= self.cap and self.now < r.target:
                self.let_go(r)  # no way from here: read anew in another cell
                r.stage, r.shunned = UNREAD, r.reader.cell
            elif last:
                self.give_up(r, GiveUp.ATTEMPTS if over else GiveUp.STATE_LIMIT)

    def answer_by(self, r):
        # two rounds early, so that the answer is out in time; earlier where this process is late
        late = min(self.late, (r.deadline - r.arrived) // 4)
        return r.deadline - 2 * self.round_time - 2000 - late

    def release_at(self, r):
        # shortly before: two rounds and a tenth of the limit; a long one holds no longer than the target
        return self.before_limit(r, min(self.release_within, r.target - r.arrived))

    def limit_at(self, r):
        """When its state has to be released at the latest, whatever is out for it."""
        return self.before_limit(r, self.release_within)

    def before_limit(self, r, limit):
        return r.clock + max(limit - 2 * self.round_time - limit // 10 - self.late - r.unheard, 0)

    def way(self, r, engine):
        return "port" if r.reader.cell == engine.cell else "out"

    def has_credit(self, r, link):
        used = sum(f.req.prompt for f in link.waiting.values() if self.now - f.sent < 2_000_000)  # lapse
        return not used or used + r.prompt <= 32_000  # the window; larger ones cross an idle link

    def pick_writer(self, r, able, strains):
        load = {e.id: strains[e.id] * (1 - self.room(e) / e.memory) for e in able if e.memory}
        load |= {e.id: strains[e.id] * e.streams / 1e6 for e in able if not e.memory}
        least = min(load.values(), default=0)
        near = [e for e in able if load[e.id] <= least + 0.15]  # else clearly busier: a seventh of its memory
        cell = [e for e in near if e.cell == r.reader.cell]
        zone = [e for e in near if e.zone == r.reader.zone]
        near = cell or zone or [e for e in able if load[e.id] == least]
        return min(near, key=lambda e: (load[e.id], self.tie()), default=None)

    def set_wake(self):
        # looked after every 20 ms, and on time for the release and for the answer that is owed
        times = [self.now + 20_000] if self.live else []
        times += [self.answer_by(r) for r in self.live.values()]
        times += [self.release_at(r) for r in self.live.values() if r.stage == READ]
        if self.ask_wait:
            times.append(self.asked + self.ask_wait)
        due = max(min(times, default=0), self.now + 1)
        if times and (due < self.wake_at or self.wake_at <= self.now):
            self.marks, self.wake_at = self.marks + 1, due
            self.out.wake(self.marks, due - self.now)
