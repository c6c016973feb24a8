"""Non-replayable and keyed reqs while their engines reset, restart and leave: no double effect, and one
answer."""

import unittest

import gevent

from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD, SETTINGS, Engine
from tests.sockets.test_node import Case, ends

ID = "00000000000000a1"
ONCE = {"effect": "single_shot"}
CELL = {"effect": "guarded", "group": "cell", "window-us": 60_000_000}
ALL = {"effect": "guarded", "group": "all", "window-us": 60_000_000}
SHORT = {"effect": "guarded", "group": "all", "window-us": 50_000}


class Effects(Case):
    def fleet(self, grade, fails):
        """A reader and two writers in cells of their own; the first forward to a writer ends as `fails(rig,
        engine, sock)` has it."""
        said = []

        def script(engine, sock, call, nth):
            if not said:
                said.append(engine.id)
                fails(self.it, engine, sock)
            else:
                engine.answer(sock, call)

        rig = self.rig(
            Engine("r", "prefill"),
            Engine("w", "decode", script=script),
            Engine("v", "decode", cell=1, script=script),
            grades=[{"name": "chat", "goal-time-us": 2_000_000, "importance": 1.0, **grade}],
        )
        return rig, said

    def calls(self, rig):
        return sum(len(rig.engines[id].calls) for id in "wv")

    def test_a_reset_after_the_last_byte_may_have_run(self):
        for grade, status, calls in ((ONCE, 502, 1), (ALL, 200, 2), (CELL, 200, 2), (SHORT, 200, 2)):
            with self.subTest(grade=grade):
                rig, said = self.fleet(grade, lambda rig, engine, sock: ends()(engine, sock))
                self.assertEqual((rig.ask(ID)[0], self.calls(rig)), (status, calls))
                if grade is CELL:
                    self.assertEqual(
                        len(rig.engines[said[0]].calls), 2
                    )  # where the first may have run, and nowhere else
                self.settled(rig)
                rig.close()

    def test_an_engine_that_restarts_under_the_req(self):
        """Its process dies, the list tells of a new one under the same id at another address, and then of a
        drain."""

        def restarts(rig, engine, sock):
            new = Engine(engine.id, "decode", cell=engine.cell)
            new.start = 1_700_000_000_000
            self.addCleanup(new.server.stop)
            rig.engines[engine.id] = new
            rig.agent.tell(2, [new.member()])
            rig.until(lambda: rig.node.watch.revision == 2)
            ends()(engine, sock)

        for grade, status, again in ((ONCE, 502, 0), (ALL, 200, 1)):
            with self.subTest(grade=grade):
                rig, said = self.fleet(grade, restarts)
                old = dict(rig.engines)
                self.assertEqual(rig.ask(ID)[0], status)
                self.assertEqual((len(old[said[0]].calls), self.calls(rig)), (1, again))
                self.settled(rig)
                rig.close()

    def test_an_engine_that_leaves_the_list_under_the_req_finishes_it(self):
        """What it has, it finishes: one that drains or is gone still answers what it was sent."""

        def leaves(rig, engine, sock):
            rig.agent.tell(2, [engine.member("left")])
            rig.until(lambda: engine.id not in rig.node.phases)
            engine.answer(sock, {})

        for grade in (ONCE, CELL):
            rig, said = self.fleet(grade, leaves)
            self.assertEqual((rig.ask(ID)[0], self.calls(rig)), (200, 1))
            self.settled(rig)
            rig.close()

    def test_a_stream_that_breaks_is_not_begun_again_by_the_node(self):
        for grade in (ONCE, ALL):
            rig, said = self.fleet(
                grade, lambda rig, engine, sock: ends(HEAD + http.chunk(EVENTS[0]))(engine, sock)
            )
            client = rig.client().ask(ID)
            self.assertEqual((client.answer()[2], client.last, self.calls(rig)), (EVENTS[0], False, 1))
            self.settled(rig)
            rig.close()

    def test_refused_before_it_ran_is_no_effect(self):
        for grade in (ONCE, CELL, ALL):
            rig, said = self.fleet(
                grade,
                lambda rig, engine, sock: ends(http.response(503, [("x-not-processed", "1")]))(engine, sock),
            )
            self.assertEqual((rig.ask(ID)[0], self.calls(rig)), (200, 2))
            self.settled(rig)
            rig.close()

    def test_a_long_stream_without_resume_outlives_a_stop(self):
        """Where clients don't ask for the rest, a stop waits for a stream's end, past the time by which
        answers are due."""
        go = gevent.event.Event()

        def long(rig, engine, sock):
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            go.wait(20)
            sock.sendall(b"".join(map(http.chunk, EVENTS[1:])) + http.chunk(b""))

        family = {**SETTINGS["family-info"], "resume": False}
        self.rig(
            Engine("r", "prefill"),
            Engine("w", "decode", script=lambda engine, sock, call, nth: long(self.it, engine, sock)),
            grades=[{"name": "chat", "deadline-us": 300_000, "goal-time-us": 300_000, **ONCE}],
            **{"family-info": family},
        )
        rig = self.it
        client = rig.client().ask(ID)
        rig.until(lambda: any(f.began for f in rig.node.engines.out.values()))
        stop = gevent.spawn(rig.node.stop)
        gevent.sleep(1.2)  # answers were due 0.8 s after the stop began
        self.assertFalse(rig.node.done.is_set())
        go.set()
        self.assertEqual((client.answer()[2], client.last), (b"".join(EVENTS), True))
        stop.join()


if __name__ == "__main__":
    unittest.main()
