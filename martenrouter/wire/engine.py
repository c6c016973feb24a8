"""What a front and an engine say to each other.

Published shapes: chat completions with server-sent events (OpenAI's API reference, "Chat Completions"; SSE by
the WHATWG HTML standard, section 9.2), `kv_transfer_params` as engines with split reading and writing publish
it (`do_remote_decode` on the read, `do_remote_prefill` and the rest handed on to the write), load as the ORCA
header `endpoint-load-metrics`. This project's own beyond them, marked OWN: the path that lets a state go, and
the header that proves that nothing ran.
"""

import msgspec

from martenrouter.wire import http

GENERATE = "/v1/chat/completions"
LET_GO = "/v1/kv/release"  # OWN: {"request_id": the read's X-Request-Id}; 200 let go, 404 none held
NOT_RUN = "x-not-run"  # OWN: 1 says that the engine refused before it ran anything

# status -> (ending in the module's words, note, whether it proves by itself that nothing ran). A 503 may come
# from something on the way after the engine ran, so it proves only with the header; 412 is "no state to
# fetch".
STATUS = {429: ("full", 0, True), 412: ("full", 1, True), 503: ("full", 0, False)}


class Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: dict = {}


class ReadAnswer(msgspec.Struct):
    kv_transfer_params: dict
    usage: Usage = Usage()


class Delta(msgspec.Struct, frozen=True):
    content: str | None = None
    tool_calls: list | None = None


class Choice(msgspec.Struct):
    delta: Delta = Delta()
    finish_reason: str | None = None


class Piece(msgspec.Struct):
    """One event of a streamed answer."""

    choices: list[Choice] = []
    usage: Usage | None = None
    kv_transfer_params: dict | None = (
        None  # OWN, with the last piece of a step: its state is kept and can be fetched
    )


class BadAnswer(Exception):
    """An engine's answer that is not of the published shape."""


_read_answer, _piece = msgspec.json.Decoder(ReadAnswer), msgspec.json.Decoder(Piece)
_encode = msgspec.json.Encoder().encode


def ending_of(head):
    """(ending, note) of a status that is not 200: what it proves decides whether it may be tried again."""
    ending, note, proves = STATUS.get(head.status, ("error", 0, False))
    if ending == "full" and not proves and head.headers.get(NOT_RUN) != "1":
        return "error", 0
    return ending, note


def _call(host, forward_id, trace, body):
    return http.request(
        "POST",
        GENERATE,
        host,
        (("content-type", "application/json"), ("x-request-id", forward_id), ("traceparent", trace)),
        _encode(body),
    )


def read(host, forward_id, trace, model, messages, tools=None, goes_on=False):
    """The call that has a prompt read and its state kept: one token at most, no stream."""
    body = {
        "model": model,
        "messages": messages,
        "max_tokens": 1,
        "stream": False,
        "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
    }
    if tools:
        body["tools"] = tools
    if goes_on:
        body["continue_final_message"], body["add_generation_prompt"] = True, False
    return _call(host, forward_id, trace, body)


def write(host, forward_id, trace, model, messages, max_tokens, state, key=None, tools=None, goes_on=False):
    """The call that has an answer written; `state`: the read's parameters, None where the engine reads by
    itself.
    `goes_on`: the last message is the answer so far (`continue_final_message`, as engines publish it)."""
    body = {
        "model": model,
        "messages": messages,
        "max_tokens": max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    if state is not None:
        body["kv_transfer_params"] = state
    if key is not None:
        body["idempotency_key"] = key  # OWN: what a keyed group's engines know a repeat by
    if tools:
        body["tools"] = tools
        body["keep_state"] = True  # OWN: a step that ends with tool calls keeps its state until it is let go
    if goes_on:
        body["continue_final_message"], body["add_generation_prompt"] = True, False
    return _call(host, forward_id, trace, body)


def let_go(host, forward_id, trace):
    return http.request(
        "POST",
        LET_GO,
        host,
        (("content-type", "application/json"), ("traceparent", trace)),
        _encode({"request_id": forward_id}),
    )


def read_answer(body):
    """The whole body of a read's answer. Raises BadAnswer."""
    try:
        return _read_answer.decode(body)
    except msgspec.MsgspecError as why:
        raise BadAnswer("read answer: %s" % why) from why


EVENT_LIMIT = 256 * 1024  # bytes of one event: a token is some bytes, tool arguments are far under this


class Events:
    """Server-sent events, a piece each; `[DONE]` comes as None."""

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Pieces complete by now. Raises BadAnswer on what is no event, or one without an end."""
        *blocks, self._rest = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        if len(self._rest) > EVENT_LIMIT:
            raise BadAnswer("an event over %d bytes" % EVENT_LIMIT)
        pieces = []
        for block in blocks:
            told = [line[5:].lstrip(b" ") for line in block.split(b"\n") if line.startswith(b"data:")]
            if not told:
                continue  # a comment or another field
            text = b"\n".join(told)
            if text == b"[DONE]":
                pieces.append(None)
                continue
            try:
                pieces.append(_piece.decode(text))
            except msgspec.MsgspecError as why:
                raise BadAnswer("event: %s" % why) from why
        return pieces


LOADS = {"inflight": "reqs_held", "kv_cache_usage": "memory_share", "waiting": "reqs_queued"}


def load_of(headers):
    """The load report of an answer's head in the module's words, None without one or with an unreadable one.

    ORCA (xDS, `OrcaLoadReport`): the header's value is `JSON {…}` or `TEXT name=value,…`; what an engine
    measures by its own names stands under `named_metrics`.
    """
    form, _, told = headers.get("endpoint-load-metrics", "").partition(" ")
    try:
        if form == "JSON":
            report = msgspec.json.decode(told)
            named = report.get("named_metrics") or {}
            values = {LOADS[name]: float(value) for name, value in named.items() if name in LOADS}
            if "cpu_utilization" in report:
                values["share_busy"] = float(report["cpu_utilization"])
        elif form == "TEXT":
            pairs = (pair.partition("=") for pair in told.split(","))
            named = {name.strip().removeprefix("named_metrics."): float(value) for name, _, value in pairs}
            values = {LOADS[name]: value for name, value in named.items() if name in LOADS}
        else:
            return None
    except (msgspec.MsgspecError, ValueError, TypeError, AttributeError):
        return None
    return values if all(0 <= value < 1e9 for value in values.values()) and values else None


def load_header(memory_share, inflight, waiting):
    """The header an engine sends, as a pair."""
    told = {
        "named_metrics": {"kv_cache_usage": round(memory_share, 4), "inflight": inflight, "waiting": waiting}
    }
    return "endpoint-load-metrics", "JSON " + _encode(told).decode()
