"""`martenrouter ask`: one req from the shell, its tokens printed as they come."""

import sys

import click

CODES = {-32001: 75, -32002: 70}  # as in sysexits.h: a temporary failure, a failure inside


@click.command("ask")
@click.argument("prompt")
@click.option("--front", "address", default="127.0.0.1:7801", show_default=True, metavar="HOST:PORT")
@click.option("--group", default=None, help="Endpoint group; the front's first by default.")
@click.option("--session", default=None)
@click.option("--key", default=None, help="Idempotency key.")
@click.option("--max-tokens", type=int, default=None)
@click.option("--deadline-ms", type=float, default=None)
@click.option(
    "--tool",
    "commands",
    multiple=True,
    metavar="NAME=COMMAND",
    help="A tool: COMMAND is run with the call's "
    "arguments as JSON on standard input; what it prints is the result. Give it as often as there are tools.",
)
@click.option(
    "--repeatable", multiple=True, metavar="NAME", help="A tool that may be called again without harm."
)
def command(prompt, address, commands, repeatable, **told):
    """Sends PROMPT to a front. Exit 0 when done, 75 when pushed back, 70 when aborted."""
    from martenrouter.edge.client import Client, Left
    from martenrouter.settings.front import address as pair

    params = {name: value for name, value in told.items() if value is not None}
    named = dict(text.partition("=")[::2] for text in commands)
    if not all(name and line for name, line in named.items()):
        raise click.UsageError("--tool: write NAME=COMMAND")
    if named:
        params["tools"] = [{"name": name, "repeatable": name in repeatable} for name in named]
    try:
        client = Client(pair(address, "--front"))
        client.tool = lambda params: _run(named, params)
        answer = client.call(
            "generate",
            {"prompt": prompt, **params},
            tokens=lambda index, texts: click.echo("".join(texts), nl=False),
        )
    except (OSError, Left) as why:
        raise click.ClickException("no answer from the front at %s: %s" % (address, why)) from why
    click.echo()
    if "error" in answer:
        data = answer["error"].get("data") or {}
        back = ", back in %g ms" % data["return_after_ms"] if data.get("return_after_ms") else ""
        click.echo("%s%s" % (answer["error"]["message"], back), err=True)
        sys.exit(CODES.get(answer["error"]["code"], 64))
    result = answer["result"]
    click.echo("%s: %d tokens (%s)" % (result["ending"], result["tokens"], result["finish_reason"]), err=True)


def _run(named, params):
    """A tool call, run by the shell; a command that fails is a result with isError."""
    import subprocess

    import gevent
    import msgspec

    line = named.get(params["name"])
    click.echo("\n[%s %s]" % (params["name"], msgspec.json.encode(params["arguments"]).decode()), err=True)
    if line is None:
        return {"content": [{"type": "text", "text": "no such tool"}], "isError": True}
    done = gevent.get_hub().threadpool.apply(
        lambda: subprocess.run(
            line, shell=True, input=msgspec.json.encode(params["arguments"]), capture_output=True
        )
    )
    text = done.stdout.decode(errors="replace").strip()
    if done.returncode:
        text = "exit %d: %s" % (done.returncode, done.stderr.decode(errors="replace").strip() or text)
    return {"content": [{"type": "text", "text": text}], "isError": bool(done.returncode)}
