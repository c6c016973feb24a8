"""`martenrouter lab`: days in virtual time: play, compare, hunt, report."""
import sys

import click


@click.group("lab")
def command():
    """Emulated fleets: the real front and its decisions in virtual time, with stand-in engines."""


def _day(name):
    from martenrouter.lab import scenario
    return scenario.load(name)


@command.command("run")
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@click.option("--unjudged", is_flag=True, help="Keep no traffic records: figures only, little memory, for long days.")
@click.option("--report", type=click.Path(), help="Also write the day as one HTML page.")
@click.option("--policy", default="as-built", show_default=True, help="Which decisions; `lab policies` names them.")
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
def run(scenario, seed, as_json, unjudged, report, policy, quiet):
    """Plays SCENARIO (a name or a Jsonnet file) in virtual time. Exit 0 only if every rule was kept and all was as expected."""
    from martenrouter.cli.judge import show
    from martenrouter.lab.emulator.runs import play
    from martenrouter.lab.verdict import text
    day = _day(scenario)

    def tick(seconds):
        if not quiet and int(seconds) % 10 == 0:
            click.echo("%5d s of the day" % seconds, err=True)
    told = play(day, seed, policy, judged=not unjudged, tick=tick)
    if report:
        from martenrouter.lab.report import write
        write(report, [told])
    if unjudged:
        import json
        click.echo(json.dumps(told.figures, indent=1))
        return
    show({"scenario": day.name, "seed": seed, **told.verdict} if as_json else told.verdict, told.first, as_json, text)
    sys.exit(0 if told.verdict["kept"] and told.verdict["expected"] else 1)


@command.command("policies")
def policies():
    """Names the decisions that can be played: as built, and baselines to compare with."""
    from martenrouter.lab.emulator.policies import POLICIES
    for name, made in POLICIES.items():
        click.echo("%-18s %s" % (name, made.__doc__.strip().split("\n")[0]))
