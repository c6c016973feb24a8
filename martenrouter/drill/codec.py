"""The simulator's text wire: lines in, calls of the decision module out, and back. Renames, decides nothing."""


class BadLine(Exception):
    """A line that is not of this wire."""


def _whole(text):
    return int(text)


def _opt_whole(text):
    return None if text == "-" else int(text)


def _word(text):
    if not text:
        raise ValueError("empty value")
    return text


def _opt_word(text):
    return None if text in ("-", "0") else _word(text)


def _number(text):
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not a finite number")
    return value


def _opt_number(text):
    return 0.0 if text == "-" else _number(text)


def _flag(text):
    if text not in ("0", "1", "-"):
        raise ValueError("not 0 or 1")
    return text == "1"


LOADS = {"outstanding": "reqs_held", "backlog": "reqs_queued", "utilization": "share_busy", "recent_ms": "recent_ms",
         "throughput": "done_per_s", "errors_per_s": "errors_per_s", "x0": "memory_share", "x1": "tokens_waiting"}


def _load(text):
    if text == "-":
        return None
    load = {}
    for part in text.split(","):
        name, _, value = part.partition(":")
        load[LOADS.get(name, name)] = _number(value)
    return load


ENDINGS = {"S": "done", "E": "error", "F": "full", "T": "timed out", "C": "unreachable", "R": "reset",
           "X": "cancelled", "N": "not sent", "half_done": "read"}
PHASES = {"healthy": "up", "cordoned": "draining", "deregistered": "gone"}
SCOPES = {"D": "changes", "F": "whole", "C": "first", "X": "failed"}


def _ending(text):
    return ENDINGS[text]


# wire message -> (call of the module, decoders of its values)
EVENTS = {
    "request": ("arrived", (_whole, _word, _opt_word, _opt_word, _whole, _opt_whole, _opt_word, _opt_number,
                            _opt_number, _opt_number, _opt_whole)),
    "head_received": ("first_token", (_whole, _whole, _word, _whole)),
    "booking": ("place", (_whole, _whole, _word, _whole, _opt_number)),
    "response": ("outcome", (_whole, _whole, _ending, _word, _opt_whole, _flag, _opt_whole, _load)),
    "abandoned": ("gone", (_whole,)),
    "fired": ("timer", (_whole,)),
    "probed": ("probed", (_ending, _opt_whole, _word, _load)),
    "datagram": ("message", (_whole, _word)),
}
ROW = (lambda text: PHASES[text], _opt_number, _word, _word, _whole, _word, _opt_whole)


def decode(name, parts):
    """The values of one event after its instance, as (call, arguments)."""
    call, kinds = EVENTS[name]
    return call, tuple(values(name, kinds, parts))


def values(name, kinds, parts):
    if len(parts) != len(kinds):
        raise BadLine("%s has %d values where %d belong" % (name, len(parts), len(kinds)))
    try:
        return [kind(part) for kind, part in zip(kinds, parts)]
    except (ValueError, KeyError) as why:
        raise BadLine("%s has an unreadable value: %s" % (name, why))


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
    for kind in (int, _number):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def settings(parts):
    """The settings of an `up` line as a plain map in our words."""
    told = {ours: [] for ours in ITEMS.values()}
    for part in parts:
        path, sign, text = part.partition("=")
        if not sign:
            raise BadLine("up has a setting without a value: %s" % path)
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


class Writer:
    """What the module writes its decisions into; collects reply lines of one instance."""

    def __init__(self, front, lines):
        self.front, self.lines = front, lines

    def _put(self, *parts):
        self.lines.append(" ".join(map(str, (parts[0], self.front) + parts[1:])))

    def forward(self, req, engine, time_out):
        self._put("attempt", req, engine, time_out)

    def push_back(self, req, return_after):
        self._put("turn_away", req, return_after)

    def abort(self, req):
        self._put("fail", req)

    def cancel(self, req, forward):
        self._put("retract", req, forward)

    def let_go(self, req):
        self._put("let_go", req)

    def hold_ahead(self, req, engine):
        self._put("earmark", req, engine)

    def probe(self, engine):
        self._put("test", engine)

    def move(self, req):
        self._put("reassign", req)

    def wake(self, mark, after):
        self._put("remind", mark, after)

    def subscribe(self):
        self._put("observe", 1)

    def fetch_list(self):
        self._put("pull")

    def log(self, text):
        self._put("log", " ".join(str(text).split()))

    def crash(self, text):
        self._put("crash", " ".join(str(text).split()))
