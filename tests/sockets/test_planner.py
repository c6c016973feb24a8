"""Two programs: the planner killed, stopped, slow, doubled, talking nonsense; the edge goes on, each req
answered once."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest

import gevent
from gevent import socket

from martenrouter.wire import channel
from tests.sockets.rig import Engine, Rig, ending
from tests.sockets.test_conversations import ONE, TOOLS, text


def slowly(engine, sock, told, nth):
    engine.tokens(sock, ["a"])
    for word in "bcd":
        gevent.sleep(0.05)
        engine.tokens(sock, [word], head=False)
    engine.finish(sock)


class Case(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.path = os.path.join(self.dir.name, "plan.sock")
        self.planners = []

    def rig(self, *engines, **settings):
        rig = Rig(*engines, planner=self.path, **settings)
        self.addCleanup(rig.close)
        self.addCleanup(rig.front.plan.stop)
        return rig

    def planner(self, *arguments, program=("martenrouter",), **more):
        popen = subprocess.Popen(
            [sys.executable, "-m", *program, "planner", self.path, *arguments],
            **{"stderr": subprocess.DEVNULL, **more},
        )
        self.planners.append(popen)
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        self.addCleanup(lambda: popen.poll() is None and popen.send_signal(signal.SIGCONT))
        return popen

    def fleet(self, **more):
        return [Engine("r", "rd"), Engine("r2", "rd"), *[Engine("w%d" % i, "wr", **more) for i in range(3)]]

    def in_charge(self, rig, who="planner", within=8):
        rig.until(lambda: rig.front.desk.who() == who, within)

    def load(self, rig, count=60, gap=0.01, **params):
        """Asks at an even rate on one connection; answers are read with `ends`."""
        client = rig.client()
        self.addCleanup(client.close)
        ids = []
        for i in range(count):
            ids.append(
                client.begin(
                    "generate",
                    {"prompt": "p %d" % i, "session": "s%d" % (i % 7), "deadline_ms": 4000, **params},
                )
            )
            gevent.sleep(gap)
        return client, ids

    def ends(self, client, ids):
        return [ending(client.wait(id, 8)) for id in ids]


class Deciding(Case):
    def test_the_planner_decides_and_the_edge_without_one(self):
        rig = self.rig(*self.fleet())
        self.assertEqual((ending(rig.ask()[0]), rig.front.desk.who()), ("done", "edge"))
        self.planner()
        self.in_charge(rig)
        rounds = rig.front.desk.seq
        client, ids = self.load(rig)
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual((rig.front.desk.who(), rig.front.desk.chain), ("planner", None))
        self.assertGreater(rig.front.desk.seq, rounds + 10)
        self.assertIsNotNone(rig.front.desk.learnt)

    def test_the_socket_is_this_users_own_and_a_stale_file_is_no_hindrance(self):
        rig = self.rig(*self.fleet())
        self.assertEqual(os.stat(self.path).st_mode & 0o777, 0o600)
        with self.assertRaisesRegex(OSError, "another edge"):
            Rig(Engine("r", "rd"), planner=self.path)
        rig.front.plan.listener.close()
        gevent.sleep(0.05)
        again = Rig(*[Engine("r", "rd")], planner=self.path)
        self.addCleanup(again.close)
        with open(os.path.join(self.dir.name, "file"), "w"):
            pass
        with self.assertRaisesRegex(OSError, "no socket"):
            Rig(Engine("r", "rd"), planner=os.path.join(self.dir.name, "file"))

    def test_a_second_planner_is_refused_until_the_first_is_gone(self):
        rig = self.rig(*self.fleet())
        first = self.planner()
        self.in_charge(rig)
        self.planner()
        rig.until(lambda: rig.front.counters["planner_refused"], 8)
        self.assertEqual(rig.front.counters["handed_over"], 1)
        first.kill()
        rig.until(lambda: rig.front.counters["handed_over"] == 2, 8)

    def test_bytes_that_are_no_frames(self):
        rig = self.rig(*self.fleet())
        greeting = channel.encode(channel.Greeting(channel.VERSION, "x"))
        cases = (
            b"\xff" * 50,
            b"\x00\x00\x00\x05hello",
            greeting + b"\x7f\xff\xff\xff",
            greeting[:7],
            channel.encode(channel.Decisions(9, 9, [], 0)),
            greeting + channel.encode(channel.Refused("you")),
            channel.encode(channel.Greeting(99, "old")),
            greeting + channel.encode(channel.Decisions(1, 1, [("stop", ())], 0)),
        )
        for data in cases:
            with self.subTest(data=data[:20]):
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.connect(self.path)
                    sock.sendall(data)
                    gevent.sleep(0.15)
                self.assertEqual(ending(rig.ask()[0]), "done")
        self.in_charge(rig, "edge")

    def test_decisions_for_reqs_that_are_finished_or_unknown_do_nothing(self):
        rig = self.rig(*self.fleet())
        for name, arguments in (
            ("forward", (999, "r", 0)),
            ("push_back", (999, 0, "x")),
            ("abort", (999, "x")),
            ("cancel", (999, 0)),
            ("let_go", (999,)),
            ("end_stream", (999, 1)),
            ("next_leg", (999, False)),
            ("call_tool", (999, "c")),
            ("fail_call", (999, "c", "x")),
        ):
            getattr(rig.front, name)(*arguments)
        self.assertEqual((ending(rig.ask()[0]), rig.front.counters["decision_late"] >= 5), ("done", True))


class Failing(Case):
    def test_killed_under_load_and_started_again(self):
        rig = self.rig(*self.fleet(script=None))
        for engine in rig.engines.values():
            engine.script = slowly if engine.kind == "wr" else None
        for kills in range(3):
            planner = self.planner()
            self.in_charge(rig)
            work = gevent.spawn(self.load, rig, 80)
            gevent.sleep(0.3)
            planner.kill()
            client, ids = work.get()
            self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual(rig.front.counters["taken_over"], 3)
        self.assertEqual(rig.front.reqs, {})

    def test_killed_at_each_step_of_a_round(self):
        rig = self.rig(*self.fleet(script=slowly))
        taken = 0
        for step in ("before", "decided", "half", "after"):
            for group in ("chat", "order"):
                with self.subTest(step=step, group=group):
                    planner = self.planner(program=("tests.sockets.dying", step, "12"))
                    self.in_charge(rig)
                    client, ids = self.load(rig, 30, group=group)
                    self.assertEqual(set(self.ends(client, ids)), {"done"})
                    rig.until(lambda: planner.poll() == 7)
                    taken += 1
                    rig.until(lambda: rig.front.counters["taken_over"] == taken)
                    rig.front.desk.takeover.faults = 0
        writes = [call for e in rig.engines.values() if e.kind == "wr" for call in e.calls]
        self.assertEqual(len(writes), 240)  # none was written twice

    def test_a_hand_over_with_many_open_reqs(self):
        rig = self.rig(
            *self.fleet(script=lambda e, sock, told, n: gevent.sleep(1.5) or e.answer(sock, told)),
            limits={"open_reqs_a_connection": 2000},
        )
        client, ids = self.load(rig, 500, 0.0005, deadline_ms=20_000, max_tokens=8)
        planner = self.planner()
        self.in_charge(rig)
        gevent.sleep(0.3)
        planner.kill()
        endings = self.ends(client, ids)
        self.assertEqual(len(endings), 500)
        self.assertLessEqual(set(endings), {"done", "pushed back"})
        self.assertEqual((rig.front.reqs, rig.front.counters["answered_overdue"]), ({}, 0))

    def test_the_planner_outlives_its_edge(self):
        first = self.rig(*self.fleet())
        self.planner()
        self.in_charge(first)
        first.front.plan.stop()
        first.front.desk.link.close()
        gevent.sleep(0.1)
        second = self.rig(*self.fleet())
        self.in_charge(second)
        self.assertEqual(ending(second.ask()[0]), "done")

    def test_what_was_learnt_is_there_after_both_were_started_again(self):
        store = os.path.join(self.dir.name, "store")
        for known in (False, True):
            rig = self.rig(*self.fleet(), name="front-x")
            planner = self.planner("--store", store)
            self.in_charge(rig)
            client, ids = self.load(rig, 10)
            self.ends(client, ids)
            if not known:
                rig.until(lambda: os.path.exists(os.path.join(store, "front-x", "data.mdb")), 2)
                gevent.sleep(5.5)  # one snapshot's time
            planner.kill()
            planner.wait()
            rig.close()
            rig.front.plan.stop()
        from martenrouter.state.snapshots import Snapshots

        wall, learnt, words = Snapshots(os.path.join(store, "front-x"), "front-x").newest()
        self.assertEqual(
            ({engine[0] for engine in learnt["engines"]}, words), ({"r", "r2", "w0", "w1", "w2"}, [])
        )

    def test_a_store_that_another_program_holds_locked_keeps_no_planner_from_deciding(self):
        store = os.path.join(self.dir.name, "store")
        held = subprocess.Popen(
            [
                sys.executable,
                "-c",
                "import lmdb, os, sys\nos.makedirs(sys.argv[1])\n"
                "env = lmdb.open(sys.argv[1], map_size=1 << 28)\nwith env.begin(write=True):\n"
                "    print('held', flush=True)\n    sys.stdin.read()",
                os.path.join(store, "front-x"),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(lambda: (held.stdin.close(), held.stdout.close(), held.wait()))
        self.assertEqual(held.stdout.readline(), b"held\n")
        rig = self.rig(*self.fleet(), name="front-x")
        self.planner("--store", store)
        self.in_charge(rig)
        gevent.sleep(5.2)  # the first snapshot falls due, and waits
        client, ids = self.load(rig, 60)
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual((rig.front.desk.who(), rig.front.counters["taken_over"]), ("planner", 0))

    def test_a_full_disk_is_said_and_deciding_goes_on(self):
        import resource

        store = os.path.join(self.dir.name, "store")
        rig = self.rig(*self.fleet(), name="front-x")
        # no file of this process grows past 8 KiB, as on a disk that is full
        planner = self.planner(
            "--store",
            store,
            "--log-form",
            "json",
            stderr=subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (8192, 8192)),
        )
        self.addCleanup(planner.stderr.close)
        self.in_charge(rig)
        client, ids = self.load(rig, 60)
        self.ends(client, ids)
        gevent.sleep(5.5)
        client, ids = self.load(rig, 60)
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual((rig.front.desk.who(), rig.front.counters["taken_over"]), ("planner", 0))
        planner.kill()
        said = planner.stderr.read().decode()
        self.assertTrue("snapshot_not_saved" in said or "snapshots_unusable" in said, said)

    def test_stopped_and_woken_its_old_decisions_do_not_act(self):
        rig = self.rig(*self.fleet(script=slowly))
        planner = self.planner()
        self.in_charge(rig)
        for seconds in (0.2, 1.0):
            work = gevent.spawn(self.load, rig, 60)
            gevent.sleep(0.2)
            planner.send_signal(signal.SIGSTOP)
            gevent.sleep(seconds)
            planner.send_signal(signal.SIGCONT)
            client, ids = work.get()
            self.assertEqual(set(self.ends(client, ids)), {"done"})
            self.in_charge(rig)
        self.assertEqual(rig.front.counters["taken_over"], 2)

    def test_conversations_outlive_both_ways(self):
        rig = self.rig(*self.fleet(script=ONE))
        planner = self.planner()
        self.in_charge(rig)
        client = rig.client()
        calls = []

        def tool(params):
            calls.append(params["_meta"]["call"])
            gevent.sleep(0.5)
            return text("42")

        client.tool = tool
        ids = [
            client.begin("generate", {"prompt": "q %d" % i, "tools": TOOLS, "deadline_ms": 6000})
            for i in range(10)
        ]
        rig.until(lambda: len(calls) == 10)
        planner.kill()
        gevent.sleep(0.2)
        self.planner()
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual((len(calls), rig.front.counters["taken_over"]), (10, 1))

    def test_a_drain_told_while_the_planner_is_dead_or_stalled_is_kept(self):
        for how in (signal.SIGKILL, signal.SIGSTOP):
            rig = self.rig(*self.fleet())
            planner = self.planner()
            self.in_charge(rig)
            self.load(rig, 20)
            planner.send_signal(how)
            rig.engines["w0"].phase = "draining"
            rig.tell()
            gevent.sleep(0.5)
            before = len(rig.engines["w0"].calls)
            client, ids = self.load(rig, 40)
            self.assertEqual(set(self.ends(client, ids)), {"done"})
            self.assertEqual(len(rig.engines["w0"].calls), before)
            self.planner()  # it holds no list of its own: what the edge knows is what it gets
            planner.kill()
            self.in_charge(rig)
            client, ids = self.load(rig, 20)
            self.ends(client, ids)
            self.assertEqual(len(rig.engines["w0"].calls), before)
            rig.close()
            rig.front.plan.stop()

    def test_a_slow_planner_is_let_in_ever_more_seldom(self):
        rig = self.rig(*self.fleet())
        self.planner("--slow-ms", "200")
        client, ids = self.load(rig, 200, 0.02)
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertTrue(2 <= rig.front.counters["taken_over"] <= 5, rig.front.counters["taken_over"])

    def test_non_replayable_reqs_are_not_sent_twice_by_a_takeover(self):
        rig = self.rig(*self.fleet(script=slowly))
        for _ in range(2):
            planner = self.planner()
            self.in_charge(rig)
            work = gevent.spawn(self.load, rig, 60, group="order")
            gevent.sleep(0.3)
            planner.kill()
            client, ids = work.get()
            self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.assertEqual(sum(len(e.calls) for e in rig.engines.values() if e.kind == "wr"), 120)


if __name__ == "__main__":
    unittest.main()
