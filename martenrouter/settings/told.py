"""The settings that the operators hand to an instance, as a plain map in our words; the standard library only.

They come in two forms of one object: path=value pairs in the simulator's first message, nested JSON in a front node's
configuration. The nested form is turned into the pairs, so one translator makes the module's map of both.
"""


class Unreadable(Exception):
    """A setting that is not of this form; says which."""


def number(text):
    """A finite number; raises ValueError."""
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not a finite number")
    return value


# wire path of a setting -> our name; other paths keep theirs, and the module passes them over
NAMES = {
    "az": "zone", "zones": "zones", "skus": "kinds", "peers-total": "fronts", "self-index": "front_index",
    "tick-us": "round", "discovery": "discovery", "over-share-worth": "over_share_importance",
    "weight-source": "weight_meaning", "worth-by": "importance_by", "stats.fields": "load_names",
    "stats.via": "load_via",
    "family-info.aim-us-per-1000-prompt-tokens": "target_per_1000_prompt", "family-info.far-price": "far_price",
    "family-info.holds-allowed": "may_hold", "family-info.local-read": "writers_read",
    "family-info.memory-tokens": "memory_by_kind", "family-info.pin-limit-us": "release_within",
    "family-info.resume": "streams_resume", "family-info.role-by-kind": "role_by_kind",
    "family-info.token-aim-us": "token_target",
    "policy-limits.attempts-cap": "forwards_cap", "policy-limits.cancelling": "may_cancel",
    "policy-limits.probes": "may_probe", "policy-limits.second-copies": "may_copy",
    "policy-limits.retry-after": "may_advise", "policy-limits.max-retry-after-us": "advice_cap",
    "policy-limits.peers": "may_tell", "policy-limits.connect-timeout-us": "connect_within",
    "policy-limits.conn-idle-us": "idle_within",
    "rules.cold-share": "cold_share", "rules.warm-up-us": "warm_within", "rules.fall-multiple": "cold_multiple",
    "rules.tip-after-us": "cold_window", "rules.stop-sending-within-us": "drain_within",
    "rules.must-ask-in-us": "ask_within", "rules.grace-to-answer-us": "answer_slack",
}
ITEMS = {"grades": "groups", "customers": "customers"}
FIELDS = {"deadline-us": "deadline", "goal-time-us": "target", "effect": "effect", "group": "repeat_scope",
          "window-us": "repeat_window", "importance": "importance", "late-worth": "late_importance",
          "aim-stretch": "target_stretch", "quota-rps": "quota_per_s"}
EFFECTS = {"free": "replayable", "guarded": "keyed", "single_shot": "non-replayable"}
LISTS = {"zones", "kinds", "load_names", "target_per_1000_prompt", "memory_by_kind", "role_by_kind", "token_target"}


def _plain(text):
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, number):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def from_pairs(parts):
    """`parts`: "path=value" texts. Raises Unreadable."""
    told = {ours: [] for ours in ITEMS.values()}
    for part in parts:
        path, sign, text = part.partition("=")
        if not sign:
            raise Unreadable("up has a setting without a value: %s" % path)
        head, _, rest = path.partition(".")
        index, _, field = rest.partition(".")
        if head in ITEMS and index.isdigit():
            items = told[ITEMS[head]]
            while len(items) <= int(index) < 10000:
                items.append({})
            value = EFFECTS.get(text, text) if field == "effect" else text if field == "name" else _plain(text)
            items[int(index)][FIELDS.get(field, field)] = value
        elif head not in ITEMS:
            ours = NAMES.get(path, path)
            if ours in LISTS:
                told[ours] = [_plain(item) for item in text.split(",")] if text else []
            else:
                told[ours] = _plain(text)
    return told


def from_nested(tree):
    """`tree`: the object as JSON gives it. Raises Unreadable."""
    if not isinstance(tree, dict):
        raise Unreadable("settings are not an object")
    return from_pairs("%s=%s" % pair for pair in _pairs("", tree))


def _pairs(path, value):
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from _pairs("%s.%s" % (path, name) if path else name, inner)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        yield "%s.count" % path, len(value)
        for index, item in enumerate(value):
            yield from _pairs("%s.%d" % (path, index), item)
    elif isinstance(value, list):
        yield path, ",".join(map(_text, value))
    elif value is not None:
        yield path, _text(value)


def _text(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if not isinstance(value, (str, int, float)):
        raise Unreadable("a setting's list holds neither objects alone nor simple values alone")
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else repr(value)
