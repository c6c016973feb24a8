"""A client's req as the platform's clients send it: a chat completion with a few headers of the platform's
own."""

import re

import msgspec

from martenrouter.wire.platform.messages import BODY_LIMIT

PATH = "/v1/chat/completions"
ID = re.compile(
    r"[0-9A-Za-z_.-]{1,64}\Z"
)  # ids are 16 hex digits; all that is safe in a path and a head is passed on
TIMEOUT_LIMIT = 86_400_000  # ms: a day; more is no wait that a client means
CHARACTERS = 4  # make a token, by the protocol's page
# What a proxy takes out of a head (RFC 9110, 7.6.1) besides what the connection's own names, and what it says
# itself; all else is the client's word to whoever serves it, such as the key by which a repeat is known
NOT_PASSED_ON = frozenset(
    "connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade "
    "expect host content-length x-timeout-ms accept-encoding".split()
)  # the last: its events are read here
# Heads that are the client's word to whoever serves it: a connection option of their name does not take them
# out
END_TO_END = frozenset(
    "x-request-id x-priority-class x-route-key x-attrs x-cost x-retried x-tenant-id content-type "
    "authorization idempotency-key "
    "cache-control".split()
)
PASSED_ON_LIMIT = 8 * 1024  # bytes of head lines passed on: servers in the field take 8 KiB and more
HINTED, REPEAT, REST = (
    1,
    2,
    16,
)  # bits that the module gets: a hint is there, a client's repeat, asks for the rest


class BadAsk(Exception):
    """A req that is answered with `status` at once; says what is wrong with it."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Ask:
    """One req. `timeout`, `hint` in microseconds; `hint`, `prefix`, `session`, `customer` may be None;
    lengths in tokens; `headers`: pairs to pass on."""

    __slots__ = (
        "id",
        "group",
        "customer",
        "session",
        "timeout",
        "hint",
        "prefix",
        "prompt",
        "shared",
        "max_out",
        "flags",
        "target",
        "headers",
        "body",
    )


class _Body(msgspec.Struct):
    messages: list[msgspec.Raw]
    max_tokens: int | None = None


_body = msgspec.json.Decoder(_Body)


def _whole(text, name, most):
    if not (text.isascii() and text.isdigit() and len(text) <= 12) or int(text) > most:
        raise BadAsk(400, "%s is not a whole number from 0 to %d: %r" % (name, most, text[:40]))
    return int(text)


def check_head(head, groups):
    """What a head alone shows to be wrong, before its body has come. Raises BadAsk. `groups`: names that
    exist."""
    path = head.path.partition("?")[0]
    if path != PATH:
        raise BadAsk(404, "there is nothing at %s; reqs go to %s" % (path[:60], PATH))
    if head.method != "POST":
        raise BadAsk(405, "%s takes POST" % PATH)
    if head.version != "1.1":
        raise BadAsk(505, "HTTP/1.1 is spoken here")
    told = head.headers.get("content-length")
    if told is not None and int(told) > BODY_LIMIT:
        raise BadAsk(413, "a body of %s bytes; %d are taken" % (told[:20], BODY_LIMIT))
    if not ID.match(head.headers.get("x-request-id", "")):
        raise BadAsk(400, "X-Request-ID is missing or not of its form")
    if name_of(head, "x-priority-class", groups) not in groups:
        raise BadAsk(
            400, "X-Priority-Class names no class: %r" % head.headers.get("x-priority-class", "")[:40]
        )
    _whole(head.headers.get("x-timeout-ms", ""), "X-Timeout-Ms", TIMEOUT_LIMIT)
    if sum(len(name) + len(value) + 4 for name, value in passed_on(head)) > PASSED_ON_LIMIT:
        raise BadAsk(431, "head lines over %d bytes" % PASSED_ON_LIMIT)


def passed_on(head):
    """Pairs of the head lines that go to an engine as they came."""
    named = {name.strip().lower() for name in head.headers.get("connection", "").split(",")}
    left_out = NOT_PASSED_ON | (named - END_TO_END)
    return [pair for pair in head.headers.items() if pair[0] not in left_out]


def name_of(head, line, known):
    """What a head line names, of the names that the settings know: they may stand there in UTF-8 or in ISO
    8859-1."""
    told = head.headers.get(line)
    if told in known or told is None or told.isascii():
        return told
    try:
        return told.encode("latin-1").decode()
    except UnicodeDecodeError:
        return told


def ask(head, body, groups=(), customers=()):
    """Ask of a head that check_head passed, and its body; `groups`, `customers`: names that the settings
    know. Raises BadAsk."""
    get = head.headers.get
    try:
        told = _body.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise BadAsk(400, "the body is not a chat completion: %s" % why)
    a = Ask()
    a.id, a.session = get("x-request-id"), get("x-route-key") or None
    a.group, a.customer = (
        name_of(head, "x-priority-class", groups),
        name_of(head, "x-tenant-id", customers) or None,
    )
    a.target, a.headers, a.body = head.path, passed_on(head), body
    a.timeout = int(get("x-timeout-ms")) * 1000
    extras = dict(part.strip().partition("=")[::2] for part in get("x-attrs", "").split(",") if part.strip())
    a.prefix = extras.get("prefix") or None
    a.prompt = _whole(extras.get("prompt_len") or str(len(body) // CHARACTERS), "prompt_len", BODY_LIMIT)
    a.shared = _whole(extras.get("prefix_len") or "0", "prefix_len", BODY_LIMIT)
    a.max_out = _whole(extras.get("max_out") or str(max(told.max_tokens or 256, 0)), "max_out", BODY_LIMIT)
    cost = get("x-cost")
    a.hint = _whole(cost, "X-Cost", 10**12 - 1) if cost else None
    repeat = get("x-retried")
    a.flags = (
        (HINTED if a.hint is not None else 0) | (REPEAT if repeat else 0) | (REST if repeat == "again" else 0)
    )
    return a
