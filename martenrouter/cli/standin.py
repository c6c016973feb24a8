"""`martenrouter standin`: engines and a list service that are none, to try a front against."""

import click

LISTEN = "127.0.0.1:0"


@click.group("standin")
def command():
    """Stand-ins on loopback sockets."""


@command.command("engine")
@click.option(
    "--spec", default=None, help="The whole specification as JSON; the options below are read without it."
)
@click.option("--id", "name", default="rd-1", show_default=True)
@click.option("--role", type=click.Choice(["read", "write", "both"]), default="both", show_default=True)
@click.option("--listen", default=LISTEN, show_default=True)
@click.option("--records", default=None, type=click.Path(), help="Directory for its traffic record.")
@click.option("--with-stdin", is_flag=True)
def engine(spec, name, role, listen, records, with_stdin):
    """A reader, writer or mixed engine."""
    import msgspec

    from martenrouter.cli.life import stop_with_stdin
    from martenrouter.settings.load import BadSettings, checked
    from martenrouter.standins.engine import Engine
    from martenrouter.standins.model import Spec

    if spec:
        try:
            told = msgspec.json.decode(spec)
        except msgspec.MsgspecError as why:
            raise BadSettings("--spec: not JSON: %s" % why) from why
        spec = checked(told, Spec, "--spec")
    else:
        spec = Spec(
            id=name, role=role, kind={"read": "rd", "write": "wr", "both": "mix"}[role], listen=listen
        )
    _serve(Engine(spec, records), "engine %s (%s)" % (spec.id, spec.role), with_stdin and stop_with_stdin)


@command.command("list")
@click.option("--listen", default="127.0.0.1:7800", show_default=True)
@click.option("--late-ms", default=0.0, show_default=True, help="Time between a change and its push.")
@click.option(
    "--engine", "engines", multiple=True, metavar="ID=KIND@HOST:PORT", help="An engine of the first list."
)
@click.option("--records", default=None, type=click.Path())
@click.option("--with-stdin", is_flag=True)
def list_service(listen, late_ms, engines, records, with_stdin):
    """The list service."""
    from martenrouter.cli.life import stop_with_stdin
    from martenrouter.settings.front import address
    from martenrouter.standins.list_service import ListService
    from martenrouter.wire.nodes import Entry

    entries = []
    for text in engines:
        name, _, rest = text.partition("=")
        kind, _, where = rest.partition("@")
        address(where, "--engine %s" % text)
        entries.append(Entry(name, "up", kind, "hall-1", 0, where))
    service = ListService(address(listen, "--listen"), int(late_ms * 1000), records)
    if entries:
        service.set(entries)
    _serve(service, "list service", with_stdin and stop_with_stdin)


@command.command("client")
@click.option(
    "--front", "fronts", multiple=True, default=["127.0.0.1:7801"], show_default=True, metavar="HOST:PORT"
)
@click.option("--group", default="chat", show_default=True, help="Endpoint group that its reqs name.")
@click.option("--rate", default=5.0, show_default=True, help="Reqs a second, whatever the answers do.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--records", default=None, type=click.Path())
def client(fronts, group, rate, seconds, seed, records):
    """Scripted clients: sessions with growing prompts, retries as told."""
    import collections
    import random

    from martenrouter.lab.scenario import Traffic
    from martenrouter.settings.front import address
    from martenrouter.standins.clients import Clients
    from martenrouter.state.records import recorder

    counts, write = collections.Counter(), recorder(records, "clients")

    def record(ev, **fields):
        counts[fields["ending"] if ev == "final_in" else ev] += 1
        write(ev, **fields)

    named = {"front-%d" % i: address(text, "--front") for i, text in enumerate(fronts)}
    clients = Clients(
        named, Traffic(rate=rate), [{"name": group, "effect": "replayable"}], random.Random(seed), record
    )
    clients.run(seconds)
    counts["unanswered"] += clients.drain(15)
    for name, count in sorted(counts.items()):
        click.echo("%6d  %s" % (count, name))


def _serve(server, name, stop_with_stdin):
    import gevent

    if stop_with_stdin:
        stop_with_stdin()
    host, port = server.start()[:2]
    click.echo("%s listens on %s:%d" % (name, host, port))
    try:
        gevent.get_hub().join()
        gevent.sleep(1e9)
    except KeyboardInterrupt:
        pass
