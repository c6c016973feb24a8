"""What goes to engines and what comes back: one table of endings in the module's words, load reports, calls
to let go."""

import msgspec

from martenrouter.wire import http

# status -> (ending, note) of an answer that is no stream. Endings that prove that nothing ran need the
# platform's mark; without it a status proves nothing and is an error. What never came is not here: see
# node/engines.py.
NEVER_RAN = {503: ("full", 0), 504: ("full", 0), 410: ("full", 1)}
READ = 202

# fields by the protocol page's names and by those that settings may use for them
LOADS = {
    "outstanding": "reqs_held",
    "backlog": "reqs_queued",
    "utilization": "share_busy",
    "recent_ms": "recent_ms",
    "throughput": "done_per_s",
    "errors_per_s": "errors_per_s",
    "inflight": "reqs_held",
    "queue": "reqs_queued",
    "util": "share_busy",
    "latency_ms": "recent_ms",
    "qps": "done_per_s",
    "eps": "errors_per_s",
    "x0": "memory_share",
    "x1": "tokens_waiting",
}
LOAD = "x-server-load"


class _Read(msgspec.Struct):
    cached_tokens: int = 0


_read = msgspec.json.Decoder(_Read)


JOINED = 16 * 1024  # bytes of a body that go out in one piece with the head; a larger one is not copied


def request_parts(ask, host, patience):
    """The req as an engine gets it, as pieces of bytes; `patience`: microseconds that the node will wait."""
    typed = (
        ()
        if any(name == "content-type" for name, _ in ask.headers)
        else (("content-type", "application/json"),)
    )
    headers = (*ask.headers, *typed, ("x-timeout-ms", max(patience // 1000, 1)))
    head = http.request_head("POST", ask.target, host, headers, len(ask.body))
    return (head + ask.body,) if len(ask.body) <= JOINED else (head, ask.body)


def let_go(id, host):
    """Lets go of all that is held for the req, at whichever engine; as bytes."""
    return http.request("DELETE", "/internal/reservations/" + id, host, ())


def ending(head, body):
    """(ending, note) of a whole answer that is no stream."""
    if head.status == READ:
        try:
            return "read", max(_read.decode(body).cached_tokens, 0)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return "read", 0  # the state waits there all the same
    if head.headers.get("x-not-processed") == "1" and head.status in NEVER_RAN:
        return NEVER_RAN[head.status]
    return "error", 0


def load(text):
    """A load report as a map in our words; None when it can't be read, as if none had come."""
    told = {}
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            return None
        if not 0 <= number < 1e9:  # also not a number: no report of the settings' fields lies there
            return None
        told[LOADS.get(name, name)] = number
    return told or None
