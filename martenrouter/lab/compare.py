"""Builds compared on the same days, paired: means, intervals by bootstrap, a table for each kind of
trouble."""

import random

from martenrouter.decisions import resampling
from martenrouter.lab.catalogue import kinds_of

LEAST = 0.01  # a hundredth of the reqs: less is no reason to change a build


def service(kept):
    return kept.figures["service"]


def tables(runs, names, seed=1):
    """`runs`: {(build name, scenario name, seed): (scenario, Kept)}; `names`: builds, the first is what
    others are set against. A plain value that `text` prints."""
    first, days = names[0], sorted({key[1:] for key in runs})
    whole = [day for day in days if all((name, *day) in runs for name in names)]
    told = {"days": len(whole), "against": first, "builds": [], "kinds": {}}
    rnd = random.Random(seed)
    for name in names:
        values = [service(runs[(name, *day)][1]) for day in whole]
        broken = sum(sum(runs[(name, *day)][1].rules.values()) for day in whole)
        p50 = [runs[(name, *day)][1].figures["first token ms"]["p50"] for day in whole]
        differences = [service(runs[(name, *day)][1]) - service(runs[(first, *day)][1]) for day in whole]
        mean, low, high = resampling.interval(differences, rnd)
        told["builds"].append(
            {
                "name": name,
                "service": resampling.mean(values) if values else None,
                "rule breaks": broken,
                "first token p50 ms": resampling.mean([value for value in p50 if value is not None] or [0]),
                "difference": mean,
                "low": low,
                "high": high,
                "verdict": "" if name == first else resampling.verdict(low, high, LEAST),
            }
        )
        if name != first:
            pairs = [
                (kinds_of(runs[(name, *day)][0]), difference) for day, difference in zip(whole, differences)
            ]
            told["kinds"][name] = resampling.by_kind(pairs, rnd)
    return told


def text(told):
    lines = [
        "%d days, each under every build; service: part of the reqs done with their first token in time "
        "(stand-in engines, emulated)" % told["days"],
        "%-28s %8s %12s %10s   difference to %s, 95%% interval"
        % ("build", "service", "p50 first ms", "rules broken", told["against"]),
    ]
    for one in told["builds"]:
        lines.append(
            "%-28s %8.3f %12.0f %10d   %s"
            % (
                one["name"],
                one["service"],
                one["first token p50 ms"],
                one["rule breaks"],
                _span(one["difference"], one["low"], one["high"]) + "  " + one["verdict"]
                if one["name"] != told["against"]
                else "",
            )
        )
    for name, kinds in told["kinds"].items():
        lines.append("by kind of trouble, %s less %s:" % (name, told["against"]))
        for kind, (days, mean, low, high) in kinds.items():
            lines.append("    %-16s %3d days  %s" % (kind, days, _span(mean, low, high)))
    return "\n".join(lines)


def _span(mean, low, high):
    if mean is None:
        return "no day"
    return "%+.3f" % mean + (" (%+.3f to %+.3f)" % (low, high) if low is not None else " (too few days)")
