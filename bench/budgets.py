"""What budgets and the ledger cost.

    python -m bench.budgets [--part admission|structures|ledger|start|front]

All engines are stand-ins, all on one machine.
"""

import heapq
import os
import random
import shutil
import tempfile
import time

import click
import gevent
import lmdb

from bench.front import Fleet, at
from martenrouter.decisions import booking
from martenrouter.decisions.budgets import ROOT, Budgets, Limits
from martenrouter.decisions.heavy import Heavy
from martenrouter.decisions.wheel import Wheel
from martenrouter.state.ledger import Ledger

WALL = 1_764_600_000_000_000


def admission():
    """A req's way through its four nodes, against a plain dictionary of one count a customer."""
    for customers in (10, 10_000, 200_000):
        budgets = Budgets(
            0,
            lambda key: Limits(cap=10**12, rate=10**9) if key[0] in ("customer", "installation") else None,
            1,
            4,
        )
        budgets.MOST = 500_000
        names, rnd, plain = ["c%d" % i for i in range(customers)], random.Random(1), {}
        for i, name in enumerate(names):
            budgets.reserve(0, WALL, i, [ROOT, ("customer", name)], 1, 1, 10**9)
            budgets.settle(0, WALL, i, 1, 1)
        picks = [rnd.choice(names) for _ in range(20_000)]
        began = time.perf_counter()
        for i, name in enumerate(picks):
            budgets.reserve(i, WALL, i, budgets.path(name, "chat", None), 100, 50, 10**9)
            budgets.more(i, WALL, i, 60)
            budgets.settle(i, WALL, i, 100, 60)
        took = time.perf_counter() - began
        began = time.perf_counter()
        for i, name in enumerate(picks):
            if plain.get(name, 0) + 300 <= 10**12:
                plain[name] = plain.get(name, 0) + 340
        plainly = time.perf_counter() - began
        print(
            "%7d customers: reserve, a correction and settle %.1f us a req; one count in a dictionary %.2f "
            "us, ratio %.0f"
            % (customers, took * 1e6 / len(picks), plainly * 1e6 / len(picks), took / plainly),
            flush=True,
        )


def structures(count=200_000):
    """The wheel against a heap with marks of what was taken out; who is heavy against a dictionary of all."""
    rnd = random.Random(1)
    due = [rnd.randrange(60_000_000) for _ in range(count)]
    began = time.perf_counter()
    wheel = Wheel(0, 100_000)
    for i, at_ in enumerate(due):
        wheel.put(i, at_)
    for i in range(count):
        if i % 10:
            wheel.take(i)
    for now in range(0, 61_000_000, 100_000):
        wheel.due(now)
    on_wheel, began = time.perf_counter() - began, time.perf_counter()
    heap, gone = [], set()
    for i, at_ in enumerate(due):
        heapq.heappush(heap, (at_, i))
    for i in range(count):
        if i % 10:
            gone.add(i)
    while heap:
        _, i = heapq.heappop(heap)
        gone.discard(i)
    on_heap = time.perf_counter() - began
    print(
        "%d reservations, nine of ten settled: wheel %.2f us each, heap %.2f us, ratio %.2f; left behind "
        "by what was taken: wheel 0, "
        "heap all until their time"
        % (count, on_wheel * 1e6 / count, on_heap * 1e6 / count, on_wheel / on_heap)
    )
    heavy, plain = Heavy(256, 60_000_000), {}
    names = ["c%d" % min(int(rnd.paretovariate(0.8)), 200_000) for _ in range(count)]
    began = time.perf_counter()
    for i, name in enumerate(names):
        heavy.add(i * 50, name, 10)
    sketched, began = time.perf_counter() - began, time.perf_counter()
    for name in names:
        plain[name] = plain.get(name, 0) + 10
    print(
        "who is heavy, %d names: 256 kept %.2f us each, dictionary of all %.2f us; the ten heaviest of "
        "both alike: %d of 10"
        % (
            len(plain),
            sketched * 1e6 / count,
            (time.perf_counter() - began) * 1e6 / count,
            len(
                {name for name, _, _ in heavy.top(10)} & set(sorted(plain, key=plain.get, reverse=True)[:10])
            ),
        ),
        flush=True,
    )


def entry(i):
    return booking.charge(
        "front-0-18c-%d" % i,
        "2025-12-01",
        WALL + i,
        "customer-%d" % (i % 1000),
        "chat",
        None,
        900,
        120,
        1380,
        "00-%032x-%016x-01" % (i, i),
    )


def ledger(count=40_000):
    """Entries a second in groups of several sizes, against the store's own limit: as many bare values in as
    many transactions."""
    for group in (1, 16, 256):
        told = count if group > 1 else 2000
        holder = tempfile.mkdtemp()
        made = Ledger(os.path.join(holder, "l"), "f")
        began = time.perf_counter()
        for i in range(0, told, group):
            made.append([entry(k) for k in range(i, i + group)])
        took = time.perf_counter() - began
        made.close()
        env = lmdb.open(os.path.join(holder, "bare"), map_size=1 << 34)
        began = time.perf_counter()
        for i in range(0, told, group):
            with env.begin(write=True) as txn:
                for k in range(i, i + group):
                    txn.put(k.to_bytes(8, "big"), b"x" * 330)
        bare = time.perf_counter() - began
        env.close()
        shutil.rmtree(holder)
        print(
            "groups of %3d: %7.0f entries a second; bare values %7.0f, ratio %.2f"
            % (group, told / took, told / bare, bare / took),
            flush=True,
        )


def start(sizes=(10_000, 100_000, 1_000_000, 10_000_000)):
    """Time to a start: counters from the snapshot, and the entries after it."""
    holder = tempfile.mkdtemp()
    try:
        made, done = Ledger(os.path.join(holder, "l"), "f"), 0
        for size in sizes:
            while done < size:
                made.append([entry(k) for k in range(done, min(done + 5000, size))])
                done = min(done + 5000, size)
            if size >= 5000:
                made.keep_counters([], made.last - 4000)  # the tail of some thirty seconds at 130 a second
            made.close()
            began = time.perf_counter()
            made = Ledger(os.path.join(holder, "l"), "f")
            at_, _ = made.counters()
            tail = sum(one["units"] for one in made.entries(at_ + 1))
            print(
                "%9d entries: opened with its tail of %d in %.0f ms"
                % (size, made.last - at_, (time.perf_counter() - began) * 1000),
                flush=True,
            )
            assert tail
        began = time.perf_counter()
        count = sum(1 for _ in made.entries(1))
        print(
            "without a snapshot all %d entries are read: %.1f s" % (count, time.perf_counter() - began),
            flush=True,
        )
        made.close()
    finally:
        shutil.rmtree(holder)


def front(rate=130, seconds=12):
    """A front with budgets and a ledger against one without, at the same load."""
    for name, more in (
        ("without", {}),
        ("with ledger", {"budgets": {"each_customer": {"cap": 10**12}, "installation": {"cap": 10**12}}}),
    ):
        fleet = Fleet(more=more)
        try:
            gevent.sleep(1)
            fleet.load("front", rate, 3)
            direct, run = fleet.load("direct", rate, seconds), fleet.load("front", rate, seconds)
            print(
                "%-12s done %d of %d; added first token p50 %.2f p99 %.2f ms; %.2f ms of CPU a req"
                % (
                    name,
                    run["done"],
                    run["asked"],
                    at(run["first"], 50) - at(direct["first"], 50),
                    at(run["first"], 99) - at(direct["first"], 99),
                    run["cpu_ms"],
                ),
                flush=True,
            )
        finally:
            fleet.stop()


@click.command()
@click.option(
    "--part",
    type=click.Choice(["admission", "structures", "ledger", "start", "front"]),
    multiple=True,
    default=("admission", "structures", "ledger", "start", "front"),
)
def main(part):
    for name in part:
        globals()[name]()


if __name__ == "__main__":
    main()
