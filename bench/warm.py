"""What a warm start is worth: a front is killed and started again while one of four readers is ten times
slower; its planner begins with its newest snapshot, or with nothing.

    python -m bench.warm [--seeds 3]

Stand-in engines, one machine. Counted are the reqs of the first three seconds after the front is back.
"""

import click
import msgspec
from hdrh.histogram import HdrHistogram

from martenrouter.lab.rehearse import played
from martenrouter.lab.scenario import Scenario


def play(store, seed):
    day = msgspec.convert(
        {
            "name": "warm",
            "about": "",
            "seconds": 13,
            "fronts": 1,
            "planners": True,
            "store": store,
            "cells": [{"rd": 2, "wr": 2}, {"rd": 2, "wr": 2}],
            "traffic": {"rate": 16, "openings": 12, "opening_words": 500, "deadline_ms": 8000},
            "faults": [
                {"at": 0.2, "kind": "slow", "target": "rd-0-0", "length": 12.5, "value": 10},
                {"at": 8, "kind": "front_kill", "target": "front-0", "again": 0.2},
            ],
        },
        Scenario,
    )
    told = played(day, seed)
    back = next(record["t"] for record in told if record["ev"] == "front_started")
    asked = {
        record["trace"]: record["t"]
        for record in told
        if record["ev"] == "req_out" and record["who"] == "clients" and back < record["t"] < back + 3_000_000
    }
    first, read = {}, 0
    for record in told:
        if record["ev"] == "token_in" and record["trace"] in asked:
            first.setdefault(record["trace"], record["t"] - asked[record["trace"]])
        elif record["ev"] == "held" and back < record["t"] < back + 3_000_000:
            read += record["read"]
    return list(first.values()), read, len(asked)


@click.command()
@click.option("--seeds", default=3)
def main(seeds):
    for name, store in (("nothing", False), ("snapshot", True)):
        times, read, asked = HdrHistogram(1, 60_000_000, 3), 0, 0
        for seed in range(1, seeds + 1):
            found, tokens, count = play(store, seed)
            read, asked = read + tokens, asked + count
            for time in found:
                times.record_value(max(time, 1))
        print(
            "begins with %-9s %3d reqs in the first 3 s: first token ms p50 %.0f p90 %.0f p99 %.0f; prompt "
            "tokens read a req %.0f"
            % (
                name,
                asked,
                *(times.get_value_at_percentile(p) / 1000 for p in (50, 90, 99)),
                read / max(asked, 1),
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
