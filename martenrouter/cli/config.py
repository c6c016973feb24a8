"""`martenrouter config`: settings checked and shown without starting anything."""

import click


@click.group("config")
def command():
    """Checks and shows settings."""


def _load(path, given):
    from martenrouter.settings.front import load

    return load(path, given)


@command.command("check")
@click.argument("path", required=False, type=click.Path())
@click.option("--set", "given", multiple=True, metavar="NAME=VALUE")
def check(path, given):
    """Says whether the settings can be used; exit 2 if not."""
    _load(path, given)
    click.echo("%s: can be used" % (path or "embedded defaults"))


@command.command("show")
@click.argument("path", required=False, type=click.Path())
@click.option("--set", "given", multiple=True, metavar="NAME=VALUE")
@click.option("--module", is_flag=True, help="The map that the decision module gets instead.")
def show(path, given, module):
    """Prints the settings in full, defaults filled in, as JSON."""
    import msgspec

    from martenrouter.settings.front import for_module

    settings = _load(path, given)
    click.echo(msgspec.json.format(msgspec.json.encode(for_module(settings) if module else settings)))
