"""A scenario's fleet and its fronts' settings: the same for a rehearsal on sockets and for the emulator."""

import msgspec

from martenrouter.lab.scenario import engines_of
from martenrouter.settings import front as settings_of
from martenrouter.standins.model import Spec

ROLES = {"rd": "read", "wr": "write", "mix": "both"}
# Small and slow engines, so that a few processes on one machine feel load: readers of some 6,000 tokens a
# second, writers of a dozen answers at a token each 18 ms.
SPECS = {
    "rd": {
        "slots": 6,
        "queue": 32,
        "memory_tokens": 60_000,
        "step_us": 5000,
        "read_us": 150,
        "usual_answer": 40,
    },
    "wr": {"slots": 14, "queue": 16, "memory_tokens": 30_000, "step_us": 15_000, "usual_answer": 40},
    "mix": {"slots": 8, "queue": 16, "memory_tokens": 40_000, "step_us": 15_000, "usual_answer": 40},
}
WARM_UP = {"cold_share": 0.3, "warm_within_us": 5_000_000, "fall_multiple": 4.0, "fall_window_us": 3_000_000}
GROUPS = [
    {"name": "chat", "effect": "replayable", "importance": 1},
    {"name": "booking", "effect": "keyed", "repeat_scope": "cell", "repeat_window_ms": 4000, "importance": 2},
    {"name": "order", "effect": "non-replayable", "importance": 3},
]


def specs(scenario, listen, speed=1.0):
    """{id: Spec}; `listen()` gives an address."""
    made = {}
    for id, kind, cell in engines_of(scenario):
        told = {**SPECS[kind], **WARM_UP, **(scenario.reader if kind == "rd" else scenario.writer)}
        spec = Spec(
            id=id,
            kind=kind,
            role=ROLES[kind],
            zone=scenario.cells[cell].zone,
            cell=cell,
            listen=listen(),
            seed=7,
            **told,
        )
        made[id] = msgspec.structs.replace(
            spec,
            step_us=max(int(spec.step_us / speed), 200),
            read_us=spec.read_us / speed,
            write_us=spec.write_us / speed,
        )
    return made


def groups(scenario):
    """Endpoint groups as plain dicts, all fields given."""
    told = scenario.settings.get("groups", GROUPS)
    return [msgspec.to_builtins(group) for group in msgspec.convert(told, list[settings_of.Group])]


def front_settings(scenario, seed, i, listen, made, **more):
    """Settings of front number `i` as a plain dict. `made`: the engines' specs; `more` goes before the
    scenario's own."""
    return {
        "name": "front-%d" % i,
        "listen": listen,
        "seed": seed * 100 + i,
        "fronts": scenario.fronts,
        "groups": groups(scenario),
        "kinds": [
            {"name": kind, "role": role, "memory_tokens": SPECS[kind]["memory_tokens"]}
            for kind, role in ROLES.items()
        ],
        "cold": cold(made),
        "log": {"form": "json", "level": "info"},
        **more,
        **{key: value for key, value in scenario.settings.items() if key != "groups"},
    }


def cold(made):
    """What the fronts are told of cold engines: the weakest of the fleet, as an operator would write it."""
    all_of = list(made.values())
    return {
        "share": min(spec.cold_share for spec in all_of),
        "multiple": min(spec.fall_multiple for spec in all_of),
        "warm_within_ms": max(spec.warm_within_us for spec in all_of) / 1000,
        "window_ms": min(spec.fall_window_us for spec in all_of) / 1000,
    }


def told_to_judge(scenario, seed, made, release_within):
    """The fields of the record that a judge begins with."""
    return {
        "name": scenario.name,
        "seed": seed,
        "groups": groups(scenario),
        "release_within": release_within,
        "fronts": scenario.fronts,
        "engines": {
            id: {
                "cell": spec.cell,
                "zone": spec.zone,
                "role": spec.role,
                "seed": spec.seed,
                "usual": spec.usual_answer,
            }
            for id, spec in made.items()
        },
    }


def targets(fault, made, rnd):
    """Engines (or the front) that a fault hits; `made`: the engines' specs. Drawn in the scenario's order:
    the same for a seed."""
    ids = sorted(made)
    if fault.target in ROLES:
        return [rnd.choice([id for id in ids if id.startswith(fault.target)])]
    if fault.target == "all" or fault.target.startswith("all-"):
        return [id for id in ids if fault.target in ("all", "all-" + made[id].kind)]
    if fault.target.startswith("cell-"):
        return [id for id in ids if made[id].cell == int(fault.target[5:])]
    of_zone = [id for id in ids if made[id].zone == fault.target]
    return of_zone or [fault.target]
