"""`martenrouter node`: one front node of the operators' platform, serving until it is told to stop."""

import os
import sys

import click


@click.command("node")
@click.argument("path", required=False, type=click.Path())
@click.option(
    "--log",
    "level",
    default="info",
    type=click.Choice(["debug", "info", "warning", "error"]),
    help="Least level logged.",
)
@click.option("--plain", is_flag=True, help="Log lines for a person, not JSON.")
def command(path, level, plain):
    """Serves clients of the platform; the configuration comes from PATH, or from the file that $EDGE_CONFIG
    names.

    SIGTERM or SIGINT stops it cleanly, SIGHUP reads PATH anew, SIGUSR1 logs what it believes of engines
    beside its sockets.
    """
    from martenrouter.node.signals import Early

    early = Early()  # before what takes time to load
    from martenrouter.cli.life import settle_memory
    from martenrouter.edge.log import logger
    from martenrouter.node.life import Node
    from martenrouter.node.process_memory import limit_allocator
    from martenrouter.settings.told import Unreadable
    from martenrouter.wire.platform import configuration

    path = path or os.environ.get("EDGE_CONFIG")
    if not path:
        raise click.ClickException("no configuration: name its file, or set EDGE_CONFIG to it")
    log = logger("person" if plain else "json", level)
    limit_allocator()
    try:
        node = Node(path, log)
    except OSError as why:
        raise click.ClickException("%s: the configuration can't be read: %s" % (path, why.strerror)) from why
    except (configuration.Unreadable, Unreadable) as why:
        raise click.ClickException("%s: %s" % (path, why)) from why
    settle_memory(5_000)  # on a small machine's memory what waits for a look counts
    try:
        code = node.run(early)
    except OSError as why:
        raise click.ClickException(
            "can't listen on %s:%d: %s; free the address or name another as listen"
            % (*node.listen, why.strerror)
        ) from why
    sys.exit(code)
