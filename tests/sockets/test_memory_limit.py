"""Whatever clients do, a process stays within the memory limit of its settings, and serves beside them."""

import unittest

import gevent

from tests.sockets.crowded_node import AFTER, play_apart

LEAST_MB = 32  # of memory: the least that the platform gives
AT_ONCE = 3  # nodes beside each other: more would measure the machine
CROWD = 600
SERVED = 0.5  # of the usual requests, at the least limits


class MemoryLimit(unittest.TestCase):
    def check(self, shapes, served=SERVED, **limits):
        for first in range(0, len(shapes), AT_ONCE):
            now = shapes[first : first + AT_ONCE]
            plays = [gevent.spawn(play_apart, shape, CROWD, **limits) for shape in now]
            gevent.joinall(plays, raise_error=True)
            for outcome in (play.value for play in plays):
                with self.subTest(outcome.summary()):
                    self.assertEqual((outcome.lost, outcome.crashed, outcome.faults), (0, False, {}))
                    self.assertLessEqual(outcome.peak_mb, outcome.memory_mb)
                    self.assertGreaterEqual(outcome.served, served * outcome.asked)
                    self.assertEqual(outcome.served_after, AFTER)

    # Report 82eceb: with 32 MB and 1,024 descriptors, hundreds of clients with half a large request each took
    # a process to 54 MB and more, as the bounds were shares of the whole limit.
    def test_half_requests_stay_within_the_least_memory(self):
        self.check(["half_bodies", "body_drips", "half_heads"], memory_mb=LEAST_MB)

    # Report 82eceb: so did clients that read long answers slowly, and large requests that were whole.
    def test_slow_readers_stay_within_the_least_memory(self):
        self.check(["long_answers", "whole_bodies", "mixed"], memory_mb=LEAST_MB)

    # Report 82eceb, related: with few descriptors, with a crowd that was there before the process was, and
    # with one kind of clients after the other.
    def test_few_descriptors_and_changing_crowds_stay_within_the_least_memory(self):
        self.check(["mixed"], memory_mb=LEAST_MB, sockets=256)
        self.check(["half_bodies+long_answers+body_drips"], memory_mb=LEAST_MB)
        self.check(["mixed"], memory_mb=LEAST_MB, early=True)


if __name__ == "__main__":
    unittest.main()
