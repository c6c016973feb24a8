"""`martenrouter rehearse`: a scripted day through real fronts on loopback, then the judge's verdict."""

import os
import shutil
import signal
import sys
import tempfile

import click


@click.command("rehearse")
@click.argument("scenario", required=False)
@click.option("--list", "names", is_flag=True, help="Name the scenarios and stop.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--speed",
    default=1.0,
    show_default=True,
    help="The day this many times faster, engines and traffic alike.",
)
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@click.option(
    "--records", type=click.Path(), help="Keep the traffic records in this directory, which must be empty."
)
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
def command(scenario, names, seed, speed, as_json, records, quiet):
    """Plays SCENARIO (a name or a Jsonnet file). Exit 0 only if every rule was kept and all was as it
    expects."""
    from martenrouter.cli.judge import show
    from martenrouter.lab import scenario as scenarios
    from martenrouter.lab.audit import audited
    from martenrouter.lab.rehearse import Rehearsal
    from martenrouter.lab.verdict import text, verdict
    from martenrouter.settings.load import BadSettings

    if names:
        for name in scenarios.names():
            click.echo("%-16s %s" % (name, scenarios.load(name).about))
        return
    if not scenario:
        raise click.UsageError("a scenario is needed; --list names them")
    if not 0.1 <= speed <= 10:
        raise BadSettings("--speed %g: 0.1 to 10" % speed)
    day = scenarios.load(scenario)
    if records and os.path.isdir(records) and os.listdir(records):
        raise BadSettings("--records %s: is not empty" % records)
    directory = records or tempfile.mkdtemp(prefix="records-")
    rehearsal = Rehearsal(
        day, seed, directory, speed, (lambda line: None) if quiet else lambda line: click.echo(line, err=True)
    )
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        if not quiet:
            click.echo("%s, seed %d: %s" % (day.name, seed, day.about), err=True)
        codes = rehearsal.play()
        told, first = verdict(directory, day.expect, codes)
        if day.settings.get("budgets"):
            told["ledger"] = audited(day, directory, rehearsal.exports())
            told["kept"] = told["kept"] and not told["ledger"]["breaks"]
    finally:
        shutil.rmtree(rehearsal.logs, ignore_errors=True)
        if not records:
            shutil.rmtree(directory, ignore_errors=True)
    show({"scenario": day.name, "seed": seed, **told} if as_json else told, first, as_json, text)
    sys.exit(0 if told["kept"] and told["expected"] else 1)
