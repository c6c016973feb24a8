"""Tool calls: chat-completions deltas on the engines' side, the Model Context Protocol's `tools/call` on the
clients'.

Engines stream a call in pieces (OpenAI's API reference, chat completion chunks: `delta.tool_calls` with
index, id, function.name, function.arguments to be joined). Clients get a JSON-RPC request `tools/call` (MCP
specification, "Tools": params name and arguments; result content and isError); `_meta` carries what this
project adds.
"""

import msgspec

from martenrouter.wire import jsonrpc
from martenrouter.wire.engine import BadAnswer

MOST_CALLS = 16  # in one step


class Tool(msgspec.Struct, forbid_unknown_fields=True):
    """A tool as a client names it; `repeatable` is this project's own: calling it twice changes nothing."""

    name: str
    description: str = ""
    inputSchema: dict = {}
    repeatable: bool = False


def tools(told):
    """The list of a `generate`. Raises jsonrpc.BadParams."""
    try:
        found = msgspec.convert(told, list[Tool])
    except msgspec.ValidationError as why:
        raise jsonrpc.BadParams(str(why).replace("`$", "`params.tools")) from why
    names = [tool.name for tool in found]
    if len(set(names)) != len(names) or not all(0 < len(name) <= 128 for name in names):
        raise jsonrpc.BadParams("params.tools: names are 1 to 128 characters, each once")
    return found


def for_engine(found):
    return [
        {
            "type": "function",
            "function": {"name": tool.name, "description": tool.description, "parameters": tool.inputSchema},
        }
        for tool in found
    ]


class Whole:
    """One call, complete: its place in the step, the engine's id, name, arguments as text and as a value."""

    __slots__ = ("index", "id", "name", "text", "arguments")

    def __init__(self, index, id, name, text, arguments):
        self.index, self.id, self.name, self.text, self.arguments = index, id, name, text, arguments


class Joiner:
    """Joins the pieces of one step's calls. Raises BadAnswer on what can't be a call."""

    def __init__(self, limit):
        self.limit, self._open, self._size, self.whole = limit, None, 0, []

    def feed(self, deltas):
        """Calls that are complete by now: a call is, once the next begins."""
        done = []
        for delta in deltas:
            if not isinstance(delta, dict) or not isinstance(delta.get("index"), int):
                raise BadAnswer("a tool call's piece without an index")
            function = delta.get("function") or {}
            text, name = function.get("arguments") or "", function.get("name")
            if not isinstance(text, str) or not isinstance(name, (str, type(None))):
                raise BadAnswer("a tool call's piece with name or arguments that are no text")
            if self._open is None or delta["index"] != self._open[0]:
                if delta["index"] != len(self.whole) + (self._open is not None) or not name:
                    raise BadAnswer("tool call %r begins out of order or without a name" % delta["index"])
                done += self.finish()
                if delta["index"] >= MOST_CALLS:
                    raise BadAnswer("more than %d tool calls in a step" % MOST_CALLS)
                self._open, self._size = (
                    [delta["index"], delta.get("id") or "call_%d" % delta["index"], name, []],
                    0,
                )
            self._size += len(text)
            if self._size > self.limit:
                raise BadAnswer("tool arguments over %d bytes" % self.limit)
            self._open[3].append(text)
        return done

    def finish(self):
        """The call that is still open, at the end of its step."""
        if self._open is None:
            return []
        (index, id, name, parts), self._open = self._open, None
        text = "".join(parts).strip()  # padding says nothing, and would be read with every leg that follows
        try:
            arguments = msgspec.json.decode(text or "{}")
        except (msgspec.MsgspecError, RecursionError) as why:
            raise BadAnswer("arguments of tool %s are not JSON: %s" % (name, why)) from why
        if not isinstance(arguments, dict):
            raise BadAnswer("arguments of tool %s are no object" % name)
        call = Whole(index, id, name, text, arguments)
        self.whole.append(call)
        return [call]


def call(rpc_id, generate_id, identity, whole, again):
    """The request to the client. `identity` is the same whenever the same call is sent: a client runs it
    once."""
    meta = {"generate": generate_id, "call": identity}
    if again:
        meta["again"] = True
    return jsonrpc.call(
        "tools/call", {"name": whole.name, "arguments": whole.arguments, "_meta": meta}, rpc_id
    )


def failed(generate_id, identity, reason):
    """Tells the client that a call counts as failed; its answer is no longer waited for."""
    return jsonrpc.call("tools/failed", {"id": generate_id, "call": identity, "reason": reason})


def result_text(answer):
    """What the engine is told of a client's answer: the text of a result, or that it failed."""
    if answer.error is not None:
        message = answer.error.get("message") if isinstance(answer.error, dict) else None
        return "error: %s" % (message or "the tool failed")
    result = answer.result
    if not isinstance(result, dict) or not isinstance(result.get("content", []), list):
        return "error: the tool answered in no known shape"
    parts = [
        part.get("text", "")
        if isinstance(part, dict) and part.get("type") == "text"
        else msgspec.json.encode(part).decode()
        for part in result.get("content", [])
    ]
    text = "\n".join(part for part in parts if isinstance(part, str))
    return "error: " + text if result.get("isError") else text
