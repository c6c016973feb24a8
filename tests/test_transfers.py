"""The policy's choices on messages that are on their way."""

import types
import unittest

from martenrouter.policy.transfers import Transfers

NOW = 100_000_000


def stream(heard, moved, half=False):
    """A stream; microseconds before now."""
    return types.SimpleNamespace(heard=NOW - heard, moved=NOW - moved, half=half)


class Streams(unittest.TestCase):
    # Picture (d): bytes that still come are no silence, and silence has the page's 5 s.
    def test_what_moves_is_not_stalled_and_what_stands_still_is(self):
        for heard, moved, half, stalled in (
            (4_000_000, 4_000_000, False, False),
            (4_600_000, 4_600_000, False, True),
            (9_000_000, 100_000, True, False),
            (9_000_000, 100_000, False, False),  # bytes that complete nothing are half an event too
            (3_100_000, 3_050_000, True, True),
            (61_000_000, 100_000, True, True),
        ):
            with self.subTest(heard=heard, moved=moved, half=half):
                self.assertIs(Transfers().is_stalled(stream(heard, moved, half), NOW), stalled)


class Room(unittest.TestCase):
    # Picture (a): who came last was refused, however little it held.
    def test_the_one_that_holds_most_for_longest_is_refused_first(self):
        def one(size, seconds):
            return types.SimpleNamespace(size=size, reading_since=NOW - seconds * 1_000_000)

        usual, half, late_half = one(4_000, 0), one(250_000, 1), one(200_000, 2)
        self.assertIs(Transfers.refused_first([usual, half, late_half], NOW), late_half)
        self.assertIsNone(Transfers.refused_first([], NOW))

    def test_an_answer_that_has_just_been_put_is_not_left_unread(self):
        def one(unsent, since):
            return types.SimpleNamespace(unsent=unsent, unsent_since=since)

        new, slow = one(240_000, NOW), one(90_000, NOW - 50_000)
        self.assertIs(Transfers.closed_first([new, slow], NOW), slow)
        self.assertIsNone(Transfers.closed_first([new], NOW))

    # Picture (c): the end behind a full receive buffer is not seen; without its bound nothing is known of it.
    def test_an_end_is_seen_while_there_is_room(self):
        for unread, buffer, seen in ((0, 400, True), (99, 400, True), (100, 400, False), (9_999, 0, True)):
            with self.subTest(unread=unread, buffer=buffer):
                self.assertIs(Transfers.sees_end(unread, buffer), seen)
