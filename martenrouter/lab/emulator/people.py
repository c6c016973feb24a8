"""Clients in virtual time: what standins/clients.py does with greenlets, told as events. The same draws, the
same records."""

import msgspec

from martenrouter.lab.emulator.engines import HOP
from martenrouter.standins.arrivals import Arrivals, params, tool_run, trace_of
from martenrouter.wire import jsonrpc

_decode = msgspec.json.Decoder().decode
ENDINGS = {jsonrpc.PUSHED_BACK: "pushed back", jsonrpc.ABORTED: "aborted"}


class Link:
    """A client's end of a connection to a front."""

    def __init__(self, people, front, own):
        people.conns += 1
        self.people, self.front, self.id, self.own, self.open = people, front, people.conns, own, True
        self.asks, self.last = {}, 0  # open calls of generate by id
        self.traces = {}
        self.conn = front.connect(self.came)

    def send(self, method, *arguments):
        queue = self.people.queue
        queue.at(queue.now + HOP, self.front.heard, self.conn, method, *arguments)

    def came(self, data):
        if self.open:
            self.people.heard(self, data)

    def close(self):
        if self.open:
            self.open = False
            self.send("close")


class Ask:
    """One arrival with all its tries."""

    __slots__ = (
        "arrival",
        "group",
        "deadline",
        "attempt",
        "front",
        "trace",
        "link",
        "id",
        "texts",
        "params",
        "answered",
        "began",
        "first",
    )

    def __init__(self, arrival, group, deadline):
        self.arrival, self.group, self.deadline = arrival, group, deadline
        self.attempt, self.front, self.answered = 0, arrival.front, True


class People:
    def __init__(self, world, traffic, groups, rnd, connections=2):
        self.world, self.queue, self.traffic, self.groups = world, world.queue, traffic, groups
        self.arrivals = Arrivals(sorted(world.fronts), traffic, rnd)
        self.connections, self.links, self.count, self.conns = connections, {}, 0, 0
        self.left, self.ran, self.open = set(), {}, 0
        self.until = 0

    def record(self, ev, **fields):
        self.world.record("clients", ev, **fields)

    def start(self, seconds):
        self.until = self.queue.now + int(seconds * 1e6)
        self._next(self.queue.now)

    def _next(self, due):
        due += int(self.arrivals.gap() * 1e6)
        if due < self.until:
            self.queue.at(due, self._arrive, due)

    def _arrive(self, due):
        arrival = self.arrivals.arrival()
        self._next(due)
        ask = Ask(
            arrival, self.groups[arrival.group], self.traffic.deadline_ms / (10 if arrival.early else 1)
        )
        arrival.session.messages.append({"role": "user", "content": arrival.text})
        self.open += 1
        self._try(ask)

    # ---- one try ----

    def _link(self, name, own):
        front = self.world.fronts[name]
        if not front.alive:
            return None
        key = name, self.count % self.connections
        self.count += 1
        if own:
            return Link(self, front, True)
        link = self.links.get(key)
        if link is None or not link.open:
            link = self.links[key] = Link(self, front, False)
        return link

    def _try(self, ask):
        arrival, leave = ask.arrival, ask.arrival.leave
        ask.trace = trace_of(arrival, ask.attempt)
        link = self._link(ask.front, leave in ("close", "rejoin"))
        if link is None:
            self.record("no_front", front=ask.front, trace=ask.trace, why="refused")
            if leave:
                self.open -= 1
                return
            return self._again(ask, 300_000, 200_000)
        ask.link, ask.texts, ask.answered, ask.began, ask.first = link, [], False, self.queue.now, None
        ask.params = params(arrival, ask.group, ask.trace, self.traffic, ask.deadline)
        link.last += 1
        ask.id = link.last
        link.asks[ask.id], link.traces[ask.id] = ask, ask.trace
        self.record(
            "req_out",
            trace=ask.trace,
            front=ask.front,
            conn=link.id,
            id=ask.id,
            group=ask.group["name"],
            deadline_ms=ask.deadline,
            messages=ask.params["messages"],
            max_tokens=ask.params["max_tokens"],
            tools=self.traffic.tools,
        )
        self.world.asked(ask)
        link.send("generate", ask.id, ask.params)
        if leave:
            self.queue.at(self.queue.now + int(arrival.after * 1e6), self._leave, ask, ask.trace)
        self.queue.at(self.queue.now + int(ask.deadline * 1000) + 5_000_000, self._unanswered, ask, ask.trace)

    def _unanswered(self, ask, trace):
        if ask.trace == trace and not ask.answered:
            self.record("unanswered", trace=trace, front=ask.front)
            self._ended(ask, None)

    def _leave(self, ask, trace):
        if ask.trace != trace or ask.answered:
            return
        leave = ask.arrival.leave
        self.left.add(trace)
        if leave != "rejoin":
            self.record("left", trace=trace, how=leave)
        if leave == "cancel":
            ask.link.send("cancelled", ask.id)
            return
        link, ask.link = ask.link, None
        link.close()
        if leave == "rejoin":
            self._rejoin(ask)
        else:
            self._ended(ask, None)

    def _rejoin(self, ask):
        self.left.discard(ask.trace)
        link = self._link(ask.front, True)
        if link is None:
            self.record("conn_lost", trace=ask.trace, front=ask.front, conn=0, why="refused")
            return self._ended(ask, None)
        ask.link, ask.id = link, 1
        link.last = 1
        link.asks[1], link.traces[1] = ask, ask.trace
        self.record("rejoined", trace=ask.trace, conn=link.id, index=len(ask.texts))
        link.send("generate", 1, {**ask.params, "from_index": len(ask.texts)})

    def _ended(self, ask, answer):
        """`answer`: the final message, None when there is none."""
        ask.answered = True
        self.world.answered(ask, answer)
        if ask.link is not None:
            ask.link.asks.pop(ask.id, None)
            if ask.link.own:
                ask.link.close()
        if answer is not None and "result" in answer:
            self.arrivals.answered(ask.arrival.session, "".join(ask.texts))
        elif answer is not None and answer["error"]["code"] == jsonrpc.PUSHED_BACK and not ask.arrival.leave:
            wait = (answer["error"].get("data") or {}).get("return_after_ms") or 200
            return self._again(ask, 0, int(min(wait, 3000) * 1000))
        self.open -= 1

    def _again(self, ask, first, wait):
        ask.attempt += 1
        if ask.attempt > self.traffic.retries:
            self.open -= 1
            return
        ask.front = self.arrivals.next_front(ask.front)
        self.queue.at(self.queue.now + first + wait, self._try, ask)

    # ---- what comes ----

    def heard(self, link, data):
        if data is None:
            link.open = False
            for ask in list(link.asks.values()):
                if ask.trace not in self.left:
                    self.record(
                        "conn_lost", trace=ask.trace, front=ask.front, conn=link.id, why="closed by the front"
                    )
                self._ended(ask, None)
            return
        message = _decode(data)
        method = message.get("method")
        if method == "generate/token":
            told = message["params"]
            ask = link.asks.get(told["id"])
            self.record("token_in", conn=link.id, trace=link.traces.get(told["id"]), **told)
            if ask is not None:
                ask.texts += told["tokens"]
                if ask.first is None:
                    ask.first = self.queue.now
        elif method == "tools/call":
            self._call(link, message)
        elif method == "tools/failed":
            told = message["params"]
            self.record(
                "call_failed", trace=link.traces.get(told["id"]), call=told["call"], reason=told["reason"]
            )
        elif method is None:
            error = message.get("error") or {}
            result = message.get("result") if isinstance(message.get("result"), dict) else {}
            told = error.get("data") or {}
            ending = ENDINGS.get(error.get("code"), "error" if error else "done")
            self.record(
                "final_in",
                conn=link.id,
                id=message.get("id"),
                trace=link.traces.get(message.get("id")),
                ending=ending,
                code=error.get("code"),
                reason=told.get("reason") or error.get("message"),
                return_after_ms=told.get("return_after_ms"),
                tokens=result.get("tokens"),
                finish=result.get("finish_reason"),
            )
            ask = link.asks.get(message.get("id"))
            if ask is not None and not ask.answered:
                self._ended(ask, message)

    def _call(self, link, message):
        told = message["params"]
        meta = told["_meta"]
        trace = link.traces.get(meta["generate"])
        key = trace, meta["call"]
        self.record(
            "call_in",
            conn=link.id,
            trace=trace,
            rpc=message["id"],
            call=meta["call"],
            name=told["name"],
            arguments=told["arguments"],
            again=meta.get("again", False),
        )
        takes = 0.0
        if key not in self.ran:
            self.ran[key], silent, takes = tool_run(trace, told["arguments"], self.traffic)
            self.record(
                "tool_ran",
                trace=trace,
                call=meta["call"],
                name=told["name"],
                arguments=told["arguments"],
                text=self.ran[key],
                repeatable=not told["name"].startswith("set"),
            )
            if silent:
                return
        self.queue.at(self.queue.now + int(takes * 1e6), self._answer_call, link, message["id"], key)

    def _answer_call(self, link, rpc_id, key):
        self.record("call_answered", trace=key[0], call=key[1])
        if link.open:
            link.send(
                "answered",
                jsonrpc.Answer(rpc_id, {"content": [{"type": "text", "text": self.ran[key]}]}, None),
            )
