"""The client door's messages: JSON-RPC 2.0 (jsonrpc.org/specification) in frames of text.

`parse` gives what a frame holds: calls, answers to the front's own requests, and errors to send back. Codes
below -32000 are the specification's; -32001 and -32002 are this project's: pushed back and aborted.
"""

import msgspec

PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
PUSHED_BACK, ABORTED = -32001, -32002
BATCH_LIMIT = 64  # calls in one array: pings and cancels of a client's open reqs fit

_encode = msgspec.json.Encoder().encode


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    role: str
    content: str | None = None
    tool_calls: list[dict] | None = None
    tool_call_id: str | None = None


class Generate(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Params of `generate`. Times in milliseconds from the front's receipt, lengths in tokens."""

    messages: list[Message] | None = None
    prompt: str | None = None  # short for one user message
    group: str | None = None  # endpoint group; without it the first of the settings
    customer: str | None = None
    session: str | None = None
    max_tokens: int | None = None
    deadline_ms: float | None = None  # the final answer is out by then
    expected_tokens: int | None = None  # a rough hint of the answer's length
    key: str | None = None  # idempotency key
    trace: str | None = None  # W3C traceparent, handed on to engines
    tools: list[dict] | None = None
    from_index: int | None = None  # where a repeat of an open or finished call wants its tokens from


class Call:
    __slots__ = ("id", "method", "params", "told_id")

    def __init__(self, id, method, params, told_id):
        self.id, self.method, self.params, self.told_id = id, method, params, told_id


class Answer:
    """A client's response to a request of the front's (tools/call)."""

    __slots__ = ("id", "result", "error")

    def __init__(self, id, result, error):
        self.id, self.result, self.error = id, result, error


class Wrong:
    """What is no message; `bytes` go back as they are."""

    __slots__ = ("bytes",)

    def __init__(self, bytes):
        self.bytes = bytes


def parse(frame):
    """(items, batched): the frame's calls, answers and wrongs, and whether they came as an array."""
    try:
        told = msgspec.json.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as why:
        return [Wrong(error(None, PARSE, "not JSON: %s" % why))], False
    if not isinstance(told, list):
        return [_item(told)], False
    if not told:
        return [Wrong(error(None, INVALID, "an empty array holds no call"))], False
    if len(told) > BATCH_LIMIT:
        return [
            Wrong(error(None, INVALID, "an array of %d calls; %d is the most" % (len(told), BATCH_LIMIT)))
        ], False
    return [_item(one) for one in told], True


def _item(told):
    if not isinstance(told, dict):
        return Wrong(error(None, INVALID, "a call is an object, not %s" % type(told).__name__))
    id = told.get("id")
    if not (id is None or isinstance(id, (str, int, float)) and not isinstance(id, bool)):
        return Wrong(error(None, INVALID, "id is a string or a number"))
    if told.get("jsonrpc") != "2.0":
        return Wrong(error(id, INVALID, 'jsonrpc is "2.0"'))
    if "method" not in told and ("result" in told or "error" in told):
        return Answer(id, told.get("result"), told.get("error"))
    if not isinstance(told.get("method"), str):
        return Wrong(error(id, INVALID, "method is a string"))
    if not isinstance(told.get("params", {}), (dict, list)):
        return Wrong(error(id, INVALID, "params is an object or an array"))
    return Call(id, told["method"], told.get("params", {}), "id" in told)


class BadParams(Exception):
    """Params that don't fit; the text names the place."""


def generate(params):
    """Params of `generate`, checked. Raises BadParams."""
    try:
        told = msgspec.convert(params, Generate)
    except msgspec.ValidationError as why:
        raise BadParams(str(why).replace("`$", "`params")) from why
    if (told.messages is None) == (told.prompt is None):
        raise BadParams("params: one of `messages` and `prompt` is needed, not both")
    if told.messages is not None and not told.messages:
        raise BadParams("params.messages: is empty")
    for name, low, high in (
        ("max_tokens", 1, 1_000_000),
        ("deadline_ms", None, 86_400_000),
        ("expected_tokens", 0, 1_000_000),
        ("from_index", 0, 1_000_000),
    ):
        value = getattr(told, name)
        if value is not None and (value != value or low is not None and value < low or value > high):
            raise BadParams(
                "params.%s: %s is not within %s to %s"
                % (name, value, "any past" if low is None else low, high)
            )
    for name in ("session", "customer", "key", "group"):
        value = getattr(told, name)
        if value is not None and not 0 < len(value) <= 256:
            raise BadParams("params.%s: 1 to 256 characters" % name)
    if told.trace is not None and not _is_trace(told.trace):
        raise BadParams("params.trace: a W3C traceparent is 00-<32 hex>-<16 hex>-<2 hex>")
    return told


def _is_trace(text):
    parts = text.split("-")
    return [len(part) for part in parts] == [2, 32, 16, 2] and all(c in "0123456789abcdef-" for c in text)


def cancelled_id(params):
    """The id that `$/cancel` names (as in the Language Server Protocol's cancelRequest). Raises BadParams."""
    if not isinstance(params, dict) or "id" not in params or isinstance(params["id"], (dict, list, bool)):
        raise BadParams("params.id: the id of the open call")
    return params["id"]


def result(id, value):
    return _encode({"jsonrpc": "2.0", "id": id, "result": value})


def error(id, code, message, data=None):
    told = {"code": code, "message": message}
    if data is not None:
        told["data"] = data
    return _encode({"jsonrpc": "2.0", "id": id, "error": told})


def call(method, params, id=None):
    """A request, or without `id` a notification."""
    told = {"jsonrpc": "2.0", "method": method, "params": params}
    if id is not None:
        told["id"] = id
    return _encode(told)


def array(messages):
    """Encoded messages as one batch."""
    return b"[" + b",".join(messages) + b"]"


def pushed_back(id, reason, return_after, req):
    """`return_after`: microseconds, 0 for no advice."""
    data = {"ending": "pushed back", "reason": reason, "retry": "harmless", "req": req}
    if return_after:
        data["return_after_ms"] = return_after / 1000
    return error(id, PUSHED_BACK, "pushed back: " + reason, data)


def aborted(id, reason, req):
    return error(id, ABORTED, "aborted: " + reason, {"ending": "aborted", "reason": reason, "req": req})
