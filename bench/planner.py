"""What two programs cost against one, what a dead planner costs, how long a hand-over takes.

    python -m bench.planner [--seconds 12] [--rate 130]

Stand-in engines, all processes on one machine.
"""

import os
import signal
import statistics
import sys
import time

import click
import gevent

from bench.front import Fleet, at
from martenrouter.decisions.chain import Chain
from martenrouter.edge import clock
from martenrouter.edge.client import Client
from martenrouter.settings import front as settings_of
from martenrouter.wire import channel


def handover(counts=(1, 100, 1000, 5000)):
    """Facts encoded, decoded and adopted, for so many open reqs in all stages."""
    told = settings_of.load()
    rows = [
        ("up", 1.0, "z", "%s%d" % (kind, i), i % 4, kind, None) for kind in ("rd", "wr") for i in range(20)
    ]
    for count in counts:
        reqs = []
        for i in range(count):
            stage = i % 5
            out = {
                1: [(0, "rd%d" % (i % 20), 5000, False)],
                3: [(1, "wr%d" % (i % 20), 5000, False)],
                4: [(1, "wr%d" % (i % 20), 500_000, True)],
            }.get(stage, [])
            reqs.append(
                {
                    "id": i,
                    "conn": i % 50,
                    "told": ("chat", None, "s%d" % i, 60_000_000, None, None, 500, 0, 64, 0),
                    "leg": 0,
                    "steps": 0,
                    "rewrites": 0,
                    "effects": False,
                    "prompt": 500,
                    "left": 64,
                    "flowed": 0,
                    "paused": False,
                    "holder": None,
                    "calls": [],
                    "age": 9000,
                    "stage": stage,
                    "used": (0, 1, 1, 2, 2)[stage],
                    "reader": "rd1" if stage > 1 else None,
                    "since": 4000,
                    "held": stage in (2, 3),
                    "out": out,
                    "broke": False,
                    "effect": None,
                    "swamped": False,
                    "orphan": False,
                }
            )
        facts = {"version": 1, "rows": rows, "reqs": reqs, "stopping": False, "later": []}
        began = time.perf_counter()
        data = channel.encode(channel.Handover(1, 1_000_000, facts))
        (message,) = channel.Frames().feed(data)
        middle = time.perf_counter()
        chain = Chain(1, settings_of.for_module(told), settings_of.for_chain(told))
        chain.adopt(1_000_000, message.facts)
        print(
            "hand-over of %5d open reqs: %7.1f KiB; encode and decode %6.1f ms, adopt %7.1f ms"
            % (count, len(data) / 1024, (middle - began) * 1000, (time.perf_counter() - middle) * 1000),
            flush=True,
        )


def channel_cost(rounds=2000):
    """Rounds a second over a socket pair's worth of encoding, and bytes a req, for rounds of three events."""
    inbox = [("first_token", (i, 1, "wr-1", 5000)) for i in range(3)]
    began, size = time.perf_counter(), 0
    for seq in range(rounds):
        data = channel.encode(channel.Round(1, seq, 1, inbox))
        channel.Frames().feed(data)
        answer = channel.encode(
            channel.Decisions(1, seq, [("forward", (seq, "rd-1", 0)), ("wake", (1, 20_000))], 100)
        )
        channel.Frames().feed(answer)
        size += len(data) + len(answer)
    spent = time.perf_counter() - began
    print(
        "channel: %.0f rounds a second of encoding both ways, %.0f bytes a round (some four rounds a req "
        "at 130 a second)" % (rounds / spent, size / rounds)
    )


def compare(rate, seconds, rates):
    for name, planner in (("one program", False), ("two programs", True)):
        fleet = Fleet(planner=planner)
        try:
            gevent.sleep(1)
            fleet.load("front", rate, 3)
            direct = fleet.load("direct", rate, seconds)
            before = fleet.cpu(fleet.planner) if planner else 0
            run = fleet.load("front", rate, seconds)
            status = fleet.status()
            print(
                "%-12s done %d of %d; added first token p50 %.2f p99 %.2f ms; between tokens p99 +%.2f ms; "
                "edge %.2f ms of "
                "CPU a req%s; decides: %s, taken over %d times; a round us p50 %d p99 %d"
                % (
                    name,
                    run["done"],
                    run["asked"],
                    at(run["first"], 50) - at(direct["first"], 50),
                    at(run["first"], 99) - at(direct["first"], 99),
                    at(run["gap"], 99) - at(direct["gap"], 99),
                    run["cpu_ms"],
                    ", planner %.2f" % ((fleet.cpu(fleet.planner) - before) * 1000 / run["asked"])
                    if planner
                    else "",
                    status["decides"],
                    status["counters"].get("taken_over", 0),
                    status["round_us"]["p50"],
                    status["round_us"]["p99"],
                ),
                flush=True,
            )
            print(
                "%-12s the edge's loop was late by us: p99 %d, max %d"
                % (name, status["loop_late_us"]["p99"], status["loop_late_us"]["max"]),
                flush=True,
            )
            for higher in rates:
                run = fleet.load("front", higher, 8)
                late = fleet.status()["loop_late_us"]
                print(
                    "%-12s at %4.0f/s: done %d of %d; first token p50 %.2f p99 %.2f; busy %.2f of a core; "
                    "loop late p99 %d max %d"
                    % (
                        name,
                        higher,
                        run["done"],
                        run["asked"],
                        at(run["first"], 50),
                        at(run["first"], 99),
                        run["busy"],
                        late["p99"],
                        late["max"],
                    ),
                    flush=True,
                )
                if run["done"] < 0.99 * run["asked"] or at(run["first"], 99) > 1000:
                    break
        finally:
            fleet.stop()


def through_a_stall(rate=60, stalled=1.5):
    """First tokens by quarter second before, through and after a stall of the planner; when it decides again
    after it woke."""
    for way, planner in (("as_built", True), ("as_built", False), ("waits_for_its_planner", True)):
        fleet = Fleet(planner=planner, command=[sys.executable, "-m", "bench.fronts", way])
        try:
            client, firsts, ends, back = Client(fleet.told["fronts"][0]), [], {}, []
            gevent.sleep(1.5)
            start = clock.now()

            def ask(i, due):
                seen = []

                def tokens(index, texts):
                    if not seen:
                        seen.append(1)
                        firsts.append((due - start, clock.now() - due))

                answer = client.call("generate", {"prompt": "p %d" % i, "deadline_ms": 10_000}, tokens)
                ending = "done" if "result" in answer else answer["error"]["data"]["ending"]
                ends[ending] = ends.get(ending, 0) + 1

            def stall():
                gevent.sleep(2)
                os.kill(fleet.planner.popen.pid, signal.SIGSTOP)  # nothing is closed, only silence tells
                gevent.sleep(stalled)
                os.kill(fleet.planner.popen.pid, signal.SIGCONT)
                woke = clock.now()
                while fleet.status()["decides"] != "planner" and clock.now() - woke < 10_000_000:
                    gevent.sleep(0.005)
                back.append(clock.now() - woke)

            work = [gevent.spawn(stall)] if planner else []
            for i in range(int(rate * (3.5 + stalled))):
                due = start + i * 1_000_000 // rate
                gevent.sleep(max((due - clock.now()) / 1e6, 0))
                work.append(gevent.spawn(ask, i, due))
            gevent.joinall(work, timeout=15)
            status = fleet.status()
            parts = [
                [time for at_, time in firsts if 1_500_000 + k * 250_000 <= at_ < 1_750_000 + k * 250_000]
                for k in range(int((1.5 + stalled) / 0.25))
            ]
            steps = [
                "%.0f/%.0f" % (statistics.median(part) / 1000, max(part) / 1000) for part in parts if part
            ]
            print(
                "%-22s %s: first token median/max ms by quarter second from 1.5 s: %s; %s; taken over %d%s"
                % (
                    way if planner else "one program",
                    "stalled from 2 to %.1f s" % (2 + stalled) if planner else "nothing stalls",
                    " ".join(steps),
                    ends,
                    status["counters"].get("taken_over", 0),
                    ", decides again %.0f ms after it woke" % (back[0] / 1000) if back else "",
                ),
                flush=True,
            )
        finally:
            fleet.stop()


@click.command()
@click.option("--seconds", default=12.0)
@click.option("--rate", default=130.0)
@click.option("--rates", default="200,260,320,380", help="Rates tried for the highest one held.")
def main(seconds, rate, rates):
    handover()
    channel_cost()
    through_a_stall()
    compare(rate, seconds, [float(text) for text in rates.split(",") if text])


if __name__ == "__main__":
    main()
