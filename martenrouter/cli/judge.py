"""`martenrouter judge`: the rules, read from traffic records alone."""

import sys

import click


@click.command("judge")
@click.argument("directory", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
def command(directory, as_json):
    """Judges the records in DIRECTORY; exit 0 only if every rule was kept."""
    from martenrouter.lab.verdict import text, verdict

    told, first = verdict(directory)
    show(told, first, as_json, text)
    sys.exit(0 if told["kept"] else 1)


def show(told, first, as_json, text):
    import msgspec

    click.echo(msgspec.json.format(msgspec.json.encode(told)) if as_json else text(told, first))
