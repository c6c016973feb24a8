"""One front: owns the facts, plays what the desk decides on sockets, and sees to it that each req is answered once.

It is the writer that decisions go into (`forward`, `push_back`, `abort`, `cancel`, `let_go`, `wake`, …). A decision about
a req that is finished, or a forward that is over, does nothing and is counted: a decider in another process may be late.
"""
import collections
import os
import signal

import gevent
import msgspec
import xxhash
from gevent.event import Event

from martenrouter.decisions.chain import Chain
from martenrouter.decisions.connections import Connections
from martenrouter.decisions.lengths import Lengths
from martenrouter.edge import clock
from martenrouter.edge.desk import CHAIN, Desk
from martenrouter.edge.door import Door
from martenrouter.edge.engines import Engines, Stopped
from martenrouter.edge.facts import Forward, Held, Req
from martenrouter.edge.roster import Roster
from martenrouter.settings import front as settings_of
from martenrouter.state import records
from martenrouter.wire import jsonrpc

OVERDUE_LOOK = 0.05  # seconds: looks for reqs that a failed round left behind


class Front:
    def __init__(self, settings, log):
        self.settings, self.log = settings, log
        self.counters = collections.Counter()
        self.record = records.recorder(settings.records, settings.name)
        self.groups = {group.name: group for group in settings.groups}
        self.role_by_kind = {kind.name: kind.role for kind in settings.kinds}
        self.roles = {}                    # engine -> role
        self.reqs, self.last_id = {}, 0    # open reqs; those answered stay until their forwards are over
        self.boot = "%x" % (clock.wall() // 1000)  # tells this process's forwards from those of one before
        self.lengths = Lengths()
        limits = settings.limits
        self.desk = Desk(Chain(settings.seed, settings_of.for_module(settings), settings_of.for_chain(settings)), self,
                         settings_of.us(settings.round_ms), log)
        self.engines = Engines(Connections(limits.idle_connections_an_engine), settings_of.us(limits.connect_within_ms),
                               settings.model, self.record, self.counters, log)
        self.door = Door(settings_of.address(settings.listen, "listen"), limits, self, self.counters, self.record, log)
        source = settings.list
        source = msgspec.structs.replace(
            source, service=settings_of.address(source.service, "list.service") if source.service else None)
        self.roster = Roster(settings.name, source, settings.seed, self._list_came, self.engines.moved, self.counters,
                             self.record, log)
        self.done, self.stopping = Event(), False

    # ---- life ----

    def start(self):
        """Raises OSError when the address can't be listened on."""
        self.door.start()
        self.roster.start()
        self.desk.start()
        gevent.spawn(self._look_after)
        self.log.info("front_started", name=self.settings.name, listen=self.settings.listen, pid=os.getpid())

    def run(self):
        """Serves until a signal; returns the exit code."""
        self.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._signalled)
        self.done.wait()
        return 0

    def _signalled(self):
        if self.stopping:
            self.log.warning("stopped_at_once", open=self._open())
            os._exit(1)
        self.stopping = True
        gevent.spawn(self.stop)

    def stop(self):
        """Nothing new is taken; what is open is finished, or answered when the time to stop is over."""
        within = self.settings.limits.stop_within_ms / 1000
        self.log.info("stopping", open=self._open(), within_ms=within * 1000)
        self.door.stop_accepting()
        self.desk.post("stop")
        with gevent.Timeout(within, False):
            while self.reqs:
                gevent.sleep(0.01)
        self.door.shut_all(min(within, 1))
        self.log.info("front_stopped", unanswered=self._open(), **self.counters)
        self.done.set()

    def _open(self):
        return sum(not r.answered for r in self.reqs.values())

    def _look_after(self):
        """Answers what a failed round has left behind, and closes connections that idled too long."""
        while True:
            gevent.sleep(OVERDUE_LOOK)
            now = clock.now()
            for r in [r for r in self.reqs.values() if now >= r.deadline and not r.answered]:
                self.counters["answered_overdue"] += 1
                self.desk.post("gone", r.id)
                self._answer(r, jsonrpc.aborted(r.rpc_id, "fault in the front", self._name(r)), "aborted", "overdue")
                self.let_go(r.id)
            self.engines.sweep()
            self.door.sweep(now)

    def status(self):
        cost = self.desk.cost
        return {"name": self.settings.name, "open": self._open(), "connections": len(self.door.conns),
                "rounds": self.desk.rounds, "round_us": {"p50": cost.get_value_at_percentile(50),
                                                         "p99": cost.get_value_at_percentile(99),
                                                         "max": cost.get_max_value()},
                "faults": self.desk.faults, "list": [self.roster.members.epoch, self.roster.members.version],
                "engines": len(self.engines.addresses), "counters": dict(self.counters)}

    def _list_came(self, call, version, scope, rows):
        for row in rows:
            self.roles[row[3]] = self.role_by_kind.get(row[5], "both")
        self.desk.post(call, version, scope, rows)

    def _name(self, r):
        return "%s-%s-%d" % (self.settings.name, self.boot, r.id)

    # ---- what clients do ----

    def asked(self, conn, rpc_id, told):
        """A call of generate. Returns a message to answer at once, or None."""
        group = self.groups.get(told.group) if told.group else self.settings.groups[0]
        if group is None:
            raise jsonrpc.BadParams("params.group: %r is none of %s" % (told.group, ", ".join(self.groups)))
        if told.customer is not None and self.settings.customers and told.customer not in {
                customer.name for customer in self.settings.customers}:
            raise jsonrpc.BadParams("params.customer: %r is not known here" % told.customer)
        if group.effect == "keyed" and not told.key:
            raise jsonrpc.BadParams("params.key: group %s is keyed, its reqs name an idempotency key" % group.name)
        now = clock.now()
        self.last_id += 1
        r = self.reqs[self.last_id] = Req(self.last_id, conn, rpc_id, now)
        conn.reqs[rpc_id] = r
        messages = told.messages or [jsonrpc.Message(role="user", content=told.prompt)]
        sizes = [len((message.content or "").encode()) for message in messages]
        r.messages = msgspec.Raw(msgspec.json.encode(
            [{name: value for name, value in msgspec.structs.asdict(message).items() if value is not None}
             for message in messages]))
        r.size, r.group, r.customer, r.session, r.key = sum(sizes), group, told.customer, told.session, told.key
        r.tools, r.max_tokens = told.tools, min(told.max_tokens or group.max_tokens, group.max_tokens)
        r.trace = told.trace or "00-%s-%s-01" % (os.urandom(16).hex(), os.urandom(8).hex())
        r.deadline = now + settings_of.us(told.deadline_ms if told.deadline_ms is not None else group.deadline_ms)
        prefix, shared = None, 0
        if len(messages) > 1 and messages[0].role == "system":
            prefix = xxhash.xxh64_hexdigest((messages[0].content or "").encode())
            shared = self.lengths.guess(group.name, sizes[0])
        hint = settings_of.us(told.expected_tokens * group.token_target_ms) if told.expected_tokens else None
        self.counters["taken"] += 1
        self.record("req_in", req=r.id, conn=conn.id, id=rpc_id, trace=r.trace, group=group.name, deadline=r.deadline)
        self.desk.post("arrived", r.id, group.name, told.customer, told.session, r.deadline, hint, prefix,
                       self.lengths.guess(group.name, r.size), shared, r.max_tokens, 1 if hint else 0, conn.id)
        return None

    def answered(self, conn, answer):
        """A client's response to a request that the front never sent."""
        self.counters["client_answer_unknown"] += 1

    def cancelled(self, conn, rpc_id):
        r = conn.reqs.get(rpc_id)
        if r is None:
            self.counters["cancel_unknown"] += 1
            return
        self.counters["client_cancelled"] += 1
        self.desk.post("gone", r.id)
        self._answer(r, jsonrpc.aborted(rpc_id, "cancelled by the client", self._name(r)), "aborted", "cancelled")

    def client_left(self, conn):
        for r in list(conn.reqs.values()):
            self.counters["client_left"] += 1
            self.desk.post("gone", r.id)
            self._answer(r, None, "client left", "")

    # ---- what engines say (from the forwards' greenlets) ----

    def tokens(self, forward, texts):
        r = forward.req
        if forward.over or r.answered:
            return
        if r.owner is None:
            r.owner, r.held = forward, None  # the state is with the writer now
            forward.began = True
            self.desk.post("first_token", r.id, forward.n, forward.engine, clock.now() - forward.sent)
        elif r.owner is not forward:
            self.counters["late_tokens_dropped"] += len(texts)
            self._stop(forward, "cancelled")
            return
        self.desk.flow[r.id] = self.desk.flow.get(r.id, 0) + len(texts)
        if r.swamped:
            return
        message = jsonrpc.call("generate/token", {"id": r.rpc_id, "index": r.index, "tokens": texts})
        if r.conn.send(message):
            r.index += len(texts)
        else:
            r.swamped = True
            self.counters["client_too_slow"] += 1
            self.desk.post("swamped", r.id)

    def read(self, forward, state, prompt_tokens):
        """A read is done and its state waits at the reader."""
        r = forward.req
        self.lengths.told(r.group.name, r.size, prompt_tokens)
        if not forward.over:
            r.held = Held(forward.engine, forward.id, state)

    def ended(self, forward, ending, note):
        """A forward's end, exactly once each; what comes after a cancel is dropped."""
        if forward.over:
            return
        forward.over = True
        r = forward.req
        r.forwards.pop(forward.n, None)
        self.counters["forward_" + ending.replace(" ", "_")] += 1
        self.log.debug("forward_ended", req=r.id, forward=forward.id, engine=forward.engine, ending=ending)
        if ending == "full" and note == 1:
            r.held = None
        if forward.role == "read" and ending not in ("read", "full", "unreachable", "error"):
            # the read may have ended there while this end of the connection was being closed: nobody would know of it
            self._spawn_let_go(forward.engine, forward.id, r)
        if ending == "done" and not r.answered:
            if r.owner is None:
                self.desk.post("first_token", r.id, forward.n, forward.engine, clock.now() - forward.sent)
                r.held = None
            usage = r.usage
            self._answer(r, jsonrpc.result(r.rpc_id, {
                "ending": "done", "finish_reason": r.finish, "tokens": r.index, "req": self._name(r),
                "usage": {"prompt_tokens": usage.prompt_tokens, "completion_tokens": usage.completion_tokens}
                if usage else None}), "done", "")
        self.desk.post("outcome", r.id, forward.n, ending, forward.engine, clock.now() - forward.sent, r.answered, note,
                       forward.load)
        self._forget(r)

    def _forget(self, r):
        """A req stays known until its last forward is over and its state let go: answering releases nothing."""
        if r.answered and not r.forwards and r.held is None:
            self.reqs.pop(r.id, None)

    def _stop(self, forward, ending):
        """Closes a forward that is out; its end is said here, whatever its greenlet had got to."""
        greenlet = forward.greenlet
        self.ended(forward, ending, 0)
        if greenlet is not None and greenlet is not gevent.getcurrent():
            greenlet.kill(Stopped, block=False)

    def _answer(self, r, message, ending, reason):
        """The final answer; from here on nothing is sent for the req."""
        if r.answered:
            return
        r.answered = True
        r.conn.reqs.pop(r.rpc_id, None)
        self.counters["req_" + ending.replace(" ", "_")] += 1
        self.record("req_out", req=r.id, trace=r.trace, ending=ending, reason=reason, tokens=r.index)
        self.log.debug("req_ended", req=r.id, ending=ending, reason=reason, tokens=r.index, trace=r.trace)
        if message is not None:
            r.conn.send(message, spare=True)
        for forward in list(r.forwards.values()):
            if not forward.over:
                self._stop(forward, "cancelled")
        self._forget(r)

    # ---- what the desk decides ----

    def forward(self, id, engine, time_out):
        r = self.reqs.get(id)
        if r is None or r.answered:
            self.counters["decision_late"] += 1
            return
        role = self.roles.get(engine, "both")
        n, r.used = r.used, r.used + 1
        forward = Forward(r, n, "%s-%d" % (self._name(r), n), engine, role, time_out, clock.now())
        forward.state = r.held.state if r.held and role != "read" else None
        r.forwards[n] = forward
        forward.greenlet = gevent.spawn(self.engines.carry, forward, self)

    def push_back(self, id, wait, reason):
        r = self.reqs.get(id)
        if r is None or r.answered:
            self.counters["decision_late"] += 1
            return
        self.counters["pushed_back: " + reason] += 1
        self._answer(r, jsonrpc.pushed_back(r.rpc_id, reason, wait, self._name(r)), "pushed back", reason)

    def abort(self, id, reason):
        r = self.reqs.get(id)
        if r is None or r.answered:
            self.counters["decision_late"] += 1
            return
        self.counters["aborted: " + reason] += 1
        self._answer(r, jsonrpc.aborted(r.rpc_id, reason, self._name(r)), "aborted", reason)

    def cancel(self, id, n):
        r = self.reqs.get(id)
        forward = r and r.forwards.get(n)
        if forward and not forward.over and r.owner is not forward:
            self._stop(forward, "cancelled")

    def end_stream(self, id, n):
        r = self.reqs.get(id)
        forward = r and r.forwards.get(n)
        if forward and not forward.over:
            self._stop(forward, "cancelled")

    def let_go(self, id):
        r = self.reqs.get(id)
        held = r and r.held
        if held:
            r.held = None
            self._spawn_let_go(held.engine, held.forward_id, r)
            self._forget(r)

    def _spawn_let_go(self, engine, forward_id, r):
        self.counters["let_go"] += 1
        gevent.spawn(self.engines.let_go, engine, forward_id, r.trace)

    def wake(self, mark, after):
        self.desk.wake(mark, after)

    def wake_chain(self, after):
        self.desk.wake(CHAIN, after)

    def subscribe(self):
        """The list is followed all the time; the module asks only where it is told to."""
