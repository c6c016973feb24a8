"""The same day twice: in the emulator and on sockets, side by side, with the differences that are held to be
small.

On sockets a machine is in the way: turns between processes take time that the emulator has none of, so first
tokens are compared as a ratio with room, shares and counts closely.
"""

from martenrouter.lab.emulator.runs import play
from martenrouter.lab.rehearse import played
from martenrouter.lab.verdict import verdict

# how far apart the two may be: shares as a difference, the others as a ratio either way. From ten days of
# eight to twenty-two seconds: bench/README.md has what was seen.
TOLERANCE = {
    "done": 0.06,
    "pushed back": 0.06,
    "first token p50": 1.8,
    "forwards a req": 1.15,
    "prompt tokens read": 1.25,
    "answer tokens written": 1.15,
}
SHARES = ("done", "pushed back")


def on_sockets(scenario, seed):
    return played(scenario, seed, of=lambda directory, codes: verdict(directory, scenario.expect, codes)[0])


def figures(told):
    figures = told["figures"]
    endings, reqs = figures["endings"], max(figures["reqs"], 1)
    return {
        "reqs": figures["reqs"],
        "done": endings.get("done", 0) / reqs,
        "pushed back": endings.get("pushed back", 0) / reqs,
        "first token p50": figures["first token ms"]["p50"] or 0.0,
        "forwards a req": figures["forwards a req"],
        "prompt tokens read": figures["prompt tokens"]["read"],
        "answer tokens written": figures["answer tokens"]["written"],
    }


def apart(emulated, real):
    """{figure: how far apart} of those past their tolerance."""
    found = {}
    for name, allowed in TOLERANCE.items():
        a, b = emulated[name], real[name]
        if name in SHARES:
            if abs(a - b) > allowed:
                found[name] = round(a - b, 3)
        elif max(a, b) > allowed * max(min(a, b), 1e-9) and max(a, b) > 0:
            found[name] = round(a / max(b, 1e-9), 3)
    return found


def twice(scenario, seed):
    """(emulated figures, figures on sockets, what is past tolerance, whether both kept all rules)."""
    real = on_sockets(scenario, seed)
    run = play(scenario, seed)
    first, second = figures(run.verdict), figures(real)
    return first, second, apart(first, second), run.verdict["kept"] and real["kept"]
