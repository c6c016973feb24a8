"""What a front adds: the same load through it and straight to the same stand-in engines, one after the other
in one run.

    python -m bench.front [--rate 130] [--seconds 20] [--rates 130,200,…] [--minutes 10] [--idle 10000]

Prints milliseconds and ratios; all engines are stand-ins and all processes share one machine, so that the
figures tell what the front costs, not what a fleet would answer.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time

import click
import gevent
from hdrh.histogram import HdrHistogram

from martenrouter.edge.client import Client
from martenrouter.lab.processes import Ports, Process


class Fleet:
    def __init__(self, readers=1, writers=2, command=None, planner=False, more=None):
        self.dir, ports, self.processes = tempfile.mkdtemp(prefix="bench-"), Ports(), []
        self.told, entries = {"readers": [], "writers": []}, []
        for role, kind, count in (("readers", "rd", readers), ("writers", "wr", writers)):
            for i in range(count):
                port = ports.take()
                self.start("%s-%d" % (kind, i), [str(port)], port, [sys.executable, "-m", "bench.engine"])
                self.told[role].append(("127.0.0.1", port))
                entries.append(
                    {
                        "id": "%s-%d" % (kind, i),
                        "phase": "up",
                        "kind": kind,
                        "zone": "z",
                        "cell": 0,
                        "address": "127.0.0.1:%d" % port,
                    }
                )
        listing = os.path.join(self.dir, "list.json")
        with open(listing, "w") as file:
            json.dump({"scope": "whole", "epoch": 1, "version": 1, "entries": entries}, file)
        port = ports.take()
        path, more = os.path.join(self.dir, "front.jsonnet"), dict(more or {})
        if "budgets" in more:
            more["budgets"] = {**more["budgets"], "ledger": os.path.join(self.dir, "ledger")}
        with open(path, "w") as file:
            json.dump(
                {
                    "listen": "127.0.0.1:%d" % port,
                    "list": {"file": listing},
                    "limits": {
                        "connections": 20_000,
                        "pauses": 5000,
                        "tool_call_within_ms": 600_000,
                        "open_reqs": 5000,
                    },
                    "kinds": [
                        {"name": "rd", "role": "read", "memory_tokens": 4_000_000},
                        {"name": "wr", "role": "write", "memory_tokens": 4_000_000},
                    ],
                    "log": {"level": "warning"},
                    **more,
                },
                file,
            )
        self.told["fronts"] = [("127.0.0.1", port)]
        self.plan = os.path.join(self.dir, "plan.sock")
        self.front = self.start(
            "front", ["edge", path, *(["--planner", self.plan] if planner else [])], port, command
        )
        self.planner = (
            Process("planner", ["planner", self.plan], os.path.join(self.dir, "planner.log"))
            if planner
            else None
        )
        if planner:
            self.planner.start()
            self.processes.append(self.planner)
        gevent.sleep(0.5)

    def start(self, name, arguments, port, command=None):
        process = Process(name, arguments, os.path.join(self.dir, name + ".log"), command)
        process.start()
        self.processes.append(process)
        process.wait_for(("127.0.0.1", port))
        return process

    def stop(self):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.dir, ignore_errors=True)

    def cpu(self, process=None):
        """Processor seconds of the front (its edge) so far, or of another process."""
        with open("/proc/%d/stat" % (process or self.front).popen.pid) as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self):
        """Resident MiB of the front."""
        with open("/proc/%d/statm" % self.front.popen.pid) as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def status(self):
        client = Client(self.told["fronts"][0])
        try:
            return client.call("status", {}, within=5)["result"]
        finally:
            client.close()

    def load(self, how, rate, seconds, workers=2):
        """One load by several processes. Returns their figures put together."""
        cpu, start = self.cpu(), time.monotonic()
        popens = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bench.load",
                    json.dumps(
                        {
                            "how": how,
                            "rate": rate / workers,
                            "seconds": seconds,
                            "seed": i,
                            "max_tokens": 64,
                            **self.told,
                        }
                    ),
                ],
                stdout=subprocess.PIPE,
            )
            for i in range(workers)
        ]
        told = [json.loads(popen.communicate()[0]) for popen in popens]
        first, gap = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        for one in told:
            first.decode_and_add(one["first"])
            gap.decode_and_add(one["gap"])
        asked, done = sum(one["asked"] for one in told), sum(one["done"] for one in told)
        other = {}
        for one in told:
            for name, count in one["other"].items():
                other[name] = other.get(name, 0) + count
        used = self.cpu() - cpu
        return {
            "first": first,
            "gap": gap,
            "asked": asked,
            "done": done,
            "other": other,
            "cpu_ms": used * 1000 / max(asked, 1),
            "busy": used / (time.monotonic() - start),
        }


def at(histogram, p):
    return histogram.get_value_at_percentile(p) / 1000


@click.command()
@click.option("--rate", default=130.0)
@click.option("--seconds", default=15.0)
@click.option(
    "--rates", default="200,260,320,400", help="Rates tried for the highest one held; empty for none."
)
@click.option("--minutes", default=0.0, help="Then this long at --rate, to see whether memory stays flat.")
@click.option("--idle", default=10_000, help="Idle client connections held at the end; 0 for none.")
def main(rate, seconds, rates, minutes, idle):
    fleet = Fleet()
    try:
        fleet.load("front", rate, 3)  # warms both
        direct, front = fleet.load("direct", rate, seconds), fleet.load("front", rate, seconds)
        for name, run in (("direct", direct), ("front", front)):
            print(
                "%-7s %4.0f/s: done %d of %d %s; first token ms p50 %.2f p99 %.2f; between tokens p50 %.2f "
                "p99 %.2f"
                % (
                    name,
                    rate,
                    run["done"],
                    run["asked"],
                    run["other"] or "",
                    at(run["first"], 50),
                    at(run["first"], 99),
                    at(run["gap"], 50),
                    at(run["gap"], 99),
                )
            )
        print(
            "added: first token p50 %.2f ms, p99 %.2f ms; between tokens p50 %.2f, p99 %.2f; ratio of "
            "first tokens p50 %.2f"
            % (
                at(front["first"], 50) - at(direct["first"], 50),
                at(front["first"], 99) - at(direct["first"], 99),
                at(front["gap"], 50) - at(direct["gap"], 50),
                at(front["gap"], 99) - at(direct["gap"], 99),
                at(front["first"], 50) / at(direct["first"], 50),
            )
        )
        status = fleet.status()
        print(
            "front: %.2f ms of CPU a req, busy %.2f of a core, %.0f MiB; rounds %d, a round us p50 %d p99 "
            "%d max %d"
            % (front["cpu_ms"], front["busy"], fleet.memory(), status["rounds"], *status["round_us"].values())
        )
        for higher in [float(text) for text in rates.split(",") if text]:
            run = fleet.load("front", higher, 8)
            print(
                "at %4.0f/s: done %d of %d %s; first token p50 %.2f p99 %.2f; busy %.2f of a core"
                % (
                    higher,
                    run["done"],
                    run["asked"],
                    run["other"] or "",
                    at(run["first"], 50),
                    at(run["first"], 99),
                    run["busy"],
                )
            )
            if run["done"] < 0.99 * run["asked"] or at(run["first"], 99) > 1000:
                break
        until, before = time.monotonic() + minutes * 60, fleet.memory()
        while time.monotonic() < until:
            run = fleet.load("front", rate, 55)
            print(
                "memory %.1f MiB (began at %.1f); done %d of %d; first token p50 %.2f p99 %.2f"
                % (
                    fleet.memory(),
                    before,
                    run["done"],
                    run["asked"],
                    at(run["first"], 50),
                    at(run["first"], 99),
                )
            )
        if idle:
            before, clients = fleet.memory(), []
            for _ in range(idle):
                clients.append(Client(fleet.told["fronts"][0]))
            run = fleet.load("front", rate, 5)
            print(
                "%d idle connections: %.1f KiB each; with them done %d of %d, first token p50 %.2f p99 %.2f"
                % (
                    fleet.status()["connections"],
                    (fleet.memory() - before) * 1024 / idle,
                    run["done"],
                    run["asked"],
                    at(run["first"], 50),
                    at(run["first"], 99),
                )
            )
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
