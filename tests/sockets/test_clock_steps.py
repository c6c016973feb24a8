"""Wall clocks that are stepped: what a front node takes for a server's start."""

import time
import unittest
from unittest import mock

from martenrouter.edge import clock
from tests.sockets.node_rig import Engine, Rig

HOUR = 3_600_000_000  # microseconds


class ServerStarts(unittest.TestCase):
    def rig_with_clock(self, stepped):
        """A front node that starts while its wall clock is off by `stepped` microseconds."""
        right = clock.wall
        with mock.patch.object(clock, "wall", lambda: right() + stepped):
            rig = Rig(Engine("r", "prefill"), Engine("w", "decode"))
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
