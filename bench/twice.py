"""Ten small days in the emulator and on sockets, side by side.

python -m bench.twice [--seed 1] [DAY …]
"""

import click

from martenrouter.lab import scenario
from martenrouter.lab.twice import twice

DAYS = ("quiet", "crash", "hang", "slow", "drain", "burst", "reset", "tools", "list-silent", "bad-day")


@click.command()
@click.argument("days", nargs=-1)
@click.option("--seed", default=1)
def main(days, seed):
    print(
        "%-12s %-9s %5s %6s %6s %9s %9s %9s %9s"
        % ("day", "", "reqs", "done", "pushed", "p50 ms", "forwards", "read", "written")
    )
    for name in days or DAYS:
        emulated, real, apart, kept = twice(scenario.load(name), seed)
        for way, one in (("emulated", emulated), ("sockets", real)):
            print(
                "%-12s %-9s %5d %6.3f %6.3f %9.1f %9.2f %9d %9d"
                % (
                    name,
                    way,
                    one["reqs"],
                    one["done"],
                    one["pushed back"],
                    one["first token p50"],
                    one["forwards a req"],
                    one["prompt tokens read"],
                    one["answer tokens written"],
                )
            )
        print(
            "%-12s %s%s"
            % (
                name,
                "within tolerance" if not apart else "APART: %s" % apart,
                "" if kept else "; RULES BROKEN",
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
