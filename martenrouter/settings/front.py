"""The front's settings: what an operator writes, and the same in the module's words."""

import typing

import msgspec

from martenrouter.settings.load import BadSettings, checked, evaluate

Effect = typing.Literal["replayable", "keyed", "non-replayable"]


class _Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Group(_Part):
    """An endpoint group. Times in milliseconds."""

    name: str
    effect: Effect = "replayable"
    repeat_scope: typing.Literal["all", "zone", "cell"] = "all"
    repeat_window_ms: float = 5000
    target_ms: float = 1000
    target_per_1000_prompt_ms: float = 40
    token_target_ms: float = 60
    first_token_within_ms: float = 4000
    deadline_ms: float = 60_000
    max_tokens: int = 1024
    importance: float = 1


class Kind(_Part):
    """A kind of engine: what it does, and its memory in tokens."""

    name: str
    role: typing.Literal["read", "write", "both"]
    memory_tokens: int


class Customer(_Part):
    name: str
    quota_per_s: float | None = None


class Limits(_Part):
    """Bounds a front keeps. Times in milliseconds, sizes in bytes."""

    open_reqs: int = 2000
    open_reqs_a_connection: int = 256
    connections: int = 12_000
    frame_bytes: int = 1024 * 1024
    unsent_bytes: int = 1024 * 1024
    unread_within_ms: float = 10_000
    forwards: int = 4
    release_within_ms: float = 300
    connect_within_ms: float = 250
    idle_connections_an_engine: int = 64
    return_after_at_most_ms: float = 5000
    stop_within_ms: float = 10_000
    pauses: int = 1000
    pauses_a_customer: int = 200
    tool_steps: int = 8
    tool_call_within_ms: float = 30_000
    tool_result_bytes: int = 64 * 1024
    tool_arguments_bytes: int = 64 * 1024
    rejoin_within_ms: float = 5000
    answers_kept: int = 2000


class Cold(_Part):
    """What a just-started engine can stand: at `share` of its capacity it starts, warm after
    `warm_within_ms`; sent more than `multiple` times what it can do for `window_ms`, it falls over."""

    share: float = 0.3
    warm_within_ms: float = 10_000
    multiple: float = 3
    window_ms: float = 3000


class Budget(_Part):
    """Limits of an installation, customer, endpoint group or session. `cap`: units a `period` (hour, day,
    month, or microseconds of a rolling window); `on_cap`: one answer that passes the cap while it is written
    may be finished (one), none (end), all (finish)."""

    cap: int | None = None
    period: typing.Literal["hour", "day", "month"] | int = "day"
    rate_per_s: float | None = None
    burst: float | None = None
    open: int | None = None
    share: float = 1
    on_cap: typing.Literal["one", "end", "finish"] = "one"


class Budgets(_Part):
    """What customers may spend, in units: a prompt token costs `read_price`, an answer token `write_price`.
    `ledger`: a directory; without one nothing is booked. `parts`: how this front's part of each limit is
    found (docs/budgets.md)."""

    read_price: int = 1
    write_price: int = 4
    installation: Budget | None = None
    each_customer: Budget | None = None
    customers: dict[str, Budget] = {}
    groups: dict[str, Budget] = {}
    each_session: Budget | None = None
    parts: typing.Literal["fixed", "following", "leased"] = "fixed"
    leases: str | None = None  # the file that hands parts out, for `leased`
    ledger: str | None = None


class ListSource(_Part):
    """Where the list of engines comes from: `service` (host:port) or `file`; `keep` is where the last one is
    kept."""

    service: str | None = None
    file: str | None = None
    keep: str | None = None


class Log(_Part):
    form: typing.Literal["console", "json"] = "console"
    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class Settings(_Part):
    name: str = "front"
    listen: str = "127.0.0.1:7801"
    model: str = "standin"
    seed: int = 1
    fronts: int = 1
    round_ms: float = 1
    groups: list[Group] = msgspec.field(default_factory=lambda: [Group(name="chat")])
    kinds: list[Kind] = msgspec.field(
        default_factory=lambda: [
            Kind(name="rd", role="read", memory_tokens=200_000),
            Kind(name="wr", role="write", memory_tokens=150_000),
            Kind(name="mix", role="both", memory_tokens=150_000),
        ]
    )
    customers: list[Customer] = []
    over_share_importance: float = 0.1
    writers_read: bool = False
    limits: Limits = msgspec.field(default_factory=Limits)
    cold: Cold = msgspec.field(default_factory=Cold)
    list: ListSource = msgspec.field(default_factory=lambda: ListSource(service="127.0.0.1:7800"))
    planner: str | None = (
        None  # path of the Unix socket that a planner connects to; without one the edge decides
    )
    budgets: Budgets | None = None
    records: str | None = None
    log: Log = msgspec.field(default_factory=Log)


def address(text, where):
    """host:port as a pair. Raises BadSettings."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise BadSettings("%s: %r is not host:port, as in 127.0.0.1:7801" % (where, text))
    return host, int(port)


def load(path=None, given=(), where="embedded defaults"):
    """The settings of a Jsonnet file, or the embedded defaults; checked. Raises BadSettings."""
    return check(evaluate(path, given) if path else {}, path or where)


def check(value, where):
    settings = checked(value, Settings, where)
    address(settings.listen, "%s: at listen" % where)
    if settings.list.service:
        address(settings.list.service, "%s: at list.service" % where)
    if not settings.list.service and not settings.list.file:
        raise BadSettings("%s: at list: one of service and file is needed" % where)
    for name, items in (
        ("groups", settings.groups),
        ("kinds", settings.kinds),
        ("customers", settings.customers),
    ):
        names = [item.name for item in items]
        twice = sorted({one for one in names if names.count(one) > 1})
        if twice:
            raise BadSettings("%s: at %s: the name %r stands twice" % (where, name, twice[0]))
    if not settings.groups or not settings.kinds:
        raise BadSettings(
            "%s: at %s: is empty; one is needed" % (where, "kinds" if settings.groups else "groups")
        )
    _numbers(settings, where, "")
    if settings.limits.connect_within_ms > 900:
        # an engine may begin to drain while a connection to it is being made; nothing goes there after 1 s
        raise BadSettings("%s: at limits.connect_within_ms: 900 is the most, so that drains are kept" % where)
    if not 0 < settings.cold.share <= 1:
        raise BadSettings("%s: at cold.share: over 0 to 1" % where)
    if settings.budgets:
        if (settings.budgets.parts == "leased") != (settings.budgets.leases is not None):
            raise BadSettings(
                "%s: at budgets.leases: a file is needed for parts 'leased', and for these alone" % where
            )
        for name, limits in _limits_of(settings.budgets):
            if limits.burst is not None and limits.rate_per_s is None:
                raise BadSettings("%s: at budgets.%s.burst: needs rate_per_s" % (where, name))
            if limits.period not in ("hour", "day", "month") and limits.period < 60:
                raise BadSettings(
                    "%s: at budgets.%s.period: hour, day, month or microseconds" % (where, name)
                )
    return settings


def _limits_of(budgets):
    for name in ("installation", "each_customer", "each_session"):
        if getattr(budgets, name):
            yield name, getattr(budgets, name)
    for name in ("customers", "groups"):
        for one, limits in getattr(budgets, name).items():
            yield "%s.%s" % (name, one), limits


def _numbers(part, where, path):
    zero = (
        "importance",
        "over_share_importance",
        "seed",
        "idle_connections_an_engine",
        "target_per_1000_prompt_ms",
    )
    for field in msgspec.structs.fields(part):
        value, here = getattr(part, field.name), path + field.name
        if isinstance(value, msgspec.Struct):
            _numbers(value, where, here + ".")
        elif isinstance(value, dict):
            for name, item in value.items():
                if isinstance(item, msgspec.Struct):
                    _numbers(item, where, "%s.%s." % (here, name))
        elif isinstance(value, list):
            for i, item in enumerate(value):
                if isinstance(item, msgspec.Struct):
                    _numbers(item, where, "%s[%d]." % (here, i))
        elif isinstance(value, (int, float)) and not isinstance(value, bool):
            if value < 0 or value == 0 and field.name not in zero or value != value:
                raise BadSettings("%s: at %s: %s is not over 0" % (where, here, value))


def us(ms):
    return int(ms * 1000)


def for_module(settings):
    """The same in the words of martenrouter/rules.py: a plain map, times in whole microseconds."""
    return {
        "groups": [
            {
                "name": g.name,
                "effect": g.effect,
                "repeat_scope": g.repeat_scope,
                "repeat_window": us(g.repeat_window_ms),
                "target": us(g.target_ms),
                "importance": g.importance,
            }
            for g in settings.groups
        ],
        "target_per_1000_prompt": [us(g.target_per_1000_prompt_ms) for g in settings.groups],
        "token_target": [us(g.token_target_ms) for g in settings.groups],
        "kinds": [k.name for k in settings.kinds],
        "role_by_kind": [k.role for k in settings.kinds],
        "memory_by_kind": [k.memory_tokens for k in settings.kinds],
        "customers": [{"name": c.name, "quota_per_s": c.quota_per_s} for c in settings.customers],
        "over_share_importance": settings.over_share_importance,
        "writers_read": settings.writers_read,
        "fronts": settings.fronts,
        "round": us(settings.round_ms),
        "forwards_cap": settings.limits.forwards,
        "release_within": us(settings.limits.release_within_ms),
        "may_cancel": True,
        "may_advise": True,
        "advice_cap": us(settings.limits.return_after_at_most_ms),
        "cold_share": settings.cold.share,
        "warm_within": us(settings.cold.warm_within_ms),
        "cold_multiple": settings.cold.multiple,
        "cold_window": us(settings.cold.window_ms),
    }


def _shares(budgets):
    """Customer -> share, None -> that of all others."""
    others = budgets.each_customer.share if budgets.each_customer else 1.0
    return {None: others, **{name: limits.share for name, limits in budgets.customers.items()}}


def for_chain(settings):
    """What the choices around the module need: limits and groups by name, in microseconds and bytes."""
    limits = settings.limits
    return {
        "open_reqs": limits.open_reqs,
        "open_reqs_a_connection": limits.open_reqs_a_connection,
        "advice_cap": us(limits.return_after_at_most_ms),
        "stop_within": us(limits.stop_within_ms),
        "round": us(settings.round_ms),
        "release_within": us(limits.release_within_ms),
        "pauses": limits.pauses,
        "pauses_a_customer": limits.pauses_a_customer,
        "tool_steps": limits.tool_steps,
        "tool_call_within": us(limits.tool_call_within_ms),
        "shares": _shares(settings.budgets) if settings.budgets else None,
        "groups": {
            g.name: {
                "effect": g.effect,
                "repeat_scope": g.repeat_scope,
                "target": us(g.target_ms),
                "importance": g.importance,
                "token_target": us(g.token_target_ms),
                "first_token_within": us(g.first_token_within_ms),
            }
            for g in settings.groups
        },
    }
