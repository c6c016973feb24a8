"""Engines in virtual time: the stand-ins' model with the stand-ins' protocol and faults, messages as calls
that take a hop.

What standins/engine.py says over HTTP is said here to the front's hands directly, with the same endings,
proofs and records.
"""

import msgspec

from martenrouter.standins import answers
from martenrouter.standins.model import MOVING, WAITING, EngineModel, Job, work_of
from martenrouter.wire.engine import Usage
from martenrouter.wire.tools import Whole

# microseconds between two sockets of a machine, with the turn of the program behind: as seen in bench.front
HOP = 400


class Call:
    """One forward on its way: at its front until it is over there, at its engine until that has ended it."""

    __slots__ = (
        "port",
        "forward",
        "hear",
        "over",
        "messages",
        "tools",
        "cap",
        "goes_on",
        "tokens",
        "calls",
        "sent",
        "stalled",
        "state",
        "keeps",
        "prompt",
    )

    def __init__(self, port, forward, hear):
        r = forward.req
        self.port, self.forward, self.hear, self.over = port, forward, hear, False
        self.messages, self.goes_on = msgspec.json.decode(r.body), r.goes_on
        self.tools = [tool["function"]["name"] for tool in r.tools or ()]
        self.cap, self.state = max(r.max_tokens - len(r.texts), 1), forward.state or {}
        self.tokens, self.calls, self.sent, self.stalled, self.keeps, self.prompt = (), (), 0, False, False, 0


class Port:
    """A front's end of the way to engines: what edge/engines.py is on sockets."""

    def __init__(self, world):
        self.world, self.addresses, self.left, self.calls = world, {}, {}, {}

    def moved(self, changed):
        for id, address in changed.items():
            if address:
                self.addresses[id] = address
                self.left.pop(id, None)
            elif id in self.addresses:
                self.left[id] = self.addresses.pop(id)

    def start(self, forward, hear):
        queue = self.world.queue
        call = self.calls[forward.id] = Call(self, forward, hear)
        if forward.time_out:
            queue.at(queue.now + forward.time_out, self._patience, call)
        if forward.engine in self.addresses:
            queue.at(queue.now + HOP, self.world.arrive, forward.engine, call)
        else:
            queue.at(queue.now + 1, self.end, call, "unreachable", 0)

    def stop(self, forward):
        call = self.calls.pop(forward.id, None)
        if call is not None and not call.over:
            call.over = True
            queue = self.world.queue
            queue.at(queue.now + HOP, self.world.left, forward.engine, call)

    def release(self, engine, forward_id, trace):
        if engine in self.addresses or engine in self.left:
            queue = self.world.queue
            queue.at(queue.now + HOP, self.world.let_go, engine, forward_id)

    def die(self):
        """The front's process is gone: its connections end."""
        for call in self.calls.values():
            call.over = True
            self.world.queue.at(self.world.queue.now + HOP, self.world.left, call.forward.engine, call)
        self.calls.clear()

    # ---- what engines say; a connection that was closed here hears nothing more ----

    def _patience(self, call):
        if not call.over and not call.forward.began:
            self.end(call, "timed out", 0)
            self.world.queue.at(self.world.queue.now + HOP, self.world.left, call.forward.engine, call)

    def end(self, call, ending, note):
        if not call.over:
            call.over = True
            self.calls.pop(call.forward.id, None)
            call.hear.ended(call.forward, ending, note)

    def read(self, call, state, prompt, found, load):
        if not call.over:
            call.forward.load = load
            call.hear.read(call.forward, state, prompt)
            self.end(call, "read", found)

    def pieces(self, some):
        """What one step of an engine wrote for this front: (call, tokens, or how it ended)."""
        for call, texts, ended in some:
            if call.over:
                continue
            forward, hear = call.forward, call.hear
            if texts:
                hear.tokens(forward, texts)
            if ended is None or call.over or forward.over:
                continue
            forward.load, forward.usage = ended["load"], Usage(ended["prompt"], ended["written"])
            if ended["calls"]:
                for i, (name, arguments) in enumerate(ended["calls"]):
                    whole = Whole(i, "call_%d" % i, name, msgspec.json.encode(arguments).decode(), arguments)
                    forward.joiner.whole.append(whole)
                    hear.calls(forward, [whole])
                    if call.over or forward.over:
                        break
                else:
                    forward.kept = ended["state"]
                    self.end(call, "step", 0)
            else:
                forward.finish = "stop"
                self.end(call, "done", 0)


class Engine:
    def __init__(self, world, spec, start=0):
        """`start`: wall time of a start just now, 0 for one that is long warm."""
        self.world, self.queue = world, world.queue
        self.spec = msgspec.structs.replace(spec, start=start)
        self.model, self.alive, self.due = EngineModel(self.spec, self.queue.now), True, None
        self.calls, self.moves, self.unread = {}, {}, []
        self.refuse = self.error = self.no_finish = self.garbage = self.half_open = False
        self.bad_arguments = self.endless_arguments = False
        self.reset_after = self.stall_after = None
        self.record(
            "started",
            role=spec.role,
            zone=spec.zone,
            cell=spec.cell,
            born=self.model.born,
            cold=bool(start),
            cold_share=spec.cold_share,
            warm_within=spec.warm_within_us,
            fall_multiple=spec.fall_multiple,
            fall_window=spec.fall_window_us,
            capacity=spec.capacity(),
            seed=spec.seed,
            usual=spec.usual_answer,
        )

    def record(self, ev, **fields):
        self.world.record(self.spec.id, ev, **fields)

    # ---- time ----

    def poke(self):
        """Sees to it that the model is played when it next has something to do."""
        due = self.queue.now if self.model.wants_states() and not self.model.hung else self.model.next_at()
        if due is not None and (self.due is None or due < self.due):
            self.due = max(due, self.queue.now)
            self.queue.at(self.due, self._tick, self.due)

    def _tick(self, due):
        if due != self.due or not self.alive:
            return
        self.due, said = None, {}
        for event in self.model.advance(self.queue.now):
            kind = event[0]
            if kind == "fell":
                self.record("fell")
                return self.die()
            call = self.calls.get(event[1])
            if kind == "moved":
                self._moved(event[1])
            elif call is None:
                continue
            elif kind == "token":
                self._token(call, event[2], said)
            elif kind == "done":
                self._done(call, said)
            elif kind == "fetch":
                self._fetch(call)
            elif kind == "read":
                self._read(call, event[2])
        for port, some in said.items():
            self.queue.at(self.queue.now + HOP, port.pieces, some)
        self.poke()

    # ---- what arrives ----

    def arrive(self, call):
        forward, queue = call.forward, self.queue
        if not self.alive:
            return queue.at(queue.now + HOP, call.port.end, call, "unreachable", 0)
        if self.half_open:
            return self.unread.append(call)
        reads, state = forward.role == "read", call.state
        kind = "read" if reads else "write" if state else "both"
        if not reads:
            tokens, call.calls, skip = answers.plan(
                self.spec.seed, call.messages, call.cap, self.spec.usual_answer, call.tools, call.goes_on
            )
            call.tokens, call.keeps = tokens[skip:], bool(call.calls)
        job = Job(forward.id, kind, answers.chain_of(call.messages), max(len(call.tokens), 1), call.keeps)
        call.messages, call.prompt = None, job.prompt
        self.record(
            "forward_in",
            forward=forward.id,
            trace=forward.req.trace,
            kind=kind,
            prompt=job.prompt,
            work=work_of(self.spec, job),
            key=forward.req.key,
            state=state.get("remote_request_id"),
        )
        if self.garbage:
            return queue.at(queue.now + HOP, call.port.end, call, "error", 0)
        if self.error or self.refuse:
            return self._refuse(call, 500 if self.error else 429)
        if kind != "write" and self.spec.role == "write" or kind == "read" and self.spec.role == "both":
            return self._refuse(call, 412)
        taken = self.model.submit(queue.now, job)
        if taken != "ok":
            return self._refuse(call, 503 if taken == "draining" else 429)
        self.calls[forward.id] = call
        self.poke()

    def left(self, call):
        """The front has closed the connection of a forward."""
        if self.calls.pop(call.forward.id, None) is not None:
            self._drop(call)

    def _drop(self, call):
        job = self.model.jobs.get(call.forward.id)
        if job is not None and job.state not in (WAITING, MOVING):
            self.model.drop(self.queue.now, job.id)
            self.record("dropped", forward=job.id)
        self.poke()

    def let_go(self, forward_id):
        if self.alive:
            self.record("let_go", forward=forward_id, held=self.model.drop(self.queue.now, forward_id))
            self.poke()

    def die(self):
        self.alive = False
        for call in [*self.calls.values(), *self.unread]:
            self.queue.at(self.queue.now + HOP, call.port.end, call, "reset", 0)
        for writer, call, _ in self.moves.values():
            self.queue.at(self.queue.now + HOP, writer.fetched, call, None)
        self.calls.clear()
        self.moves.clear()

    # ---- states that move ----

    def _fetch(self, call):
        """A write has its place here and now needs its state."""
        id, owner = call.state.get("remote_request_id"), call.state.get("remote_engine_id")
        if owner == self.spec.id:
            tokens = self.model.take(self.queue.now, id)
            if tokens is not None:
                self.record("fetched", forward=id, by=owner)
            return self.fetched(call, tokens)
        self.queue.at(self.queue.now + HOP, self.world.fetch, owner, id, self, call)

    def asked(self, id, writer, call):
        """Another engine asks for a state that waits here."""
        job = self.model.jobs.get(id) if self.alive and not self.half_open else None
        if job is None or not self.model.fetch(self.queue.now, id, writer.spec.cell == self.spec.cell):
            return self.queue.at(self.queue.now + HOP, writer.fetched, call, None)
        self.record("fetched", forward=id, by=writer.spec.id)
        self.moves[id] = writer, call, job.prompt + job.produced
        self.poke()

    def _moved(self, id):
        if id in self.moves:
            writer, call, tokens = self.moves.pop(id)
            self.queue.at(self.queue.now + HOP, writer.fetched, call, tokens)

    def fetched(self, call, tokens):
        if not self.alive or call.forward.id not in self.calls:
            return
        if tokens is None:
            del self.calls[call.forward.id]
            self.model.drop(self.queue.now, call.forward.id)
            self._refuse(call, 412)
        else:
            self.model.fetched(self.queue.now, call.forward.id, tokens)
        self.poke()

    # ---- what it says ----

    def _load(self):
        share, held, queued = self.model.load(self.queue.now)
        return {"memory_share": round(share, 4), "reqs_held": float(held), "reqs_queued": float(queued)}

    def _refuse(self, call, status):
        self.record(
            "status_out", forward=call.forward.id, status=status, ran=None if status == 500 else False
        )
        ending, note = {429: ("full", 0), 412: ("full", 1), 503: ("full", 0), 500: ("error", 0)}[status]
        call.forward.load = self._load()
        self.queue.at(self.queue.now + HOP, call.port.end, call, ending, note)

    def _state(self, id):
        return {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": self.spec.id,
            "remote_request_id": id,
        }

    def _read(self, call, found):
        id, job = call.forward.id, self.model.jobs[call.forward.id]
        del self.calls[id]
        self.record("held", forward=id, read=job.prompt - found)
        self.queue.at(
            self.queue.now + HOP, call.port.read, call, self._state(id), job.prompt, found, self._load()
        )

    def _token(self, call, index, said):
        if call.stalled:
            return
        if self.stall_after is not None and call.sent >= self.stall_after:
            call.stalled = True
            return
        if self.reset_after is not None and call.sent >= self.reset_after:
            self.record("reset_out", forward=call.forward.id, tokens=call.sent)
            del self.calls[call.forward.id]
            self.queue.at(self.queue.now + HOP, call.port.end, call, "reset", 0)
            return self._drop(call)
        call.sent += 1
        if index < len(call.tokens):
            said.setdefault(call.port, []).append((call, [call.tokens[index]], None))

    def _done(self, call, said):
        if call.stalled:
            return
        id = call.forward.id
        del self.calls[id]
        self.record("done_out", forward=id, tokens=call.sent)
        if self.no_finish or self.bad_arguments and call.calls:
            # what came before is heard first
            self.queue.at(
                self.queue.now + HOP + 1, call.port.end, call, "reset" if self.no_finish else "error", 0
            )
            if call.keeps:
                self.record("held", forward=id, read=0)
            return
        if call.keeps:
            self.record("held", forward=id, read=0)
        said.setdefault(call.port, []).append(
            (
                call,
                [],
                {
                    "load": self._load(),
                    "prompt": call.prompt,
                    "written": call.sent,
                    "calls": call.calls,
                    "state": self._state(id),
                },
            )
        )
