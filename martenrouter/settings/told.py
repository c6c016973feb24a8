"""The settings that the operators hand to an instance, as a plain map in our words; the standard library
only.

They come in two forms of one object: path=value pairs in the simulator's first message, nested JSON in a
front node's configuration. The nested form is turned into the pairs, so one translator makes the module's map
of both. What the module counts with is checked here, so that a bad value is refused at the start and fails no
round later.
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
    "az": "zone",
    "zones": "zones",
    "skus": "kinds",
    "peers-total": "fronts",
    "self-index": "front_index",
    "tick-us": "round",
    "discovery": "discovery",
    "over-share-worth": "over_share_importance",
    "weight-source": "weight_meaning",
    "worth-by": "importance_by",
    "stats.fields": "load_names",
    "stats.via": "load_via",
    "family-info.aim-us-per-1000-prompt-tokens": "target_per_1000_prompt",
    "family-info.far-price": "far_price",
    "family-info.holds-allowed": "may_hold",
    "family-info.local-read": "writers_read",
    "family-info.memory-tokens": "memory_by_kind",
    "family-info.pin-limit-us": "release_within",
    "family-info.resume": "streams_resume",
    "family-info.role-by-kind": "role_by_kind",
    "family-info.token-aim-us": "token_target",
    "policy-limits.attempts-cap": "forwards_cap",
    "policy-limits.cancelling": "may_cancel",
    "policy-limits.probes": "may_probe",
    "policy-limits.second-copies": "may_copy",
    "policy-limits.retry-after": "may_advise",
    "policy-limits.max-retry-after-us": "advice_cap",
    "policy-limits.peers": "may_tell",
    "policy-limits.connect-timeout-us": "connect_within",
    "policy-limits.conn-idle-us": "idle_within",
    "rules.cold-share": "cold_share",
    "rules.warm-up-us": "warm_within",
    "rules.fall-multiple": "cold_multiple",
    "rules.tip-after-us": "cold_window",
    "rules.stop-sending-within-us": "drain_within",
    "rules.must-ask-in-us": "ask_within",
    "rules.grace-to-answer-us": "answer_slack",
}
ITEMS = {"grades": "groups", "customers": "customers"}
FIELDS = {
    "deadline-us": "deadline",
    "goal-time-us": "target",
    "effect": "effect",
    "group": "repeat_scope",
    "window-us": "repeat_window",
    "importance": "importance",
    "late-worth": "late_importance",
    "aim-stretch": "target_stretch",
    "quota-rps": "quota_per_s",
}
EFFECTS = {"free": "replayable", "guarded": "keyed", "single_shot": "non-replayable"}
WORDS = {"zone", "zones", "kinds", "load_names", "role_by_kind", "repeat_scope"}  # names: `7` is one too
LISTS = {
    "zones",
    "kinds",
    "load_names",
    "target_per_1000_prompt",
    "memory_by_kind",
    "role_by_kind",
    "token_target",
}
FLAGS = {
    "writers_read",
    "may_hold",
    "streams_resume",
    "may_cancel",
    "may_probe",
    "may_copy",
    "may_advise",
    "may_tell",
    "stream",
}
ONE_OF = {
    "role_by_kind": ("read", "write", "both"),
    "discovery": ("automatic", "subscribe"),
    "repeat_scope": ("all", "zone", "cell"),
}
# no setting of the wire goes below 0
NUMBERS = {
    "fronts",
    "round",
    "over_share_importance",
    "target_per_1000_prompt",
    "memory_by_kind",
    "release_within",
    "token_target",
    "forwards_cap",
    "advice_cap",
    "connect_within",
    "idle_within",
    "cold_share",
    "warm_within",
    "cold_multiple",
    "cold_window",
    "drain_within",
    "ask_within",
    "answer_slack",
    "deadline",
    "target",
    "repeat_window",
    "importance",
    "late_importance",
    "quota_per_s",
}
MOST_ITEMS = 10_000  # groups or customers


def _checked(path, ours, text):
    """The value of a setting; raises Unreadable, saying where and the mend."""
    value = text if ours in WORDS else _plain(text)
    if ours in ONE_OF and value not in ONE_OF[ours]:
        raise Unreadable("setting %s is %r; write one of: %s" % (path, text[:60], ", ".join(ONE_OF[ours])))
    if ours in FLAGS and not isinstance(value, bool):
        raise Unreadable("setting %s is %r; write true or false" % (path, text[:60]))
    if ours in NUMBERS and (isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0):
        raise Unreadable("setting %s is %r; write a number, 0 or more" % (path, text[:60]))
    return value


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
    pairs = []
    for part in parts:
        path, sign, text = part.partition("=")
        if not sign:
            raise Unreadable("up has a setting without a value: %s" % path)
        pairs.append((path, text))
    return _translated(pairs)


def _translated(pairs):
    """`pairs`: (path, text), a list's text being a list of them or joined by commas."""
    told = {ours: [] for ours in ITEMS.values()}
    for path, text in pairs:
        if text == "-":  # an absent value is as if it were not given
            continue
        if isinstance(text, list) and NAMES.get(path) not in LISTS:
            text = ",".join(text)
        head, _, rest = path.partition(".")
        index, _, field = rest.partition(".")
        if head in ITEMS and index.isdigit():
            items = told[ITEMS[head]]
            if int(index) >= MOST_ITEMS:
                raise Unreadable("setting %s: more than %d of them; give fewer" % (path, MOST_ITEMS))
            while len(items) <= int(index):
                items.append({})
            if field == "effect" and text not in EFFECTS:
                raise Unreadable("setting %s is %r; write one of: %s" % (path, text[:60], ", ".join(EFFECTS)))
            ours = FIELDS.get(field, field)
            items[int(index)][ours] = (
                EFFECTS[text]
                if field == "effect"
                else text
                if field == "name"
                else _checked(path, ours, text)
            )
        elif head not in ITEMS:
            ours = NAMES.get(path, path)
            if ours in LISTS:
                items = text if isinstance(text, list) else text.split(",") if text else []
                told[ours] = [_checked(path, ours, item) for item in items]
            else:
                told[ours] = _checked(path, ours, text)
    _contradictions(told)
    meaning = told.get("family-info.report-x0")
    if meaning is not None and "memory" not in str(meaning):
        told["memory_told"] = (
            False  # else a report of something else would be read as the share of memory held
        )
    return told


def _contradictions(told):
    """Settings that are each of their form but not together. Raises Unreadable."""
    for path, items in ITEMS.items():
        seen = set()
        for index, item in enumerate(told[items]):
            name = item.get("name")
            if name in seen and name is not None:
                raise Unreadable(
                    "setting %s.%d.name is %r, which another has too; write each name once"
                    % (path, index, name[:60])
                )
            seen.add(name)
    kinds, roles = told.get("kinds", ()), told.get("role_by_kind", ())
    if kinds and roles and len(kinds) != len(roles):
        raise Unreadable(
            "setting family-info.role-by-kind has %d roles for %d kinds; write one for each of skus"
            % (len(roles), len(kinds))
        )


def from_nested(tree):
    """`tree`: the object as JSON gives it. Raises Unreadable."""
    if not isinstance(tree, dict):
        raise Unreadable("settings are not an object")
    return _translated(_pairs("", tree))


def _pairs(path, value):
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from _pairs("%s.%s" % (path, name) if path else name, inner)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        yield "%s.count" % path, str(len(value))
        for index, item in enumerate(value):
            yield from _pairs("%s.%d" % (path, index), item)
    elif isinstance(value, list):
        yield path, [_text(path, item) for item in value]
    elif value is not None:
        yield path, _text(path, value)


def _text(path, value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if not isinstance(value, (str, int, float)):
        raise Unreadable("a setting's list holds neither objects alone nor simple values alone")
    if not isinstance(value, str):
        return repr(value)
    # names stand in heads and lists just as here; of other words the pairs' form has no blanks
    named = path.endswith(".name") or NAMES.get(path) in WORDS
    return value if named else value.replace(" ", "_").replace(",", "_")
