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
@click.option(
    "--unjudged", is_flag=True, help="Keep no traffic records: figures only, little memory, for long days."
)
@click.option("--report", type=click.Path(), help="Also write the day as one HTML page.")
@click.option(
    "--policy", default="as-built", show_default=True, help="Which decisions; `lab policies` names them."
)
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
def run(scenario, seed, as_json, unjudged, report, policy, quiet):
    """Plays SCENARIO (a name or a Jsonnet file) in virtual time. Exit 0 only if every rule was kept and all
    was as expected."""
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
    show(
        {"scenario": day.name, "seed": seed, **told.verdict} if as_json else told.verdict,
        told.first,
        as_json,
        text,
    )
    sys.exit(0 if told.verdict["kept"] and told.verdict["expected"] else 1)


@command.command("policies")
def policies():
    """Names the decisions that can be played: as built, and baselines to compare with."""
    from martenrouter.lab.emulator.policies import POLICIES

    for name, made in POLICIES.items():
        click.echo("%-18s %s" % (name, made.__doc__.strip().split("\n")[0]))


@command.command("one", hidden=True)
def one():
    """A worker of a study: a job on standard input, what came of it on standard output."""
    from martenrouter.lab.studies import one as play_one

    sys.stdout.buffer.write(play_one(sys.stdin.buffer.read()))


def _days(size, count, first, seconds, troubles, planners):
    from martenrouter.lab import catalogue

    return [
        (catalogue.draw(seed, size, seconds, troubles=troubles or None, planners=planners), seed)
        for seed in range(first, first + count)
    ]


def _study_options(function):
    for option in (
        click.option("--workers", default=4, show_default=True),
        click.option(
            "--store",
            default=".lab",
            show_default=True,
            type=click.Path(),
            help="Where runs are kept; a study goes on where it was.",
        ),
        click.option("--size", default="small", show_default=True),
        click.option("--days", default=8, show_default=True),
        click.option("--first", default=1, show_default=True, help="Seed of the first day."),
        click.option("--seconds", default=12.0, show_default=True),
        click.option("--planners", is_flag=True),
        click.option(
            "--trouble", "troubles", multiple=True, help="Draw from these only; `lab troubles` names them."
        ),
        click.option("--quiet", is_flag=True),
    ):
        function = option(function)
    return function


def _say(quiet):
    return (lambda text: None) if quiet else lambda text: click.echo(text, err=True)


def _opened(path):
    from martenrouter.lab.results import Results, Unusable

    try:
        return Results(path)
    except Unusable as why:
        raise click.ClickException(str(why)) from why


@command.command("troubles")
def troubles_():
    """Names the kinds of trouble that days are drawn from."""
    from martenrouter.lab.catalogue import TROUBLES

    for name, trouble in sorted(TROUBLES.items()):
        click.echo("%-14s %s" % (name, trouble.about))


@command.command("compare")
@click.argument("builds", nargs=-1, required=True)
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    help="Play these days, with seeds from --first on, not drawn ones.",
)
@click.option("--json", "as_json", is_flag=True)
@_study_options
def compare(
    builds, scenarios, as_json, workers, store, size, days, first, seconds, planners, troubles, quiet
):
    """Plays the same days under each of BUILDS and sets all against the first. A build: a policy,
    rev:REVISION, set:JSON."""
    import json

    from martenrouter.lab import compare as comparing
    from martenrouter.lab import studies

    trees, kept = studies.Trees(), _opened(store)
    try:
        made = [studies.build(name, trees) for name in builds]
        chosen = (
            [(_day(name), seed) for name in scenarios for seed in range(first, first + days)]
            if scenarios
            else _days(size, days, first, seconds, troubles, planners)
        )
        runs = {}
        for build, day, seed, run in studies.study(
            [(build, day, seed) for day, seed in chosen for build in made], kept, workers, _say(quiet)
        ):
            runs[(build.name, day.name, seed)] = day, run
        told = comparing.tables(runs, list(builds))
    except studies.Failed as why:
        raise click.ClickException(str(why)) from why
    finally:
        trees.close()
        kept.close()
    click.echo(json.dumps(told, indent=1) if as_json else comparing.text(told))


@command.command("hunt")
@click.option("--build", default="as-built", show_default=True)
@click.option("--against", multiple=True, help="Baselines; without it some are taken.")
@click.option(
    "--out", type=click.Path(), help="Cut the worst day down and write it here, to be played again."
)
@_study_options
def hunt(build, against, out, workers, store, size, days, first, seconds, planners, troubles, quiet):
    """Looks for the days on which a build breaks a rule or loses most to a baseline."""
    from martenrouter.lab import catalogue, studies
    from martenrouter.lab import hunt as hunting

    trees, kept, say = studies.Trees(), _opened(store), _say(quiet)
    try:
        made = [studies.build(name, trees) for name in (build, *(against or hunting.BASELINES))]
        found = hunting.hunt(made, _days(size, days, first, seconds, troubles, planners), kept, workers, say)
        for one in found[:10]:
            click.echo(
                "%-20s seed %-4d service %.3f, %+.3f to %s; %s%s"
                % (
                    one.scenario.name,
                    one.seed,
                    one.service,
                    -one.loss,
                    one.best,
                    one.scenario.about,
                    "; BROKEN: %s" % one.broken if one.broken else "",
                )
            )
        if out and found:
            least = hunting.cut_down(found[0], made, kept, workers, say)
            with open(out, "w") as file:
                file.write(catalogue.as_jsonnet(least.scenario))
            click.echo(
                "cut down to %d troubles, %g s, %g a second, service %.3f (%+.3f)%s; written to %s, seed %d"
                % (
                    len(least.scenario.faults),
                    least.scenario.seconds,
                    least.scenario.traffic.rate,
                    least.service,
                    -least.loss,
                    "; BROKEN: %s" % least.broken if least.broken else "",
                    out,
                    least.seed,
                )
            )
    except studies.Failed as why:
        raise click.ClickException(str(why)) from why
    finally:
        trees.close()
        kept.close()


@command.command("report")
@click.argument("scenario")
@click.argument("path", type=click.Path())
@click.option("--seed", default=1, show_default=True)
@click.option("--policy", "policies", multiple=True, default=("as-built",), help="One or two.")
def report(scenario, path, seed, policies):
    """Plays SCENARIO and writes it as one page to PATH (.html or .png); two policies are drawn over each
    other."""
    from martenrouter.lab.emulator.runs import play
    from martenrouter.lab.report import write

    write(path, [play(_day(scenario), seed, policy) for policy in policies[:2]])


@command.command("draw")
@click.argument("seed", type=int)
@click.option("--size", default="small", show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--planners", is_flag=True)
def draw(seed, size, seconds, planners):
    """Prints a drawn day as a scenario file."""
    from martenrouter.lab import catalogue

    click.echo(catalogue.as_jsonnet(catalogue.draw(seed, size, seconds, planners=planners)), nl=False)
