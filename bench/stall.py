"""What deciding without a planner is worth: planners are stopped for most of a day while a writer hangs,
another is ten times slower and an engine drains.

    python -m bench.stall [--seeds 2]

As built the edge runs the same decisions from its facts; `weights_without_planner` sends by a table of
weights that the planner left; `pushes_back_without_planner` answers all with a pushback. Stand-in engines,
one machine. Rules are judged from the traffic on sockets, for these ways too.
"""

import sys

import click
import msgspec

from martenrouter.lab.rehearse import played
from martenrouter.lab.scenario import Scenario
from martenrouter.lab.verdict import verdict
from martenrouter.state import records

WAYS = ("as_built", "weights_without_planner", "pushes_back_without_planner", "waits_for_its_planner")


def day():
    return msgspec.convert(
        {
            "name": "stall",
            "about": "",
            "seconds": 12,
            "planners": True,
            "cells": [{"rd": 2, "wr": 3}, {"rd": 2, "wr": 3}],
            "traffic": {
                "rate": 30,
                "shares": [0.7, 0.0, 0.3],
                "deadline_ms": 8000,
                "openings": 12,
                "opening_words": 300,
            },
            "faults": [
                {"at": 2, "kind": "planner_stop", "target": "front-%d" % i, "length": 8} for i in range(2)
            ]
            + [
                {"at": 3, "kind": "hang", "target": "wr-0-0", "length": 4},
                {"at": 3, "kind": "slow", "target": "rd-1-0", "length": 5, "value": 10},
                {"at": 5, "kind": "drain", "target": "wr-1-1", "length": 3, "again": 1},
            ],
        },
        Scenario,
    )


def play(way, seed):
    """Figures of the reqs asked while the planners were stopped."""
    told, found = played(
        day(),
        seed,
        [sys.executable, "-m", "bench.fronts", way],
        lambda directory, _: (records.read(directory), verdict(directory)[0]),
    )
    stop = min(record["t"] for record in told if record["ev"] == "fault" and record["kind"] == "planner_stop")
    asked = {
        record["trace"]: record["t"]
        for record in told
        if record["ev"] == "req_out"
        and record["who"] == "clients"
        and stop + 300_000 < record["t"] < stop + 8_000_000
    }
    first, done = {}, 0
    for record in told:
        if record.get("trace") in asked:
            if record["ev"] == "token_in":
                first.setdefault(record["trace"], record["t"] - asked[record["trace"]])
            elif record["ev"] == "final_in":
                done += record["ending"] == "done"
    broken = {rule: len(of["breaks"]) for rule, of in found["rules"].items() if of["breaks"]}
    return len(asked), done, sum(time <= 1_000_000 for time in first.values()), sorted(first.values()), broken


@click.command()
@click.option("--seeds", default=2)
@click.option("--way", "ways", multiple=True, default=WAYS)
def main(seeds, ways):
    print(
        "%-28s %6s %6s %14s %18s  rules broken"
        % ("without a planner", "reqs", "done", "first in 1 s", "first p50/p99 ms")
    )
    for way in ways:
        asked = done = quick = 0
        times, broken = [], {}
        for seed in range(1, seeds + 1):
            one = play(way, seed)
            asked, done, quick, times = asked + one[0], done + one[1], quick + one[2], times + one[3]
            for rule, count in one[4].items():
                broken[rule] = broken.get(rule, 0) + count
        times.sort()
        at = [
            times[min(int(len(times) * p), len(times) - 1)] / 1000 if times else float("nan")
            for p in (0.5, 0.99)
        ]
        print(
            "%-28s %6d %6.3f %14.3f %9.0f %8.0f  %s"
            % (way, asked, done / asked, quick / asked, *at, broken or "none"),
            flush=True,
        )


if __name__ == "__main__":
    main()
