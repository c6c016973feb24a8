"""A day in virtual time: fronts, engines, list service and clients on one queue of events, and what goes
wrong when.

The same for a seed, to the byte: all chance comes from generators seeded by the day's name and seed, all time
from the queue. One process plays one day; the process lives in the day's time (edge/clock.py), so days are
not mixed in one process.
"""

import random

import msgspec

from martenrouter.decisions.chain import Chain
from martenrouter.edge import clock
from martenrouter.lab import fleet
from martenrouter.lab.emulator.engines import HOP, Engine
from martenrouter.lab.emulator.events import Wheel
from martenrouter.lab.emulator.fronts import Front
from martenrouter.lab.emulator.people import People
from martenrouter.standins.listing import Listing
from martenrouter.wire import nodes

WALL = 1_700_000_000_000_000  # the wall time at which each day begins, in microseconds
BEGIN = 10_000_000  # the monotonic one: not nothing, as on no machine
SAME_EACH = 1_000_000
SLOWER = {"reset_after", "stall_after"}


class Day:
    """What came of a day, one row a try: what reports and comparisons are made of. Times in microseconds of
    the day."""

    def __init__(self):
        self.tries = []  # [asked, first token or None, ended, ending, group, front, attempt, customer]
        self.loads = []  # (time, [(engine, reqs held, share of memory held)]), each second
        self.links = []  # (time, [(cell and way, prompt tokens out on it over all fronts)]), each second
        # (time, fronts decided by their planner, fronts decided by their edge), each second
        self.deciders = []
        self.open = {}  # trace -> row that has no end yet


class World:
    def __init__(self, scenario, seed, judged=True, queue=None, decide=Chain):
        """`judged`: keep all records of traffic, for the judge; without them a long day needs little memory.
        `decide(seed, module settings, chain settings)` makes the decisions of a front."""
        self.scenario, self.seed, self.decide = scenario, seed, decide
        self.queue = queue or Wheel()
        self.queue.now, self.jumped = BEGIN, 0
        clock.follow(lambda: self.queue.now, self.wall)
        self.records, self.judged, self.jumped = [], judged, 0
        self.day, self.rounds, self.spent_in_rounds, self.troubles = Day(), 0, 0, []
        self.random = random.Random("%s %s faults" % (scenario.name, seed))
        numbers = iter(range(1, 1_000_000))
        self.specs = fleet.specs(scenario, lambda: "10.0.0.0:%d" % next(numbers))
        self.groups = fleet.groups(scenario)
        self.engines, self.fronts, self.told = {}, {}, {}
        self.listing, self.subscribers, self.entries = Listing(1, int(scenario.list_late_ms * 1000)), [], {}
        for i in range(scenario.fronts):
            name = "front-%d" % i
            self.told[name] = fleet.front_settings(
                scenario, seed, i, "127.0.0.1:1", self.specs, list={"service": "127.0.0.1:1"}
            )
        release = self.told["front-0"].get("limits", {}).get("release_within_ms", 300)
        self.record(
            "driver", "scenario", **fleet.told_to_judge(scenario, seed, self.specs, int(release * 1000))
        )
        for id, spec in self.specs.items():
            self.engines[id] = Engine(self, spec)
        self._list([self._entry(id, "up") for id in self.specs])
        for name in self.told:
            self._start_front(name, None)
        self.people = People(
            self, scenario.traffic, self.groups, random.Random("%s %s traffic" % (scenario.name, seed))
        )

    def wall(self):
        return WALL + self.jumped + self.queue.now

    def record(self, who, ev, **fields):
        if self.judged:
            fields["t"], fields["wall"], fields["who"], fields["ev"] = self.queue.now, self.wall(), who, ev
            self.records.append(fields)

    def play(self, tick=None):
        """Plays the whole day: `seconds` of arrivals and what is left open after them. `tick(day seconds)` is
        called each second. A day that would not end is cut at its deadlines' end: what is open then counts as
        unanswered."""
        queue, seconds = self.queue, self.scenario.seconds
        warm = int(self.scenario.list_late_ms * 1000) + 300_000
        queue.run(BEGIN + warm)
        self.start = queue.now
        self.people.start(seconds)
        for fault in self.scenario.faults:
            hit = fleet.targets(fault, self.specs, self.random)
            queue.at(self.start + int(fault.at * 1e6), self._fault, fault, hit)
        last = self.start + int((seconds + self.scenario.traffic.deadline_ms / 1000 + 8) * 1e6)
        while queue.now < last and (queue.now < self.start + int(seconds * 1e6) or self.people.open):
            queue.run(min(queue.now + 1_000_000, last))
            self._look()
            if tick:
                tick((queue.now - self.start) / 1e6)
        for name, front in self.fronts.items():
            if front.alive:
                self.record("driver", "front_stop", front=name)
                front.stop()
        queue.run(queue.now + 1_000_000)
        for name in self.fronts:
            self.record("driver", "front_stopped", front=name, code=0)
        return self.day

    def _look(self):
        self.day.loads.append(
            (
                self.queue.now - self.start,
                [
                    (
                        id,
                        len(engine.model.jobs) if engine.alive else -1,
                        round(engine.model.held() / engine.spec.memory_tokens, 3),
                    )
                    for id, engine in self.engines.items()
                ],
            )
        )
        links, who = {}, [0, 0]
        for front in self.fronts.values():
            who[front.desk.who() == "edge"] += front.alive
            if front.alive and front.desk.chain is not None:
                for (cell, way), link in sorted(front.desk.chain.front.links.items()):
                    key = "%s %s" % (cell, way)
                    links[key] = links.get(key, 0) + sum(f.req.prompt for f in link.waiting.values())
        self.day.links.append((self.queue.now - self.start, sorted(links.items())))
        self.day.deciders.append((self.queue.now - self.start, *who))

    # ---- the clients' side of the figures ----

    def asked(self, ask):
        self.day.open[ask.trace] = len(self.day.tries)
        self.day.tries.append(
            [
                self.queue.now - self.start,
                None,
                None,
                "open",
                ask.group["name"],
                ask.front,
                ask.attempt,
                ask.arrival.customer,
            ]
        )

    def answered(self, ask, answer):
        at = self.day.open.pop(ask.trace, None)
        if at is None:
            return
        row = self.day.tries[at]
        row[1] = None if ask.first is None else ask.first - self.start
        row[2] = self.queue.now - self.start
        row[3] = (
            "no answer"
            if answer is None
            else "done"
            if "result" in answer
            else (answer["error"].get("data") or {}).get("ending", "error")
        )

    # ---- ways between them ----

    def arrive(self, engine, call):
        self.engines[engine].arrive(call)

    def left(self, engine, call):
        self.engines[engine].left(call)

    def let_go(self, engine, forward_id):
        self.engines[engine].let_go(forward_id)

    def fetch(self, engine, id, writer, call):
        owner = self.engines.get(engine)
        if owner is None or owner.model.hung and owner.alive:
            return  # it says nothing: the writer waits
        owner.asked(id, writer, call)

    # ---- the list service ----

    def subscribe(self, roster, link, epoch, version):
        at = version if epoch == self.listing.epoch else -1
        subscriber = [roster, link, at]
        self.subscribers = [one for one in self.subscribers if one[0] is not roster and not one[0].dead] + [
            subscriber
        ]
        self._push(subscriber)
        self.queue.at(self.queue.now + SAME_EACH, self._same, subscriber)

    def _push(self, subscriber):
        roster, link, at = subscriber
        if self.listing.silent or roster.link != link or roster.dead:
            return
        told, subscriber[2] = self.listing.news(self.queue.now, at)
        if told is not None:
            self.record(
                "list",
                "list_out",
                front=roster.name,
                epoch=told.epoch,
                version=told.version,
                scope=told.scope,
                entries=[(entry.id, entry.phase, entry.start) for entry in told.entries],
            )
            self.queue.at(self.queue.now + HOP, roster.told, link, told)

    def _same(self, subscriber):
        roster, link, at = subscriber
        if roster.link == link and not roster.dead:
            if not self.listing.silent and self.listing.next_due(self.queue.now) is None:
                self.queue.at(
                    self.queue.now + HOP, roster.told, link, nodes.Told("same", self.listing.epoch, at)
                )
            self._push(subscriber)
            self.queue.at(self.queue.now + SAME_EACH, self._same, subscriber)

    def _push_all(self):
        for subscriber in list(self.subscribers):
            self._push(subscriber)

    def _entry(self, id, phase, start=0):
        spec = self.specs[id]
        self.entries[id] = nodes.Entry(id, phase, spec.kind, spec.zone, spec.cell, spec.listen, start)
        return self.entries[id]

    def _list(self, entries):
        self.listing.set(self.queue.now, entries)
        self.queue.at(self.queue.now + self.listing.late + 1, self._push_all)

    # ---- what goes wrong: the kinds of a scenario ----

    def _fault(self, fault, hit):
        self.troubles.append((self.queue.now - self.start, fault.kind, hit, fault.length))
        self.record("driver", "fault", kind=fault.kind, targets=hit, length=fault.length, value=fault.value)
        getattr(self, "_" + fault.kind, self._engine_fault)(fault, hit)

    def _after(self, seconds, call, *arguments):
        self.queue.at(self.queue.now + int(seconds * 1e6), call, *arguments)

    def _engine_fault(self, fault, hit):
        for id in hit:
            engine, kind = self.engines[id], fault.kind
            self.record(id, "control", **{kind: fault.value})
            if kind == "forget":
                engine.model.forget()
            elif kind == "hang":
                engine.model.hung = True
            elif kind == "slow":
                engine.model.slow = fault.value
            elif kind == "link":
                engine.model.slow_links(self.queue.now, fault.value)
            else:
                setattr(engine, kind, int(fault.value) if kind in SLOWER else True)
            if kind == "half_open":
                # its new connections aren't read, so it is ended the hard way: cleared by a restart
                self._after(fault.length, self._kill, id, 0.0)
            elif kind != "forget":
                self._after(fault.length, self._clear, id, engine)

    def _clear(self, id, engine):
        if self.engines[id] is not engine:
            return
        engine.refuse = engine.error = engine.no_finish = engine.garbage = engine.half_open = False
        engine.bad_arguments = engine.endless_arguments = False
        engine.reset_after = engine.stall_after = None
        engine.model.hung, engine.model.slow, engine.model.draining = False, 1.0, False
        engine.model.slow_links(self.queue.now, 1.0)
        engine.poke()

    def _kill(self, id, again):
        self.record("driver", "engine_killed", engine=id)
        self.engines[id].die()
        self._after(again, self._start_engine, id)

    def _start_engine(self, id):
        start = self.wall()
        self.engines[id] = Engine(self, self.specs[id], start)
        self._list([self._entry(id, "up", start)])

    def _crash(self, fault, hit):
        for id in hit:
            self._kill(id, fault.again)

    def _drain(self, fault, hit):
        self._list([self._entry(id, "draining") for id in hit])
        self._after(fault.length / 2 + self.scenario.list_late_ms / 1000, self._drains, hit)
        self._after(fault.length + self.scenario.list_late_ms / 1000, self._gone, fault, hit)

    def _drains(self, hit):
        for id in hit:
            self.engines[id].model.draining = True

    def _gone(self, fault, hit):
        self._list([self._entry(id, "gone") for id in hit])
        for id in hit:
            self._after(fault.again, self._kill, id, 0.0)

    def _burst(self, fault, hit):
        self.people.arrivals.burst = fault.value
        self._after(fault.length, setattr, self.people.arrivals, "burst", 1.0)

    def _traffic(self, fault, name):
        setattr(self.people.arrivals, name, fault.value)
        self._after(fault.length, setattr, self.people.arrivals, name, 0.0)

    def _hot_prefix(self, fault, hit):
        self._traffic(fault, "hot")

    def _heavy_tail(self, fault, hit):
        self._traffic(fault, "tail")

    def _impatient(self, fault, hit):
        self._traffic(fault, "impatient")

    def _greedy(self, fault, hit):
        self._traffic(fault, "greedy")

    def _late_reports(self, fault, hit):
        """Reports of load that are so many seconds old."""
        for id in hit:
            model = self.engines[id].model
            model.spec = msgspec.structs.replace(model.spec, report_lag_us=int(fault.value * 1e6))
            self._after(fault.length, setattr, model, "spec", self.engines[id].spec)

    def _clock_jump(self, fault, hit):
        """The wall clocks of all machines step by so many seconds, and stay there."""
        self.jumped += int(fault.value * 1e6)

    def _list_flap(self, fault, hit, phase="draining", left=None):
        left = int(fault.length / 0.5) * 2 if left is None else left
        self._list([self._entry(id, phase if left else "up", self.engines[id].spec.start) for id in hit])
        if left:
            self._after(
                0.25, self._list_flap, fault, hit, "up" if phase == "draining" else "draining", left - 1
            )

    def _front_roll(self, fault, hit, left=None):
        """Each front is stopped in order and started again, one after the other."""
        left = sorted(self.fronts) if left is None else left
        if left:
            self.record("driver", "front_stop", front=left[0])
            self.fronts[left[0]].stop()
            self._rolled(fault, left, self.queue.now + 10_000_000)

    def _rolled(self, fault, left, until):
        front = self.fronts[left[0]]
        if front.hands.reqs and self.queue.now < until:
            return self._after(0.01, self._rolled, fault, left, until)
        self.record("driver", "front_stopped", front=left[0], code=0)
        front.die()
        self._start_front(left[0], front.roster.kept)
        self._after(fault.again, self._front_roll, fault, [], left[1:])

    def _list_late(self, fault, hit):
        self.listing.late = int(fault.value * 1000)
        self._after(fault.length, setattr, self.listing, "late", int(self.scenario.list_late_ms * 1000))

    def _list_silent(self, fault, hit):
        self.listing.silent = True
        self._after(fault.length, self._list_speaks)

    def _list_speaks(self):
        self.listing.silent = False
        self._push_all()

    def _list_back(self, fault, hit):
        self.listing.back(max(int(fault.value), 1))
        self._push_all()
        self._after(fault.length, self._list_epoch, fault, hit)

    def _list_epoch(self, fault, hit):
        self.listing.new_epoch(self.queue.now)
        self._push_all()

    def _planner_kill(self, fault, hit):
        for name in hit:
            self.record("driver", "planner_killed", front=name)
            self.fronts[name].desk.planner_ended()
            self._after(fault.again, self._planner_back, name)

    def _planner_stop(self, fault, hit):
        for name in hit:
            self.fronts[name].desk.planner_stopped()
            self._after(fault.length, self._planner_back, name)

    def _planner_back(self, name):
        self.fronts[name].desk.planner_back()

    def _front_kill(self, fault, hit):
        for name in hit:
            self.record("driver", "front_killed", front=name)
            front = self.fronts[name]
            front.die()
            self._after(fault.again, self._start_front, name, front.roster.kept)

    def _start_front(self, name, kept):
        if kept is not None:
            kept = nodes.Told("whole", kept[0], kept[1], 0, kept[2])
        again = name in self.fronts
        front = self.fronts[name] = Front(self, self.told[name], self.scenario.planners, kept)
        front.start()
        if again:
            self.record("driver", "front_started", front=name)
