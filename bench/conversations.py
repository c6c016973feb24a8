"""Conversations that pause for tools while writers hang: as built, against two plainer ways; and what a pause
costs.

    python -m bench.conversations [--seeds 2] [--paused 1000]

All engines are stand-ins; all processes share one machine. The share is of conversations done within four
seconds.
"""

import os
import sys

import click
import gevent
import msgspec

from bench.front import Fleet
from martenrouter.edge.client import Client
from martenrouter.lab.rehearse import played
from martenrouter.lab.scenario import Scenario

TARGET = 4_000_000  # microseconds from asking to the final answer; undisturbed, nearly all take under two
WAYS = ("as_built", "holds_to_its_writer", "always_anew")


def day(hung, tool_ms):
    """Eight writers, of which `hung` take reqs and answer none for most of the day."""
    return msgspec.convert(
        {
            "name": "bench",
            "about": "",
            "seconds": 9,
            "cells": [{"rd": 2, "wr": 4}, {"rd": 2, "wr": 4}],
            "traffic": {
                "rate": 14,
                "tools": ["meter", "bill"],
                "tool_ms": tool_ms,
                "deadline_ms": 9000,
                "retries": 0,
            },
            "faults": [{"at": 2, "kind": "hang", "target": "wr-%d-0" % i, "length": 7} for i in range(hung)],
        },
        Scenario,
    )


def play(way, hung, tool_ms, seed):
    told = played(day(hung, tool_ms), seed, [sys.executable, "-m", "bench.fronts", way])
    asked = {
        record["trace"]: record["t"]
        for record in told
        if record["ev"] == "req_out" and record["who"] == "clients"
    }
    done = [
        record["t"] - asked[record["trace"]]
        for record in told
        if record["ev"] == "final_in" and record["ending"] == "done"
    ]
    read = sum(record["read"] for record in told if record["ev"] == "held")
    return len(asked), sum(time <= TARGET for time in done), len(done), read


def paused(count):
    """Memory and processor time of conversations that wait for their tools."""
    fleet = Fleet(readers=0, writers=0)
    try:
        engine_port = fleet.told["fronts"][0][1] + 1
        fleet.start(
            "mix",
            ["standin", "engine", "--id", "mix-0", "--listen", "127.0.0.1:%d" % engine_port],
            engine_port,
        )
        with open(os.path.join(fleet.dir, "list.json.new"), "wb") as file:
            file.write(
                msgspec.json.encode(
                    {
                        "scope": "whole",
                        "epoch": 2,
                        "version": 1,
                        "entries": [
                            {
                                "id": "mix-0",
                                "phase": "up",
                                "kind": "mix",
                                "address": "127.0.0.1:%d" % engine_port,
                            }
                        ],
                    }
                )
            )
        os.replace(os.path.join(fleet.dir, "list.json.new"), os.path.join(fleet.dir, "list.json"))
        gevent.sleep(0.5)
        before, clients, calls = fleet.memory(), [], []
        i = 0
        while len(calls) < count and i < 4 * count:
            if i % 100 == 0:
                clients.append(Client(fleet.told["fronts"][0]))
                clients[-1].tool = lambda params: calls.append(1) or gevent.sleep(600)
            clients[-1].begin(
                "generate",
                {
                    "prompt": "question %d " % i + "about my meter " * 20,
                    "session": "s%d" % i,
                    "tools": [{"name": "meter"}],
                    "deadline_ms": 600_000,
                },
            )
            i += 1
            gevent.sleep(0.02)
        gevent.sleep(10)  # until nothing is written or waits to be read
        cpu = fleet.cpu()
        gevent.sleep(5)
        status = fleet.status()
        print(
            "%d paused: %.1f KiB each, %.1f%% of a core; a round us p50 %d p99 %d"
            % (
                len(calls),
                (fleet.memory() - before) * 1024 / max(len(calls), 1),
                (fleet.cpu() - cpu) / 5 * 100,
                status["round_us"]["p50"],
                status["round_us"]["p99"],
            )
        )
    finally:
        fleet.stop()


@click.command()
@click.option("--seeds", default=2)
@click.option("--paused", "count", default=1000)
@click.option(
    "--tool-ms", "tools", multiple=True, type=float, default=(80, 400), help="Usual time of a tool."
)
def main(seeds, count, tools):
    print(
        "%-8s %-5s %-20s %9s %9s %18s" % ("tool ms", "hung", "way", "in target", "done", "prompt tokens each")
    )
    for tool_ms in tools:
        for hung in (0, 1, 2):
            for way in WAYS:
                runs = [play(way, hung, tool_ms, seed) for seed in range(1, seeds + 1)]
                asked, in_time, done, read = (sum(column) for column in zip(*runs))
                print(
                    "%-8d %-5d %-20s %9.3f %9.3f %18.0f"
                    % (tool_ms, hung, way, in_time / asked, done / asked, read / asked),
                    flush=True,
                )
    if count:
        paused(count)


if __name__ == "__main__":
    main()
