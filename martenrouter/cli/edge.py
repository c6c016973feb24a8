"""`martenrouter edge`: one front, serving until it is told to stop."""

import sys

import click


@click.command("edge")
@click.argument("path", required=False, type=click.Path())
@click.option("--set", "given", multiple=True, metavar="NAME=VALUE", help="A parameter of the settings file.")
@click.option(
    "--planner", default=None, type=click.Path(), help="Unix socket for a planner, in place of the settings'."
)
@click.option(
    "--with-stdin",
    is_flag=True,
    help="Stop at once when standard input ends: for programs that start a front.",
)
def command(path, given, planner, with_stdin):
    """Serves clients; settings from PATH (Jsonnet), or the embedded defaults.

    SIGTERM or SIGINT stops it cleanly, a second one at once; SIGHUP reads the budgets of PATH anew.
    """
    from martenrouter.cli.life import settle_memory, stop_with_stdin
    from martenrouter.edge.front import Front
    from martenrouter.edge.log import logger
    from martenrouter.settings.front import load
    from martenrouter.state.ledger import Unusable

    settings = load(path, given)
    if planner:
        settings.planner = planner
    log = logger(settings.log.form, settings.log.level, front=settings.name)
    if with_stdin:
        stop_with_stdin()
    settle_memory()
    try:
        code = Front(settings, log, lambda: load(path, given)).run()
    except Unusable as why:
        raise click.ClickException("%s: %s" % (settings.name, why)) from why
    except OSError as why:
        raise click.ClickException(
            "%s: can't listen on %s%s: %s"
            % (settings.name, settings.listen, " and " + settings.planner if settings.planner else "", why)
        ) from why
    sys.exit(code)
