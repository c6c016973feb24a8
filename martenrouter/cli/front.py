"""`martenrouter front`: one front as two programs."""

import os
import sys
import tempfile

import click


@click.command("front")
@click.argument("path", required=False, type=click.Path())
@click.option("--set", "given", multiple=True, metavar="NAME=VALUE", help="A parameter of the settings file.")
@click.option("--store", default=None, type=click.Path(), help="Directory for the planner's snapshots.")
def command(path, given, store):
    """Starts an edge and its planner, keeps the planner running, stops both on SIGTERM or SIGINT."""
    from martenrouter.edge.log import logger
    from martenrouter.planner.supervisor import Supervisor, commands
    from martenrouter.settings.front import load

    settings = load(path, given)
    log = logger(settings.log.form, settings.log.level, supervisor=settings.name)
    with tempfile.TemporaryDirectory(prefix="martenrouter-") as folder:
        socket_path = settings.planner or os.path.join(folder, "planner.sock")
        edge, planner = commands(path, given, socket_path, store)
        code = Supervisor(edge, planner, settings.limits.stop_within_ms / 1000, log).run()
    sys.exit(code)
