"""A front's hands: owns the facts, plays what a desk decides, and sees to it that each req is answered once.
No sockets here.

It is the writer that decisions go into (`forward`, `push_back`, `abort`, `cancel`, `let_go`, `wake`, …). A
decision about a req that is finished, or a forward that is over, does nothing and is counted: a decider in
another process may be late. What it is put together with (`desk`, `engines`, and the connections that call
`asked`, `answered`, `cancelled`, `client_left`) is on sockets in a running front (edge/front.py) and in
virtual time in the laboratory.
"""

import collections
import os

import msgspec
import xxhash

from martenrouter.decisions.conversations import NEVER_RAN, req_of
from martenrouter.decisions.lengths import Lengths
from martenrouter.edge import clock
from martenrouter.edge.desk import CHAIN
from martenrouter.edge.facts import Forward, Held, KeptAnswer, Listener, Req, ToolCall
from martenrouter.settings import front as settings_of
from martenrouter.wire import jsonrpc, tools


class Hands:
    def __init__(self, settings, record, log):
        """`desk` and `engines` are set by who puts the front together; `engines` takes start(forward, hear),
        stop(forward) and release(engine, forward id, trace)."""
        self.settings, self.record, self.log = settings, record, log
        self.counters = collections.Counter()
        self.groups = {group.name: group for group in settings.groups}
        self.role_by_kind = {kind.name: kind.role for kind in settings.kinds}
        self.roles = {}  # engine -> role
        self.customers = {customer.name for customer in settings.customers}
        self.keys, self.kept = (
            {},
            collections.OrderedDict(),
        )  # (customer, key) -> open req; -> KeptAnswer, oldest first
        self.tool_calls, self.last_call = (
            {},
            0,
        )  # JSON-RPC id of a call -> (req, call), while it may be answered
        self.reqs, self.last_id = {}, 0  # open reqs; those answered stay until their forwards are over
        self.boot = "%x" % (clock.wall() // 1000)  # tells this process's forwards from those of one before
        self.lengths, self.stopping = Lengths(), False
        self.desk = self.engines = self.books = None  # books: edge/books.py, where customers have budgets

    def count(self):
        """Reqs that still wait for their final answer."""
        return sum(not r.answered for r in self.reqs.values())

    def look_after(self, now):
        """Answers what a failed round has left behind, and gives up what nobody came back for. Called each
        some ten ms."""
        for r in [r for r in self.reqs.values() if now >= r.deadline and not r.answered]:
            self.counters["answered_overdue"] += 1
            self.desk.post("gone", r.id)
            self._answer(
                r,
                lambda id, r=r: jsonrpc.aborted(id, "fault in the front", self._name(r)),
                "aborted",
                "overdue",
            )
            self.let_go(r.id)
        for r in [
            r
            for r in self.reqs.values()
            if r.left_at is not None
            and not r.answered
            and now - r.left_at > settings_of.us(self.settings.limits.rejoin_within_ms)
        ]:
            self._gone(r)

    def list_came(self, call, version, scope, rows):
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
        if told.customer is not None and self.customers and told.customer not in self.customers:
            raise jsonrpc.BadParams("params.customer: %r is not known here" % told.customer)
        if group.effect == "keyed" and not told.key:
            raise jsonrpc.BadParams(
                "params.key: group %s is keyed, its reqs name an idempotency key" % group.name
            )
        found = tools.tools(told.tools or [])
        messages = told.messages or [jsonrpc.Message(role="user", content=told.prompt)]
        plain = [
            {name: value for name, value in msgspec.structs.asdict(message).items() if value is not None}
            for message in messages
        ]
        max_tokens = min(told.max_tokens or group.max_tokens, group.max_tokens)
        digest = None
        if told.key:
            digest = xxhash.xxh3_128_digest(
                msgspec.json.encode([plain, group.name, told.tools, max_tokens, told.session])
            )
            if self._known(conn, rpc_id, told, digest):
                return None
        now = clock.now()
        self.last_id += 1
        r = self.reqs[self.last_id] = Req(self.last_id, now)
        r.listeners.append(Listener(conn, rpc_id, 0))
        conn.reqs[rpc_id] = r
        sizes = [len((message.content or "").encode()) for message in messages]
        r.messages, r.body, r.size = plain, msgspec.Raw(msgspec.json.encode(plain)), sum(sizes)
        r.group, r.customer, r.session, r.key, r.digest = group, told.customer, told.session, told.key, digest
        r.key_at = (told.customer, told.key) if told.key else None
        if r.key_at:
            self.keys[r.key_at] = r
        r.tools, r.repeatable = (
            tools.for_engine(found) or None,
            {tool.name: tool.repeatable for tool in found},
        )
        r.max_tokens = max_tokens
        r.trace = told.trace or "00-%s-%s-01" % (os.urandom(16).hex(), os.urandom(8).hex())
        r.deadline = now + settings_of.us(
            told.deadline_ms if told.deadline_ms is not None else group.deadline_ms
        )
        prefix, shared = None, 0
        if len(messages) > 1 and messages[0].role == "system":
            prefix = xxhash.xxh64_hexdigest((messages[0].content or "").encode())
            shared = self.lengths.guess(group.name, sizes[0])
        hint = settings_of.us(told.expected_tokens * group.token_target_ms) if told.expected_tokens else None
        self.counters["taken"] += 1
        self.record(
            "req_in", req=r.id, conn=conn.id, id=rpc_id, trace=r.trace, group=group.name, deadline=r.deadline
        )
        r.told = (
            group.name,
            told.customer,
            told.session,
            r.deadline,
            hint,
            prefix,
            self.lengths.guess(group.name, r.size),
            shared,
            r.max_tokens,
            1 if hint else 0,
        )
        r.conn_id = conn.id
        if self.books is not None:
            refused = self.books.taken(r, r.told[6])
            if refused is not None:
                reason, after = refused
                self._answer(
                    r, lambda id: jsonrpc.pushed_back(id, reason, after, self._name(r)), "pushed back", reason
                )
                return None
            self.books.opened_(r, self._name(r))
        self.desk.post("arrived", r.id, *r.told, conn.id)
        return None

    def _known(self, conn, rpc_id, told, digest):
        """Whether a key was used before: the open req is joined, a final answer that is kept is given
        again."""
        at = told.customer, told.key
        r, kept = self.keys.get(at), self.kept.get(at)
        if kept and kept.until <= clock.now():
            del self.kept[at]
            kept = None
        if r is None and kept is None:
            return False
        if (r or kept).digest != digest:
            raise jsonrpc.BadParams("params.key: %r was used with another body" % told.key)
        listener = Listener(conn, rpc_id, told.from_index or 0)
        if kept:
            self.counters["answer_given_again"] += 1
            self._tell(listener, kept.texts)
            conn.send(kept.final(rpc_id), spare=True)
            return True
        self.counters["req_joined"] += 1
        alone, r.left_at = not r.listeners, None
        r.listeners.append(listener)
        conn.reqs[rpc_id] = r
        self._tell(listener, r.texts)
        if alone:
            # what was asked of a connection that is gone is asked again, as the same call: its client runs it
            # once
            for call in r.calls.values():
                if call.wanted and call.result is None:
                    self._send_call(r, call)
        return True

    def _tell(self, listener, texts):
        """Tokens that a listener has not had yet."""
        if listener.index < len(texts) and not listener.stuck:
            message = jsonrpc.call(
                "generate/token",
                {"id": listener.rpc_id, "index": listener.index, "tokens": texts[listener.index :]},
            )
            if listener.conn.send(message):
                listener.index = len(texts)
            else:
                listener.stuck = True
                self.counters["client_too_slow"] += 1

    def answered(self, conn, answer):
        """A client's response to tools/call; late, repeated or unknown ones change nothing and are
        counted."""
        r, call = self.tool_calls.get(answer.id, (None, None))
        if r is None or not any(listener.conn is conn for listener in r.listeners):
            self.counters["tool_answer_unknown"] += 1
        elif call.result is not None:
            self.counters["tool_answer_repeated"] += 1
        else:
            text = tools.result_text(answer)
            if len(text.encode()) > self.settings.limits.tool_result_bytes:
                self.counters["tool_result_too_big"] += 1
                reason = "a result over %d bytes" % self.settings.limits.tool_result_bytes
                self._result(r, call, "error: " + reason, reason)
            else:
                self._result(r, call, text, None)
            self.desk.post("tool", r.id, call.identity, *self._size(r))

    def _result(self, r, call, text, failed):
        call.result, call.failed = text, failed is not None
        self.record("tool_result", req=r.id, trace=r.trace, call=call.identity, failed=failed)
        if failed:
            for listener in r.listeners:
                listener.conn.send(tools.failed(listener.rpc_id, call.identity, failed), spare=True)

    def _size(self, r):
        """(tokens of prompt, answer so far and results; tokens left to be written), as guessed."""
        more = sum(len(text) for text in r.step_texts) + sum(
            len(call.whole.text) + len(call.result or "") for call in r.step_calls
        )
        return self.lengths.guess(r.group.name, r.size + more), max(r.max_tokens - len(r.texts), 1)

    def cancelled(self, conn, rpc_id):
        r = conn.reqs.get(rpc_id)
        if r is None:
            self.counters["cancel_unknown"] += 1
            return
        self.counters["client_cancelled"] += 1
        message = jsonrpc.aborted(rpc_id, "cancelled by the client", self._name(r))
        if len(r.listeners) > 1:  # another connection still wants it
            r.listeners = [
                listener
                for listener in r.listeners
                if listener.conn.reqs is not conn.reqs or listener.rpc_id != rpc_id
            ]
            del conn.reqs[rpc_id]
            conn.send(message, spare=True)
            return
        self.desk.post("gone", r.id)
        self._answer(r, lambda id: message, "aborted", "cancelled")

    def client_left(self, conn):
        for r in list(conn.reqs.values()):
            r.listeners = [listener for listener in r.listeners if listener.conn is not conn]
            if r.listeners:
                continue
            if r.key_at:
                r.left_at = clock.now()  # it may come back for it
            else:
                self._gone(r)
        conn.reqs.clear()

    def _gone(self, r):
        self.counters["client_left"] += 1
        self.desk.post("gone", r.id)
        self._answer(r, None, "client left", "")

    # ---- what engines say ----

    def _begun(self, forward):
        """Whether this forward's answer is the client's; the first of a leg to say anything is."""
        r = forward.req
        if forward.over or r.answered or forward.leg != r.leg_id:
            return False
        if r.owner is None:
            r.owner, r.held = forward, None  # the state is with the writer now
            forward.began = True
            self.desk.post("first_token", forward.leg, forward.n, forward.engine, clock.now() - forward.sent)
        elif r.owner is not forward:
            self.counters["late_answer_dropped"] += 1
            self._stop(forward, "cancelled")
            return False
        return True

    def tokens(self, forward, texts):
        if not self._begun(forward):
            return
        r = forward.req
        self.desk.flow[forward.leg] = self.desk.flow.get(forward.leg, 0) + len(texts)
        r.texts += texts
        r.step_texts += texts
        if self.books is not None and not self.books.wrote(r):
            # the token that would pass the cap is not the client's; the answer ends before it, and its engine
            # hears of it
            del r.texts[len(r.texts) - len(texts) :], r.step_texts[len(r.step_texts) - len(texts) :]
            forward.finish = "budget"
            self.ended(forward, "done", 0)
            self.engines.stop(forward)
            return
        for listener in r.listeners:
            self._tell(listener, r.texts)
        if not r.swamped and r.listeners and all(listener.stuck for listener in r.listeners):
            r.swamped = True
            self.desk.post("swamped", r.id)

    def calls(self, forward, whole):
        """Tool calls that are complete; each has an identity that outlives the writer: its place and what it
        asks."""
        if not whole or not self._begun(forward):
            return
        r = forward.req
        for one in whole:
            asks = xxhash.xxh64_hexdigest(
                one.name.encode() + msgspec.json.encode(one.arguments, order="sorted")
            )
            identity = "%d.%d.%s" % (r.step, one.index, asks)
            call = r.calls.get(identity)
            if call is None:
                for old in [
                    old for old in r.calls.values() if (old.step, old.whole.index) == (r.step, one.index)
                ]:
                    self._changed(r, old)
                self.last_call += 1
                call = r.calls[identity] = ToolCall(identity, "t%d" % self.last_call, one, r.step)
                self.desk.post("call", forward.leg, identity, one.name, r.repeatable.get(one.name, False))
            else:
                self.counters["tool_call_asked_again"] += 1
            if call not in r.step_calls:
                r.step_calls.append(call)

    def _changed(self, r, old):
        """Written anew, the engine asks for something else at the place of a call: that one is left out of
        the answer."""
        self.counters["tool_call_changed"] += 1
        if old in r.step_calls:
            r.step_calls.remove(old)
        if old.result is None:
            old.result = "error: no longer asked for"
        old.dropped = True
        self.desk.post("changed", r.id, old.identity)

    def read(self, forward, state, prompt_tokens):
        """A read is done and its state waits at the reader."""
        r = forward.req
        if not r.leg:
            r.prompt_tokens = prompt_tokens
            if self.books is not None:
                self.books.read(r, prompt_tokens)
            self.lengths.told(r.group.name, r.size, prompt_tokens)
        if not forward.over:
            r.held, r.reader = Held(forward.engine, forward.id, state), forward.engine

    def ended(self, forward, ending, note):
        """A forward's end, exactly once each; what comes after a cancel is dropped."""
        if forward.over:
            return
        r = forward.req
        if forward is r.owner and ending in ("reset", "error") and len(r.texts) >= r.max_tokens:
            # all that it may hold is there; only the word that it ends is missing
            ending, forward.finish = "done", "length"
        if ending in ("done", "step"):
            self._begun(forward)  # also an answer without a token
            if forward.over:
                return
        forward.over = True
        r.forwards.pop((forward.leg, forward.n), None)
        self.counters["forward_" + ending.replace(" ", "_")] += 1
        self.log.debug("forward_ended", req=r.id, forward=forward.id, engine=forward.engine, ending=ending)
        if ending == "full" and note == 1:
            r.held = None
        if forward.role == "read" and ending not in ("read", "full", "unreachable", "error"):
            # the read may have ended there while this end of the connection was being closed: nobody would
            # know of it
            self._release(forward.engine, forward.id, r)
        elif (
            r.tools
            and forward.role != "read"
            and (r.answered and ending == "step" or ending not in ("done", "step", "full", "unreachable"))
        ):
            # its step may have ended there, with a state kept that was never heard of
            self._release(forward.engine, forward.id, r)
        now = clock.now()
        elapsed = now - forward.sent
        if (
            ending != "unreachable"
        ):  # one that never left changes nothing for what is held, and a reset may not have come there
            r.since = (
                r.since + elapsed if ending == "reset" else now
            )  # as the module's release clock: rules.py, outcome
        if (
            forward.role != "read"
            and r.effect is None
            and ending not in NEVER_RAN
            and forward.leg == r.leg_id
        ):
            r.effect = forward.n, forward.engine, forward.sent
        if forward.usage is not None:
            r.usage[0] += forward.usage.prompt_tokens
            r.usage[1] += forward.usage.completion_tokens
        if ending == "step" and not r.answered:
            r.paused = True
            if forward.kept is not None:
                r.held, r.reader = Held(forward.engine, forward.id, forward.kept), forward.engine
            self.desk.post(
                "step",
                forward.leg,
                forward.n,
                forward.engine,
                elapsed,
                forward.load,
                r.held is not None,
                [
                    (call.identity, call.whole.name, r.repeatable.get(call.whole.name, False))
                    for call in r.step_calls
                    if call.result is None
                ],
                *self._size(r),
            )
            return
        if ending == "done" and not r.answered:
            result = {
                "ending": "done",
                "finish_reason": forward.finish,
                "tokens": len(r.texts),
                "req": self._name(r),
                "usage": {"prompt_tokens": r.usage[0], "completion_tokens": r.usage[1]},
            }
            self._answer(r, lambda id: jsonrpc.result(id, result), "done", "")
        self.desk.post(
            "outcome",
            forward.leg,
            forward.n,
            "done" if ending == "step" else ending,
            forward.engine,
            elapsed,
            r.answered,
            note,
            forward.load,
        )
        self._forget(r)

    def _forget(self, r):
        """A req stays known until its last forward is over and its state let go: answering releases
        nothing."""
        if r.answered and not r.forwards and r.held is None:
            self.reqs.pop(r.id, None)

    def _stop(self, forward, ending):
        """Closes a forward that is out; its end is said here, whatever its greenlet had got to."""
        self.ended(forward, ending, 0)
        self.engines.stop(forward)

    def _answer(self, r, final, ending, reason):
        """The final answer, to all who listen; from here on nothing is sent for the req. `final` makes the
        message for a JSON-RPC id; None: nobody is left to hear it."""
        if r.answered:
            return
        r.answered = True
        for forward in list(r.forwards.values()):
            if not forward.over:
                self._stop(forward, "cancelled")
        if self.books is not None and ending in ("done", "pushed back", "aborted", "client left"):
            got = ending == "done" or ending == "client left" or reason == "cancelled"
            if got and (r.texts or ending == "done"):
                # booked before it is told: of what a crash loses, no client was told that it is done
                return self.books.settled(
                    r,
                    self._name(r),
                    self._prompt(r),
                    lambda booked: self._final(
                        r,
                        *(
                            (final, ending, reason)
                            if booked or ending != "done"
                            else (
                                lambda id: jsonrpc.aborted(id, "usage can't be booked", self._name(r)),
                                "aborted",
                                "not booked",
                            )
                        ),
                    ),
                )
            self.books.dropped(r, self._name(r), self._prompt(r))
        self._final(r, final, ending, reason)

    def _prompt(self, r):
        """Tokens of the prompt as it was asked: as an engine counted them, else as guessed."""
        return r.prompt_tokens or r.usage[0] or r.told[6]

    def _final(self, r, final, ending, reason):
        self.counters["req_" + ending.replace(" ", "_")] += 1
        self.record("req_out", req=r.id, trace=r.trace, ending=ending, reason=reason, tokens=len(r.texts))
        self.log.debug(
            "req_ended", req=r.id, ending=ending, reason=reason, tokens=len(r.texts), trace=r.trace
        )
        if r.key_at:
            self.keys.pop(r.key_at, None)
            if final is not None and ending != "pushed back":  # a retry after a pushback wants a new try
                self.kept[r.key_at] = KeptAnswer(
                    r.digest, r.texts, final, clock.now() + settings_of.us(r.group.repeat_window_ms)
                )
                while len(self.kept) > self.settings.limits.answers_kept:
                    self.kept.popitem(last=False)
        for listener in r.listeners:
            listener.conn.reqs.pop(listener.rpc_id, None)
            if final is not None:
                listener.conn.send(final(listener.rpc_id), spare=True)
        for call in r.calls.values():
            self.tool_calls.pop(call.rpc_id, None)
        self._forget(r)

    # ---- what the desk decides; `leg` is the id of a req's leg ----

    def _open(self, leg):
        """The req of a decision that still counts, else None."""
        r = self.reqs.get(req_of(leg))
        if r is None or r.answered or leg >> 32 and leg != r.leg_id:
            self.counters["decision_late"] += 1
            return None
        return r

    def forward(self, leg, engine, time_out):
        r = self._open(leg)
        if r is None:
            return
        role = self.roles.get(engine, "both")
        n, r.used = r.used, r.used + 1
        forward = Forward(
            r,
            leg,
            n,
            "%s-%s-%d.%d-%d" % (self.settings.name, self.boot, r.id, r.leg, n),
            engine,
            role,
            time_out,
            clock.now(),
            tools.Joiner(self.settings.limits.tool_arguments_bytes),
        )
        forward.state = r.held.state if r.held and role != "read" else None
        r.forwards[(leg, n)] = forward
        self.engines.start(forward, self)

    def push_back(self, leg, wait, reason):
        r = self._open(leg)
        if r is not None:
            self.counters["pushed_back: " + reason] += 1
            self._answer(
                r, lambda id: jsonrpc.pushed_back(id, reason, wait, self._name(r)), "pushed back", reason
            )

    def abort(self, leg, reason):
        r = self._open(leg)
        if r is not None:
            self.counters["aborted: " + reason] += 1
            self._answer(r, lambda id: jsonrpc.aborted(id, reason, self._name(r)), "aborted", reason)

    def cancel(self, leg, n):
        r = self.reqs.get(req_of(leg))
        forward = r and r.forwards.get((leg, n))
        if forward and not forward.over and r.owner is not forward:
            self._stop(forward, "cancelled")

    def end_stream(self, leg, n):
        r = self.reqs.get(req_of(leg))
        forward = r and r.forwards.get((leg, n))
        if forward and not forward.over:
            self._stop(forward, "cancelled")

    def let_go(self, leg):
        r = self.reqs.get(req_of(leg))
        held = r and r.held
        if held:
            r.held = None
            self._release(held.engine, held.forward_id, r)
            self._forget(r)

    def call_tool(self, id, identity):
        r = self._open(id)
        if r is not None:
            call = r.calls[identity]
            call.wanted, call.sent_at = True, clock.now()
            self._send_call(r, call)

    def _send_call(self, r, call):
        """To the connection that came last; with none, it waits until the client is back."""
        if r.listeners and call.result is None:
            listener, again = r.listeners[-1], call.conn is not None
            call.conn = listener.conn
            self.tool_calls[call.rpc_id] = r, call
            self.counters["tool_call_sent_again" if again else "tool_call_sent"] += 1
            self.record("tool_out", req=r.id, trace=r.trace, call=call.identity, name=call.whole.name)
            listener.conn.send(
                tools.call(call.rpc_id, listener.rpc_id, call.identity, call.whole, again), spare=True
            )

    def fail_call(self, id, identity, why):
        r = self._open(id)
        if r is not None and r.calls[identity].result is None:
            self.counters["tool_call_failed"] += 1
            self._result(r, r.calls[identity], "error: " + why, why)

    def next_leg(self, id, anew):
        """The next leg's prompt: the calls and their results after the step, or the answer so far to be gone
        on with."""
        r = self._open(id)
        if r is None:
            return
        r.leg += 1
        r.used, r.owner, r.effect, r.paused, r.leg_at = 0, None, None, False, clock.now()
        r.rewrites += anew
        if anew:
            self.counters["answer_read_anew"] += 1
            so_far = "".join(r.step_texts)
            r.goes_on, r.step_calls = bool(so_far), []
            body = r.messages + ([{"role": "assistant", "content": so_far}] if so_far else [])
        else:
            said = {
                "role": "assistant",
                "tool_calls": [
                    {
                        "id": call.whole.id,
                        "type": "function",
                        "function": {"name": call.whole.name, "arguments": call.whole.text},
                    }
                    for call in r.step_calls
                ],
            }
            if r.step_texts:
                said["content"] = "".join(r.step_texts)
            r.messages = (
                r.messages
                + [said]
                + [
                    {"role": "tool", "tool_call_id": call.whole.id, "content": call.result or ""}
                    for call in r.step_calls
                ]
            )
            r.size += sum(len(text) for text in r.step_texts) + sum(
                len(call.whole.text) + len(call.result or "") for call in r.step_calls
            )
            r.step, r.step_texts, r.step_calls, r.goes_on = r.step + 1, [], [], False
            body = r.messages
        r.body = msgspec.Raw(msgspec.json.encode(body))

    def _release(self, engine, forward_id, r):
        self.counters["let_go"] += 1
        self.engines.release(engine, forward_id, r.trace)

    def wake(self, mark, after):
        self.desk.wake(mark, after)

    def wake_chain(self, after):
        self.desk.wake(CHAIN, after)

    def subscribe(self):
        """The list is followed all the time; the module asks only where it is told to."""
