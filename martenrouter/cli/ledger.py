"""`martenrouter ledger`: export, close, correct, verify, reconcile."""

import json
import os
import sys
import time

import click


@click.group("ledger")
def command():
    """The usage ledger of a front, and the totals of many fronts."""


def _opened(path, front, read_only=False):
    from martenrouter.state.ledger import Ledger, Unusable

    if not os.path.isdir(path):
        raise click.ClickException("%s: there is no ledger" % path)
    try:
        return Ledger(path, front, read_only)
    except Unusable as why:
        raise click.ClickException(str(why)) from why


def _guarded(work):
    from martenrouter.decisions.booking import BadEntry
    from martenrouter.state.ledger import Unusable

    try:
        return work()
    except (Unusable, BadEntry) as why:
        raise click.ClickException(str(why)) from why


@command.command("export")
@click.argument("path", type=click.Path())
@click.argument("directory", type=click.Path())
@click.option("--front", required=True, help="Name of the front whose ledger it is.")
@click.option("--entries", default=10_000, show_default=True, help="In a file, at most.")
def export(path, directory, front, entries):
    """Writes what was not exported yet to files in DIRECTORY; each entry goes out once, whatever interrupts
    it."""
    ledger = _opened(path, front)
    made = _guarded(lambda: ledger.export(directory, entries))
    for name in made:
        click.echo(name)
    click.echo("exported up to entry %d, in %d files" % (ledger.cursor(), len(made)), err=True)


@command.command("close")
@click.argument("path", type=click.Path())
@click.argument("period")
@click.option("--front", required=True)
def close(path, period, front):
    """Closes a calendar PERIOD that is over, as 2026-11, 2026-11-30 or 2026-11-30T23."""
    from martenrouter.decisions import booking, periods

    try:
        date = period.partition("T")[0].split("-") + ["1"]
        wall = (
            periods.days_of(int(date[0]), int(date[1]), int(date[2])) * periods.DAY
            + int(period.partition("T")[2] or 0) * periods.HOUR
        )
        kind = "hour" if "T" in period else "day" if period.count("-") == 2 else "month"
        name, _, end = periods.calendar(kind, wall)
    except (ValueError, IndexError):
        name = None
    if name != period:
        raise click.ClickException(
            "%r is no calendar period, as in 2026-11, 2026-11-30, 2026-11-30T23" % period
        )
    ledger = _opened(path, front)
    entry = _guarded(
        lambda: ledger.close_period(
            period,
            booking.counts,
            lambda totals: booking.close(front, period, end, time.time_ns() // 1000, totals),
        )
    )
    click.echo(json.dumps(entry, indent=1))


@command.command(
    "correct", context_settings={"ignore_unknown_options": True}
)  # units may be less than nothing
@click.argument("path", type=click.Path())
@click.argument("identity")
@click.argument("units", type=int)
@click.option("--front", required=True)
@click.option("--why", required=True, help="What is put right; stands in the entry.")
@click.option(
    "--period", "kind", type=click.Choice(["hour", "day", "month"]), default="day", show_default=True
)
def correct(path, identity, units, front, why, kind):
    """Books UNITS more (or less) against the entry IDENTITY, in the period that is on; also when that entry
    was exported."""
    from martenrouter.decisions import booking, periods

    ledger, wall = _opened(path, front), time.time_ns() // 1000
    entry = _guarded(
        lambda: ledger.correct(
            identity,
            lambda known, number: booking.correction(
                known, periods.calendar(kind, wall)[0], wall, number, units, why
            ),
        )
    )
    click.echo(json.dumps(entry, indent=1))


@command.command("verify")
@click.argument("path", type=click.Path())
@click.option("--front", required=True)
@click.option("--repair", is_flag=True, help="Set torn entries aside.")
def verify(path, front, repair):
    """Checks every entry. Exit 1 when some is torn or missing."""
    ledger = _opened(path, front, not repair)
    whole, torn, missing = ledger.verify()
    click.echo("%d entries whole, last number %d" % (whole, ledger.last))
    for number in torn:
        click.echo("entry %d: torn, its checksum differs%s" % (number, "; set aside" if repair else ""))
    for first, last in missing:
        click.echo("entries %d to %d: missing" % (first, last))
    if repair:
        ledger.repair()
    sys.exit(1 if torn or missing else 0)


@command.command("reconcile")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True)
def reconcile(files, as_json):
    """Adds up the exports of many fronts, files or directories; names gaps, doubles and contradictions. Exit
    1 when something is wrong."""
    from martenrouter.decisions import booking
    from martenrouter.state.ledger import read_export

    names = []
    for one in files:
        names += (
            sorted(os.path.join(one, name) for name in os.listdir(one) if name.endswith(".jsonl"))
            if os.path.isdir(one)
            else [one]
        )
    told = booking.reconcile([_guarded(lambda name=name: read_export(name)) for name in names])
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        click.echo(
            "%-16s %-14s %14s %12s %12s %8s" % ("customer", "period", "units", "prompt", "written", "entries")
        )
        for customer, period, units, prompt, written, count in told["totals"]:
            click.echo("%-16s %-14s %14d %12d %12d %8d" % (customer, period, units, prompt, written, count))
        for name in ("missing", "doubled", "doubled entries", "contradictions", "torn", "after a close"):
            for one in told[name]:
                click.echo("%s: %s" % (name, one if isinstance(one, str) else " ".join(map(str, one))))
    sys.exit(0 if booking.in_order(told) else 1)
