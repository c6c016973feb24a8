"""The cases that lose or double an answer where they are not thought of, each provoked on sockets."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest

import gevent
from gevent import socket
from wsproto import ConnectionType, WSConnection
from wsproto.events import CloseConnection, Request, TextMessage

from martenrouter.wire import http
from tests.sockets.rig import GROUPS, Engine, Rig, ending


def hang(engine, sock, told, nth):
    gevent.sleep(3600)


class Case(unittest.TestCase):
    def rig(self, *engines, **settings):
        rig = Rig(*engines, **settings)
        self.addCleanup(rig.close)
        return rig

    def finals(self, came, id=1):
        return [message for message in came if message.get("id") == id and "method" not in message]


class OrdinaryPath(Case):
    def test_read_then_written(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", words=("x", "y")))
        answer, texts, came = rig.ask()
        self.assertEqual((ending(answer), texts, answer["result"]["tokens"]), ("done", ["x", "y"], 2))
        self.assertEqual(
            [m["params"]["index"] for m in came if "method" in m], list(range(2))[: len(came) - 1]
        )
        state = rig.engines["w"].calls[0]["kv_transfer_params"]
        self.assertEqual(state["remote_request_id"], rig.engines["r"].calls[0]["forward"])
        self.assertEqual((rig.front.reqs, rig.front.desk.chain.whole), ({}, {}))

    def test_mixed_engine_reads_by_itself(self):
        rig = self.rig(Engine("m", "mix"))
        self.assertEqual(ending(rig.ask()[0]), "done")
        self.assertNotIn("kv_transfer_params", rig.engines["m"].calls[0])

    def test_connections_are_reused(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        for _ in range(5):
            rig.ask()
        self.assertEqual(rig.front.counters["connection_opened"], 2)

    def test_many_reqs_on_one_connection(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        client = rig.client()
        ids = [client.begin("generate", {"prompt": "p %d" % i}) for i in range(40)]
        self.assertEqual([ending(client.wait(id, 5)) for id in ids], ["done"] * 40)


class LateAnswers(Case):
    def test_answer_after_a_cancel_is_dropped(self):
        """A writer sits on its req, is cancelled, and answers all the same; the second one's answer is the
        answer."""

        def slow_first(engine, sock, told, nth):
            if len(told["messages"][0]["content"]) > 5:  # the first req only
                gevent.sleep(1.2)
                engine.tokens(sock, ["late"])
                engine.finish(sock)
            else:
                engine.answer(sock, told)

        writers = [Engine("w%d" % i, "wr", script=slow_first if i == 0 else None) for i in range(3)]
        rig = self.rig(Engine("r", "rd"), *writers, groups=[{"name": "chat", "target_ms": 400}])
        client, came = rig.client(), []
        client.heard = came.append
        calls = {
            client.begin("generate", {"prompt": "a long prompt %d" % i, "deadline_ms": 4000}): i
            for i in range(6)
        }
        for _ in range(8):
            rig.ask()
            gevent.sleep(0.1)
        for id in calls:
            self.assertEqual(ending(client.wait(id, 5)), "done")
        gevent.sleep(0.5)
        for id in calls:
            self.assertEqual(len(self.finals(came, id)), 1)
            tokens = [
                t for m in came if m.get("method") and m["params"]["id"] == id for t in m["params"]["tokens"]
            ]
            self.assertIn(tokens, (["a", "b", "c"], ["late"]))

    def test_engine_answers_after_its_client_left(self):
        def late(engine, sock, told, nth):
            gevent.sleep(0.3)
            engine.answer(sock, told)

        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=late))
        client = rig.client()
        client.begin("generate", {"prompt": "x"})
        rig.until(lambda: rig.engines["w"].calls)
        client.close()
        gevent.sleep(0.5)
        self.assertEqual((rig.front.reqs, rig.front.counters["req_client_left"]), ({}, 1))
        self.assertEqual(ending(rig.ask()[0]), "done")

    def test_a_state_read_for_a_client_that_left_is_let_go(self):
        def slow(engine, sock, told, nth):
            gevent.sleep(0.2)
            engine.answer(sock, told)

        rig = self.rig(Engine("r", "rd", script=slow))
        client = rig.client()
        client.begin("generate", {"prompt": "x"})
        rig.until(lambda: rig.engines["r"].calls)
        client.close()
        rig.until(lambda: rig.engines["r"].released, 1)
        self.assertEqual(rig.engines["r"].released, [rig.engines["r"].calls[0]["forward"]])

    def test_cancel_gets_its_one_answer_and_stops_the_stream(self):
        def endless(engine, sock, told, nth):
            engine.tokens(sock, ["t"])
            while True:
                engine.tokens(sock, ["t"], head=False)
                gevent.sleep(0.01)

        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=endless))
        came = []
        client = rig.client(heard=came.append)
        id = client.begin("generate", {"prompt": "x"})
        rig.until(lambda: len(came) > 3)
        client.cancel(id)
        self.assertEqual(ending(client.wait(id, 2)), "aborted")
        seen = len(came)
        gevent.sleep(0.2)
        self.assertEqual((len(came), rig.front.reqs), (seen, {}))


class Failures(Case):
    def test_reset_after_the_first_token(self):
        """What may repeat is read anew and written on, twice at most; else it is aborted at once."""

        def breaks(engine, sock, told, nth):
            engine.tokens(sock, ["one", "two"])
            gevent.sleep(0.05)
            engine.reset(sock)

        for group, then, writes in (
            ("chat", "pushed back", 3),
            ("booking", "aborted", 1),
            ("order", "aborted", 1),
        ):
            with self.subTest(group=group):
                rig = self.rig(
                    Engine("r", "rd"), Engine("w", "wr", script=breaks), Engine("w2", "wr", script=breaks)
                )
                answer, texts, came = rig.ask(group=group, key="k")
                self.assertEqual(
                    (ending(answer), texts, len(self.finals(came))), (then, ["one", "two"] * writes, 1)
                )
                calls = [call for w in ("w", "w2") for call in rig.engines[w].calls]
                self.assertEqual(len(calls), writes)
                self.assertEqual(
                    {call.get("continue_final_message", False) for call in calls},
                    {False, True} if writes > 1 else {False},
                )

    def test_a_broken_answer_goes_on_from_where_it_was(self):
        def first_breaks(engine, sock, told, nth):
            if not told.get("continue_final_message"):
                engine.tokens(sock, ["one ", "two "])
                gevent.sleep(0.05)
                engine.reset(sock)
            self.assertEqual(told["messages"][-1], {"role": "assistant", "content": "one two "})
            engine.tokens(sock, ["three"])
            engine.finish(sock)

        rig = self.rig(Engine("r", "rd"), *[Engine("w%d" % i, "wr", script=first_breaks) for i in range(2)])
        answer, texts, came = rig.ask()
        self.assertEqual((ending(answer), texts), ("done", ["one ", "two ", "three"]))
        self.assertEqual([m["params"]["index"] for m in came if "method" in m][-1], 2)

    def test_a_stream_without_a_finish_or_with_bad_events_is_broken(self):
        def no_finish(engine, sock, told, nth):
            engine.tokens(sock, ["one"])
            sock.sendall(http.chunk(b""))

        def bad_event(engine, sock, told, nth):
            engine.tokens(sock, ["one"])
            sock.sendall(http.chunk(b'data: {"choices": 5}\n\n'))

        for script in (no_finish, bad_event):
            with self.subTest(script=script.__name__):
                rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=script))
                self.assertEqual(ending(rig.ask()[0]), "pushed back")
                self.assertEqual(len(rig.engines["w"].calls), 3)

    def test_non_replayable_after_a_reset_before_any_byte(self):
        rig = self.rig(
            Engine("r", "rd"),
            *[Engine("w%d" % i, "wr", script=lambda e, s, t, n: e.reset(s)) for i in (1, 2)],
        )
        answer, texts, _ = rig.ask(group="order")
        self.assertEqual((ending(answer), texts), ("aborted", []))
        self.assertEqual(sum(len(rig.engines[w].calls) for w in ("w1", "w2")), 1)

    def test_non_replayable_goes_on_after_a_proof_that_nothing_ran(self):
        def refuse(engine, sock, told, nth):
            engine.refuse(sock)

        rig = self.rig(
            Engine("r", "rd"),
            Engine("w1", "wr", script=refuse),
            Engine("w2", "wr", script=refuse),
            Engine("w3", "wr"),
        )
        self.assertIn(ending(rig.ask(group="order")[0]), ("done", "pushed back"))

    def test_503_without_the_header_proves_nothing(self):
        for headers, calls in (((), 1), ((("x-not-run", "1"),), 2)):
            with self.subTest(headers=headers):

                def refuse(engine, sock, told, nth):
                    sock.sendall(http.response(503, headers, b"{}"))

                rig = self.rig(
                    Engine("r", "rd"), Engine("w1", "wr", script=refuse), Engine("w2", "wr", script=refuse)
                )
                rig.ask(group="order", deadline_ms=800)
                made = sum(len(rig.engines[w].calls) for w in ("w1", "w2"))
                self.assertEqual(made if calls == 1 else min(made, 2), calls)

    def test_keyed_req_that_may_have_run_stays_in_its_cell(self):
        rig = self.rig(
            Engine("r", "rd"),
            Engine("w1", "wr", 0, lambda e, s, t, n: e.reset(s)),
            Engine("w2", "wr", 0, lambda e, s, t, n: e.reset(s)),
            Engine("far", "wr", 1),
        )
        answer, _, _ = rig.ask(group="booking", key="k1", deadline_ms=1500)
        self.assertEqual(ending(answer), "aborted")
        self.assertEqual(rig.engines["far"].calls, [])
        self.assertEqual(
            {call["idempotency_key"] for w in ("w1", "w2") for call in rig.engines[w].calls}, {"k1"}
        )

    def test_bytes_that_are_not_http(self):
        def garbage(engine, sock, told, nth):
            sock.sendall(b"\x00\x01 what \r\n\r\n")
            sock.close()

        rig = self.rig(Engine("r", "rd", script=garbage), Engine("r2", "rd"), Engine("w", "wr"))
        for i in range(6):
            self.assertEqual(ending(rig.ask(session="s%d" % i)[0]), "done")

    def test_a_dead_engine_is_connected_to_once_or_twice_only(self):
        rig = self.rig(Engine("r", "rd"), Engine("r2", "rd"), Engine("w", "wr"))
        rig.engines["r"].server.stop()
        self.assertEqual({ending(rig.ask(session="s%d" % i)[0]) for i in range(20)}, {"done"})
        self.assertLess(rig.front.counters["forward_unreachable"], 5)

    def test_nothing_new_to_a_draining_engine(self):
        rig = self.rig(Engine("r", "rd"), Engine("w1", "wr"), Engine("w2", "wr"))
        rig.engines["w1"].phase = "draining"
        rig.tell()
        rig.until(lambda: not rig.front.desk.chain.front.engines["w1"].up)
        before = len(rig.engines["w1"].calls)
        for i in range(10):
            rig.ask()
        self.assertEqual((before, len(rig.engines["w1"].calls), len(rig.engines["w2"].calls)), (0, 0, 10))

    def test_no_way_left_lets_the_state_go(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr", script=lambda e, s, t, n: e.refuse(s)))
        answer, _, _ = rig.ask(deadline_ms=1000)
        self.assertEqual(ending(answer), "pushed back")
        self.assertGreater(answer["error"]["data"]["return_after_ms"], 0)
        rig.until(lambda: len(rig.engines["r"].released) == len(rig.engines["r"].calls), 2)

    def test_a_failed_round_leaves_no_req_unanswered(self):
        rig = self.rig(Engine("r", "rd", script=hang))
        rig.front.desk.chain.front.turn = lambda *_: 1 / 0
        answer, _, _ = rig.ask(deadline_ms=300)
        self.assertEqual((ending(answer), rig.front.desk.faults > 0), ("aborted", True))


class BadClients(Case):
    def raw(self, rig):
        sock = socket.create_connection(rig.address)
        ws = WSConnection(ConnectionType.CLIENT)
        sock.sendall(ws.send(Request(host="x", target="/")))
        ws.receive_data(sock.recv(4096))
        list(ws.events())
        self.addCleanup(sock.close)
        return sock, ws

    def hear(self, sock, ws, count=1):
        told = []
        with gevent.Timeout(5):
            while len(told) < count:
                data = sock.recv(65536)
                ws.receive_data(data or None)
                for event in ws.events():
                    if isinstance(event, TextMessage):
                        told.append(json.loads(event.data))
                    elif isinstance(event, CloseConnection):
                        return told + [event.code]
                if not data:
                    return told
        return told

    def test_malformed_messages_get_the_codes_of_the_specification(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        cases = (
            ("{", -32700, None),
            ("[]", -32600, None),
            ("5", -32600, None),
            ('{"id": 3}', -32600, 3),
            ('{"jsonrpc":"2.0","id":4,"method":"sing"}', -32601, 4),
            ('{"jsonrpc":"2.0","id":5,"method":"generate","params":{"prompt":5}}', -32602, 5),
            ('{"jsonrpc":"2.0","id":6,"method":"generate","params":{"prompt":"x","colour":1}}', -32602, 6),
            ('{"jsonrpc":"2.0","id":7,"method":"generate","params":{}}', -32602, 7),
            (
                '{"jsonrpc":"2.0","id":8,"method":"generate","params":{"prompt":"x","group":"none"}}',
                -32602,
                8,
            ),
            (
                '{"jsonrpc":"2.0","id":9,"method":"generate","params":{"prompt":"x","group":"booking"}}',
                -32602,
                9,
            ),
            ('{"jsonrpc":"2.0","method":"generate","params":{"prompt":"x"}}', -32600, None),
            ('{"jsonrpc":"2.0","id":true,"method":"ping"}', -32600, None),
            (
                '{"jsonrpc":"2.0","id":10,"method":"generate","params":{"prompt":"x","deadline_ms":1e99}}',
                -32602,
                10,
            ),
            ("[" * 100_000, -32700, None),
        )
        sock, ws = self.raw(rig)
        for text, code, id in cases:
            with self.subTest(text=text[:60]):
                sock.sendall(ws.send(TextMessage(data=text)))
                (told,) = self.hear(sock, ws)
                self.assertEqual((told["error"]["code"], told["id"]), (code, id), told)
        sock.sendall(
            ws.send(TextMessage(data='{"jsonrpc":"2.0","id":99,"method":"generate","params":{"prompt":"x"}}'))
        )
        while "result" not in (told := self.hear(sock, ws)[-1]):
            pass
        self.assertEqual(told["id"], 99)

    def test_batches(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        sock, ws = self.raw(rig)
        calls = [
            {"jsonrpc": "2.0", "id": 1, "method": "ping"},
            {"jsonrpc": "2.0", "method": "ping"},
            7,
            {"jsonrpc": "2.0", "id": 2, "method": "generate", "params": {"prompt": "x"}},
        ]
        sock.sendall(ws.send(TextMessage(data=json.dumps(calls))))
        (told,) = self.hear(sock, ws)
        self.assertEqual(
            sorted((m["id"] or 0, m.get("error", {}).get("code")) for m in told),
            [(0, -32600), (1, None), (2, -32600)],
        )

    def test_an_open_id_that_comes_again(self):
        def slow(engine, sock, told, nth):
            gevent.sleep(0.2)
            engine.answer(sock, told)

        rig = self.rig(Engine("r", "rd", script=slow), Engine("w", "wr"))
        came = []
        client = rig.client(heard=came.append)
        client.begin("generate", {"prompt": "x"}, id=5)
        client.begin("generate", {"prompt": "y"}, id=5)
        rig.until(lambda: any("result" in m for m in came))
        gevent.sleep(0.1)
        self.assertEqual([m["id"] for m in came if "method" not in m], [None, 5])
        self.assertEqual(len(rig.engines["r"].calls), 1)

    def test_a_frame_over_the_limit_closes_that_connection_only(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"), limits={"frame_bytes": 10_000})
        sock, ws = self.raw(rig)
        sock.sendall(ws.send(TextMessage(data="x" * 20_000)))
        self.assertEqual(self.hear(sock, ws)[-1], 1009)
        self.assertEqual(ending(rig.ask()[0]), "done")

    def test_bytes_that_are_no_websocket(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        for data in (b"\x16\x03\x01 hello", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", b"POST /" + b"a" * 100_000):
            with self.subTest(data=data[:10]):
                sock = socket.create_connection(rig.address)
                sock.sendall(data)
                sock.settimeout(5)
                try:
                    while sock.recv(65536):
                        pass
                except ConnectionError:
                    pass
                sock.close()
        self.assertEqual(ending(rig.ask()[0]), "done")

    def test_deadline_already_past(self):
        rig = self.rig(Engine("r", "rd"), Engine("w", "wr"))
        for deadline in (0, -5):
            answer, _, came = rig.ask(deadline_ms=deadline)
            self.assertEqual(
                (ending(answer), answer["error"]["data"]["reason"]), ("pushed back", "deadline past")
            )
        self.assertEqual(rig.engines["r"].calls, [])

    def test_over_the_open_reqs_it_is_pushed_back_at_once(self):
        rig = self.rig(Engine("r", "rd", script=hang), limits={"open_reqs": 3, "open_reqs_a_connection": 2})
        one, two = rig.client(), rig.client()
        for client in (one, one, two):
            client.begin("generate", {"prompt": "x", "deadline_ms": 5000})
        for client, reason in ((one, "connection full"), (two, "front full")):
            answer = client.call("generate", {"prompt": "x"}, within=1)
            data = answer["error"]["data"]
            self.assertEqual(
                (data["ending"], data["reason"], data["return_after_ms"] > 0), ("pushed back", reason, True)
            )

    def test_a_thousand_reqs_and_nothing_read(self):
        """Unread tokens are bounded; another client is not held up; what is open ends, and the memory comes
        back."""
        words = ["w" * 200] * 300

        def much(engine, sock, told, nth):
            if told["messages"][0]["content"] == "hello":
                return engine.answer(sock, told)
            engine.tokens(sock, words)
            engine.finish(sock)

        rig = self.rig(
            Engine("r", "rd"),
            Engine("w", "wr", script=much),
            # response targets and the close of the unread connection far off: the order is judged, no clock
            groups=[{"name": "chat", "effect": "replayable", "target_ms": 20_000}],
            limits={
                "unsent_bytes": 200_000,
                "unread_within_ms": 4000,
                "open_reqs": 5000,
                "open_reqs_a_connection": 32,
            },
        )
        sock, ws = self.raw(rig)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for i in range(1000):
            sock.sendall(
                ws.send(
                    TextMessage(
                        data=json.dumps(
                            {
                                "jsonrpc": "2.0",
                                "id": i,
                                "method": "generate",
                                "params": {"prompt": "x%d" % i, "deadline_ms": 4000},
                            }
                        )
                    )
                )
            )
        worst, beside = 0, 0
        for _ in range(20):
            answer, _, _ = rig.ask(deadline_ms=30_000)
            self.assertEqual(ending(answer), "done", (answer, rig.front.counters))
            stuck = [conn.unsent for conn in rig.front.door.conns.values()]
            worst, beside = max([worst] + stuck), beside + bool(max(stuck, default=0))
        self.assertGreater(beside, 0)  # answered while the other had not read what was sent to it
        self.assertLessEqual(worst, 2 * 200_000 + 1000)
        rig.until(lambda: len(rig.front.door.conns) == 0 and not rig.front.reqs, 10)
        self.assertGreater(
            rig.front.counters["client_too_slow"] + rig.front.counters["pushed_back: connection full"], 0
        )
        self.assertEqual(rig.front.counters["connection_closed_unread"], 1)


class Stopping(Case):
    COMMAND = "edge"

    def edge(self, engines, **settings):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = os.path.join(directory.name, "front.jsonnet")
        listing = os.path.join(directory.name, "list.json")
        with open(listing, "w") as file:
            json.dump(
                {
                    "scope": "whole",
                    "epoch": 1,
                    "version": 1,
                    "entries": [
                        {"id": e.id, "phase": "up", "kind": e.kind, "address": e.address} for e in engines
                    ],
                },
                file,
            )
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        with open(path, "w") as file:
            json.dump(
                {"listen": "127.0.0.1:%d" % port, "groups": GROUPS, "list": {"file": listing}, **settings},
                file,
            )
        popen = subprocess.Popen(
            [sys.executable, "-m", "martenrouter", self.COMMAND, path], stderr=subprocess.PIPE
        )
        self.addCleanup(popen.stderr.close)
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        from martenrouter.edge.client import Client

        for _ in range(500):
            try:
                return popen, Client(("127.0.0.1", port))
            except OSError:
                gevent.sleep(0.02)
        raise AssertionError("the edge does not listen")

    def wait(self, popen, within):
        with gevent.Timeout(within, AssertionError("did not stop")):
            while popen.poll() is None:
                gevent.sleep(0.01)
        return popen.returncode

    def test_clean_stop_finishes_what_is_open_and_takes_nothing_new(self):
        def slow(engine, sock, told, nth):
            gevent.sleep(0.5)
            engine.answer(sock, told)

        popen, client = self.edge([Engine("r", "rd"), Engine("w", "wr", script=slow)])
        gevent.sleep(0.4)
        id = client.begin("generate", {"prompt": "x"})
        gevent.sleep(0.15)
        popen.send_signal(signal.SIGTERM)
        gevent.sleep(0.1)
        refused = client.call("generate", {"prompt": "y"}, within=2)
        self.assertEqual((ending(refused), refused["error"]["data"]["reason"]), ("pushed back", "stopping"))
        self.assertEqual(ending(client.wait(id, 3)), "done")
        self.assertEqual(self.wait(popen, 5), 0)

    def test_what_is_open_when_the_time_is_over_is_answered(self):
        popen, client = self.edge(
            [Engine("r", "rd"), Engine("w", "wr", script=hang)], limits={"stop_within_ms": 1000}
        )
        gevent.sleep(0.4)
        ids = [
            client.begin("generate", {"prompt": "x", "group": group, "deadline_ms": 20_000})
            for group in ("chat", "order")
        ]
        gevent.sleep(0.2)
        popen.send_signal(signal.SIGTERM)
        self.assertEqual([ending(client.wait(id, 3)) for id in ids], ["pushed back", "aborted"])
        self.assertEqual(self.wait(popen, 3), 0)

    def test_a_second_signal_stops_at_once(self):
        popen, client = self.edge([Engine("r", "rd"), Engine("w", "wr", script=hang)])
        gevent.sleep(0.4)
        client.begin("generate", {"prompt": "x", "deadline_ms": 20_000})
        gevent.sleep(0.2)
        popen.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        popen.send_signal(signal.SIGTERM)
        self.assertEqual(self.wait(popen, 2), 1)


if __name__ == "__main__":
    unittest.main()
