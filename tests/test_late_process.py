"""A process whose event loop is held: by others on its processor, or by its own work."""

import unittest

from martenrouter.policy.lateness import HALVES, Lateness
from tests.helpers import Rig, row

LIMIT = 300_000  # microseconds for a state, as the tests' settings have it


class HeldUp(unittest.TestCase):
    def waiting_state(self, rig, came=None):
        """What follows the end of a read for which no decode server has room."""
        rig.ask(1, prompt=9000, last=60_000_000)
        return rig.play(("outcome", (1, 0, "read", "r1", 1000, False, 0, None, came)))

    def rig(self):
        return Rig([row("r1", "rd"), row("w1", "wr")], memory_by_kind=[200_000, 1000])

    # Report 87b5f4: states waited for room though the process had heard of them late.
    def test_a_state_that_was_heard_of_late_waits_no_longer(self):
        for unheard, sent in ((0, 0), (LIMIT, 1)):
            with self.subTest(unheard=unheard):
                rig = self.rig()
                seen = self.waiting_state(rig, rig.now - unheard)
                self.assertEqual(len(seen.all("forward")), sent)

    # Report 87b5f4: a state was to be used at its limit, and the process was late just then.
    def test_a_state_is_used_earlier_by_as_much_as_the_process_is_late(self):
        for late, sent in ((0, 0), (200_000, 1)):
            with self.subTest(late=late):
                rig = self.rig()
                self.waiting_state(rig)
                rig.play(("held_up", (late,)), after=50_000)
                self.assertEqual(len(rig.play(after=50_000).all("forward")), sent)

    # Report 87b5f4: reads went on though no state could be used in its time.
    def test_no_read_begins_while_its_state_would_wait_too_long(self):
        rig = Rig([row("r1", "rd"), row("w1", "wr")], groups=[{"name": "chat", "target": 20_000_000}])
        rig.play(("held_up", (2 * LIMIT,)))
        self.assertEqual(rig.ask(1, last=60_000_000).all("forward"), [])
        self.assertEqual(len(rig.play(after=2 * HALVES).all("forward")), 1)

    # Report 87b5f4: answers that were due were out after their clients' time.
    def test_the_final_answer_is_earlier_by_as_much_as_the_process_is_late(self):
        for late, answered in ((0, 0), (500_000, 1)):
            with self.subTest(late=late):
                rig = Rig([])
                rig.ask(1, last=4_000_000)
                rig.front.live[1].target = rig.front.live[1].deadline
                rig.play(("held_up", (late,)), after=3_000_000)
                seen = rig.play(after=700_000)
                self.assertEqual(len(seen.all("push_back")), answered)

    def test_lateness_halves(self):
        lateness = Lateness()
        lateness.held_up(5_000_000, 400_000)
        lateness.held_up(5_000_000, 100_000)
        self.assertEqual(
            [lateness.read(5_000_000 + n * HALVES) for n in (0, 1, 2)], [400_000, 200_000, 100_000]
        )


if __name__ == "__main__":
    unittest.main()
