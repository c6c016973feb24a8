"""A cold server under several processes on loopback: what they send it together stays in its budget."""

import time
import unittest
from unittest import mock

import gevent

from martenrouter.rules import Front
from tests.sockets.node_rig import Engine, Rig

PROCESSES = 3
BEFORE = 120  # requests by which the processes learn what a server carries
BURST = 240  # requests that come at once when one of two is back cold
RULES = {"warm-up-us": 20_000_000, "cold-share": 0.3, "fall-multiple": 2.0, "tip-after-us": 1_000_000}
WINDOW = RULES["tip-after-us"] / 1e6


class SlowStart(unittest.TestCase):
    def fleet(self):
        self.readers = [Engine("r0", "prefill"), Engine("r1", "prefill")]
        writers = [Engine("w%d" % n, "decode") for n in range(2)]
        for reader in self.readers:
            reader.script = self.read
        self.at = {reader.id: [] for reader in self.readers}
        rigs = []
        for _ in range(PROCESSES):
            rigs.append(Rig(*self.readers, *writers, sockets=1024, rules=RULES, **{"peers-total": PROCESSES}))
            self.addCleanup(rigs[-1].close)
        return rigs

    def read(self, engine, sock, call, nth):
        self.at[engine.id].append(time.monotonic())
        engine.answer(sock, call)

    def play(self, rigs, count, first, pause):
        jobs = []
        for n in range(count):
            id = "%016x" % (first + n)
            jobs.append(gevent.spawn(rigs[n % PROCESSES].ask, id, x_route_key=id, x_timeout_ms="3000"))
            gevent.sleep(pause)
        gevent.joinall(jobs)

    def sent_to_the_cold_one(self):
        """(most calls that the cold server got within a window, calls that the settings allow it there)."""
        rigs = self.fleet()
        begun = time.monotonic()
        self.play(rigs, BEFORE, 0, 0.01)
        carried = max(map(len, self.at.values())) / (time.monotonic() - begun)
        self.at["r0"].clear()
        self.readers[0].start = time.time_ns() // 1_000_000
        for rig in rigs:
            rig.agent.tell(2, [self.readers[0].member()])
            rig.until(lambda rig=rig: rig.node.watch.revision == 2)
        self.play(rigs, BURST, 1000, 0)
        calls = self.at["r0"]
        most = max((sum(at - WINDOW < other <= at for other in calls) for at in calls), default=0)
        return most, RULES["fall-multiple"] * RULES["cold-share"] * carried * WINDOW

    @staticmethod
    def chance(allowed):
        return 2 * allowed**0.5 + 2 if allowed >= 30 else 3 * allowed**0.5 + 3

    def test_the_sum_of_all_processes_stays_in_the_budget(self):
        most, allowed = self.sent_to_the_cold_one()
        self.assertLessEqual(most, allowed + self.chance(allowed))

    def test_processes_that_take_it_for_warm_send_more(self):
        with (
            mock.patch.object(Front, "cold_room", lambda *_: True),
            mock.patch.object(Front, "warmth", lambda *_: 1),
        ):
            most, allowed = self.sent_to_the_cold_one()
        self.assertGreater(most, allowed + self.chance(allowed))


if __name__ == "__main__":
    unittest.main()
