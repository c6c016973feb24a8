"""What takes too long for each run of the tests: a planner stopped for 20 s, a hand-over of 5,000 open reqs.

python -m unittest tests.sockets.long_stalls
"""

import signal
import unittest

import gevent
from gevent.event import Event

from tests.sockets.rig import ending
from tests.sockets.test_planner import Case


class Long(Case):
    def test_stopped_for_twenty_seconds_and_woken(self):
        rig = self.rig(*self.fleet())
        planner = self.planner()
        self.in_charge(rig)
        work = gevent.spawn(self.load, rig, 1200, 0.02)
        gevent.sleep(1)
        planner.send_signal(signal.SIGSTOP)
        gevent.sleep(20)
        self.assertEqual(rig.front.desk.who(), "edge")
        planner.send_signal(signal.SIGCONT)
        client, ids = work.get()
        self.assertEqual(set(self.ends(client, ids)), {"done"})
        self.in_charge(rig)
        self.assertEqual((rig.front.counters["taken_over"], rig.front.reqs), (1, {}))

    def test_five_thousand_open_reqs_are_handed_over_and_taken_over(self):
        until = Event()

        def waits(engine, sock, told, nth):
            engine.tokens(sock, ["a"])
            while not until.wait(1):  # silent for longer, it would be taken for a stream that stalls
                engine.tokens(sock, ["a"], head=False)
            engine.tokens(sock, ["b"], head=False)
            engine.finish(sock)

        rig = self.rig(
            *self.fleet(script=waits),
            kinds=[
                {"name": "rd", "role": "read", "memory_tokens": 10**8},
                {"name": "wr", "role": "write", "memory_tokens": 10**8},
            ],
            limits={"open_reqs": 6000, "open_reqs_a_connection": 1000, "idle_connections_an_engine": 2500},
        )
        loads = []
        for _ in range(5):
            client, ids = self.load(rig, 1000, 0.003, deadline_ms=120_000, max_tokens=500)
            loads.append((client, ids))
        rig.until(lambda: sum(r.owner is not None for r in rig.front.reqs.values()) == 5000, 30)
        self.assertEqual(
            sum(rig.front.counters[name] for name in rig.front.counters if name.startswith("req_")), 0
        )
        self.planner()
        self.in_charge(rig, within=20)
        took = rig.front.counters["taken_over"]
        gevent.sleep(1)
        more, asked = self.load(
            rig, 100, deadline_ms=120_000, max_tokens=500
        )  # the planner decides beside them
        gevent.sleep(0.5)
        self.planners[0].kill()
        self.in_charge(rig, "edge")
        self.assertEqual(
            len([r for r in rig.front.reqs.values() if not r.answered]), 5100, rig.front.counters
        )
        until.set()
        for client, ids in [*loads, (more, asked)]:
            endings = [ending(client.wait(id, 60)) for id in ids]
            self.assertEqual(set(endings), {"done"})
        self.assertEqual(
            (rig.front.counters["taken_over"], rig.front.counters["answered_overdue"]), (took + 1, 0)
        )


if __name__ == "__main__":
    unittest.main()
