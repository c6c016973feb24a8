"""A stand-in engine on a loopback socket: the engines' protocol in front of the model, with faults on
command.

Faults (control call `POST /control`, this project's own), each a key of the object sent: hang, slow (factor),
refuse, error, reset_after (tokens), stall_after (tokens), no_finish, garbage, half_open, drain, forget, link
(factor), crash.
"""

import os
import struct

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue
from gevent.server import StreamServer

from martenrouter.standins import answers
from martenrouter.standins.clocks import now, wall, watch_lag
from martenrouter.standins.model import EngineModel, Job, work_of
from martenrouter.state import records
from martenrouter.wire import engine as wire
from martenrouter.wire import http

JSON = ("content-type", "application/json")


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    hang: bool | None = None
    slow: float | None = None
    refuse: bool | None = None
    error: bool | None = None
    reset_after: int | None = None
    stall_after: int | None = None
    no_finish: bool | None = None
    garbage: bool | None = None
    half_open: bool | None = None
    drain: bool | None = None
    forget: bool | None = None
    link: float | None = None
    crash: bool | None = None
    bad_arguments: bool | None = None
    endless_arguments: bool | None = None
    clear: bool | None = None


class Engine:
    def __init__(self, spec, records_dir=None):
        self.spec = spec
        self.model = EngineModel(spec, now() - max(wall() - spec.start, 0) if spec.start else now())
        self.record = records.recorder(records_dir, spec.id)
        self.faults, self.waiting, self.changed = Faults(), {}, Event()
        self.moves = {}
        host, _, port = spec.listen.rpartition(":")
        self.server = StreamServer((host, int(port)), self._accepted, backlog=1024)

    def start(self):
        self.server.start()
        gevent.spawn(self._tick)
        gevent.spawn(watch_lag, gevent.sleep, self.record)
        self.record(
            "started",
            role=self.spec.role,
            zone=self.spec.zone,
            cell=self.spec.cell,
            born=self.model.born,
            cold=bool(self.spec.start),
            cold_share=self.spec.cold_share,
            warm_within=self.spec.warm_within_us,
            fall_multiple=self.spec.fall_multiple,
            fall_window=self.spec.fall_window_us,
            capacity=self.spec.capacity(),
            seed=self.spec.seed,
            usual=self.spec.usual_answer,
        )
        return self.server.address

    # ---- the model's time ----

    def _tick(self):
        while True:
            due = self.model.next_at()
            self.changed.wait(0.5 if due is None else min(max((due - now()) / 1e6, 0), 0.5))
            self.changed.clear()
            for event in self.model.advance(now()):
                if event[0] == "fell":
                    self.record("fell")
                    os._exit(3)
                if event[0] == "moved" and event[1] in self.moves:
                    self.moves.pop(event[1]).set()
                elif event[1] in self.waiting:
                    self.waiting[event[1]].put(event)

    def _poke(self):
        self.changed.set()

    # ---- connections ----

    def _accepted(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while self.faults.half_open:
            gevent.sleep(0.05)
        reader, body, head, work = http.RequestReader(), [], None, None
        try:
            while True:
                data = sock.recv(64 * 1024)
                if not data:
                    return
                for event in reader.feed(data):
                    if event[0] == "head":
                        head, body = event[1], []
                    elif event[0] == "body":
                        body.append(event[1])
                    else:
                        if work is not None:
                            work.join()
                        work = gevent.spawn(self._serve, sock, head, b"".join(body))
        except (OSError, http.BadBytes):
            pass
        finally:
            if work is not None:
                work.kill(block=False)
            sock.close()

    def _serve(self, sock, head, body):
        try:
            told = msgspec.json.decode(body) if body else {}
            if head.path == "/control":
                self._control(told)
                sock.sendall(http.response(200, (JSON,), b"{}"))
            elif head.path == wire.LET_GO:
                self._let_go(sock, told)
            elif head.path == "/kv/fetch":
                self._move(sock, told)
            elif head.path == wire.GENERATE:
                self._generate(sock, head, told)
            else:
                sock.sendall(http.response(404, (JSON,), b"{}"))
        except OSError:
            sock.close()
        except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as why:
            self.record("bad_request", why=str(why))
            sock.sendall(http.response(400, (JSON,), b"{}"))

    def _control(self, told):
        faults = msgspec.convert(told, Faults)
        self.record("control", **told)
        if faults.crash:
            os._exit(9)
        if faults.clear:
            self.faults, faults.hang, faults.slow, faults.link, faults.drain = (
                Faults(),
                False,
                1.0,
                1.0,
                False,
            )
        for name in Faults.__struct_fields__:
            if getattr(faults, name) is not None:
                setattr(self.faults, name, getattr(faults, name))
        if faults.hang is not None:
            self.model.hung = faults.hang
        if faults.slow is not None:
            self.model.slow = faults.slow
        if faults.drain is not None:
            self.model.draining = faults.drain
        if faults.link is not None:
            self.model.slow_links(now(), faults.link)
        if faults.forget:
            self.model.forget()
        self._poke()

    def _let_go(self, sock, told):
        id = told["request_id"]
        held = self.model.drop(now(), id)
        self.record("let_go", forward=id, held=held)
        self._poke()
        sock.sendall(http.response(200 if held else 404, (JSON,), b"{}"))

    def _move(self, sock, told):
        """A writer fetches a state; the answer comes when it has left."""
        id = told["request_id"]
        if self.faults.hang:
            gevent.sleep(3600)
        job = self.model.jobs.get(id)
        tokens = job.prompt + job.produced if job else 0
        if not self.model.fetch(now(), id, told["cell"] == self.spec.cell):
            sock.sendall(http.response(404, (JSON,), b"{}"))
            return
        self.record("fetched", forward=id, by=told["by"])
        moved = self.moves[id] = Event()
        self._poke()
        moved.wait()
        sock.sendall(http.response(200, (JSON,), msgspec.json.encode({"tokens": tokens})))

    def _generate(self, sock, head, told):
        messages, id, trace = (
            told["messages"],
            head.headers.get("x-request-id", ""),
            head.headers.get("traceparent", ""),
        )
        state = told.get("kv_transfer_params") or {}
        reads = bool(state.get("do_remote_decode"))
        kind = "read" if reads else "write" if state.get("do_remote_prefill") else "both"
        names = [tool["function"]["name"] for tool in told.get("tools") or ()]
        tokens, calls, skip = answers.plan(
            self.spec.seed,
            messages,
            told.get("max_tokens") or 16,
            self.spec.usual_answer,
            names,
            bool(told.get("continue_final_message")),
        )
        keeps = bool(calls and told.get("keep_state"))
        job = Job(id, kind, answers.chain_of(messages), 1 if reads else max(len(tokens) - skip, 1), keeps)
        self.record(
            "forward_in",
            forward=id,
            trace=trace,
            kind=kind,
            prompt=job.prompt,
            work=work_of(self.spec, job),
            key=told.get("idempotency_key"),
            state=state.get("remote_request_id"),
        )
        if self.faults.garbage:
            sock.sendall(b"\x00\xff not HTTP at all \r\n\r\n" * 3)
            sock.close()
            return
        if self.faults.error:
            return self._refuse(sock, id, 500, ())
        if self.faults.refuse:
            return self._refuse(sock, id, 429, ())
        if kind != "write" and self.spec.role == "write" or kind == "read" and self.spec.role == "both":
            return self._refuse(sock, id, 412, ((wire.NOT_RUN, "1"),))
        taken = self.model.submit(now(), job)
        if taken != "ok":
            return self._refuse(sock, id, 503 if taken == "draining" else 429, ((wire.NOT_RUN, "1"),))
        events = self.waiting[id] = Queue()
        self._poke()
        try:
            if reads:
                self._answer_read(sock, job, events)
            else:
                self._answer_write(sock, job, events, state, tokens[skip:], calls)
        finally:
            del self.waiting[id]
            if id in self.model.jobs and job.state not in ("waiting", "moving"):
                self.model.drop(now(), id)
                self.record("dropped", forward=id)  # its client left, or a fault ended it
            self._poke()

    def _refuse(self, sock, id, status, headers):
        self.record("status_out", forward=id, status=status, ran=False if status != 500 else None)
        sock.sendall(
            http.response(status, (JSON, self._load(), *headers), b'{"error":{"message":"refused"}}')
        )

    def _load(self):
        return wire.load_header(*self.model.load(now()))

    def _answer_read(self, sock, job, events):
        _, _, found = events.get()
        body = msgspec.json.encode(
            {
                "id": job.id,
                "object": "chat.completion",
                "model": "standin",
                "choices": [
                    {"index": 0, "message": {"role": "assistant", "content": ""}, "finish_reason": "length"}
                ],
                "usage": {
                    "prompt_tokens": job.prompt,
                    "completion_tokens": 1,
                    "prompt_tokens_details": {"cached_tokens": found},
                },
                "kv_transfer_params": self._state(job),
            }
        )
        self.record("held", forward=job.id, read=job.prompt - found)
        sock.sendall(http.response(200, (JSON, self._load()), body))

    def _answer_write(self, sock, job, events, state, tokens, calls):
        began, sent = False, 0
        while True:
            event = events.get()
            if event[0] == "fetch":
                have = self._fetch(state)
                if have is None:
                    return self._refuse(sock, job.id, 412, ((wire.NOT_RUN, "1"),))
                self.model.fetched(now(), job.id, have)
                self._poke()
                continue
            if not began:
                began = True
                self.record("first_out", forward=job.id)
                sock.sendall(
                    http.response(200, (("content-type", "text/event-stream"), self._load()), chunked=True)
                )
            if event[0] == "token":
                if self.faults.reset_after is not None and sent >= self.faults.reset_after:
                    return self._reset(sock, job.id, sent)
                if self.faults.stall_after is not None and sent >= self.faults.stall_after:
                    gevent.sleep(3600)
                if event[2] < len(tokens):
                    self._delta(sock, {"content": tokens[event[2]]})
                sent += 1
                continue
            if self.faults.no_finish:
                self.record("done_out", forward=job.id, tokens=sent)
                sock.sendall(http.chunk(b""))
                return
            for i, (name, arguments) in enumerate(calls):
                self._call(sock, i, name, msgspec.json.encode(arguments).decode())
            last = {
                "choices": [{"index": 0, "delta": {}, "finish_reason": "tool_calls" if calls else "stop"}]
            }
            if job.keeps:
                self.record("held", forward=job.id, read=0)
                last["kv_transfer_params"] = self._state(job)
            self.record("done_out", forward=job.id, tokens=sent)
            self._piece(sock, last)
            self._piece(
                sock, {"choices": [], "usage": {"prompt_tokens": job.prompt, "completion_tokens": sent}}
            )
            sock.sendall(http.chunk(b"data: [DONE]\n\n") + http.chunk(b""))
            return

    def _call(self, sock, index, name, arguments):
        """A tool call in pieces, as engines stream them; two faults spoil it."""
        if self.faults.bad_arguments:
            arguments = arguments[:-1] + ","
        self._delta(
            sock,
            {
                "tool_calls": [
                    {
                        "index": index,
                        "id": "call_%d" % index,
                        "type": "function",
                        "function": {"name": name, "arguments": ""},
                    }
                ]
            },
        )
        while self.faults.endless_arguments:
            self._delta(sock, {"tool_calls": [{"index": index, "function": {"arguments": " " * 8192}}]})
            gevent.sleep(0.001)
        for part in (arguments[:5], arguments[5:]):
            self._delta(sock, {"tool_calls": [{"index": index, "function": {"arguments": part}}]})

    def _delta(self, sock, delta):
        self._piece(sock, {"choices": [{"index": 0, "delta": delta, "finish_reason": None}]})

    def _state(self, job):
        host, port = self.server.address[:2]
        return {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": self.spec.id,
            "remote_host": host,
            "remote_port": port,
            "remote_block_ids": [0],
            "remote_request_id": job.id,
        }

    def _piece(self, sock, told):
        told["object"], told["model"] = "chat.completion.chunk", "standin"
        sock.sendall(http.chunk(b"data: " + msgspec.json.encode(told) + b"\n\n"))

    def _reset(self, sock, id, sent):
        self.record("reset_out", forward=id, tokens=sent)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def _fetch(self, state):
        """Has the state moved here, from this engine itself or from another; its tokens, None when there is
        none."""
        id = state.get("remote_request_id")
        if state.get("remote_engine_id") == self.spec.id:
            tokens = self.model.take(now(), id)
            if tokens is not None:
                self.record("fetched", forward=id, by=self.spec.id)
            return tokens
        try:
            address = state["remote_host"], int(state["remote_port"])
            sock = socket.create_connection(address, timeout=1)
        except (OSError, KeyError, ValueError):
            return None
        try:
            sock.settimeout(None)
            body = msgspec.json.encode({"request_id": id, "cell": self.spec.cell, "by": self.spec.id})
            sock.sendall(http.request("POST", "/kv/fetch", "%s:%d" % address, (JSON,), body))
            reader, status, body = http.ResponseReader(), 0, b""
            while True:
                data = sock.recv(4096)
                if not data:
                    return None
                for event in reader.feed(data):
                    if event[0] == "head":
                        status = event[1].status
                    elif event[0] == "body":
                        body += event[1]
                    else:
                        return msgspec.json.decode(body)["tokens"] if status == 200 else None
        except (OSError, http.BadBytes):
            return None
        finally:
            sock.close()
