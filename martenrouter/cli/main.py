"""`martenrouter`: the group of all sub-commands, and how a failure is said."""

import sys

import click


class Group(click.Group):
    """Sub-commands are imported when they are called: an engine doesn't load what a judge needs."""

    WHERE = {
        "edge": "edge",
        "standin": "standin",
        "ask": "ask",
        "config": "config",
        "rehearse": "rehearse",
        "judge": "judge",
        "lab": "lab",
        "ledger": "ledger",
        "load": "load",
        "planner": "planner",
        "front": "front",
        "node": "node",
    }

    def list_commands(self, ctx):
        return sorted(self.WHERE)

    def get_command(self, ctx, name):
        if name not in self.WHERE:
            return None
        module = __import__("martenrouter.cli." + self.WHERE[name], fromlist=["command"])
        return module.command


@click.group(cls=Group, context_settings={"help_option_names": ["-h", "--help"]})
def root():
    """A router for language-model serving where prompts are read and answers written on different engines."""


def main():
    try:
        root(standalone_mode=False)
    except click.exceptions.Abort:
        sys.exit(130)
    except click.ClickException as why:
        why.show()
        sys.exit(why.exit_code)
    except OSError as why:
        click.echo("martenrouter: %s" % why, err=True)
        sys.exit(1)
    except Exception as why:
        if not _is_bad_input(why):
            raise
        click.echo("martenrouter: %s" % why, err=True)
        sys.exit(2)


def _is_bad_input(why):
    """Asked only when something failed: a front node doesn't load Jsonnet for it."""
    from martenrouter.settings.load import BadSettings
    from martenrouter.state.records import BadRecord

    return isinstance(why, (BadSettings, BadRecord))
