"""A front in virtual time: its real hands, desk, chain, module and membership; the ways in and out are calls
that take a hop."""

import random
import time

import msgspec

from martenrouter.decisions.membership import Membership
from martenrouter.decisions.takeover import Takeover
from martenrouter.edge.books import Books
from martenrouter.edge.desk import Desk
from martenrouter.edge.handover import facts, of_one
from martenrouter.edge.hands import Hands
from martenrouter.lab.emulator.engines import HOP, Port
from martenrouter.settings import front as settings_of
from martenrouter.wire import jsonrpc

LOOK = 50_000  # microseconds between the hands' looks, as in a running front
ROSTER_LOOK = 1_000_000
CONNECT_AGAIN = 50_000  # a planner whose edge gave up on it connects again after some such time


class NoLog:
    def _said(self, event, **fields):
        pass

    debug = info = warning = error = _said


class VirtualDesk(Desk):
    """Rounds as in a running front: at least `round` apart, each with all that came in by then. Two programs
    are played by their takeover: while the planner is stopped its rounds are lost, and the edge goes on from
    its facts after the bound."""

    def __init__(self, world, make_chain, make_planners, hands, round_us, planner):
        """`make_planners()` gives a chain as a planner makes it."""
        super().__init__(
            make_chain,
            hands,
            lambda: facts(hands),
            lambda id: of_one(hands, id),
            round_us,
            hands.counters,
            NoLog(),
        )
        self.world, self.queue, self.last, self.round_at, self.dead = (
            world,
            world.queue,
            -round_us,
            None,
            False,
        )
        self.make_planners, self.planner, self.planner_up, self.lost_since = (
            make_planners,
            planner,
            planner,
            None,
        )
        if planner:
            self.queue.at(CONNECT_AGAIN, self._hand_over_soon)

    def post(self, call, *arguments):
        self.inbox.append((call, arguments))
        self._at(self.queue.now)

    def wake(self, mark, after):
        at = self.queue.now + after
        self.timers.add(at, mark)
        self._at(at)

    def _at(self, time):
        time = max(time, self.last + self.round)
        if self.round_at is None or time < self.round_at:
            self.round_at = time
            self.queue.at(time, self._round, time)

    def _round(self, due):
        if due != self.round_at or self.dead:
            return
        self.round_at, self.last = None, self.queue.now
        if self.lost_since is not None:
            return  # a round is out and nobody answers
        marks = self.timers.due(self.queue.now)
        if self.inbox or marks:
            began = time.perf_counter_ns()
            self.play(self.queue.now, marks)
            self.world.spent_in_rounds += time.perf_counter_ns() - began
            self.world.rounds += 1
        due = self.timers.next_at()
        if due is not None:
            self._at(due)

    # ---- a planner of its own ----

    def _ask_planner(self, now, inbox):
        if not self.planner_up:
            self.lost_since = now
            self.queue.at(now + self.takeover.SILENT, self._silent)
            return
        self.seq += 1
        self._decide(now, inbox)
        if self.seq % 64 == 0 and self.chain is not None:
            self.learnt = self.chain.learnt(now)

    def _silent(self):
        if self.lost_since is not None and not self.dead:
            self.lost_since = None
            self._take_over(self.queue.now, "silent")
            self._at(self.queue.now)

    def planner_ended(self):
        """Killed: its connection ends, which the edge sees at once."""
        self.planner_up = False
        if self.takeover.in_charge:
            self.lost_since = None
            self._take_over(self.queue.now, "left")

    def planner_stopped(self):
        self.planner_up = False

    def planner_back(self):
        self.planner_up = True
        self._hand_over_soon()

    def _hand_over_soon(self):
        if not self.planner_up or self.takeover.in_charge or self.dead:
            return
        wait = max(CONNECT_AGAIN, self.takeover.not_before - self.queue.now + 1)
        self.queue.at(self.queue.now + wait, self._now_hand_over)

    def _now_hand_over(self):
        now = self.queue.now
        if self.dead or not self.planner_up or not self.takeover.may_hand_over(now):
            return
        told = facts(self.hands)
        self.takeover.handed_over(now)
        self.inbox, self.later = [], [id for id, _ in told["later"]]
        self.chain = self.make_planners()
        self.chain.adopt(now, told, self.learnt)
        self.counters["handed_over"] += 1
        self.post("look")

    def _take_over(self, now, why):
        super()._take_over(now, why)
        self._hand_over_soon()


class VirtualRoster:
    """Follows the virtual list service as edge/roster.py follows one on a socket."""

    def __init__(self, world, hands, port, name, seed, kept):
        self.world, self.queue, self.hands, self.port, self.name = world, world.queue, hands, port, name
        self.members = Membership(random.Random("%s list %s" % (seed, name)).random)
        self.kept, self.link, self.dead = kept, 0, False

    def start(self):
        self.members.started(self.queue.now, self.world.wall(), self.kept, self)
        self.queue.at(self.queue.now + ROSTER_LOOK, self._tick)

    def _tick(self):
        if not self.dead:
            self.members.tick(self.queue.now, self)
            self.queue.at(self.queue.now + ROSTER_LOOK, self._tick)

    def listed(self, version, scope, rows):
        self.hands.list_came("listed", version, scope, rows)

    def addresses(self, changed):
        self.port.moved(changed)

    def ask(self, epoch, version, after):
        self.link += 1
        self.queue.at(self.queue.now + after + HOP, self.world.subscribe, self, self.link, epoch, version)

    def drop(self):
        self.link += 1

    def keep(self, held):
        self.kept = held

    def noted(self, event, **facts):
        self.hands.counters[event] += 1

    def told(self, link, message):
        if link == self.link and not self.dead:
            self.members.told(self.queue.now, self.world.wall(), message, self)


class VirtualConn:
    """A client's connection as the hands see it. The client's end gets each message a hop later, decoded."""

    __slots__ = ("id", "reqs", "open", "queue", "end")

    def __init__(self, id, queue, end):
        self.id, self.reqs, self.open, self.queue, self.end = id, {}, True, queue, end

    def send(self, message, spare=False):
        if self.open:
            self.queue.at(self.queue.now + HOP, self.end, message)
        return self.open


class Front:
    """One front process, from its start to its kill."""

    def __init__(self, world, told, planner, kept_list):
        settings = settings_of.check(told, told["name"])
        self.world, self.queue, self.name, self.alive = world, world.queue, settings.name, True
        module, chain = settings_of.for_module(settings), settings_of.for_chain(settings)
        hands = self.hands = Hands(settings, lambda ev, **fields: None, NoLog())
        hands.engines = self.port = Port(world)
        hands.desk = self.desk = VirtualDesk(
            world,
            lambda: world.decide(settings.seed, module, chain),
            lambda: world.decide(settings.seed, Takeover.for_planner(module), Takeover.for_planner(chain)),
            hands,
            settings_of.us(settings.round_ms),
            planner,
        )
        hands.roster = self.roster = VirtualRoster(
            world, hands, self.port, settings.name, settings.seed, kept_list
        )
        if settings.budgets:
            # without a ledger: a disk is no part of a day in virtual time
            hands.books = Books(
                msgspec.structs.replace(settings.budgets, ledger=None),
                settings.name,
                settings.fronts,
                hands.counters,
                NoLog(),
            )
        self.conns, self.last_conn = {}, 0

    def start(self):
        self.roster.start()
        self.queue.at(self.queue.now + LOOK, self._look)

    def _look(self):
        if self.alive:
            self.hands.look_after(self.queue.now)
            if self.hands.books is not None:
                self.hands.books.look(self.queue.now, self.world.wall())
            self.queue.at(self.queue.now + LOOK, self._look)

    def connect(self, end):
        self.last_conn += 1
        conn = self.conns[self.last_conn] = VirtualConn(self.last_conn, self.queue, end)
        return conn

    def heard(self, conn, method, *arguments):
        """A client's message has come: asked, answered, cancelled or client_left of the hands."""
        if not self.alive or not conn.open:
            return
        if method == "generate":
            rpc_id, params = arguments
            try:
                answer = self.hands.asked(conn, rpc_id, msgspec.convert(params, jsonrpc.Generate))
            except jsonrpc.BadParams as why:
                answer = jsonrpc.error(rpc_id, jsonrpc.BAD_PARAMS, str(why))
            if answer is not None:
                conn.send(answer)
        elif method == "close":
            conn.open = False
            self.conns.pop(conn.id, None)
            self.hands.client_left(conn)
        else:
            getattr(self.hands, method)(conn, *arguments)

    def stop(self):
        """As after SIGTERM."""
        self.hands.stopping = True
        self.desk.post("stop")

    def die(self):
        self.alive = False
        self.desk.dead = self.roster.dead = True
        self.port.die()
        for conn in self.conns.values():
            conn.open = False
            self.queue.at(self.queue.now + HOP, conn.end, None)
