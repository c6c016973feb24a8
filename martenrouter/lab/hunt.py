"""Looks for the days on which a build loses most or breaks a rule, and cuts one down to the least that still
shows it.

Days are drawn by seed. A day's loss is what the best of some baselines served more on the same day: a day
that no way could serve is no loss of this one's. A broken rule goes before any loss.
"""

import msgspec

from martenrouter.decisions.reducing import drive, reduce, shrink
from martenrouter.lab import catalogue
from martenrouter.lab.studies import study

BASELINES = ("two-choices", "least-pending", "unlimited-window", "prefix-hash")
KEPT_PART = 0.6  # a smaller day still shows a loss when it shows this part of it
BUDGET = 40  # days played to cut one down


class Found(msgspec.Struct):
    scenario: catalogue.Scenario
    seed: int
    loss: float
    service: float
    best: str
    broken: dict


def judge(runs, scenario, seed, build, baselines):
    """A Found of one day's runs: {build name: Kept}."""
    own = runs[build]
    best = max(baselines, key=lambda name: runs[name].figures["service"], default=None)
    loss = runs[best].figures["service"] - own.figures["service"] if best else 1 - own.figures["service"]
    return Found(
        scenario,
        seed,
        loss,
        own.figures["service"],
        best or "",
        {rule: n for rule, n in own.rules.items() if n},
    )


def order(found):
    """Broken rules first, then loss."""
    return -sum(found.broken.values()), -found.loss, found.scenario.name


def hunt(builds, days, store, workers, say):
    """`builds`: studies.Build, the first is the one that is hunted. Found days, the worst first."""
    jobs = [(build, day, seed) for day, seed in days for build in builds]
    runs = {}
    for build, day, seed, kept in study(jobs, store, workers, say):
        runs.setdefault((day.name, seed), (day, seed, {}))[2][build.name] = kept
    names = [build.name for build in builds]
    return sorted(
        (
            judge(told, day, seed, names[0], names[1:])
            for day, seed, told in runs.values()
            if len(told) == len(builds)
        ),
        key=order,
    )


def cut_down(found, builds, store, workers, say):
    """The least day that still shows what `found` shows: fewer troubles, then less time, load and engines. A
    Found."""
    names = [build.name for build in builds]

    def shows(day):
        try:
            catalogue.check(day, day.name)
        except catalogue.BadSettings:
            return None  # it contradicts itself: an engine that a trouble names is gone
        told = {
            build.name: kept
            for build, _, _, kept in study([(build, day, found.seed) for build in builds], store, workers)
        }
        now = judge(told, day, found.seed, names[0], names[1:])
        still = set(found.broken) & set(now.broken) if found.broken else now.loss >= KEPT_PART * found.loss
        say(
            "%s: %d troubles, %g s, %g a second: %s"
            % (day.name, len(day.faults), day.seconds, day.traffic.rate, "still shows it" if still else "no")
        )
        return now if still else None

    least = [found]

    def tried(change):
        def of(candidate):
            now = shows(change(least[0].scenario, candidate))
            if now is not None:
                least[0] = now
            return now is not None

        return of

    drive(
        reduce(found.scenario.faults, BUDGET),
        tried(lambda day, faults: msgspec.structs.replace(day, faults=list(faults))),
    )
    last = max((fault.at for fault in least[0].scenario.faults), default=1.0)
    drive(
        shrink(least[0].scenario.seconds, max(last, 1.0), 4),
        tried(lambda day, seconds: msgspec.structs.replace(day, seconds=round(seconds, 1))),
    )
    drive(
        shrink(least[0].scenario.traffic.rate, 2.0, 4),
        tried(
            lambda day, rate: msgspec.structs.replace(
                day, traffic=msgspec.structs.replace(day.traffic, rate=round(rate, 1))
            )
        ),
    )
    for fewer in (1, 2):
        tried(
            lambda day, count: msgspec.structs.replace(
                day,
                cells=[
                    msgspec.structs.replace(cell, rd=max(cell.rd - count, 1), wr=max(cell.wr - count, 1))
                    for cell in day.cells
                ],
            )
        )(fewer)
    return least[0]
