"""When what stands unread on a connection came, in bounded memory."""

import unittest

from martenrouter.node.arrivals import MARKS_MOST, Arrivals


class Marks(unittest.TestCase):
    # Report 82eceb, related: each byte that a client sent now and then behind its open request was noted.
    def test_bytes_that_drip_in_are_noted_in_bounded_memory(self):
        arrivals = Arrivals()
        for n in range(10_000):
            arrivals.seen(n + 1, 1000 + n)
        self.assertLessEqual(len(arrivals._marks), MARKS_MOST)
        self.assertEqual(arrivals.first(), 1000)

    def test_a_byte_is_never_taken_to_have_come_later_than_it_was_seen(self):
        arrivals = Arrivals()
        for n in range(1000):
            arrivals.seen(n + 1, 1000 + n)
        for n in range(1000):
            self.assertLessEqual(arrivals.first(), 1000 + n)
            arrivals.consumed(1)
        self.assertFalse(arrivals.pending)


if __name__ == "__main__":
    unittest.main()
