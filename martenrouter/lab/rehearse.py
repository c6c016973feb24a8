"""Plays a scenario through real fronts on loopback: list service, engines, fronts as processes, clients in
this one."""

import os
import random
import shutil
import signal
import tempfile
import time

import gevent
import msgspec
from gevent import socket

from martenrouter.lab import fleet
from martenrouter.lab.processes import Ports, Process
from martenrouter.lab.scenario import EMULATED
from martenrouter.settings import front as settings_of
from martenrouter.settings.load import BadSettings
from martenrouter.standins.clients import Clients
from martenrouter.standins.clocks import watch_lag
from martenrouter.state import records
from martenrouter.state.ledger import Ledger, read_export
from martenrouter.state.records import Recorder
from martenrouter.wire import http, nodes


def played(scenario, seed, front_command=None, of=lambda directory, codes: records.read(directory)):
    """Plays a day and gives `of(its directory of records, the fronts' exit codes)`, usually the records;
    nothing is left of it."""
    directory = tempfile.mkdtemp(prefix="records-")
    rehearsal = Rehearsal(scenario, seed, directory, front_command=front_command)
    try:
        codes = rehearsal.play()
        return of(directory, codes)
    finally:
        shutil.rmtree(rehearsal.logs, ignore_errors=True)
        shutil.rmtree(directory, ignore_errors=True)


class Rehearsal:
    def __init__(self, scenario, seed, records, speed=1.0, say=lambda text: None, front_command=None):
        """`records`: an empty directory; `say` takes lines of progress; `front_command` replaces the front's
        program."""
        self.scenario, self.seed, self.dir, self.speed, self.say = scenario, seed, records, speed, say
        self.front_command = front_command
        self.record = Recorder(records, "driver")
        self.random = random.Random("%s %s faults" % (scenario.name, seed))
        self.processes, self.addresses, self.entries, self.specs = {}, {}, {}, {}
        self.ports, self.logs = Ports(), tempfile.mkdtemp(prefix="rehearsal-")
        self.work = []

    def play(self):
        """Runs the day; returns {front: exit code}. Everything started is stopped, whatever happens. Raises
        BadSettings for a day that only the emulator can play."""
        for i, fault in enumerate(self.scenario.faults):
            if fault.kind in EMULATED:
                raise BadSettings(
                    "%s: at faults[%d]: %s is played by the emulator only"
                    % (self.scenario.name, i, fault.kind)
                )
        try:
            self.work.append(gevent.spawn(watch_lag, gevent.sleep, self.record))
            self._start()
            clients = self._clients()
            self.say(
                "%d engines, %d fronts; %g s of traffic at %g reqs a second"
                % (len(self.specs), self.scenario.fronts, self._s(self.scenario.seconds), self._rate())
            )
            script = [gevent.spawn(self._fault, fault, clients) for fault in self.scenario.faults]
            clients.run(self._s(self.scenario.seconds))
            left = clients.drain(self.scenario.traffic.deadline_ms / 1000 + 8)
            self.record("traffic_over", left=left)
            gevent.killall(script)
            codes = {}
            for name in [name for name in self.processes if name.startswith("front")]:
                self.record("front_stop", front=name)
                codes[name] = self.processes[name].stop(5)
                self.record("front_stopped", front=name, code=codes[name])
            return codes
        finally:
            self.stop()

    def exports(self):
        """The ledgers of all fronts, exported now that they have stopped: as decisions.booking.reconcile
        takes them; [] without budgets."""
        told = []
        for name in sorted(self.addresses):
            path = os.path.join(self.logs, name + ".ledger")
            if os.path.isdir(path):
                ledger, out = Ledger(path, name), path + "-out"
                ledger.export(out)
                ledger.close()
                told += [read_export(os.path.join(out, file)) for file in sorted(os.listdir(out))]
        return told

    def stop(self):
        gevent.killall(self.work, block=False)
        for process in self.processes.values():
            process.kill()

    def _s(self, seconds):
        return seconds / self.speed

    def _rate(self):
        return self.scenario.traffic.rate * self.speed

    # ---- starting ----

    def _start(self):
        scenario = self.scenario
        self.specs = fleet.specs(scenario, lambda: "127.0.0.1:%d" % self.ports.take(), self.speed)
        for id, spec in self.specs.items():
            self._process(
                id, ["standin", "engine", "--records", self.dir, "--spec", msgspec.json.encode(spec).decode()]
            )
        list_port = self.ports.take()
        self.addresses["list"] = ("127.0.0.1", list_port)
        self._process(
            "list",
            [
                "standin",
                "list",
                "--listen",
                "127.0.0.1:%d" % list_port,
                "--records",
                self.dir,
                "--late-ms",
                str(scenario.list_late_ms),
            ],
        )
        for id, spec in self.specs.items():
            self.addresses[id] = settings_of.address(spec.listen, id)
        self.groups = fleet.groups(scenario)
        for i in range(scenario.fronts):
            name, port = "front-%d" % i, self.ports.take()
            self.addresses[name] = ("127.0.0.1", port)
            settings = fleet.front_settings(
                scenario,
                self.seed,
                i,
                "127.0.0.1:%d" % port,
                self.specs,
                records=self.dir,
                list={"service": "127.0.0.1:%d" % list_port, "keep": os.path.join(self.logs, name + ".list")},
                **({"planner": os.path.join(self.logs, name + ".sock")} if scenario.planners else {}),
            )
            if settings.get("budgets"):
                settings["budgets"] = {
                    **settings["budgets"],
                    "ledger": os.path.join(self.logs, name + ".ledger"),
                }
            settings_of.check(settings, scenario.name)
            path = os.path.join(self.logs, name + ".jsonnet")
            with open(path, "wb") as file:
                file.write(msgspec.json.encode(settings))
            self._process(name, ["edge", path], self.front_command)
        limits = settings_of.check(settings, scenario.name).limits
        self.record(
            "scenario",
            **fleet.told_to_judge(scenario, self.seed, self.specs, settings_of.us(limits.release_within_ms)),
        )
        for name in ["list", *self.specs]:
            self.processes[name].wait_for(self.addresses[name])
        self._list(*[self._entry(id, "up") for id in self.specs])
        for i in range(scenario.fronts):
            self.processes["front-%d" % i].wait_for(self.addresses["front-%d" % i])
            if scenario.planners:
                self._process(
                    "planner-%d" % i,
                    [
                        "planner",
                        os.path.join(self.logs, "front-%d.sock" % i),
                        *(["--store", os.path.join(self.logs, "store")] if scenario.store else []),
                    ],
                )
        gevent.sleep(scenario.list_late_ms / 1000 + 0.3)

    def _process(self, name, arguments, command=None):
        process = Process(name, arguments, os.path.join(self.logs, name + ".log"), command)
        self.processes[name] = process
        process.start()

    def _clients(self):
        traffic = msgspec.structs.replace(self.scenario.traffic, rate=self._rate())
        fronts = {name: self.addresses[name] for name in self.addresses if name.startswith("front")}
        return Clients(
            fronts,
            traffic,
            self.groups,
            random.Random("%s %s traffic" % (self.scenario.name, self.seed)),
            Recorder(self.dir, "clients"),
        )

    # ---- what goes wrong ----

    def _entry(self, id, phase, start=0):
        spec = self.specs[id]
        self.entries[id] = nodes.Entry(id, phase, spec.kind, spec.zone, spec.cell, spec.listen, start)
        return self.entries[id]

    def _list(self, *entries):
        self._list_op({"op": "set", "entries": [msgspec.to_builtins(entry) for entry in entries]})

    def _list_op(self, told):
        try:
            with socket.create_connection(self.addresses["list"], timeout=2) as sock:
                sock.sendall(msgspec.json.encode(told) + b"\n")
                sock.recv(16)
        except OSError as why:
            self.record("control_failed", target="list", why=str(why))

    def control(self, id, **faults):
        try:
            with socket.create_connection(self.addresses[id], timeout=1) as sock:
                sock.sendall(http.request("POST", "/control", id, (), msgspec.json.encode(faults)))
                sock.settimeout(1)
                sock.recv(4096)
        except OSError as why:
            self.record("control_failed", target=id, why=str(why))

    def _fault(self, fault, clients):
        targets = fleet.targets(fault, self.specs, self.random)
        gevent.sleep(self._s(fault.at))
        self.record(
            "fault", kind=fault.kind, targets=targets, length=self._s(fault.length), value=fault.value
        )
        self.say("%5.1f s  %s %s" % (fault.at, fault.kind, " ".join(targets)))
        getattr(self, "_" + fault.kind, self._engine_fault)(fault, targets, clients)
        self.record("fault_over", kind=fault.kind, targets=targets)

    def _engine_fault(self, fault, targets, _):
        kind = fault.kind
        value = (
            int(fault.value) if kind.endswith("_after") else fault.value if kind in ("slow", "link") else True
        )
        for id in targets:
            self.control(id, **{kind: value})
        gevent.sleep(self._s(fault.length))
        for id in targets:
            if kind == "half_open":
                # its new connections aren't read, so it is ended the hard way: cleared by a restart
                self._restart(id)
            elif kind != "forget":
                self.control(id, clear=True)

    def _restart(self, id, again=0.0):
        self.record("engine_killed", engine=id)
        self.processes[id].kill()
        gevent.sleep(again)
        start = time.time_ns() // 1000
        self.specs[id] = msgspec.structs.replace(self.specs[id], start=start)
        self._process(
            id,
            [
                "standin",
                "engine",
                "--records",
                self.dir,
                "--spec",
                msgspec.json.encode(self.specs[id]).decode(),
            ],
        )
        self._list(self._entry(id, "up", start))

    def _crash(self, fault, targets, _):
        for id in targets:
            self._restart(id, self._s(fault.again))

    def _drain(self, fault, targets, _):
        self._list(*[self._entry(id, "draining") for id in targets])
        gevent.sleep(self._s(fault.length) / 2 + self.scenario.list_late_ms / 1000)
        for id in targets:
            self.control(id, drain=True)
        gevent.sleep(self._s(fault.length) / 2)
        self._list(*[self._entry(id, "gone") for id in targets])
        gevent.sleep(self._s(fault.again))
        for id in targets:
            self._restart(id)

    def _burst(self, fault, _, clients):
        clients.arrivals.burst = fault.value
        gevent.sleep(self._s(fault.length))
        clients.arrivals.burst = 1.0

    def _traffic(self, fault, clients, name):
        setattr(clients.arrivals, name, fault.value)
        gevent.sleep(self._s(fault.length))
        setattr(clients.arrivals, name, 0.0)

    def _hot_prefix(self, fault, _, clients):
        self._traffic(fault, clients, "hot")

    def _heavy_tail(self, fault, _, clients):
        self._traffic(fault, clients, "tail")

    def _impatient(self, fault, _, clients):
        self._traffic(fault, clients, "impatient")

    def _greedy(self, fault, _, clients):
        self._traffic(fault, clients, "greedy")

    def _list_flap(self, fault, targets, _):
        until = time.monotonic() + self._s(fault.length)
        while time.monotonic() < until:
            for phase in ("draining", "up"):
                self._list(*[self._entry(id, phase, self.specs[id].start) for id in targets])
                gevent.sleep(0.25)

    def _front_roll(self, fault, *_):
        for name in [name for name in self.processes if name.startswith("front")]:
            self.record("front_stop", front=name)
            self.record("front_stopped", front=name, code=self.processes[name].stop(12))
            self.processes[name].start()
            self.record("front_started", front=name)
            gevent.sleep(self._s(fault.again))

    def _list_late(self, fault, *_):
        self._list_op({"op": "late", "us": int(fault.value * 1000)})
        gevent.sleep(self._s(fault.length))
        self._list_op({"op": "late", "us": int(self.scenario.list_late_ms * 1000)})

    def _list_silent(self, fault, *_):
        self._list_op({"op": "silent", "on": True})
        gevent.sleep(self._s(fault.length))
        self._list_op({"op": "silent", "on": False})

    def _list_back(self, fault, *_):
        self._list_op({"op": "back", "count": max(int(fault.value), 1)})
        gevent.sleep(self._s(fault.length))
        self._list_op({"op": "epoch"})  # a service that was set back counts on from a new epoch

    def _list_epoch(self, fault, *_):
        self._list_op({"op": "epoch"})

    def _planner_kill(self, fault, targets, _):
        for name in targets:
            planner = self.processes[name.replace("front", "planner")]
            self.record("planner_killed", front=name)
            planner.kill()
            gevent.sleep(self._s(fault.again))
            planner.start()

    def _planner_stop(self, fault, targets, _):
        for name in targets:
            planner = self.processes[name.replace("front", "planner")]
            planner.popen.send_signal(signal.SIGSTOP)
            gevent.sleep(self._s(fault.length))
            planner.popen.send_signal(signal.SIGCONT)

    def _front_kill(self, fault, targets, _):
        for name in targets:
            self.record("front_killed", front=name)
            self.processes[name].kill()
        gevent.sleep(self._s(fault.again))
        for name in targets:
            self.processes[name].start()
            self.record("front_started", front=name)
