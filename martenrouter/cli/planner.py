"""`martenrouter planner`: decides for one edge."""

import sys

import click


@click.command("planner")
@click.argument("socket_path", type=click.Path())
@click.option("--log-form", type=click.Choice(["console", "json"]), default="console")
@click.option("--slow-ms", default=0.0, help="Makes each round longer, for rehearsals.")
@click.option("--store", default=None, type=click.Path(), help="Directory for snapshots of what was learnt.")
@click.option("--with-stdin", is_flag=True, help="Stop at once when standard input ends.")
def command(socket_path, log_form, slow_ms, store, with_stdin):
    """Connects to the edge that listens on SOCKET_PATH and decides for it until it is stopped."""
    from martenrouter.cli.life import end_with_stdin, settle_memory
    from martenrouter.edge.log import logger
    from martenrouter.planner.serve import Planner, Refused

    settle_memory()
    if with_stdin:
        end_with_stdin()
    try:
        Planner(socket_path, logger(log_form, "info"), slow=slow_ms / 1000, store=store).run()
    except Refused as why:
        raise click.ClickException("the edge at %s refuses: %s" % (socket_path, why)) from why
    except KeyboardInterrupt:
        sys.exit(0)
