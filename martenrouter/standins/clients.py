"""Scripted clients: open-loop arrivals that don't wait for answers, sessions with growing prompts, retries as
told, and a record of every message. What they do follows from the seed; when answers come does not.
"""

import gevent
from gevent import GreenletExit

from martenrouter.edge.client import Client, Left
from martenrouter.standins.arrivals import Arrivals, tool_run, trace_of
from martenrouter.standins.arrivals import params as params_of
from martenrouter.wire import jsonrpc


class Clients:
    def __init__(self, fronts, traffic, groups, rnd, record, connections=2):
        """`fronts`: name -> (host, port); `groups`: dicts with name and effect; `rnd`: a seeded generator;
        `record` takes every message."""
        self.fronts, self.traffic, self.groups, self.record = fronts, traffic, groups, record
        self.connections, self.links, self.count = connections, {}, 0
        self.arrivals = Arrivals(fronts, traffic, rnd)
        self.open, self.conns = set(), 0
        self.left, self.ran = set(), {}

    def run(self, seconds):
        """Arrivals for `seconds`; returns when the last one is off. `drain` waits for what is open."""
        until = gevent.get_hub().loop.now() + seconds
        gevent.get_hub().loop.update_now()
        due = until - seconds
        while True:
            due += self.arrivals.gap()
            if due >= until:
                return
            gevent.get_hub().loop.update_now()
            wait = due - gevent.get_hub().loop.now()
            if wait > 0:
                gevent.sleep(wait)
            self._arrive()

    def drain(self, within):
        """Waits for the open reqs; returns how many are left after `within` seconds."""
        gevent.joinall(list(self.open), timeout=within)
        left = len(self.open)
        gevent.killall(list(self.open))
        for client in self.links.values():
            client.close()
        return left

    def _arrive(self):
        greenlet = gevent.spawn(self._ask, self.arrivals.arrival())
        self.open.add(greenlet)
        greenlet.link(self.open.discard)

    def _link(self, front, own):
        """A connection to a front: one of a few shared ones, or an own one. Raises OSError."""
        key = (front, self.count % self.connections)
        self.count += 1
        if not own and key in self.links and self.links[key].open:
            return self.links[key]
        self.conns += 1
        client = Client(self.fronts[front])
        client.conn_id = self.conns
        client.heard = lambda message: self._heard(client, message)
        client.tool = lambda params: self._tool(client, params)
        client.traces = {}
        if not own:
            old = self.links.get(key)
            if old is not None and old.open:  # another greenlet was quicker
                client.close()
                return old
            self.links[key] = client
        return client

    def _heard(self, client, message):
        if message.get("method") == "generate/token":
            params = message["params"]
            self.record("token_in", conn=client.conn_id, trace=client.traces.get(params.get("id")), **params)
        elif message.get("method") == "tools/call":
            params = message["params"]
            trace = client.traces.get(params["_meta"]["generate"])
            self.record(
                "call_in",
                conn=client.conn_id,
                trace=trace,
                rpc=message["id"],
                call=params["_meta"]["call"],
                name=params["name"],
                arguments=params["arguments"],
                again=params["_meta"].get("again", False),
            )
        elif message.get("method") == "tools/failed":
            params = message["params"]
            self.record(
                "call_failed",
                trace=client.traces.get(params["id"]),
                call=params["call"],
                reason=params["reason"],
            )
        elif "method" not in message:
            error = message.get("error") or {}
            data = error.get("data") or {}
            ending = {jsonrpc.PUSHED_BACK: "pushed back", jsonrpc.ABORTED: "aborted"}.get(
                error.get("code"), "error" if error else "done"
            )
            told = message.get("result") if isinstance(message.get("result"), dict) else {}
            self.record(
                "final_in",
                conn=client.conn_id,
                id=message.get("id"),
                trace=client.traces.get(message.get("id")),
                ending=ending,
                code=error.get("code"),
                reason=data.get("reason") or error.get("message"),
                return_after_ms=data.get("return_after_ms"),
                tokens=told.get("tokens"),
                finish=told.get("finish_reason"),
            )

    def _tool(self, client, params):
        """A tool at the client: run once for each call, its result a function of its arguments."""
        meta = params["_meta"]
        trace, key = client.traces.get(meta["generate"]), (client.traces.get(meta["generate"]), meta["call"])
        if key not in self.ran:
            text, silent, takes = tool_run(key[0], params["arguments"], self.traffic)
            self.ran[key] = text
            self.record(
                "tool_ran",
                trace=trace,
                call=meta["call"],
                name=params["name"],
                arguments=params["arguments"],
                text=text,
                repeatable=not params["name"].startswith("set"),
            )
            gevent.sleep(3600 if silent else takes)
        self.record("call_answered", trace=trace, call=meta["call"])
        return {"content": [{"type": "text", "text": self.ran[key]}]}

    def _ask(self, arrival):
        session, group, leave, front = (
            arrival.session,
            self.groups[arrival.group],
            arrival.leave,
            arrival.front,
        )
        session.messages.append({"role": "user", "content": arrival.text})
        deadline = self.traffic.deadline_ms / (10 if arrival.early else 1)
        for attempt in range(self.traffic.retries + 1):
            answer, texts = self._try(arrival, group, trace_of(arrival, attempt), deadline, front)
            if answer is None or "error" not in answer:
                break
            wait = (answer["error"].get("data") or {}).get("return_after_ms") or 200
            if answer["error"]["code"] != jsonrpc.PUSHED_BACK or leave:
                break
            gevent.sleep(min(wait, 3000) / 1000)
            front = self.arrivals.next_front(front)
        if answer is not None and "result" in answer:
            self.arrivals.answered(session, "".join(texts))

    def _try(self, arrival, group, trace, deadline, front):
        """(answer or None, texts): one call of generate, recorded."""
        texts, leave, after = [], arrival.leave, arrival.after
        try:
            client = self._link(front, leave in ("close", "rejoin"))
        except OSError as why:
            self.record("no_front", front=front, trace=trace, why=str(why))
            gevent.sleep(0.3)
            return {"error": {"code": jsonrpc.PUSHED_BACK}}, texts
        params = params_of(arrival, group, trace, self.traffic, deadline)
        client.last += 1
        id = client.last
        client.traces[id] = trace
        self.record(
            "req_out",
            trace=trace,
            front=front,
            conn=client.conn_id,
            id=id,
            group=group["name"],
            deadline_ms=deadline,
            messages=params["messages"],
            max_tokens=params["max_tokens"],
            tools=self.traffic.tools,
        )
        leaver = gevent.spawn_later(after, self._leave, client, id, trace, leave) if leave else None
        try:
            client.begin("generate", params, lambda index, more: texts.extend(more), id)
            return client.wait(id, deadline / 1000 + 5), texts
        except Left as why:
            if leave == "rejoin" and trace in self.left:
                return self._rejoin(params, trace, front, texts, deadline)
            if trace not in self.left:
                self.record("conn_lost", trace=trace, front=front, conn=client.conn_id, why=str(why))
            return None, texts
        except (gevent.Timeout, GreenletExit):
            self.record("unanswered", trace=trace, front=front)
            return None, texts
        finally:
            if leaver:
                leaver.kill(block=False)
            if leave in ("close", "rejoin"):
                client.close()

    def _rejoin(self, params, trace, front, texts, deadline):
        """Comes back for its answer on another connection, by its key, from the token it has."""
        self.left.discard(trace)
        try:
            client = self._link(front, True)
        except OSError as why:
            self.record("conn_lost", trace=trace, front=front, conn=0, why=str(why))
            return None, texts
        client.traces[1] = trace
        self.record("rejoined", trace=trace, conn=client.conn_id, index=len(texts))
        try:
            id = client.begin(
                "generate", {**params, "from_index": len(texts)}, lambda index, more: texts.extend(more), 1
            )
            return client.wait(id, deadline / 1000 + 5), texts
        except Left as why:
            self.record("conn_lost", trace=trace, front=front, conn=client.conn_id, why=str(why))
            return None, texts
        except (gevent.Timeout, GreenletExit):
            self.record("unanswered", trace=trace, front=front)
            return None, texts
        finally:
            client.close()

    def _leave(self, client, id, trace, leave):
        if id not in client.calls or client.calls[id].ready():
            return
        self.left.add(trace)
        if leave != "rejoin":
            self.record("left", trace=trace, how=leave)
        try:
            if leave == "cancel":
                client.cancel(id)
            else:
                client.close()
        except Left:
            pass
