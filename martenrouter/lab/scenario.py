"""A scenario: a fleet, its traffic, and what goes wrong when. Jsonnet files, checked; times in seconds of the
day."""

import os
import typing

import msgspec

from martenrouter.settings.load import BadSettings, checked, evaluate

HERE = os.path.join(os.path.dirname(__file__), "scenarios")

Kind = typing.Literal[
    "hang",
    "slow",
    "refuse",
    "error",
    "reset_after",
    "stall_after",
    "no_finish",
    "garbage",
    "half_open",
    "forget",
    "link",
    "crash",
    "drain",
    "list_late",
    "list_silent",
    "list_back",
    "list_epoch",
    "front_kill",
    "burst",
    "bad_arguments",
    "endless_arguments",
    "planner_kill",
    "planner_stop",
    "front_roll",
    "list_flap",
    "hot_prefix",
    "heavy_tail",
    "impatient",
    "greedy",
    "late_reports",
    "clock_jump",
]
EMULATED = {"late_reports", "clock_jump"}  # kinds that only the emulator can play


class _Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Cell(_Part):
    zone: str = "hall-1"
    rd: int = 0
    wr: int = 0
    mix: int = 0


class Traffic(_Part):
    """What clients do. `shares`: part of the reqs by endpoint group, in the order of the settings' groups."""

    rate: float = 15
    shares: list[float] = msgspec.field(default_factory=lambda: [1.0])
    openings: int = 4  # shared system prompts
    opening_words: int = 120
    turn_words: int = 40
    go_on: float = 0.6  # chance that an arrival is the next turn of a session that waits
    max_tokens: int = 64
    deadline_ms: float = 6000
    retries: int = 2  # after a pushback
    cancel: float = 0  # share of reqs that the client cancels, and of those it leaves by closing
    leave: float = 0
    early: float = 0  # share with a deadline of a tenth
    rejoin: float = 0  # share that loses its connection and comes back for its answer by key
    tools: list[str] = []  # names; one that begins with "set" has effects, the others may be called again
    tool_ms: float = 150  # usual time of a tool, drawn between nothing and three times as much
    tool_silent: float = 0  # share of calls that are never answered
    customers: list[str] = []  # each as often; a fault makes the first one greedy


class Fault(_Part):
    """`target`: an engine (rd-0-1), a role (rd, wr, mix: one of it by the seed), all of a role (all-rd), a
    cell (cell-0), a zone (hall-1), all engines (all), a front (front-1).
    `value`: factor, tokens, milliseconds or count, as the kind needs. `again`: seconds after which a crashed
    engine or a killed front is back."""

    at: float
    kind: Kind
    target: str = ""
    length: float = 2
    value: float = 1
    again: float = 1


class Expect(_Part):
    done_at_least: float = 0.0  # share of first tries and retries together
    done_first_at_least: float = 0.0
    answered_at_least: int = 1
    aborted_at_most: float = 1.0


class Scenario(_Part):
    name: str
    about: str
    seconds: float = 8
    fronts: int = 2
    planners: bool = False  # a planner of its own for each front
    store: bool = False  # planners keep snapshots of what they learnt
    cells: list[Cell] = msgspec.field(default_factory=lambda: [Cell(rd=1, wr=1), Cell(rd=1, wr=1)])
    reader: dict[str, typing.Any] = {}
    writer: dict[str, typing.Any] = {}
    list_late_ms: float = 300
    traffic: Traffic = msgspec.field(default_factory=Traffic)
    faults: list[Fault] = []
    settings: dict[str, typing.Any] = {}
    expect: Expect = msgspec.field(default_factory=Expect)


def names():
    return sorted(name[:-8] for name in os.listdir(HERE) if name.endswith(".jsonnet"))


def load(name_or_path):
    """A scenario of the repository by its name, or a file. Raises BadSettings."""
    path = (
        name_or_path if name_or_path.endswith(".jsonnet") else os.path.join(HERE, name_or_path + ".jsonnet")
    )
    if not os.path.exists(path):
        raise BadSettings("no scenario %s; there are: %s" % (name_or_path, ", ".join(names())))
    scenario = checked(evaluate(path), Scenario, path)
    return check(scenario, path)


def check(scenario, path):
    """Raises BadSettings, with the place, for what contradicts itself."""
    roles = {"rd", "wr", "mix", "list", "", "all", "all-rd", "all-wr", "all-mix"} | {
        cell.zone for cell in scenario.cells
    }
    engines = {id for id, _, _ in engines_of(scenario)}
    cells, fronts = (
        {"%s-%d" % (what, i) for i in range(n)}
        for what, n in (("cell", len(scenario.cells)), ("front", scenario.fronts))
    )
    for i, fault in enumerate(scenario.faults):
        if fault.target not in roles | engines | cells | fronts:
            raise BadSettings(
                "%s: at faults[%d].target: %r is none of the engines (%s), a role, a cell, a zone or a front"
                % (path, i, fault.target, ", ".join(sorted(engines)))
            )
        if fault.kind == "front_kill" and fault.target not in fronts:
            raise BadSettings("%s: at faults[%d].target: front_kill needs a front, as in front-0" % (path, i))
        if fault.kind.startswith("planner") and (fault.target not in fronts or not scenario.planners):
            raise BadSettings(
                "%s: at faults[%d]: needs a front as its target, and planners: true" % (path, i)
            )
        if fault.target in ("rd", "wr", "mix") and not any(
            kind == fault.target for _, kind, _ in engines_of(scenario)
        ):
            raise BadSettings(
                "%s: at faults[%d].target: the fleet has no engine of role %s" % (path, i, fault.target)
            )
        if fault.kind in ("hot_prefix", "heavy_tail", "impatient") and not 0 <= fault.value <= 1:
            raise BadSettings("%s: at faults[%d].value: %s takes a share, 0 to 1" % (path, i, fault.kind))
        if fault.kind == "greedy" and not scenario.traffic.customers:
            raise BadSettings("%s: at faults[%d]: greedy needs traffic.customers" % (path, i))
        if not 0 <= fault.at <= scenario.seconds:
            raise BadSettings(
                "%s: at faults[%d].at: is not within the day's %g s" % (path, i, scenario.seconds)
            )
    if not engines_of(scenario) or scenario.fronts < 1 or scenario.traffic.rate <= 0 or scenario.seconds <= 0:
        raise BadSettings("%s: a day needs engines, a front, a rate over 0 and some seconds" % path)
    if len(scenario.traffic.shares) > len(scenario.settings.get("groups", [1, 2, 3])):
        raise BadSettings("%s: at traffic.shares: more shares than endpoint groups" % path)
    return scenario


def engines_of(scenario):
    """(id, role letter, cell) of each engine."""
    return [
        ("%s-%d-%d" % (kind, c, i), kind, c)
        for c, cell in enumerate(scenario.cells)
        for kind in ("rd", "wr", "mix")
        for i in range(getattr(cell, kind))
    ]
