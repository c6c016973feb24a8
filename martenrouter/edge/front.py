"""One front as a process: its hands (edge/hands.py) put together with a desk, a client door, connections to
engines, the list."""

import os
import signal

import gevent
import msgspec
from gevent.event import Event

from martenrouter.decisions.chain import Chain
from martenrouter.decisions.connections import Connections
from martenrouter.decisions.takeover import Takeover
from martenrouter.edge import clock
from martenrouter.edge.books import Books
from martenrouter.edge.desk import Desk
from martenrouter.edge.door import Door
from martenrouter.edge.engines import Engines
from martenrouter.edge.handover import facts, of_one
from martenrouter.edge.hands import Hands
from martenrouter.edge.loop import LoopWatch
from martenrouter.edge.planner_door import PlannerDoor
from martenrouter.edge.roster import Roster
from martenrouter.settings import front as settings_of
from martenrouter.settings.load import BadSettings
from martenrouter.state import records
from martenrouter.wire.channel import VERSION, Welcome

OVERDUE_LOOK = 0.05  # seconds: looks for reqs that a failed round left behind


class Front(Hands):
    def __init__(self, settings, log, again=None):
        """`again()` gives the settings anew, for SIGHUP; raises BadSettings."""
        self.again = again
        super().__init__(settings, records.recorder(settings.records, settings.name), log)
        limits = settings.limits
        module, chain = settings_of.for_module(settings), settings_of.for_chain(settings)
        self.desk = Desk(
            lambda: Chain(settings.seed, module, chain),
            self,
            lambda: facts(self),
            lambda id: of_one(self, id),
            settings_of.us(settings.round_ms),
            self.counters,
            log,
        )
        self.plan = (
            PlannerDoor(
                settings.planner,
                self.desk,
                Welcome(
                    VERSION,
                    settings.name,
                    settings.seed,
                    Takeover.for_planner(module),
                    Takeover.for_planner(chain),
                ),
                self.counters,
                log,
            )
            if settings.planner
            else None
        )
        self.engines = Engines(
            Connections(limits.idle_connections_an_engine),
            settings_of.us(limits.connect_within_ms),
            settings.model,
            self.record,
            self.counters,
            log,
        )
        self.door = Door(
            settings_of.address(settings.listen, "listen"), limits, self, self.counters, self.record, log
        )
        source = settings.list
        source = msgspec.structs.replace(
            source, service=settings_of.address(source.service, "list.service") if source.service else None
        )
        self.roster = Roster(
            settings.name,
            source,
            settings.seed,
            self.list_came,
            self.engines.moved,
            self.counters,
            self.record,
            log,
        )
        self.books = (
            Books(settings.budgets, settings.name, settings.fronts, self.counters, log)
            if settings.budgets
            else None
        )
        self.done, self.loop = Event(), LoopWatch()

    # ---- life ----

    def start(self):
        """Raises OSError when the address can't be listened on."""
        self.door.start()
        self.roster.start()
        self.desk.start()
        self.loop.start()
        if self.books:
            self.books.start()
        if self.plan:
            self.plan.start()
        gevent.spawn(self._look_after)
        self.log.info("front_started", name=self.settings.name, listen=self.settings.listen, pid=os.getpid())

    def run(self):
        """Serves until a signal; returns the exit code."""
        self.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._signalled)
        gevent.signal_handler(signal.SIGHUP, self._settings_again)
        self.done.wait()
        return 0

    def _signalled(self):
        if self.stopping:
            self.log.warning("stopped_at_once", open=self.count())
            os._exit(1)
        self.stopping = True
        gevent.spawn(self.stop)

    def _settings_again(self):
        """Budgets follow the settings file; all else needs a start."""
        try:
            told = self.again() if self.again else None
        except BadSettings as why:
            self.log.error("settings_refused", why=str(why), mend="the old ones stay")
            return
        if self.books and told and told.budgets:
            self.books.changed(told.budgets)
        else:
            self.log.warning(
                "settings_not_read_again", why="only budgets are, where there were some at the start"
            )

    def stop(self):
        """Nothing new is taken; what is open is finished, or answered when the time to stop is over."""
        within = self.settings.limits.stop_within_ms / 1000
        self.log.info("stopping", open=self.count(), within_ms=within * 1000)
        self.door.stop_accepting()
        self.desk.post("stop")
        with gevent.Timeout(within, False):
            while self.reqs:
                gevent.sleep(0.01)
        self.door.shut_all(min(within, 1))
        if self.books:
            self.books.stop()
        if self.plan:
            self.plan.stop()
        self.log.info("front_stopped", unanswered=self.count(), **self.counters)
        self.done.set()

    def _look_after(self):
        """Besides what the hands look after, closes connections that idled too long."""
        while True:
            gevent.sleep(OVERDUE_LOOK)
            now = clock.now()
            self.look_after(now)
            self.engines.sweep()
            self.door.sweep(now)

    def status(self):
        cost = self.desk.cost
        return {
            "name": self.settings.name,
            "open": self.count(),
            "connections": len(self.door.conns),
            "rounds": self.desk.rounds,
            "round_us": {
                "p50": cost.get_value_at_percentile(50),
                "p99": cost.get_value_at_percentile(99),
                "max": cost.get_max_value(),
            },
            "loop_late_us": self.loop.status(),
            "faults": self.desk.faults,
            "decides": self.desk.who(),
            "epoch": self.desk.takeover.epoch,
            "list": [self.roster.members.epoch, self.roster.members.version],
            "engines": len(self.engines.addresses),
            "counters": dict(self.counters),
            **({"budgets": self.books.status()} if self.books else {}),
        }
