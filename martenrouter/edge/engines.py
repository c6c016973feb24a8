"""Connections to engines: one greenlet carries one forward over one connection and says how it ended.

Every forward ends exactly once, in the module's words. What proves that nothing ran: no connection
(unreachable), and the statuses that wire/engine.py lists. A reset, even before a byte of answer, proves
nothing: the req was on the way.
"""

import gevent

from martenrouter.edge import clock
from martenrouter.edge.lines import Broke, Lines, Stopped
from martenrouter.wire import engine as wire
from martenrouter.wire import http

CHUNK = 64 * 1024
ANSWER_LIMIT = 1024 * 1024  # bytes of an answer that is not a stream


class Engines(Lines):
    def __init__(self, kept, connect_within, model, record, counters, log):
        """`kept`: decisions.connections.Connections; `connect_within` in microseconds."""
        super().__init__(kept, connect_within, counters)
        self.model, self.record, self.log = model, record, log

    def start(self, forward, hear):
        forward.greenlet = gevent.spawn(self.carry, forward, hear)

    def release(self, engine, forward_id, trace):
        gevent.spawn(self.let_go, engine, forward_id, trace)

    def carry(self, forward, hear):
        """Runs in the forward's greenlet. `hear` takes first_token(forward), tokens(forward, texts) and
        ended(forward, ending, note)."""
        connection, clean = None, False
        try:
            connection = self._connect(forward.engine)
            with gevent.Timeout(forward.time_out / 1e6 if forward.time_out else None) as patience:
                ending, note, clean = self._talk(forward, connection, hear, patience)
        except Stopped:
            return
        except gevent.Timeout:
            ending, note = "timed out", 0
        except Broke as why:
            ending, note = why.ending, 0
            self.log.debug(
                "forward_broke", forward=forward.id, engine=forward.engine, ending=ending, why=why.why
            )
        except Exception as why:
            # guards against a fault of this process: a forward without an end would be waited for to its
            # request's deadline
            ending, note = "unreachable" if connection is None else "reset", 0
            self.counters["forward_failed"] += 1
            self.log.error(
                "forward_failed",
                forward=forward.id,
                engine=forward.engine,
                error="%s: %s" % (type(why).__name__, why),
            )
        finally:
            if connection is not None and not clean:
                connection.abort()  # a request that its engine has not got whole by now never gets there
        if clean:
            self._close(self.kept.give(clock.now(), forward.engine, connection))
        hear.ended(forward, ending, note)

    def _talk(self, forward, connection, hear, patience):
        r, host = forward.req, "%s:%d" % self.addresses.get(forward.engine, ("gone", 0))
        if forward.role == "read":
            data = wire.read(host, forward.id, r.trace, self.model, r.body, r.tools, r.goes_on)
        else:
            data = wire.write(
                host,
                forward.id,
                r.trace,
                self.model,
                r.body,
                max(r.max_tokens - len(r.texts), 1),
                forward.state,
                r.key,
                r.tools,
                r.goes_on,
            )
        self.record(
            "forward_out",
            forward=forward.id,
            req=r.id,
            engine=forward.engine,
            role=forward.role,
            trace=r.trace,
            by=hear.desk.who(),
        )
        try:
            connection.sendall(data)
        except OSError as why:
            raise Broke("reset", str(why)) from why
        reader, head, body, events, finished = http.ResponseReader(), None, [], wire.Events(), False
        size = 0
        while True:
            try:
                data = connection.recv(CHUNK)
            except OSError as why:
                raise Broke("reset", str(why)) from why
            if not data:
                raise Broke("reset", "closed in mid-answer" if head else "closed without an answer")
            try:
                came = reader.feed(data)
            except http.BadBytes as why:
                raise Broke("error", "not HTTP: %s" % why) from why
            texts = []
            for at, event in enumerate(came, 1):
                if event[0] == "head":
                    head = event[1]
                    forward.load = wire.load_of(head.headers)
                elif event[0] == "body":
                    if head.status == 200 and forward.role != "read":
                        try:
                            finished = self._pieces(forward, events.feed(event[1]), texts, hear) or finished
                        except wire.BadAnswer as why:
                            raise Broke("error", str(why)) from why
                    else:
                        size += len(event[1])
                        if size > ANSWER_LIMIT:
                            raise Broke("error", "an answer over %d bytes" % ANSWER_LIMIT)
                        body.append(event[1])
                else:
                    ending, note, keep = self._end(forward, head, body, finished, texts, hear)
                    # what follows an answer was not asked for: the answer stands, the connection is done with
                    return ending, note, keep and at == len(came) and connection.quiet()
            if texts:
                if not forward.began:
                    patience.close()
                hear.tokens(forward, texts)
                if forward.over:
                    raise Stopped()  # its answer ends here: the connection is closed, and the engine stops

    def _pieces(self, forward, pieces, texts, hear):
        """Texts of an answer's pieces are put in `texts`; True when the answer said that it is whole. Raises
        BadAnswer."""
        finished = False
        for piece in pieces:
            if piece is None:
                finished = True
                continue
            if piece.usage is not None:
                forward.usage = piece.usage
            if piece.kv_transfer_params is not None:
                forward.kept = piece.kv_transfer_params
            for choice in piece.choices:
                if choice.delta.content:
                    texts.append(choice.delta.content)
                if choice.delta.tool_calls:
                    if texts:
                        hear.tokens(forward, list(texts))
                        texts.clear()
                    hear.calls(forward, forward.joiner.feed(choice.delta.tool_calls))
                if choice.finish_reason:
                    forward.finish = choice.finish_reason
                    hear.calls(forward, forward.joiner.finish())
        return finished

    def _end(self, forward, head, body, finished, texts, hear):
        """(ending, note, whether the connection can be used again)."""
        if head.status != 200:
            return (*wire.ending_of(head), head.keep)
        if forward.role != "read":
            if texts:
                hear.tokens(forward, texts)
            if not finished:
                raise Broke("reset", "the stream ended without a finish")
            if forward.finish == "tool_calls":
                if not forward.joiner.whole:
                    raise Broke("error", "a step ended for tools and named none")
                return "step", 0, head.keep
            return "done", 0, head.keep
        try:
            answer = wire.read_answer(b"".join(body))
        except wire.BadAnswer as why:
            raise Broke("error", str(why)) from why
        found = answer.usage.prompt_tokens_details.get("cached_tokens") or 0
        hear.read(forward, answer.kv_transfer_params, answer.usage.prompt_tokens)
        return "read", found if isinstance(found, int) else 0, head.keep

    def let_go(self, engine, forward_id, trace):
        """Runs in a greenlet of its own: a state, or a read that may still leave one, is let go."""
        for last in (False, True):
            connection, clean = None, False
            try:
                connection = self._connect(engine, also_left=True)
                host = "%s:%d" % (self.addresses.get(engine) or self.left.get(engine) or ("gone", 0))
                self.record("let_go_out", forward=forward_id, engine=engine, trace=trace)
                with gevent.Timeout(self.connect_within * 4, Broke("timed out", "no word")):
                    connection.sendall(wire.let_go(host, forward_id, trace))
                    reader = http.ResponseReader()
                    while not clean:
                        data = connection.recv(CHUNK)
                        if not data:
                            raise Broke("reset", "closed")
                        clean = any(event[0] == "end" for event in reader.feed(data))
                self._close(self.kept.give(clock.now(), engine, connection))
                return
            except (Broke, OSError, http.BadBytes) as why:
                if connection is not None:
                    connection.close()
                if last:
                    self.counters["let_go_failed"] += 1
                    self.log.info("let_go_failed", engine=engine, forward=forward_id, why=str(why))
