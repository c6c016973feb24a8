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
def command(prompt, address, **told):
    """Sends PROMPT to a front. Exit 0 when done, 75 when pushed back, 70 when aborted."""
    from martenrouter.edge.client import Client, Left
    from martenrouter.settings.front import address as pair
    params = {name: value for name, value in told.items() if value is not None}
    try:
        client = Client(pair(address, "--front"))
        answer = client.call("generate", {"prompt": prompt, **params},
                             tokens=lambda index, texts: click.echo("".join(texts), nl=False))
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
