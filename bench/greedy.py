"""One greedy customer of ten: service by customer without limits, with fixed parts of a rate, and with parts
that follow.

    python -m bench.greedy [--seeds 4]

Emulated: 8 fronts, 36 stand-in engines; for half of the day one customer asks for fifteen times as much as
each other.
"""

import click
import msgspec

from martenrouter.lab import catalogue
from martenrouter.lab.emulator.runs import play
from martenrouter.lab.scenario import Fault

# units a second of each customer over all fronts: some one and a half times what one of the nine asks for
RATE = 20_000


def day(seed, budgets):
    drawn = catalogue.draw(seed, "medium", seconds=10, load=0.55, count=0)
    faults = [Fault(at=2, kind="greedy", length=6, value=15)]
    return msgspec.structs.replace(
        drawn,
        name="greedy-%d" % seed,
        faults=faults,
        settings={"budgets": budgets} if budgets is not None else {},
    )


@click.command()
@click.option("--seeds", default=3)
def main(seeds):
    limits = {"rate_per_s": RATE, "burst": 2 * RATE}
    ways = (
        ("no limits", None),
        ("shares alone", {}),
        ("fixed parts", {"each_customer": limits}),
        ("open reqs", {"each_customer": {"open": 120}}),
    )
    print("%-18s %10s %16s %16s %14s" % ("limits", "greedy", "the other nine", "worst of nine", "all"))
    for name, budgets in ways:
        rows = []
        for seed in range(1, seeds + 1):
            run = play(day(seed, budgets), seed, judged=True)
            served = run.figures["customers"]
            others = [value for customer, value in served.items() if customer != "c0"]
            rows.append((served["c0"], sum(others) / len(others), min(others), run.figures["service"]))
            if not run.verdict["kept"]:
                print("seed %d: rules broken" % seed)
        print(
            "%-18s %10.3f %16.3f %16.3f %14.3f"
            % (name, *(sum(column) / len(column) for column in zip(*rows))),
            flush=True,
        )


if __name__ == "__main__":
    main()
