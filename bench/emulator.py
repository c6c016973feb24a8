"""What the emulator costs, and what a round costs as fleets and open reqs grow.

    python -m bench.emulator [--part events|sizes|rounds]

One process on one machine; stand-in engines in virtual time.
"""

import random
import resource
import time

import click

from martenrouter.decisions.chain import Chain
from martenrouter.lab import catalogue
from martenrouter.lab.emulator.events import Heap, Wheel
from martenrouter.lab.emulator.runs import play
from martenrouter.settings import front as settings_of


def events(count=400_000, open_=20_000):
    """Wheel against one heap: `open_` events lie ahead, most a few milliseconds, some seconds."""
    took = {}
    for name, queue in (("heap", Heap()), ("wheel", Wheel()), ("heap", Heap()), ("wheel", Wheel())):
        rnd, left = random.Random(1), [count]

        def act():
            left[0] -= 1
            if left[0] > 0:
                queue.at(
                    queue.now
                    + (rnd.randrange(400, 20_000) if rnd.random() < 0.9 else rnd.randrange(5_000_000)),
                    act,
                )

        for _ in range(open_):
            queue.at(rnd.randrange(20_000), act)
        began = time.perf_counter()
        queue.run(10**12)
        took[name] = min(time.perf_counter() - began, took.get(name, 1e9))
    print(
        "events, %d open: heap %.2f us each, wheel %.2f us, ratio %.2f"
        % (open_, took["heap"] * 1e6 / count, took["wheel"] * 1e6 / count, took["wheel"] / took["heap"]),
        flush=True,
    )


def sizes():
    print(
        "%-8s %6s %7s %6s %9s %9s %10s %10s %8s"
        % ("size", "fronts", "engines", "a s", "reqs", "seconds", "ms a req", "to real", "MiB")
    )
    for size, seconds in (("small", 20), ("medium", 12), ("large", 6), ("huge", 2)):
        day = catalogue.draw(1, size, seconds=seconds, load=0.7, count=0)
        began = time.perf_counter()
        run = play(day, 1, judged=False)
        took = time.perf_counter() - began
        fronts, cells, readers, writers = catalogue.SIZES[size]
        print(
            "%-8s %6d %7d %6.0f %9d %9.1f %10.2f %9.2fx %8.0f   %.0f%% in rounds"
            % (
                size,
                fronts,
                cells * (readers + writers),
                day.traffic.rate,
                len(run.tries),
                took,
                took * 1000 / len(run.tries),
                seconds / took,
                resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
                100 * run.figures["cost"]["part in rounds"],
            ),
            flush=True,
        )


class Sink:
    def __getattr__(self, name):
        return lambda *_: None


def a_round(engines, started, waiting, rounds=60):
    """Microseconds of a round with one arrival and one outcome, at so many engines, begun answers and reqs
    that wait for theirs."""
    told = settings_of.check(
        {
            "fronts": 20,
            "limits": {"open_reqs": 10**6, "open_reqs_a_connection": 10**6},
            "kinds": [
                {"name": "rd", "role": "read", "memory_tokens": 10**9},
                {"name": "wr", "role": "write", "memory_tokens": 10**9},
            ],
        },
        "bench",
    )
    chain = Chain(1, settings_of.for_module(told), settings_of.for_chain(told))
    rows = [
        ("up", 1.0, "z", "%s%d" % (kind, i), i % 4, kind, None)
        for kind, part in (("rd", 3), ("wr", 1))
        for i in range(max(engines * part // 4, 1) if kind == "wr" else max(engines // 3, 1))
    ]
    now, out, id = 1_000_000, Sink(), 0
    chain.turn(now, [("listed", (1, "first", rows))], out)
    for total, begin in ((started, True), (waiting, False)):
        for _ in range(total):
            id += 1
            now += 20
            inbox = [("arrived", (id, "chat", None, "s%d" % id, now + 10**9, None, None, 200, 0, 64, 0, 1))]
            chain.turn(now, inbox, out)
            if begin:
                r = chain.front.reqs[id]
                reader = r.out[0].engine.id
                chain.turn(now, [("outcome", (id, 0, "read", reader, 9000, False, 0, None))], out)
                writer = chain.front.reqs[id].out.get(1)
                if writer is not None:
                    chain.turn(now, [("first_token", (id, 1, writer.engine.id, 9000))], out)
    spent = []
    for _ in range(rounds):
        id += 1
        now += 1000
        began = time.perf_counter_ns()
        chain.turn(
            now, [("arrived", (id, "chat", None, "s%d" % id, now + 10**9, None, None, 200, 0, 64, 0, 1))], out
        )
        spent.append((time.perf_counter_ns() - began) / 1000)
    return sorted(spent)[len(spent) // 2]


def rounds():
    base = a_round(10, 10, 0)
    print("a round with one arrival at 10 engines and 10 open reqs: %.0f us" % base)
    for engines in (10, 30, 100, 300, 1000):
        took = a_round(engines, 10, 0)
        print(
            "  %5d engines: %8.0f us, %5.1f times; an engine %.2f us"
            % (engines, took, took / base, took / engines),
            flush=True,
        )
    for started in (10, 100, 1000, 10_000, 50_000):
        took = a_round(10, started, 0)
        print("  %5d begun answers: %8.0f us, %5.1f times" % (started, took, took / base), flush=True)
    for waiting in (10, 100, 1000):
        took = a_round(10, 0, waiting)
        print(
            "  %5d reqs that wait for their reader: %8.0f us, %5.1f times; each %.1f us"
            % (waiting, took, took / base, took / waiting),
            flush=True,
        )


@click.command()
@click.option(
    "--part",
    type=click.Choice(["events", "sizes", "rounds"]),
    multiple=True,
    default=("events", "sizes", "rounds"),
)
def main(part):
    for name in part:
        globals()[name]()


if __name__ == "__main__":
    main()
