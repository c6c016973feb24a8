"""Troubles as data: kinds with their ranges, and days drawn from them by a seed. Correlated ones hit a cell,
a zone or a kind at once.

The ranges are those of a bad evening, not of the end of the world: a day drawn has some troubles that
overlap, and a fleet that is loaded but not, on average, overloaded.
"""

import random

import msgspec

from martenrouter.lab.scenario import Cell, Fault, Scenario, Traffic, check
from martenrouter.settings.load import BadSettings


class Trouble(msgspec.Struct, frozen=True):
    """`parts`: (fault kind, seconds after the trouble's begin). `length` in seconds, `value` as the kind
    needs, each a range."""

    name: str
    about: str
    targets: tuple
    parts: tuple
    length: tuple = (1.0, 4.0)
    value: tuple = (1.0, 1.0)
    again: tuple = (0.5, 2.0)


TROUBLES = {
    trouble.name: trouble
    for trouble in (
        Trouble("hang", "an engine takes reqs and says nothing", ("rd", "wr"), (("hang", 0),)),
        Trouble(
            "hang-cell", "all engines of a cell say nothing", ("cell",), (("hang", 0),), length=(0.5, 2.0)
        ),
        Trouble(
            "slow",
            "an engine is several times slower",
            ("rd", "wr"),
            (("slow", 0),),
            length=(2.0, 6.0),
            value=(3.0, 12.0),
        ),
        Trouble(
            "slow-kind",
            "all readers or all writers are slower at once",
            ("all-rd", "all-wr"),
            (("slow", 0),),
            value=(1.3, 2.0),
        ),
        Trouble(
            "ageing",
            "an engine gets slower, then crashes",
            ("rd", "wr"),
            (("slow", 0), ("slow", 1.5), ("crash", 3.0)),
            length=(1.5, 1.5),
            value=(2.0, 6.0),
        ),
        Trouble("crash", "an engine crashes and comes back cold", ("rd", "wr"), (("crash", 0),)),
        Trouble(
            "mass-restart",
            "all engines of a cell are started again at once",
            ("cell",),
            (("crash", 0),),
            again=(0.5, 1.5),
        ),
        Trouble(
            "zone-loss", "a zone is lost and comes back cold", ("zone",), (("crash", 0),), again=(1.0, 3.0)
        ),
        Trouble("flush", "kept text is lost", ("cell", "all-rd"), (("forget", 0),)),
        Trouble(
            "hot-prefix",
            "nearly all ask with one opening",
            ("",),
            (("hot_prefix", 0),),
            length=(3.0, 8.0),
            value=(0.6, 0.95),
        ),
        Trouble("burst", "more reqs than usual", ("",), (("burst", 0),), length=(1.0, 4.0), value=(1.5, 3.0)),
        Trouble(
            "heavy-tail",
            "some prompts are ten times as long",
            ("",),
            (("heavy_tail", 0),),
            length=(3.0, 8.0),
            value=(0.03, 0.15),
        ),
        Trouble(
            "slow-link",
            "states leave a cell slowly",
            ("cell",),
            (("link", 0),),
            length=(2.0, 6.0),
            value=(10.0, 60.0),
        ),
        Trouble(
            "list-late",
            "news of engines is seconds late",
            ("",),
            (("list_late", 0),),
            length=(3.0, 6.0),
            value=(1500.0, 4000.0),
        ),
        Trouble("list-silent", "the list says nothing", ("",), (("list_silent", 0),), length=(2.0, 8.0)),
        Trouble(
            "list-back", "the list comes back from an old copy", ("",), (("list_back", 0),), value=(1.0, 2.0)
        ),
        Trouble(
            "list-flap",
            "an engine drains and is up again, over and over",
            ("wr", "rd"),
            (("list_flap", 0),),
            length=(1.0, 3.0),
        ),
        Trouble("drain", "an engine drains and leaves", ("rd", "wr"), (("drain", 0),), length=(2.0, 4.0)),
        Trouble(
            "late-reports",
            "reports of load are old",
            ("all-wr",),
            (("late_reports", 0),),
            length=(3.0, 8.0),
            value=(2.0, 6.0),
        ),
        Trouble("refuse", "an engine refuses all", ("rd", "wr"), (("refuse", 0),)),
        Trouble(
            "resets",
            "an engine ends its answers after some tokens",
            ("wr",),
            (("reset_after", 0),),
            value=(1.0, 20.0),
        ),
        Trouble(
            "stalls",
            "an engine's answers stop after some tokens",
            ("wr",),
            (("stall_after", 0),),
            value=(1.0, 20.0),
        ),
        Trouble(
            "front-roll",
            "all fronts are started again, one after the other",
            ("",),
            (("front_roll", 0),),
            again=(0.3, 1.0),
        ),
        Trouble("front-kill", "a front is killed", ("front",), (("front_kill", 0),)),
        Trouble(
            "impatient",
            "clients give up after a tenth of the time and are back at once",
            ("",),
            (("impatient", 0),),
            length=(2.0, 5.0),
            value=(0.1, 0.5),
        ),
        Trouble(
            "greedy",
            "one customer asks for much more than the others",
            ("",),
            (("greedy", 0),),
            length=(3.0, 8.0),
            value=(5.0, 20.0),
        ),
        Trouble(
            "planner-stall", "a planner is stopped", ("front",), (("planner_stop", 0),), length=(0.2, 4.0)
        ),
        Trouble("planner-crash", "a planner is killed", ("front",), (("planner_kill", 0),)),
        Trouble("clock-jump", "all wall clocks step", ("",), (("clock_jump", 0),), value=(-30.0, 30.0)),
    )
}

# fronts, cells, readers and writers a cell. Rates follow from the writers: each ends some 19 answers a
# second.
SIZES = {
    "tiny": (2, 1, 1, 2),
    "small": (2, 2, 2, 4),
    "medium": (8, 3, 4, 8),
    "large": (20, 4, 6, 12),
    "huge": (140, 4, 6, 12),
}
ANSWERS_A_WRITER = 19


def faults_of(trouble, at, rnd, cells, fronts, seconds):
    """The faults of one trouble that begins at `at`, drawn from its ranges."""
    target = rnd.choice(trouble.targets)
    target = {
        "cell": "cell-%d" % rnd.randrange(cells),
        "zone": "hall-%d" % (rnd.randrange(cells) % 2 + 1),
        "front": "front-%d" % rnd.randrange(fronts),
    }.get(target, target)
    length, value, again = (
        round(rnd.uniform(*span), 2) for span in (trouble.length, trouble.value, trouble.again)
    )
    if target in ("rd", "wr") and len(trouble.parts) > 1:
        target = "%s-%d-0" % (target, rnd.randrange(cells))  # all parts hit the same engine
    return [
        Fault(
            at=round(min(at + after, seconds), 2),
            kind=kind,
            target=target,
            length=length,
            value=value,
            again=again,
        )
        for kind, after in trouble.parts
    ]


def draw(seed, size="small", seconds=15.0, load=None, troubles=None, count=None, planners=False):
    """A day drawn by its seed. `load`: part of what the writers can do; `troubles`: names to draw from;
    `count`: how many. Raises BadSettings for an unknown size or trouble."""
    if size not in SIZES:
        raise BadSettings("size %s: there are %s" % (size, ", ".join(SIZES)))
    for name in troubles or ():
        if name not in TROUBLES:
            raise BadSettings("trouble %s: there are %s" % (name, ", ".join(TROUBLES)))
    rnd = random.Random("day %s %s" % (size, seed))
    fronts, cells, readers, writers = SIZES[size]
    load = load if load is not None else rnd.uniform(0.45, 0.85)
    names = sorted(troubles or TROUBLES)
    if not planners:
        names = [name for name in names if not name.startswith("planner")]
    faults, kinds = [], []
    for _ in range(rnd.randint(2, 5) if count is None else count):
        trouble = TROUBLES[rnd.choice(names)]
        kinds.append(trouble.name)
        faults += faults_of(trouble, rnd.uniform(0.15, 0.75) * seconds, rnd, cells, fronts, seconds)
    faults.sort(key=lambda fault: fault.at)
    day = Scenario(
        name="drawn-%s-%s" % (size, seed),
        about=", ".join(sorted(set(kinds))) or "nothing",
        seconds=seconds,
        fronts=fronts,
        planners=planners,
        cells=[Cell(zone="hall-%d" % (i % 2 + 1), rd=readers, wr=writers) for i in range(cells)],
        traffic=Traffic(
            rate=round(load * cells * writers * ANSWERS_A_WRITER, 1),
            shares=[0.6, 0.25, 0.15],
            openings=6 + 2 * cells,
            opening_words=rnd.choice((120, 300, 600)),
            deadline_ms=6000,
            cancel=0.01,
            leave=0.01,
            customers=["c%d" % i for i in range(10)],
        ),
        faults=faults,
    )
    return check(day, day.name)


def kinds_of(scenario):
    """Names of troubles a drawn day holds, or the kinds of its faults."""
    if scenario.name.startswith("drawn-"):
        return scenario.about.split(", ")
    return sorted({fault.kind for fault in scenario.faults})


def as_jsonnet(scenario):
    """A day as a file that `lab run` and `rehearse` can play again."""
    told = msgspec.to_builtins(scenario)
    bare = msgspec.to_builtins(Scenario(name="", about=""))
    told = {
        name: value for name, value in told.items() if name in ("name", "about") or value != bare.get(name)
    }
    usual = msgspec.to_builtins(Fault(at=0, kind="hang"))
    told["faults"] = [
        {name: value for name, value in one.items() if name in ("at", "kind") or value != usual[name]}
        for one in told.get("faults", [])
    ]
    return msgspec.json.format(msgspec.json.encode(told), indent=2).decode() + "\n"
