"""The front node on real sockets under settings that no fleet so far had, judged from what passes."""

import json
import subprocess
import sys
import unittest

import gevent

from martenrouter.wire import http
from tests.sockets.node_rig import SETTINGS, Engine
from tests.sockets.test_node import ROOT, Case, hang

ID = "00000000000000a1"


class NewSettings(Case):
    def test_settings_that_cannot_be_used_are_refused_with_where_and_the_mend(self):
        rig = self.pair()
        for change, says in (
            ({"tick-us": "soon"}, "tick-us"),
            ({"grades": [{"name": "chat", "effect": "sometimes"}]}, "grades.0.effect"),
            ({"family-info": {"role-by-kind": ["read", "scribe"]}}, "role-by-kind"),
            ({"peers-total": True}, "peers-total"),
        ):
            with self.subTest(change=change):
                with open(rig.path) as file:
                    told = json.load(file)
                rig.write(None, data=json.dumps({**told, "settings": {**SETTINGS, **change}}))
                done = subprocess.run(
                    [sys.executable, "-m", "martenrouter", "node", rig.path],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=30,
                )  # one that takes them would serve on
                self.assertNotEqual(done.returncode, 0)
                self.assertIn(says, done.stderr)
                self.assertIn("; write", done.stderr)
                self.assertNotIn("Traceback", done.stderr)
                rig.write(rig.agent.address)

    def test_names_with_blanks_and_commas_and_a_customer_s_share(self):
        """As they stand in heads and lists: a customer's reqs over its share come after the others' (one a
        second here)."""

        def read(engine, sock, call, nth):
            sock.sendall(http.response(202, (), b'{"cached_tokens":4}'))

        rig = self.rig(
            Engine("r", "box, large", script=read),
            Engine("w", "box 2"),
            skus=["box, large", "box 2"],
            customers=[{"name": "finca 7", "quota-rps": 1}],
            grades=[{"name": "price, now", "effect": "free", "goal-time-us": 1_000_000, "importance": 1.0}],
            **{"over-share-worth": 0.1},
        )
        for n, customer in enumerate(("finca 7", "finca 7", "nobody", None)):
            self.assertEqual(
                rig.ask("%016x" % n, x_priority_class="price, now", x_tenant_id=customer)[0], 200
            )
        front = rig.node.desk.front
        self.assertEqual([len(engine.calls) for engine in rig.engines.values()], [4, 4])
        self.assertEqual(set(front.buckets), {"finca 7", None})
        self.assertLess(front.buckets["finca 7"][0], 1)

    def test_a_mixed_engine_needs_one_forward(self):
        rig = self.rig(
            Engine("m", "combo"),
            **{
                "skus": ["prefill", "decode", "combo"],
                "policy-limits": {**SETTINGS["policy-limits"], "attempts-cap": 1},
                "family-info": {
                    **SETTINGS["family-info"],
                    "role-by-kind": ["read", "write", "both"],
                    "memory-tokens": [200_000, 100_000, 100_000],
                },
            },
        )
        self.assertEqual(rig.ask()[0], 200)
        self.assertEqual(len(rig.engines["m"].calls), 1)
        self.settled(rig)

    def test_a_silent_writer_is_left_where_a_repeat_has_no_effect(self):
        """Keyed, within its window and group: another writer answers; else the req waits for the one that may
        have run it."""
        for effect, scope, window, cell, status, calls in (
            ("guarded", "all", 60_000_000, 0, 200, 2),
            ("guarded", "cell", 60_000_000, 1, 502, 1),
            ("guarded", "all", 50_000, 0, 503, 1),
            ("single_shot", "all", 0, 0, 502, 1),
        ):
            with self.subTest(effect=effect, scope=scope, window=window, cell=cell):
                hung = []

                def script(engine, sock, call, nth):
                    if call["id"] == ID and not hung:
                        hung.append(engine.id)
                    if engine.id in hung:
                        hang(engine, sock, call, nth)
                    engine.answer(sock, call)

                grade = {
                    "effect": effect,
                    "group": scope,
                    "window-us": window,
                    "goal-time-us": 400_000,
                    "importance": 1.0,
                }
                rig = self.rig(
                    Engine("r", "prefill"),
                    Engine("w", "decode", script=script),
                    Engine("v", "decode", script=script),
                    grades=[{"name": "chat", **grade}],
                )
                rig.engines["v"].cell = cell
                rig.agent.tell(2, [engine.member() for engine in rig.engines.values()], complete=True)
                rig.until(lambda: rig.node.desk.front.engines["v"].cell == cell)
                client = rig.client().ask(ID, x_timeout_ms="2500")
                rig.until(lambda: hung)
                for n in range(12):  # the other writer goes on answering
                    rig.ask("00000000000000b%x" % n, x_route_key="k%d" % n, x_timeout_ms="400")
                    gevent.sleep(0.05)
                self.assertEqual(client.answer()[0], status)
                self.assertEqual(
                    sum(call["id"] == ID for id in "wv" for call in rig.engines[id].calls), calls
                )
                client.close()
                self.settled(rig)
                rig.close()


if __name__ == "__main__":
    unittest.main()
