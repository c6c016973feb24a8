"""What a front has learnt of its fleet, as plain data: health, paces, kept prefixes, rates. Not its open
reqs: those are facts and belong to the edge.

Taken out of one instance of the module and put into another, with the time it lay around: sums halve by
themselves since they carry the time they were brought up to date; what was kept is only probably kept still.
"""

from martenrouter.rules import Engine, Pace, Sum

ENGINE_SUMS, ENGINE_VALUES = (
    ("late", "tries"),
    (
        "failed",
        "felt",
        "felt_at",
        "answered",
        "tested",
        "served_to",
        "born",
        "load",
        "load_at",
        "streams_then",
    ),
)
STALE = 60_000_000  # microseconds: kept text and reports older than a minute say nothing of a busy engine
# a start told in wall time is converted anew by each front process; no engine starts in a second
BORN_SLACK = 1_000_000
VERSION = 2


def _sum(value):
    return [value.half, value.value, value.at, value.since]


def _back(told):
    made = Sum(told[0])
    made.value, made.at, made.since = told[1:]
    return made


def export(front, now):
    """Plain lists, numbers and text; times in the front's own clock."""
    return {
        "version": VERSION,
        "at": now,
        "engines": [
            [
                e.id,
                [_sum(getattr(e, name)) for name in ENGINE_SUMS],
                [getattr(e, name) for name in ENGINE_VALUES],
                list(e.kept.items()),
            ]
            for e in front.engines.values()
        ],
        "links": [
            [
                list(key),
                [_sum(getattr(e, name)) for name in ENGINE_SUMS],
                [getattr(e, name) for name in ENGINE_VALUES],
            ]
            for key, e in front.links.items()
        ],
        "paces": [[name, _sum(pace.spent), _sum(pace.work)] for name, pace in front.pace.items()],
        "drained": _sum(front.drained),
        "asked_for": _sum(front.asked_for),
        "told": [[key, _sum(total), _sum(count)] for key, (total, count) in front.told.items()],
        "prefixes": [[key, _sum(value)] for key, value in front.prefixes.items()],
        "mean_work": [[key, _sum(total), _sum(count)] for key, (total, count) in front.mean_work.items()],
        "carried": [[key, _sum(value)] for key, value in front.carried.items()],
        "carried_each": [[key, _sum(value)] for key, value in front.carried_each.items()],
        "buckets": [[key, *value] for key, value in front.buckets.items()],
        "draws": front.draws,
    }


def shifted(told, by):
    """The same with all its times moved: the clock of a machine that was started again begins anew."""

    def sums(value):
        return [value[0], value[1], value[2] + by, None if value[3] is None else value[3] + by]

    def engine(sum_list, values):
        times = ("felt_at", "answered", "tested", "served_to", "load_at")
        return [sums(one) for one in sum_list], [
            value + by if name in times and value else value for name, value in zip(ENGINE_VALUES, values)
        ]

    return {
        **told,
        "at": told["at"] + by,
        "engines": [[id, *engine(sum_list, values), kept] for id, sum_list, values, kept in told["engines"]],
        "links": [[key, *engine(sum_list, values)] for key, sum_list, values in told["links"]],
        "paces": [[name, sums(spent), sums(work)] for name, spent, work in told["paces"]],
        "drained": sums(told["drained"]),
        "asked_for": sums(told["asked_for"]),
        "buckets": [[key, level, at + by] for key, level, at in told["buckets"]],
        **{
            name: [[key, *map(sums, values)] for key, *values in told[name]]
            for name in ("told", "prefixes", "mean_work", "carried", "carried_each")
        },
    }


def put(front, told, now):
    """Into a front that has its list already and no reqs yet. Engines that it doesn't list are passed over,
    and those that were started since learn anew. Returns how many engines got something."""
    old, count = now - told["at"] > STALE, 0
    for id, sums, values, kept in told["engines"]:
        engine = front.engines.get(id)
        born = dict(zip(ENGINE_VALUES, values))["born"]
        if engine is None or bool(born) != bool(engine.born) or abs(born - engine.born) > BORN_SLACK:
            continue
        _engine(engine, sums, values, old)
        engine.kept = {} if old else dict(map(tuple, kept))
        count += 1
    for key, sums, values in told["links"]:
        _engine(front.links.setdefault(tuple(key), Engine(tuple(key))), sums, values, old)
    for name, spent, work in told["paces"]:
        pace = front.pace.setdefault(name, Pace())
        pace.spent, pace.work = _back(spent), _back(work)
    front.drained, front.asked_for = _back(told["drained"]), _back(told["asked_for"])
    front.told = {key: (_back(total), _back(weight)) for key, total, weight in told["told"]}
    front.prefixes = {key: _back(value) for key, value in told["prefixes"]}
    front.mean_work = {key: [_back(total), _back(weight)] for key, total, weight in told["mean_work"]}
    front.carried = {key: _back(value) for key, value in told["carried"]}
    front.carried_each = {key: _back(value) for key, value in told["carried_each"]}
    front.buckets = {key: tuple(rest) for key, *rest in told["buckets"]}
    front.draws = told["draws"]
    return count


def _engine(engine, sums, values, old):
    for name, value in zip(ENGINE_SUMS, sums):
        setattr(engine, name, _back(value))
    for name, value in zip(ENGINE_VALUES, values):
        if name not in ("born", "streams_then") and not (
            old and name in ("load", "load_at", "felt", "felt_at")
        ):
            setattr(engine, name, value)
