"""One run of a day, from its scenario to its figures."""

import collections
import time

import msgspec

from martenrouter.lab.emulator.policies import POLICIES
from martenrouter.lab.emulator.world import World
from martenrouter.lab.verdict import judged as verdict_of
from martenrouter.settings.load import BadSettings


class Run(msgspec.Struct):
    """What came of a run. `tries`: rows of emulator.world.Day; times in microseconds of the day."""

    scenario: str
    seed: int
    policy: str
    tries: list
    loads: list
    troubles: list
    figures: dict
    deciders: list = []
    links: list = []
    verdict: dict | None = None
    first: object = None


def figures(tries, targets):
    """Figures of a run's tries. `targets`: endpoint group -> microseconds wanted to the first token.

    `service`: of the reqs, a client's retries after a pushback being the same one, the part that was done
    with its first token as soon as wanted, counted from its first try.
    """
    endings = collections.Counter(row[3] for row in tries)
    firsts = sorted(row[1] - row[0] for row in tries if row[1] is not None)
    reqs = sum(row[6] == 0 for row in tries)
    good = sum(
        row[3] == "done" and row[1] is not None and row[1] - row[0] <= targets[row[4]] for row in tries
    )

    customers = {}
    for row in tries:
        if len(row) > 7 and row[7] is not None:
            held = customers.setdefault(row[7], [0, 0])
            held[0] += row[6] == 0
            held[1] += row[3] == "done" and row[1] is not None and row[1] - row[0] <= targets[row[4]]

    def at(part):
        return firsts[min(int(len(firsts) * part), len(firsts) - 1)] / 1000 if firsts else None

    return {
        "reqs": reqs,
        "tries": len(tries),
        "endings": dict(sorted(endings.items())),
        "service": good / max(reqs, 1),
        "customers": {
            name: round(done / max(asked, 1), 4) for name, (asked, done) in sorted(customers.items())
        },
        "first token ms": {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99)},
    }


def play(scenario, seed, policy="as-built", judged=True, tick=None):
    """Raises BadSettings for a policy that isn't known."""
    if policy not in POLICIES:
        raise BadSettings("policy %s: there are %s" % (policy, ", ".join(POLICIES)))
    began = time.perf_counter()
    world = World(scenario, seed, judged, decide=POLICIES[policy])
    day = world.play(tick)
    targets = {group["name"]: group["target_ms"] * 1000 for group in world.groups}
    told = figures(day.tries, targets)
    told["cost"] = {
        "seconds": round(time.perf_counter() - began, 3),
        "events": world.queue.count,
        "rounds": world.rounds,
        "ms a req": round((time.perf_counter() - began) * 1000 / max(told["tries"], 1), 3),
        "part in rounds": round(world.spent_in_rounds / 1e9 / (time.perf_counter() - began), 3),
    }
    verdict, first = verdict_of(world.records, scenario.expect) if judged else (None, None)
    return Run(
        scenario.name,
        seed,
        policy,
        day.tries,
        day.loads,
        world.troubles,
        told,
        day.deciders,
        day.links,
        verdict,
        first,
    )
