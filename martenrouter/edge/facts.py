"""What the edge knows for certain: open reqs, their forwards, what is held where, what was answered."""


class Req:
    __slots__ = ("id", "conn", "rpc_id", "trace", "messages", "size", "group", "customer", "session", "key", "tools",
                 "max_tokens", "arrived", "deadline", "forwards", "used", "held", "owner", "index", "answered",
                 "swamped", "usage", "finish")

    def __init__(self, id, conn, rpc_id, arrived):
        self.id, self.conn, self.rpc_id, self.arrived = id, conn, rpc_id, arrived
        self.forwards = {}       # n -> Forward, while out
        self.used = 0
        self.held = None         # Held: a read state that waits at its reader
        self.owner = None        # the forward whose tokens the client gets: the first that began
        self.index = 0           # tokens relayed
        self.answered = self.swamped = False
        self.usage = self.finish = None


class Held:
    __slots__ = ("engine", "forward_id", "state")

    def __init__(self, engine, forward_id, state):
        self.engine, self.forward_id, self.state = engine, forward_id, state


class Forward:
    __slots__ = ("req", "n", "id", "engine", "role", "time_out", "sent", "began", "over", "greenlet", "load", "state")

    def __init__(self, req, n, id, engine, role, time_out, sent):
        self.req, self.n, self.id, self.engine, self.role = req, n, id, engine, role
        self.time_out, self.sent = time_out, sent
        self.began = self.over = False
        self.greenlet = self.load = self.state = None
