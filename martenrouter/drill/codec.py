"""The simulator's text wire: lines in, calls of the decision module out, and back. Renames, decides
nothing."""

from martenrouter.settings import told
from martenrouter.settings.told import number


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


def _opt_number(text):
    return 0.0 if text == "-" else number(text)


def _flag(text):
    if text not in ("0", "1", "-"):
        raise ValueError("not 0 or 1")
    return text == "1"


LOADS = {
    "outstanding": "reqs_held",
    "backlog": "reqs_queued",
    "utilization": "share_busy",
    "recent_ms": "recent_ms",
    "throughput": "done_per_s",
    "errors_per_s": "errors_per_s",
    "x0": "memory_share",
    "x1": "tokens_waiting",
}


def _load(text):
    if text == "-":
        return None
    load = {}
    for part in text.split(","):
        name, _, value = part.partition(":")
        load[LOADS.get(name, name)] = number(value)
    return load


ENDINGS = {
    "S": "done",
    "E": "error",
    "F": "full",
    "T": "timed out",
    "C": "unreachable",
    "R": "reset",
    "X": "cancelled",
    "N": "not sent",
    "half_done": "read",
}
PHASES = {"healthy": "up", "cordoned": "draining", "deregistered": "gone"}
SCOPES = {"D": "changes", "F": "whole", "C": "first", "X": "failed"}


def _ending(text):
    return ENDINGS[text]


# wire message -> (call of the module, decoders of its values)
EVENTS = {
    "request": (
        "arrived",
        (
            _whole,
            _word,
            _opt_word,
            _opt_word,
            _whole,
            _opt_whole,
            _opt_word,
            _opt_number,
            _opt_number,
            _opt_number,
            _opt_whole,
        ),
    ),
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


def settings(parts):
    """The settings of an `up` line as a plain map in our words."""
    try:
        return told.from_pairs(parts)
    except told.Unreadable as why:
        raise BadLine(str(why))


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
