"""States behind sends that a server's machine has and its process does not take: the bound is the page's."""

import itertools
import unittest

import gevent

from tests.sockets.stopped_servers import EFFECTS, PATH, PROCESS, READS, Run

AT_ONCE = 3  # runs beside each other: more would measure the machine


class StoppedServers(unittest.TestCase):
    def check(self, what):
        ways = list(itertools.product(EFFECTS, (True, False)))
        for first in range(0, len(ways), AT_ONCE):
            batch = ways[first : first + AT_ONCE]
            runs = [Run(effect, what, cancelling) for effect, cancelling in batch]
            gevent.joinall([gevent.spawn(run.play) for run in runs], raise_error=True)
            for (effect, cancelling), run in zip(batch, runs):
                with self.subTest(effect=effect, cancelling=cancelling):
                    self.assertEqual((run.pinned(), run.lost(), run.repeated()), ([], [], []), run.summary())

    # Report dec766: bytes that a stopped process had not taken stopped the clock of the state behind them.
    def test_no_state_is_held_for_a_send_to_a_process_that_is_stopped(self):
        self.check(PROCESS)

    # Report dec766: the same where something on the way acknowledges bytes and passes nothing on.
    def test_no_state_is_held_for_a_send_that_is_taken_on_the_way(self):
        self.check(PATH)

    # Report dec766, related: a read given up at a stopped prefill server ended there when it went on.
    def test_no_state_is_held_that_a_stopped_prefill_server_leaves_when_it_goes_on(self):
        self.check(READS)
