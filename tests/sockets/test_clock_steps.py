"""Wall clocks that are stepped: what a front node takes for a server's start."""

import time
import unittest
from unittest import mock

from martenrouter.edge import clock
from tests.sockets.node_rig import Engine, Rig

HOUR = 3_600_000_000  # microseconds


class ServerStarts(unittest.TestCase):
    def rig_with_clock(self, stepped, *servers):
        """A front node that starts while its wall clock is off by `stepped` microseconds."""
        right = clock.wall
        with mock.patch.object(clock, "wall", lambda: right() + stepped):
            rig = Rig(*(servers or (Engine("r", "prefill"), Engine("w", "decode"))))
        self.addCleanup(rig.close)
        return rig

    def start_anew(self, rig, id="w"):
        """The server is told to have started just now, in the right time. How old the node takes it for."""
        server = rig.engines[id]
        server.start = int(time.time() * 1000)
        rig.agent.tell(2, [server.member()])
        rig.until(lambda: rig.node.watch.revision == 2)
        rig.until(lambda: rig.node.desk.front.engines[id].born)
        return clock.now() - rig.node.desk.front.engines[id].born

    def test_a_server_that_started_just_now_is_cold_whatever_the_wall_clock_says(self):
        for stepped in (-HOUR, -10_000_000, 10_000_000, HOUR):
            with self.subTest(stepped=stepped):
                age = self.start_anew(self.rig_with_clock(stepped))
                self.assertTrue(0 <= age < 3_000_000, age)

    def test_a_server_of_the_first_list_that_started_just_now_is_cold_whatever_the_clock_says(self):
        for stepped in (-HOUR, -10_000_000, 0, 10_000_000, HOUR):
            with self.subTest(stepped=stepped):
                servers = [Engine("r%d" % n, "prefill") for n in range(4)] + [Engine("w", "decode")]
                now = int(time.time() * 1000)
                servers[0].start, servers[1].start = now - 300, now - 7_200_000  # the last three: long ago
                rig = self.rig_with_clock(stepped, *servers)
                front = rig.node.desk.front
                rig.until(lambda: front.engines)
                age = clock.now() - front.engines["r0"].born
                self.assertTrue(0 <= age < 3_000_000, age)
                self.assertEqual([front.warmth(front.engines[id]) for id in ("r2", "r3", "w")], [1] * 3)
                if stepped >= 0:
                    self.assertEqual(front.warmth(front.engines["r1"]), 1)
