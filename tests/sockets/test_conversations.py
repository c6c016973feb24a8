"""Answers that stop for tools: the cases in which a conversation could be lost, doubled or spoilt, each on
sockets."""

import unittest

import gevent

from martenrouter.edge import clock
from martenrouter.wire import http, jsonrpc
from tests.sockets.rig import Engine, Rig, ending

TOOLS = [{"name": "meter", "repeatable": True}, {"name": "bill", "repeatable": True}, {"name": "set_valve"}]


def asks(*calls, text=("so ",), keep=True):
    """A writer's script: a step that asks for `calls` (name, arguments as text), then an answer that ends."""

    def script(engine, sock, told, nth):
        if engine.kind == "rd":
            return engine.read(sock, told)
        if (
            any(message["role"] == "tool" for message in told["messages"])
            or told["messages"]
            and told["messages"][0]["content"] == "plain"
        ):
            return engine.answer(sock, told)
        engine.tokens(sock, text)
        for i, (name, arguments) in enumerate(calls):
            piece = {
                "index": i,
                "id": "c%d" % i,
                "type": "function",
                "function": {"name": name, "arguments": ""},
            }
            engine.event(sock, {"choices": [{"delta": {"tool_calls": [piece]}}]})
            for part in (arguments[:4], arguments[4:]):
                piece = {"index": i, "function": {"arguments": part}}
                engine.event(sock, {"choices": [{"delta": {"tool_calls": [piece]}}]})
        step_ends(engine, sock, told, keep)

    return script


def step_ends(engine, sock, told, keep=True):
    last = {"choices": [{"delta": {}, "finish_reason": "tool_calls"}]}
    if keep:
        last["kv_transfer_params"] = {
            "do_remote_prefill": True,
            "remote_request_id": told["forward"],
            "remote_engine_id": engine.id,
        }
    engine.event(sock, last)
    sock.sendall(http.chunk(b"data: [DONE]\n\n") + http.chunk(b""))


ONE = asks(("meter", '{"id": 7}'))


class Case(unittest.TestCase):
    def rig(self, *engines, **settings):
        rig = Rig(*engines, **settings)
        self.addCleanup(rig.close)
        return rig

    def talk(self, rig, tool=None, **params):
        """(client, id, messages that came): an open generate with tools; `tool(params)` answers its calls."""
        came = []
        client = rig.client(heard=came.append)
        client.tool = tool
        self.addCleanup(client.close)
        return (
            client,
            client.begin(
                "generate", {"prompt": "read my meter", "tools": TOOLS, "deadline_ms": 4000, **params}
            ),
            came,
        )

    def calls(self, came):
        return [message for message in came if message.get("method") == "tools/call"]

    def tokens(self, came):
        return [t for m in came if m.get("method") == "generate/token" for t in m["params"]["tokens"]]

    def finals(self, came, id):
        return [m for m in came if "method" not in m and m.get("id") == id]


def text(value):
    return {"content": [{"type": "text", "text": value}]}


class Path(Case):
    def test_the_answer_goes_on_at_the_writer_that_kept_it(self):
        rig = self.rig(Engine("r", "rd"), *[Engine("w%d" % i, "wr", script=ONE) for i in range(3)])
        client, id, came = self.talk(rig, lambda params: text("42 kWh"))
        self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual(self.tokens(came), ["so ", "a", "b", "c"])
        indexes = [m["params"]["index"] for m in came if m.get("method") == "generate/token"]
        self.assertEqual(indexes, sorted(indexes))
        (call,) = self.calls(came)
        self.assertEqual((call["params"]["name"], call["params"]["arguments"]), ("meter", {"id": 7}))
        wrote = [engine for engine in rig.engines.values() if engine.kind == "wr" and engine.calls]
        self.assertEqual([len(engine.calls) for engine in wrote], [2])
        told = wrote[0].calls[1]
        self.assertEqual([m["role"] for m in told["messages"]], ["user", "assistant", "tool"])
        self.assertEqual((told["messages"][1]["content"], told["messages"][2]["content"]), ("so ", "42 kWh"))
        self.assertEqual(told["kv_transfer_params"]["remote_request_id"], wrote[0].calls[0]["forward"])
        self.assertEqual((len(rig.engines["r"].calls), rig.front.reqs, rig.front.tool_calls), (1, {}, {}))

    def test_a_long_pause_lets_the_state_go_in_time_and_is_read_anew(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
        client, id, came = self.talk(rig, lambda params: gevent.sleep(0.6) or text("x"))
        rig.until(lambda: rig.engines["w"].released, 1)
        self.assertEqual(self.calls(came)[0]["params"]["name"], "meter")
        self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual(([len(e.calls) for e in rig.engines.values()], len(self.calls(came))), ([2, 2], 1))
        self.assertEqual(rig.engines["w"].released, [rig.engines["w"].calls[0]["forward"]])

    def test_a_tool_that_is_known_to_be_slow_gets_no_hold(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
        for i in range(2):
            client, id, came = self.talk(rig, lambda params: gevent.sleep(0.5) or text("x"))
            client.wait(id, 5)
        client, id, came = self.talk(rig, lambda params: gevent.sleep(0.5) or text("x"))
        rig.until(lambda: self.calls(came))
        rig.until(lambda: len(rig.engines["w"].released) == 3, 0.2)
        self.assertEqual(ending(client.wait(id, 5)), "done")

    def test_several_calls_in_any_order_and_errors(self):
        both = asks(("meter", '{"id": 1}'), ("bill", "{}"))
        for answers, contents in (
            ((lambda p: gevent.sleep(0.1) or text("m"), lambda p: text("b")), ["m", "b"]),
            (
                (
                    lambda p: text("m"),
                    lambda p: {"content": [{"type": "text", "text": "no"}], "isError": True},
                ),
                ["m", "error: no"],
            ),
            (
                (lambda p: "what", lambda p: text("y" * 100)),
                ["error: the tool answered in no known shape", "error: a result over 50 bytes"],
            ),
        ):
            rig = self.rig(
                Engine("r", "rd"), Engine("w", "wr", script=both), limits={"tool_result_bytes": 50}
            )
            client, id, came = self.talk(rig, lambda p: answers[p["name"] == "bill"](p))
            self.assertEqual(ending(client.wait(id, 5)), "done")
            told = rig.engines["w"].calls[1]["messages"]
            self.assertEqual([m["content"] for m in told if m["role"] == "tool"], contents)

    def test_steps_are_bounded(self):
        def always(engine, sock, told, nth):
            asks(("meter", '{"n": %d}' % nth))(engine, sock, {**told, "messages": []}, nth)

        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=always), limits={"tool_steps": 3})
        client, id, came = self.talk(rig, lambda p: text("x"))
        answer = client.wait(id, 5)
        self.assertEqual(
            (answer["error"]["data"]["reason"], len(self.calls(came))), ("too many tool steps", 3)
        )
        rig.until(lambda: rig.engines["w"].released, 1)


class Failures(Case):
    def answer_when(self, rig, then, **params):
        """Plays a pause; `then(rig)` happens in it before the tool's reply. Returns (ending, came, the writer
        first used)."""

        def tool(p):
            then(rig)
            gevent.sleep(0.1)
            return text("42")

        client, id, came = self.talk(rig, tool, **params)
        answer = client.wait(id, 6)
        gevent.sleep(0.05)
        self.assertEqual(len(self.finals(came, id)), 1)
        return answer, came

    def first_writer(self, rig):
        return max((e for e in rig.engines.values() if e.kind == "wr"), key=lambda e: len(e.calls))

    def writers(self, **more):
        return [Engine("r", "rd"), *[Engine("w%d" % i, "wr", script=ONE, **more) for i in range(3)]]

    def test_the_writer_is_declared_gone_drains_or_is_another_process_before_the_reply(self):
        for phase, start in (("gone", 0), ("draining", 0), ("up", 1_700_000_000_000_000)):
            with self.subTest(phase=phase, start=start):
                rig = self.rig(*self.writers())

                def change(rig):
                    first = self.first_writer(rig)
                    first.phase, first.start = phase, start
                    rig.tell()
                    front = rig.front.desk.chain.front
                    rig.until(
                        lambda: (
                            first.id not in front.engines
                            or not front.engines[first.id].up
                            or front.engines[first.id].born
                        )
                    )
                    change.first, change.seen = first, len(first.calls)

                answer, came = self.answer_when(rig, change)
                self.assertEqual((ending(answer), self.tokens(came)), ("done", ["so ", "a", "b", "c"]))
                if phase != "up":
                    self.assertEqual(len(change.first.calls), change.seen, "went on at an engine that leaves")
                if start:
                    self.assertEqual(len(rig.engines["r"].calls), 2)

    def test_the_writer_dies_in_the_pause(self):
        rig = self.rig(*self.writers())
        answer, came = self.answer_when(rig, lambda rig: self.first_writer(rig).die())
        self.assertEqual(
            (ending(answer), self.tokens(came), len(self.calls(came))), ("done", ["so ", "a", "b", "c"], 1)
        )

    def test_the_writer_is_found_slow_in_the_pause(self):
        """It is told to have failed three times; the state is fetched from it by another writer."""
        rig = self.rig(*self.writers())

        def condemn(rig):
            condemn.first = self.first_writer(rig)
            rig.front.desk.chain.front.engines[condemn.first.id].fail(clock.now(), 3)

        answer, came = self.answer_when(rig, condemn)
        self.assertEqual((ending(answer), self.tokens(came)), ("done", ["so ", "a", "b", "c"]))
        later = [
            call
            for engine in rig.engines.values()
            if engine.kind == "wr" and engine is not condemn.first
            for call in engine.calls
        ]
        self.assertEqual(
            [call["kv_transfer_params"]["remote_engine_id"] for call in later], [condemn.first.id]
        )
        self.assertEqual(len(rig.engines["r"].calls), 1)

    def test_the_reader_with_the_prompt_kept_dies_in_a_long_pause(self):
        rig = self.rig(Engine("r", "rd"), Engine("r2", "rd"), Engine("w", "wr", script=ONE))

        def die(rig):
            home = max((rig.engines["r"], rig.engines["r2"]), key=lambda engine: len(engine.calls))
            home.die()
            gevent.sleep(0.5)  # the writer's state is let go meanwhile

        answer, came = self.answer_when(rig, die)
        self.assertEqual(
            (ending(answer), self.tokens(came), len(self.calls(came))), ("done", ["so ", "a", "b", "c"], 1)
        )

    def test_reply_and_death_in_the_same_round(self):
        rig = self.rig(*self.writers())
        came = []
        client = rig.client(heard=came.append)
        id = client.begin("generate", {"prompt": "x", "tools": TOOLS, "deadline_ms": 4000})
        rig.until(lambda: self.calls(came))
        first = self.first_writer(rig)
        r, call = next(iter(rig.front.tool_calls.values()))
        rows = [("gone", 1.0, "z", first.id, 0, "wr", None)]
        first.die()
        call.result = "42"
        rig.front.desk.post("listed", 99, "changes", rows)
        rig.front.desk.post("tool", r.id, call.identity, *rig.front._size(r))
        self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual(self.tokens(came), ["so ", "a", "b", "c"])

    def test_the_state_is_gone_when_the_answer_goes_on(self):
        def lost(engine, sock, told, nth):
            if told.get("kv_transfer_params", {}).get("remote_engine_id") == engine.id:
                return engine.refuse(sock, 412)
            ONE(engine, sock, told, nth)

        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=lost))
        answer, came = self.answer_when(rig, lambda rig: None)
        self.assertEqual((ending(answer), len(rig.engines["r"].calls)), ("done", 2))

    def test_the_writer_breaks_between_two_calls_and_the_first_is_not_asked_again(self):
        def breaks(engine, sock, told, nth):
            if any(message["role"] == "tool" for message in told["messages"]):
                return engine.answer(sock, told)
            if not told.get("continue_final_message"):
                engine.tokens(sock, ["so "])
                for i, name in enumerate(("meter", "bill")):
                    piece = {"index": i, "id": "c%d" % i, "function": {"name": name, "arguments": "{}"}}
                    engine.event(sock, {"choices": [{"delta": {"tool_calls": [piece]}}]})
                gevent.sleep(0.3)
                engine.reset(sock)
            asks(("meter", "{}"), ("bill", "{}"), text=())(engine, sock, told, nth)

        rig = self.rig(Engine("r", "rd"), *[Engine("w%d" % i, "wr", script=breaks) for i in range(2)])
        client, id, came = self.talk(rig, lambda p: text("m"))
        self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual([c["params"]["name"] for c in self.calls(came)], ["meter", "bill"])
        self.assertEqual(
            (self.tokens(came), rig.front.counters["tool_call_asked_again"]), (["so ", "a", "b", "c"], 1)
        )

    def test_written_anew_it_asks_for_something_else(self):
        for name, then in (("meter", "done"), ("set_valve", "aborted")):
            with self.subTest(tool=name):

                def breaks(engine, sock, told, nth):
                    if any(message["role"] == "tool" for message in told["messages"]):
                        return engine.answer(sock, told)
                    if not told.get("continue_final_message"):
                        engine.tokens(sock, ["so "])
                        for i in range(2):
                            piece = {
                                "index": i,
                                "id": "c%d" % i,
                                "function": {"name": name, "arguments": "{}"},
                            }
                            engine.event(sock, {"choices": [{"delta": {"tool_calls": [piece]}}]})
                        gevent.sleep(0.3)
                        engine.reset(sock)
                    asks((name, '{"other": 1}'), text=())(engine, sock, told, nth)

                rig = self.rig(Engine("r", "rd"), *[Engine("w%d" % i, "wr", script=breaks) for i in range(2)])
                client, id, came = self.talk(rig, lambda p: text("m"))
                self.assertEqual(ending(client.wait(id, 5)), then)

    def test_spoilt_arguments_end_the_stream(self):
        def endless(engine, sock, told, nth):
            piece = {"index": 0, "id": "c", "function": {"name": "meter", "arguments": "{"}}
            engine.tokens(sock, ["so "])
            while True:
                engine.event(sock, {"choices": [{"delta": {"tool_calls": [piece]}}]})
                piece = {"index": 0, "function": {"arguments": " " * 5000}}
                gevent.sleep(0.001)

        def bare(engine, sock, told, nth):
            engine.tokens(sock, ["so "])
            step_ends(engine, sock, told)

        for script in (
            asks(("meter", '{"id": ')),
            asks(("meter", "[1]")),
            asks(("meter", "{}"), ("bill", '{"a"')),
            endless,
            bare,
        ):
            rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=script))
            client, id, came = self.talk(rig, lambda p: text("x"), group="order")
            self.assertEqual(ending(client.wait(id, 5)), "aborted")
            rig.until(lambda: rig.engines["w"].released, 1)  # a step it may have ended there is let go

    def test_the_deadline_passes_while_a_call_waits_for_a_place(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE), limits={"pauses": 1})
        blocker, _, came = self.talk(rig, lambda p: gevent.sleep(30))
        rig.until(lambda: self.calls(came))
        client, id, came = self.talk(rig, deadline_ms=600)
        answer = client.wait(id, 2)
        self.assertEqual(
            (ending(answer), answer["error"]["data"]["reason"], self.calls(came)),
            ("pushed back", "deadline in a pause", []),
        )
        rig.until(lambda: len(rig.engines["w"].released) == 2, 1)

    def test_a_call_with_effects_makes_a_pushback_an_abort(self):
        """The tool ran, then no writer takes the rest: a retry would run it again."""
        for tool, then in (("meter", "pushed back"), ("set_valve", "aborted")):

            def refuses(engine, sock, told, nth):
                if any(message["role"] == "tool" for message in told["messages"]):
                    return engine.refuse(sock)
                asks((tool, "{}"))(engine, sock, told, nth)

            rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=refuses))
            client, id, came = self.talk(rig, lambda p: text("x"), deadline_ms=1500)
            self.assertEqual((ending(client.wait(id, 3)), len(self.calls(came))), (then, 1))

    def test_a_call_out_of_time_counts_as_failed(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE), limits={"tool_call_within_ms": 300})
        client, id, came = self.talk(rig, lambda p: gevent.sleep(30))
        self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual(
            [m["params"]["reason"] for m in came if m.get("method") == "tools/failed"], ["no answer in time"]
        )
        self.assertEqual(rig.engines["w"].calls[1]["messages"][2]["content"], "error: no answer in time")

    def test_the_client_goes_in_the_pause(self):
        for how in ("close", "cancel"):
            rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
            client, id, came = self.talk(rig, lambda p: gevent.sleep(30))
            rig.until(lambda: self.calls(came))
            client.cancel(id) if how == "cancel" else client.close()
            rig.until(lambda: rig.engines["w"].released and not rig.front.reqs, 0.3)
            self.assertEqual((rig.front.desk.chain.talks.talks, rig.front.desk.chain.talks.out_now), ({}, 0))

    def test_a_clean_stop_with_paused_conversations(self):
        rig = self.rig(
            Engine("r", "rd"),
            Engine("w", "wr", script=asks(("set_valve", "{}"))),
            limits={"stop_within_ms": 500},
        )
        client, id, came = self.talk(rig, lambda p: gevent.sleep(30))
        rig.until(lambda: self.calls(came))
        gevent.spawn(rig.front.stop)
        self.assertEqual(ending(client.wait(id, 2)), "aborted")
        self.assertTrue(rig.front.done.wait(3))


class Repeats(Case):
    def test_a_key_joins_the_open_answer_from_the_index_it_names(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
        client, id, came = self.talk(rig, lambda p: gevent.sleep(30), key="k")
        rig.until(lambda: self.calls(came))
        client.close()
        gevent.sleep(0.1)
        ran = []
        other, id, again = self.talk(
            rig, lambda p: ran.append(p["_meta"]) or text("42"), key="k", from_index=1
        )
        self.assertEqual(ending(other.wait(id, 5)), "done")
        self.assertEqual((self.tokens(again), ran[0]["again"]), (["a", "b", "c"], True))
        self.assertEqual(ran[0]["call"], self.calls(came)[0]["params"]["_meta"]["call"])
        third, id, kept = self.talk(rig, key="k")
        self.assertEqual((ending(third.wait(id, 5)), self.tokens(kept)), ("done", ["so ", "a", "b", "c"]))
        self.assertEqual(len(rig.engines["w"].calls), 2)

    def test_both_connections_get_their_one_answer(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
        one, first, came = self.talk(rig, lambda p: gevent.sleep(0.3) or text("42"), key="k")
        rig.until(lambda: self.calls(came))
        two, second, again = self.talk(rig, key="k")
        for client, id, seen in ((one, first, came), (two, second, again)):
            self.assertEqual(
                (ending(client.wait(id, 5)), self.tokens(seen)), ("done", ["so ", "a", "b", "c"])
            )
        self.assertEqual(
            (self.calls(again), len(self.finals(came, first)), len(self.finals(again, second))), ([], 1, 1)
        )

    def test_another_body_under_the_key_is_refused(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE))
        client, id, _ = self.talk(rig, lambda p: text("42"), key="k")
        other, second, _ = self.talk(rig, key="k", prompt="something else")
        self.assertEqual(other.wait(second, 5)["error"]["code"], jsonrpc.BAD_PARAMS)
        self.assertEqual(ending(client.wait(id, 5)), "done")

    def test_nobody_comes_back(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=ONE), limits={"rejoin_within_ms": 200})
        client, id, came = self.talk(rig, lambda p: gevent.sleep(30), key="k")
        rig.until(lambda: self.calls(came))
        client.close()
        rig.until(lambda: not rig.front.reqs and not rig.front.keys, 2)

    def test_tool_answers_that_nobody_waits_for(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=asks(("meter", "{}"), ("bill", "{}"))))
        client, id, came = self.talk(rig, lambda p: gevent.sleep(30))
        rig.until(lambda: len(self.calls(came)) == 2)
        meter, bill = (call["id"] for call in self.calls(came))
        stranger = rig.client()
        stranger.send(jsonrpc.result(meter, text("not mine")))
        for rpc_id, value in ((meter, "1"), (meter, "2"), ("t999", "3"), (None, "4")):
            client.send(jsonrpc.result(rpc_id, text(value)))
        gevent.sleep(0.1)
        client.send(jsonrpc.result(bill, text("b")))
        self.assertEqual(ending(client.wait(id, 5)), "done")
        client.send(jsonrpc.result(bill, text("late")))
        rig.until(lambda: rig.front.counters["tool_answer_unknown"] == 4)
        self.assertEqual(rig.front.counters["tool_answer_repeated"], 1)
        told = rig.engines["w"].calls[1]["messages"]
        self.assertEqual([m["content"] for m in told if m["role"] == "tool"], ["1", "b"])


class Limits(Case):
    def test_calls_wait_for_a_place_the_most_important_first_and_the_front_still_serves(self):
        rig = self.rig(
            Engine("r", "rd"),
            Engine("w", "wr", script=ONE),
            limits={"pauses": 1},
            groups=[{"name": "low"}, {"name": "high", "importance": 5}],
        )
        blocker, first, came = self.talk(rig, lambda p: gevent.sleep(0.5) or text("x"))
        rig.until(lambda: self.calls(came))
        order = []
        waiting = []
        for group in ("low", "high"):
            waiting.append(
                self.talk(rig, lambda p, group=group: order.append(group) or text("x"), group=group)
            )
            gevent.sleep(0.1)
        self.assertEqual((order, ending(rig.ask(prompt="plain")[0])), ([], "done"))
        for client, id, _ in [(blocker, first, came), *waiting]:
            self.assertEqual(ending(client.wait(id, 5)), "done")
        self.assertEqual(order, ["high", "low"])

    def test_one_customer_does_not_take_all_places(self):
        rig = self.rig(
            Engine("r", "rd"), Engine("w", "wr", script=ONE), limits={"pauses": 10, "pauses_a_customer": 2}
        )
        talks = [
            self.talk(rig, lambda p: gevent.sleep(0.4) or text("x"), customer="a", session="s%d" % i)
            for i in range(4)
        ]
        rig.until(lambda: rig.front.counters["tool_call_sent"] == 2)
        other, id, came = self.talk(rig, lambda p: text("x"), customer="b")
        self.assertEqual(ending(other.wait(id, 5)), "done")
        self.assertEqual({ending(client.wait(id, 5)) for client, id, _ in talks}, {"done"})


if __name__ == "__main__":
    unittest.main()
