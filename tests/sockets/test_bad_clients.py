"""Bad clients cost their own time: usual ones beside them are served, in time, and memory is bounded."""

import unittest

import gevent

from tests.sockets.crowded_node import play_apart

AT_ONCE = 3  # nodes beside each other: more would measure the machine
SERVED = 0.9  # of the usual requests
MEMORY_PART = 0.5  # of its limit: what is over half of it is priced


class BadClients(unittest.TestCase):
    def check(self, sockets=1024, **shapes):
        """`shapes`: how many clients of each."""
        told = list(shapes.items())
        for first in range(0, len(told), AT_ONCE):
            plays = [
                gevent.spawn(play_apart, shape, count, sockets=sockets)
                for shape, count in told[first : first + AT_ONCE]
            ]
            gevent.joinall(plays, raise_error=True)
            for outcome in (play.value for play in plays):
                with self.subTest(outcome.summary()):
                    self.assertEqual((outcome.lost, outcome.crashed, outcome.faults), (0, False, {}))
                    self.assertGreaterEqual(outcome.served, SERVED * outcome.asked)
                    self.assertLess(outcome.peak_mb, MEMORY_PART * outcome.memory_mb)

    # Review 1: heads without end were parsed a line at a time, and each as far as it had come in one go.
    # Picture (b): so were empty lines and small chunks; a few connections stopped all others.
    def test_endless_bytes_hold_up_nobody_else(self):
        self.check(short_lines=200, empty_lines=8, one_byte_chunks=8, zero_chunks=8, probes=8)

    # Picture (b): small requests at full speed, sound and unsound, under ever new names.
    def test_small_requests_at_full_speed_hold_up_nobody_else(self):
        self.check(sound_requests=8, unsound_bodies=8, unsound_heads=200)

    # Picture (a): heads of very many short fields cost their objects, many times their bytes.
    def test_heads_of_many_fields_cost_little_memory(self):
        self.check(many_fields=600)

    # Picture (a): the same clients with half bodies and half heads of the largest size, with a head's first
    # line alone, or with long answers that they leave unread. Whole requests were refused for half ones.
    def test_slow_clients_take_neither_memory_nor_room_from_usual_ones(self):
        self.check(half_bodies=600, half_heads=600, slow_writers=600)
        self.check(long_answers=600)

    # Review 6: who sent the same again as soon as it was turned away kept its place for good.
    def test_places_go_round_among_those_who_wait(self):
        self.check(sockets=256, large_unsound_bodies=600)

    # Report 82eceb, related: answers that had been given and were left unread held all places for 5 s.
    def test_unread_answers_hold_no_places_that_others_want(self):
        self.check(sockets=256, long_answers=600)
