"""`martenrouter load`: open-loop load against fronts, or against engines directly."""

import sys

import click


@click.command("load")
@click.option("--front", "fronts", multiple=True, help="host:port of a front; may be given several times.")
@click.option(
    "--reader",
    "readers",
    multiple=True,
    help="host:port of an engine that reads: load goes to engines directly.",
)
@click.option("--writer", "writers", multiple=True, help="host:port of an engine that writes.")
@click.option(
    "--profile", "path", type=click.Path(), help="Jsonnet: phases, mixes; without it 50 a second for 10 s."
)
@click.option("--rate", type=float, help="In place of the profile's phases, with --seconds.")
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--workers", default=2, show_default=True, help="Processes.")
@click.option("--model", default="standin", show_default=True)
@click.option("--raw", type=click.Path(), help="Write every req's row to this file.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--quiet", is_flag=True)
@click.option("--worker", "as_worker", is_flag=True, hidden=True)
def command(fronts, readers, writers, path, rate, seconds, workers, model, raw, as_json, quiet, as_worker):
    """Asks at the profile's rate whatever is answered, and prints histograms counted from when each req was
    due."""
    from martenrouter.lab import load

    if as_worker:
        load.worker(sys.stdin.buffer.read())
        return
    from martenrouter.lab import profile as profiles
    from martenrouter.settings.front import address
    from martenrouter.settings.load import BadSettings

    if bool(fronts) == bool(readers or writers) or bool(readers) != bool(writers):
        raise click.UsageError("name fronts (--front), or readers and writers (--reader, --writer)")
    if not 1 <= workers <= 64:
        raise BadSettings("--workers %d: 1 to 64" % workers)
    profile = profiles.load(path)
    if rate is not None:
        profile.phases = [profiles.Phase(seconds=seconds, rate=rate)]
        profiles.check(profile, "--rate")
    target = {
        "fronts": [address(one, "--front") for one in fronts],
        "readers": [address(one, "--reader") for one in readers],
        "writers": [address(one, "--writer") for one in writers],
        "model": model,
    }

    def progress(told):
        click.echo(
            "asked %6d  open %5d  done %6d  first token p99 %7.1f ms  slip p99 %6.2f ms"
            % (
                sum(one["asked"] for one in told),
                sum(one["open"] for one in told),
                sum(one["done"] for one in told),
                max(one["p99"] for one in told) / 1000,
                max(one["slip"] for one in told) / 1000,
            ),
            err=True,
        )

    result = load.run(profile, target, workers, raw, (lambda told: None) if quiet else progress)
    points = (50, 90, 99, 99.9)
    if as_json:
        import json

        click.echo(
            json.dumps(
                {
                    "asked": result.asked,
                    "endings": result.endings,
                    "workers lost": result.lost,
                    "ms": {
                        name: {"p%g" % p: found.get_value_at_percentile(p) / 1000 for p in points}
                        for name, found in result.figures.items()
                    },
                }
            )
        )
    else:
        click.echo(
            "asked %d: %s"
            % (result.asked, ", ".join("%s %d" % pair for pair in sorted(result.endings.items())))
        )
        for name, found in result.figures.items():
            click.echo(
                "%-6s ms  %s"
                % (name, "  ".join("p%g %.2f" % (p, found.get_value_at_percentile(p) / 1000) for p in points))
            )
        if result.figures["slip"].get_value_at_percentile(99) > 1000:
            click.echo(
                "the tool fell behind its schedule (slip p99 over 1 ms): use more workers, or another machine"
            )
    if result.lost:
        raise click.ClickException("%d workers ended without their figures" % result.lost)
