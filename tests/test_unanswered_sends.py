"""A read state behind a decode attempt that its server's machine has and its process may never take."""

import unittest

from tests.helpers import Rig, row

LIMIT = 300_000  # microseconds for which a state may be held
ROWS = [row("r1", "rd"), row("r2", "rd"), row("w1", "wr"), row("w2", "wr")]
GROUPS = {
    "replayable": {"name": "chat", "effect": "replayable", "target": 1_000_000, "importance": 1},
    "non-replayable": {"name": "chat", "effect": "non-replayable", "target": 1_000_000, "importance": 1},
}


class UnansweredSends(unittest.TestCase):
    def sent(self, effect="replayable", **settings):
        """(rig, the decode server) of a request whose state was read and sent on."""
        rig = Rig(ROWS, groups=[GROUPS[effect]], release_within=LIMIT, **settings)
        ((_, reader, _),) = rig.ask(1).all("forward")
        ((_, writer, _),) = rig.end(1, 0, "read", reader).all("forward")
        return rig, writer

    def released_after(self, rig, within=2 * LIMIT):
        """Microseconds until the state is released; None if it isn't in that time."""
        for waited in range(0, within, 10_000):
            if rig.play(after=10_000).all("let_go"):
                return waited + 10_000
        return None

    # Report dec766: bytes that a server's machine had stopped the clock of the state behind them.
    def test_a_state_is_released_at_its_limit_behind_a_send_that_arrived(self):
        for effect in GROUPS:
            for cancelling in (True, False):
                with self.subTest(effect=effect, cancelling=cancelling):
                    rig, _ = self.sent(effect, may_cancel=cancelling)
                    rig.play(("arrival", (1, 1, True)), after=50_000)
                    waited = self.released_after(rig)
                    self.assertIsNotNone(waited)
                    self.assertLessEqual(waited + 50_000, LIMIT)
                    self.assertEqual(rig.front.reqs[1].out[1].cancelled, False)

    def test_a_send_that_is_answered_keeps_its_state(self):
        rig, writer = self.sent()
        rig.play(("arrival", (1, 1, True)), ("first_token", (1, 1, writer, 60_000)), after=60_000)
        self.assertIsNone(self.released_after(rig))

    def test_the_simulator_tells_no_arrival_and_nothing_is_released(self):
        rig, _ = self.sent("non-replayable")
        self.assertIsNone(self.released_after(rig))

    # Report dec766, related: a server that had taken the call may leave the state waiting with its end.
    def test_a_state_is_released_again_when_such_a_send_ends(self):
        for ending, note, released in (
            ("cancelled", 0, True),
            ("timed out", 0, True),
            ("reset", 0, True),
            ("error", 0, True),
            ("full", 0, True),
            ("full", 1, False),
            ("done", 0, False),
        ):
            with self.subTest(ending=ending, note=note):
                rig, writer = self.sent()
                rig.play(("arrival", (1, 1, True)), after=50_000)
                self.assertIsNotNone(self.released_after(rig))
                seen = rig.end(1, 1, ending, writer, note=note, final=ending == "done", after=10_000)
                self.assertEqual(bool(seen.all("let_go")), released)

    # Report dec766, related: a request given up behind such a send left what the send might leave.
    def test_a_state_is_released_again_when_its_request_is_given_up(self):
        rig, _ = self.sent("non-replayable", may_cancel=False)
        rig.play(("arrival", (1, 1, True)), after=50_000)
        self.assertIsNotNone(self.released_after(rig))
        seen = rig.play(after=4_000_000)
        self.assertEqual((seen.all("abort"), seen.all("let_go")), ([(1,)], [(1,)]))

    # Report dec766, related: each cancelled or reset send let the clock of the state begin anew.
    def test_only_an_answer_lets_the_clock_begin_anew(self):
        for ending, anew in (
            ("cancelled", False),
            ("timed out", False),
            ("reset", False),
            ("unreachable", False),
            ("not sent", False),
            ("error", True),
            ("full", True),
        ):
            with self.subTest(ending=ending):
                rig, writer = self.sent()
                clock = rig.front.reqs[1].clock
                outcome = (1, 1, ending, writer, 100_000, False, 0, None, rig.now + 100_000)
                rig.play(("outcome", outcome), after=100_000)
                self.assertEqual(rig.front.reqs[1].clock, rig.now if anew else clock)
