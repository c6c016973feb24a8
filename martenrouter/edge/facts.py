"""What the edge knows for certain: open conversations, their forwards, tool calls, what is held where, what
was answered.

A `Req` is the one record of an open `generate`: the answer so far, calls and results, forwards, what is held,
deadline, who listens. A planner in another process is rebuilt from these.
"""

from martenrouter.decisions.conversations import leg_id


class Req:
    __slots__ = (
        "id",
        "trace",
        "group",
        "customer",
        "session",
        "key",
        "key_at",
        "digest",
        "deadline",
        "arrived",
        "messages",
        "size",
        "body",
        "goes_on",
        "tools",
        "repeatable",
        "max_tokens",
        "leg",
        "used",
        "forwards",
        "owner",
        "held",
        "texts",
        "step",
        "step_texts",
        "step_calls",
        "calls",
        "listeners",
        "left_at",
        "answered",
        "swamped",
        "usage",
        "finish",
        "told",
        "conn_id",
        "leg_at",
        "since",
        "reader",
        "effect",
        "rewrites",
        "paused",
        "prompt_tokens",
    )

    def __init__(self, id, arrived):
        self.id, self.arrived = id, arrived
        self.leg, self.used = 0, 0  # the leg that is on, and how many forwards it has had
        self.forwards = {}  # (leg id, n) -> Forward, while out
        self.owner = None  # the forward whose tokens the client gets: the first of the leg that began
        self.held = None  # Held: a state that waits at an engine
        self.texts = []  # tokens relayed, all legs
        self.step, self.step_texts, self.step_calls = 0, [], []
        self.calls = {}  # identity -> ToolCall, all steps
        self.listeners, self.left_at = [], None
        self.answered = self.swamped = self.goes_on = False
        self.usage, self.finish, self.prompt_tokens = [0, 0], None, 0
        # what a decider is rebuilt from: `arrived` as it was posted, since when this leg, since when what is
        # held waits, where its state was read or kept, the first forward of the leg that may have run (n,
        # engine, sent)
        self.told, self.conn_id, self.leg_at, self.since = None, 0, arrived, arrived
        self.reader, self.effect, self.rewrites, self.paused = None, None, 0, False

    @property
    def leg_id(self):
        return leg_id(self.id, self.leg)


class Listener:
    """A connection that gets this req's tokens and its final answer, under its own JSON-RPC id."""

    __slots__ = ("conn", "rpc_id", "index", "stuck")

    def __init__(self, conn, rpc_id, index):
        self.conn, self.rpc_id, self.index, self.stuck = conn, rpc_id, index, False


class ToolCall:
    __slots__ = (
        "identity",
        "rpc_id",
        "whole",
        "result",
        "failed",
        "conn",
        "step",
        "wanted",
        "sent_at",
        "dropped",
    )

    def __init__(self, identity, rpc_id, whole, step):
        self.identity, self.rpc_id, self.whole, self.step = identity, rpc_id, whole, step
        self.result, self.failed, self.conn, self.wanted, self.sent_at = None, False, None, False, 0
        self.dropped = False  # written anew, the step asks for something else in its place


class Held:
    __slots__ = ("engine", "forward_id", "state")

    def __init__(self, engine, forward_id, state):
        self.engine, self.forward_id, self.state = engine, forward_id, state


class Forward:
    __slots__ = (
        "req",
        "leg",
        "n",
        "id",
        "engine",
        "role",
        "time_out",
        "sent",
        "began",
        "over",
        "greenlet",
        "load",
        "state",
        "joiner",
        "kept",
        "usage",
        "finish",
    )

    def __init__(self, req, leg, n, id, engine, role, time_out, sent, joiner):
        self.req, self.leg, self.n, self.id, self.engine, self.role = req, leg, n, id, engine, role
        self.time_out, self.sent, self.joiner = time_out, sent, joiner
        self.began = self.over = False
        self.greenlet = self.load = self.state = self.kept = self.usage = self.finish = None


class KeptAnswer:
    """A final answer that a repeat of its key gets again."""

    __slots__ = ("digest", "texts", "final", "until")

    def __init__(self, digest, texts, final, until):
        self.digest, self.texts, self.final, self.until = digest, texts, final, until
