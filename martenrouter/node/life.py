"""The life of a front node: put together from its configuration, started, reloaded on SIGHUP, stopped on
SIGTERM."""

import collections
import errno
import os
import signal
import zlib

import gevent
from gevent.event import Event

from martenrouter.decisions.connections import RESTS, Connections
from martenrouter.edge import clock
from martenrouter.node.desk import Desk
from martenrouter.node.door import Door
from martenrouter.node.drains import Drains
from martenrouter.node.engines import Engines
from martenrouter.node.hands import LOOKS, Hands
from martenrouter.node.leaving import TimeLine
from martenrouter.node.process_memory import ProcessMemory
from martenrouter.node.reloads import Reloads
from martenrouter.node.server_starts import ServerStarts
from martenrouter.node.signals import ignore_from_now_on
from martenrouter.node.watch import Watch
from martenrouter.rules import DiscoveryEvent, Front
from martenrouter.settings import told
from martenrouter.wire.platform import configuration as codec
from martenrouter.wire.platform import members

MEGABYTE = 1_000_000  # bytes, as the settings count
# Shares of the descriptors. Clients: the usual ones' reqs hold a third at most, the rest is for bad ones. A
# third for reqs, each of which has one forward out. Kept connections to all engines together. What is left,
# an eighth, is the reserve of the list's watch, calls to let go, the door and files: nothing that clients do
# takes from it
CLIENTS, REQS, KEPT = 2 / 5, 1 / 3, 1 / 7
RELEASES = 1 / 16  # of the descriptors: calls to release that are out at once, half of the reserve
COME_BACK = (
    1_000_000  # microseconds that what is turned away over a bound is told, where the settings allow it
)
READ_AGAIN = 20  # looks at the configuration at the start, 0.1 s apart, while the system fails
FAILS_FOR_A_MOMENT = {errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EAGAIN}
IDLE_MARGIN = 1_000_000  # microseconds before the engine's limit: its close may already be on the way


def _seed(settings):
    """Of the configured text and the node's name: nodes that are given one seed draw apart all the same."""
    return zlib.crc32(("%s %s" % (settings.seed, settings.name)).encode())


class Node(Hands):
    def __init__(self, path, log, memory=None):
        """`memory`: process_memory.ProcessMemory, this process's own if not given.

        Raises wire.platform.configuration.Unreadable, settings.told.Unreadable or OSError: what, where and
        the mend."""
        self.path = path
        settings, known = self._first_read()
        plain = told.from_nested(settings.settings)
        super().__init__(plain, collections.Counter(), log)
        self.name, self.listen = settings.name, codec.address(settings.listen, "$.listen")
        self.starts = ServerStarts(clock.now(), clock.wall(), plain.get("warm_within", 0))
        self.drains = Drains()
        self.desk = Desk(Front(_seed(settings), plain), self, log)
        sockets = settings.limits.sockets
        self.sockets, self.memory_limit = sockets, int(settings.limits.memory_mb * MEGABYTE)
        self.memory = memory or ProcessMemory()
        idle = max(plain.get("idle_within", Connections.IDLE) - IDLE_MARGIN, IDLE_MARGIN)
        kept = int(sockets * KEPT)
        self.engines = Engines(
            Connections(kept, idle, total=kept, rests=RESTS),
            plain.get("connect_within", 250_000),
            plain.get("release_within", 1_000_000),
            int(sockets * RELEASES),
            self.counters,
            log,
        )
        self.engines.release_ended = lambda engine, answered: self.desk.post(
            "release_ended", engine, answered
        )
        self.engines.state_wanted = self.state_wanted
        self.engines.owed.start_of, self.engines.owed.has_left = self.starts.told, self._has_left
        self.engines.release_order = self.desk.front.release_order
        groups = {group.get("name") for group in plain["groups"]}
        wait = min(COME_BACK, plain.get("advice_cap", 0)) if plain.get("may_advise") else 0
        self.listed(known, "configuration")
        self.endpoint_list = self.desk.front.endpoint_list
        self.endpoint_list.take(DiscoveryEvent.STARTED, clock.now())
        self.guard.list_usable = self.endpoint_list.may_be_used
        self.list_in_doubt = True  # whether the policy is to be told of the next line, though it is empty
        self.list_said_usable = True  # as the log last had it
        self.door = Door(
            self.listen,
            int(sockets * CLIENTS),
            int(sockets * REQS),
            self.desk.front.memory_budget(self.memory_limit, self.memory.resident(), len(known.members)),
            groups,
            [("retry-after", "%.3f" % (wait / 1e6))] if wait else [],
            self.desk.front.transfers,
            self,
            self.counters,
            log,
        )
        self.watch = Watch(
            codec.address(settings.discovery, "$.discovery"),
            known.revision,
            self.listed,
            self.counters,
            log,
            self._heard_of_list,
            self._noticed_of_list,
        )
        self.reloads = Reloads(
            lambda: self._read()[0], self.watch.move, self._noticed_of_list, self.counters, log
        )
        self.done = Event()

    def _first_read(self):
        """As `_read`; the disk or the table of open files may fail for a moment, or the file may just be
        written, and a start is not given up for that."""
        for _ in range(READ_AGAIN):
            try:
                return self._read()
            except codec.CutOff:
                pass
            except OSError as why:
                if why.errno not in FAILS_FOR_A_MOMENT:
                    raise
            gevent.sleep(0.1)
        return self._read()

    def _read(self):
        with open(self.path, "rb") as file:
            return codec.configuration(file.read())

    # ---- the list ----

    def listed(self, message, scope=None):
        """What was written to this node counts as told, whatever its revision says: phases hold from here
        on."""
        begun = clock.now()
        scope = scope or ("whole" if message.complete else "changes")
        starts = self.starts.take({m.id: m.up_since_ms for m in message.members}, clock.now())
        rows = [self._row(member, starts[member.id], message.revision) for member in message.members]
        moved = {}
        if scope != "changes":
            named = {member.id for member in message.members}
            moved = {id: None for id in self.phases if id not in named}
        for member, row in zip(message.members, rows):
            moved[member.id] = member.host_port if row[0] != "gone" else None
            self.kinds[member.id] = member.flavor
            self.phases[member.id] = row[0]
            self.guard.places[member.id] = row[2], row[4]
        for id, address in moved.items():
            if address is None:
                self.phases.pop(id, None)
                self.kinds.pop(id, None)
                self.guard.places.pop(id, None)
        self.engines.moved(moved)
        self.desk.post("listed", message.revision, scope, rows)
        self.list_in_doubt = scope == "configuration"
        took = clock.now() - begun
        self.load.list_taken(took)
        self.log.info(
            "list",
            revision=message.revision,
            scope=scope,
            took=took,
            rows=[(row[3], row[0], row[6]) for row in rows] if scope == "changes" else len(rows),
        )

    def _has_left(self, server):
        return server not in self.phases

    def _heard_of_list(self):
        """A line of the watch came, perhaps an empty one: there is nothing newer than what was told."""
        self.starts.heard(clock.now())
        if self.list_in_doubt:
            self.list_in_doubt = False
            self.desk.post("list_current")

    def _noticed_of_list(self, event):
        """Something that bears on whether the list is what the agent has; in order with what is listed."""
        self.list_in_doubt = True
        self.desk.post("discovery", event, clock.now())

    def ready(self):
        """Whether clients may be sent here."""
        return self.endpoint_list.is_ready(clock.now())

    def _row(self, member, start, revision):
        phase, *rest = members.row(member, start)
        return self.drains.phase(member, phase, revision), *rest

    # ---- life ----

    def start(self):
        """Raises OSError when the address can't be listened on."""
        self.door.start()
        self.watch.start()
        self.desk.start()
        self.looker = gevent.spawn(self._look)
        self.log.info(
            "node_started",
            name=self.name,
            listen="%s:%d" % self.door.server.address[:2],
            pid=os.getpid(),
            engines=len(self.phases),
            sockets=self.sockets,
            memory_limit=self.memory_limit,
            memory=self.memory.resident(),
            most_clients=self.door.most,
            most_requests=self.door.most_reqs,
            bytes_limit=self.door.memory.limit,
            system_buffers=self.door.system_buffers,
        )

    def greenlets(self):
        """Those that run for as long as the node does."""
        return self.watch.greenlet, self.desk.greenlet, self.looker

    def run(self, early=None):
        """Serves until SIGTERM or SIGINT; returns the exit code. `early`: node/signals.py, what came before
        this."""
        for number, act in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.reload),
            (signal.SIGUSR1, self.say_beliefs),
        ):
            gevent.signal_handler(number, self._signalled, act)
        if early is not None and early.caught:
            self._signalled(self.reload)  # it came before anybody could look
        self.start()
        self.done.wait()
        ignore_from_now_on()
        return 0

    def _signalled(self, act):
        gevent.spawn(act)

    def _look(self):
        while True:
            due = clock.now() + LOOKS
            gevent.sleep(LOOKS / 1e6)
            now = clock.now()
            self.load.woke(now - due)
            if now - due >= LOOKS:
                self.desk.post("held_up", now - due)
            for look in (
                lambda: self.look_after(now),
                self.engines.sweep,
                lambda: self.door.sweep(now),
                lambda: self._look_at_memory(now),
                lambda: self._look_at_list(now),
                lambda: self.load.look(now, **self._gauges()),
            ):
                try:
                    look()
                except Exception as why:
                    # the others and later ones go on: what they guard against would otherwise be guarded by
                    # nothing
                    self.log.error("look_failed", error="%s: %s" % (type(why).__name__, why))

    def _look_at_memory(self, now):
        resident = self.memory.resident()
        if self.door.budget.look(resident):
            self.counters["memory_was_short"] += 1
            self.memory.trim()
        if resident is not None:
            self.load.memory(now, resident, self.memory_limit, **self._held_for_clients())

    def _look_at_list(self, now):
        usable = self.endpoint_list.may_be_used(now)
        if usable != self.list_said_usable:
            self.list_said_usable = usable
            if usable:
                self.log.info("list_usable_again")
            else:
                self.counters["list_unconfirmed"] += 1
                self.log.warning(
                    "list_unconfirmed",
                    why=self.endpoint_list.why,
                    discovery="%s:%d" % self.watch.address,
                    mend="requests are refused until the agent is heard: look at it, or name another one",
                )

    def _held_for_clients(self):
        return {
            "clients": len(self.door.conns),
            "client_states": dict(collections.Counter(c.state.value for c in self.door.conns.values())),
            "bytes_held": self.door.memory.requests,
            "bytes_heard": self.door.memory.half_heard,
            "bytes_unsent": self.door.memory.unread,
            "bytes_limit": self.door.memory.limit_now,
        }

    def reload(self):
        """SIGHUP: see reloads.py."""
        self.reloads.signalled()

    def stop(self):
        """SIGTERM: not ready any more; what still comes is served, what was taken is finished, then the
        process ends.

        Where clients ask for the rest of a stream that broke, other fronts of a rolling restart may be down
        just now: kept connections are served for longer, and streams that the kill would cut move on before
        it, while others are up.
        """
        if self.door.stopping:
            return
        line, begun = TimeLine(self.settings), clock.now()
        self.door.stopping, self.door.leaving = True, line.moves is None
        self.log.info("stopping", open=len(self.reqs), connections=len(self.door.conns))
        self.answer_all_by(begun + line.answered)
        self.moved = gone = 0
        # the end comes when no connection is left, however long that takes: what the kill cuts of what came
        # in time is not lost, what this process cuts by ending is; and a req may come on any connection that
        # is open
        while self.busy(gone < line.kill) or gone <= line.kept or self.door.conns or self.door.empties:
            gone = clock.now() - begun
            try:
                self._go_on_stopping(line, begun, gone)
            except Exception as why:
                # else nothing would end the process before the kill
                self.log.error("stop_failed", error="%s: %s" % (type(why).__name__, why))
            gevent.sleep(0.02)
        self.log.info(
            "node_stopped", unanswered=sum(r.over is None for r in self.reqs.values()), **self.counters
        )
        self.engines.owed.given_up()
        self.done.set()

    def _go_on_stopping(self, line, begun, gone):
        if gone > line.coming:
            self.door.stop_listening()
        if gone > line.kept:
            self.door.leaving = True
            self.door.retire()
        if line.moves is not None and gone > line.moves:
            part = min((gone - line.moves) / (line.moved - line.moves), 1)
            self.moved += self.move_streams(begun + line.last if gone < line.last else 0, self.moved, part)

    def busy(self, may_wait=False):
        """`may_wait`: whether time is left to wait for states that servers may only come to hold."""
        return (
            any(r.over is None or r.forwards for r in self.reqs.values())
            or self.engines.letting_go
            or may_wait
            and self.engines.owed.count
            or any(not conn.buffer.empty for conn in self.door.conns.values())
        )

    def _gauges(self):
        held, oldest = self.states.held(self.reqs.values(), clock.now())
        left, left_most = self.states.left(self.reqs.values(), clock.now())
        return {
            "states_left": left,
            "state_left_most": left_most,
            "states_held": held,
            "state_held_most": oldest,
            "open": len(self.reqs),
            **self._held_for_clients(),
            "memory": self.memory.resident(),
            "servers": len(self.phases),
            "kept_connections": self.engines.kept.count,
            "attempts_out": len(self.engines.out),
            "releases_out": self.engines.letting_go,
            "releases_owed": self.engines.owed.count,
            "releases_owed_for_long": self.engines.owed.rare_count,
        }

    # ---- what is believed, beside what the sockets hold ----

    def beliefs(self):
        """The module's view of each engine beside the node's facts, and what is open."""
        now, front = clock.now(), self.desk.front
        out = collections.Counter(f.engine for f in self.engines.out.values())
        engines = {}
        for id, engine in front.engines.items():
            held = [n for r in front.reqs.values() for n, f in r.out.items() if f.engine is engine]
            engines[id] = {
                "up": engine.up,
                "phase": self.phases.get(id, "gone"),
                "module_out": len(held),
                "out": out[id],
                "waiting": len(engine.waiting),
                "pending": engine.pending,
                "streams": int(engine.streams),
                "failed": engine.failed,
                "strain": round(front.strain(engine), 2),
                "load": engine.load,
                "load_age": now - engine.load_at if engine.load else None,
                "born": engine.born,
                "kept_connections": len(self.engines.kept.idle.get(id, ())),
            }
        return {
            "open": len(self.reqs),
            "module_open": len(front.live),
            "clients": len(self.door.conns),
            "descriptors": len(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else None,
            "rounds": self.desk.rounds,
            "slowest_round": self.desk.slowest,
            "faults": self.desk.faults,
            "counters": dict(self.counters),
            "engines": engines,
        }

    def say_beliefs(self):
        self.log.info("beliefs", **self.beliefs())
