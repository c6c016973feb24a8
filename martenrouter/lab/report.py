"""A day as one HTML page that needs nothing else, with its pictures in it: service and first tokens by second
with the troubles drawn in, engines' load and memory, tokens out on links, who decided, and the worst ten
seconds with what acted then. Two runs overlay."""

import base64
import html
import io

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402 - the backend comes first

STEP = 1_000_000
INK = ("#1b4d6b", "#c2571a")
WORST = 10


def write(path, runs):
    """`runs`: one or two emulator.runs.Run of the same day. A path that ends in .png gets the pictures
    alone."""
    figure = _pictures(runs)
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    if path.endswith(".png"):
        with open(path, "wb") as file:
            file.write(data.getvalue())
        return
    with open(path, "w") as file:
        file.write(_page(runs, base64.b64encode(data.getvalue()).decode()))


def by_second(run, targets):
    """[(asked, done in time, first tokens in ms)] for each second of the day, by the time of asking."""
    seconds = int(max((row[0] for row in run.tries), default=0) // STEP) + 1
    told = [[0, 0, []] for _ in range(seconds)]
    for asked, first, ended, ending, group, *_ in run.tries:
        at = told[asked // STEP]
        at[0] += 1
        if first is not None:
            at[2].append((first - asked) / 1000)
            at[1] += ending == "done" and first - asked <= targets.get(group, 1_000_000)
    return told


def _at(values, part):
    values = sorted(values)
    return values[min(int(len(values) * part), len(values) - 1)] if values else float("nan")


def _pictures(runs):
    figure, rows = plt.subplots(
        6,
        1,
        figsize=(12, 17),
        sharex=True,
        gridspec_kw={"height_ratios": [2, 2, 2, 2, 1.4, 0.8]},
        constrained_layout=True,
    )
    service, first, load, memory, links, who = rows
    for run, ink in zip(runs, INK):
        told = by_second(run, {})
        times = [i + 0.5 for i in range(len(told))]
        service.plot(
            times,
            [good / asked if asked else float("nan") for asked, good, _ in told],
            color=ink,
            lw=1.6,
            label=run.policy,
        )
        for part, style in ((0.5, "-"), (0.99, ":")):
            first.plot(
                times,
                [_at(firsts, part) for _, _, firsts in told],
                style,
                color=ink,
                lw=1.4,
                label="%s p%d" % (run.policy, part * 100),
            )
    run = runs[0]
    service.set_ylabel("tries in time")
    service.set_ylim(-0.03, 1.03)
    first.set_ylabel("first token, ms")
    first.set_yscale("log")
    for axis in (service, first):
        axis.legend(loc="lower left", fontsize=8, ncols=2)
        axis.grid(alpha=0.25)
    _heat(figure, load, run, 1, "reqs held")
    _heat(figure, memory, run, 2, "memory held")
    ways = sorted({way for _, told in run.links for way, _ in told})
    for way in ways:
        links.plot(
            [at / STEP for at, _ in run.links],
            [dict(told).get(way, 0) for _, told in run.links],
            lw=1,
            label=way,
        )
    links.set_ylabel("prompt tokens\nout on links")
    if ways:
        links.legend(fontsize=7, ncols=min(len(ways), 8), loc="upper left")
    times = [at / STEP for at, *_ in run.deciders]
    who.stackplot(
        times,
        [told[1] for told in run.deciders],
        [told[2] for told in run.deciders],
        colors=["#7fa7bf", "#e3b07b"],
        labels=["planner", "edge"],
    )
    who.set_ylabel("fronts\ndecided by")
    who.legend(fontsize=7, loc="upper left")
    who.set_xlabel("seconds of the day")
    for i, (at, kind, hit, length) in enumerate(sorted(run.troubles)):
        for axis in (service, first):
            axis.axvspan(at / STEP, at / STEP + max(length, 0.1), color="#b03030", alpha=0.07, lw=0)
        service.annotate(
            "%s %s" % (kind, " ".join(hit[:2]) + ("…" if len(hit) > 2 else "")),
            (at / STEP, 0.14 + 0.09 * (i % 6)),
            fontsize=7,
            color="#8c2323",
            annotation_clip=True,
        )
    figure.suptitle("%s, seed %d: emulated fleet of stand-in engines" % (run.scenario, run.seed), fontsize=12)
    return figure


def _heat(figure, axis, run, column, name):
    if not run.loads:
        return
    ids = [row[0] for row in run.loads[0][1]]
    rows = [
        [dict((row[0], row) for row in told).get(id, (id, -1, 0))[column] for _, told in run.loads]
        for id in ids
    ]
    rows = [[value if value >= 0 else float("nan") for value in row] for row in rows]
    first, last = run.loads[0][0] / STEP - 1, run.loads[-1][0] / STEP
    image = axis.imshow(
        rows,
        aspect="auto",
        interpolation="nearest",
        cmap="viridis",
        extent=(first, last, len(ids) - 0.5, -0.5),
    )
    axis.set_ylabel(name)
    axis.set_yticks(range(len(ids)) if len(ids) <= 24 else [0, len(ids) - 1])
    axis.set_yticklabels(ids if len(ids) <= 24 else [ids[0], ids[-1]], fontsize=6)
    figure.colorbar(image, ax=axis, pad=0.01, aspect=12)


def worst(run):
    """(begin in seconds, part in time, endings, troubles that acted) of the ten seconds served worst."""
    told = by_second(run, {})
    span = min(WORST, len(told))

    def part(i):
        asked = sum(one[0] for one in told[i : i + span])
        return sum(one[1] for one in told[i : i + span]) / asked if asked else 1.0

    begin = min(range(len(told) - span + 1), key=lambda i: (part(i), i), default=0)
    endings = {}
    for asked, _, _, ending, *_ in run.tries:
        if begin <= asked / STEP < begin + span:
            endings[ending] = endings.get(ending, 0) + 1
    acted = [
        (at / STEP, kind, hit)
        for at, kind, hit, length in sorted(run.troubles)
        if at / STEP < begin + span and at / STEP + max(length, 1) > begin - 2
    ]
    return begin, part(begin) if told else None, dict(sorted(endings.items())), acted


def _page(runs, picture):
    parts = []
    for run in runs:
        begin, part, endings, acted = worst(run)
        parts.append(
            "<h2>%s</h2><p>%s</p>"
            % (
                html.escape(run.policy),
                html.escape(
                    ", ".join(
                        "%s %s" % (name, round(value, 3) if isinstance(value, float) else value)
                        for name, value in run.figures.items()
                        if name != "cost"
                    )
                ),
            )
        )
        if run.verdict:
            parts.append(
                "<p>Rules: %s</p>"
                % html.escape(
                    ", ".join(
                        "%s %s"
                        % (rule, "kept" if found["kept"] else "BROKEN %d times" % len(found["breaks"]))
                        for rule, found in run.verdict["rules"].items()
                    )
                )
            )
        parts.append(
            "<h3>The worst %d seconds: from second %d, %.0f%% in time</h3><p>Endings: %s</p><ul>%s</ul>"
            % (
                WORST,
                begin,
                100 * (part or 0),
                html.escape(str(endings)),
                "".join(
                    "<li>%.1f s: %s %s</li>" % (at, html.escape(kind), html.escape(" ".join(hit)))
                    for at, kind, hit in acted
                )
                or "<li>no trouble of the script acted: look at load</li>",
            )
        )
    return """<!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:76rem;margin:2rem auto;padding:0 1rem;color:#222}
img{max-width:100%%}h1{font-weight:600}h2{margin-top:2rem}</style>
<h1>%s, seed %d</h1><p>Played in virtual time with stand-in engines; figures are of no real machine.</p>
<img alt="service, first tokens, load, memory, links and deciders by second"
 src="data:image/png;base64,%s">%s</html>
""" % (html.escape(runs[0].scenario), html.escape(runs[0].scenario), runs[0].seed, picture, "\n".join(parts))
