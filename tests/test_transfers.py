"""The policy's choices on messages that are on their way."""

import types
import unittest

from martenrouter.policy.transfers import Transfers

NOW = 100_000_000


def stream(heard, moved, half=False):
    """A stream; microseconds before now."""
    return types.SimpleNamespace(heard=NOW - heard, moved=NOW - moved, half=half)


class Streams(unittest.TestCase):
    # Picture (d): bytes that still come are no silence, and silence has the page's 5 s. Review 7: half an
    # event that stood still for 3 s ended a stream whose client might have waited for 5 s.
    def test_what_moves_is_not_stalled_and_what_stands_still_is(self):
        for heard, moved, half, stalled in (
            (4_000_000, 4_000_000, False, False),
            (4_600_000, 4_600_000, False, True),
            (9_000_000, 100_000, True, False),
            (9_000_000, 100_000, False, False),  # bytes that complete nothing are half an event too
            (4_400_000, 4_400_000, True, False),
            (4_600_000, 4_550_000, True, True),
            (4_600_000, 2_900_000, True, False),  # an event that was begun late has time to go on
            (4_600_000, 3_100_000, True, True),
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

    # Report 82eceb: what is on its way is one sum, and what ends first does least harm.
    def test_what_may_be_sent_again_goes_first_and_small_requests_last(self):
        half = types.SimpleNamespace(size=200_000, reading_since=NOW - 1_000_000)
        usual = types.SimpleNamespace(size=4_000, reading_since=NOW - 10_000)
        unread = types.SimpleNamespace(unsent=90_000, unsent_since=NOW - 50_000)
        heard, little = types.SimpleNamespace(buffered=40_000), types.SimpleNamespace(buffered=300)
        first = Transfers().first_to_go
        self.assertIs(first([usual, half], [unread], [heard], NOW), half)
        self.assertIs(first([usual], [unread], [heard], NOW), unread)
        self.assertIs(first([usual], [], [little, heard], NOW), heard)
        self.assertIs(first([usual], [], [little], NOW), usual)
        self.assertIsNone(first([], [], [little], NOW))

    def test_large_requests_leave_a_quarter_to_small_ones(self):
        for size, held, may in ((4_000, 990_000, True), (4_000, 999_000, False), (100_000, 640_000, True)):
            with self.subTest(size=size, held=held):
                self.assertIs(Transfers().may_hold_whole(size, held, 1_000_000), may)
        self.assertFalse(Transfers().may_hold_whole(100_000, 660_000, 1_000_000))

    # Report 82eceb: shares of all streams and what is read ahead are together within the limit.
    def test_answers_read_ahead_of_slow_clients_are_within_the_limit(self):
        transfers = Transfers()
        for limit in (100_000, 950_000, 32_000_000):
            for streams in (4, 60, 341):
                share = transfers.read_share(limit, streams)
                if share > transfers.read_at_once_least:
                    ahead = limit * transfers.reads_ahead_part
                    self.assertLessEqual(ahead + 2 * share * streams, limit + streams)
        self.assertTrue(transfers.reads_ahead(700, 1000))
        self.assertFalse(transfers.reads_ahead(800, 1000))

    def test_a_client_that_takes_nothing_is_given_up_or_gives_its_place(self):
        def one(seconds):
            return types.SimpleNamespace(waits_since=NOW - int(seconds * 1_000_000))

        transfers, slowest = Transfers(), one(3)
        self.assertFalse(transfers.takes_nothing(one(4.9).waits_since, NOW))
        self.assertTrue(transfers.takes_nothing(one(5.1).waits_since, NOW))
        self.assertIs(transfers.displaced_reader([one(0.6), slowest, one(0)], NOW), slowest)
        self.assertIsNone(transfers.displaced_reader([one(0.4), one(0.1)], NOW))
        self.assertIsNone(transfers.displaced_reader([], NOW))

    # Picture (c): the end behind a full receive buffer is not seen; without its bound nothing is known of it.
    def test_an_end_is_seen_while_there_is_room(self):
        for unread, buffer, seen in ((0, 400, True), (99, 400, True), (100, 400, False), (9_999, 0, True)):
            with self.subTest(unread=unread, buffer=buffer):
                self.assertIs(Transfers.sees_end(unread, buffer), seen)
