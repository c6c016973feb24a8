"""An id that comes again: what may have run under it does not run again."""

import unittest

import gevent

from martenrouter.policy.repeated_ids import REMEMBERED, RepeatedIds
from tests.sockets.node_rig import Engine, Rig

TWICE = 40  # ids
GRADES = {
    "free": {"effect": "free"},
    "guarded": {"effect": "guarded", "group": "all", "window-us": 5_000_000},
    "single_shot": {"effect": "single_shot"},
}


def answer_late(server, sock, call, nth):
    gevent.sleep(0.03)
    server.answer(sock, call)


class ComesAgain(unittest.TestCase):
    def rig(self, effect, decode=answer_late):
        rig = Rig(
            Engine("r", "prefill"),
            Engine("w", "decode", script=decode),
            grades=[{"name": "chat", "goal-time-us": 1_000_000, **GRADES[effect]}],
        )
        self.addCleanup(rig.close)
        return rig

    @staticmethod
    def runs(rig, id):
        return sum(call["id"] == id for call in rig.engines["w"].calls)

    def ask_until_taken_or_refused(self, rig, id):
        """The last status: the same id is sent again while the first one is open."""
        status = None
        for _ in range(10):
            status = rig.ask(id)[0]
            if status != 409:
                break
            gevent.sleep(0.02)
        return status

    # Picture (c): a non-replayable id whose client had left ran twice when it came again.
    def test_an_id_whose_client_left_does_not_run_again(self):
        for effect in ("single_shot", "guarded"):
            with self.subTest(effect=effect):
                rig = self.rig(effect)
                for n in range(TWICE):
                    id = "%016x" % n
                    client = rig.client().ask(id)
                    rig.until(lambda: self.runs(rig, id) or n % 2 and rig.engines["r"].calls)
                    client.close()
                    gevent.sleep(0.005 * (n % 8))
                    self.ask_until_taken_or_refused(rig, id)
                    self.assertLessEqual(self.runs(rig, id), 1, id)

    # Picture (c), related: the same of one that was served, or whose server broke.
    def test_an_id_that_was_answered_does_not_run_again(self):
        def fail(server, sock, call, nth):
            sock.sendall(b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n")

        for decode, first in ((answer_late, 200), (fail, 502)):
            with self.subTest(first=first):
                rig = self.rig("single_shot", decode)
                self.assertEqual((rig.ask()[0], rig.ask()[0]), (first, 409))
                self.assertEqual(len(rig.engines["w"].calls), 1)

    def test_what_provably_did_not_run_and_what_may_be_repeated_may_come_again(self):
        def full(server, sock, call, nth):
            sock.sendall(b"HTTP/1.1 503 Full\r\nx-not-processed: 1\r\ncontent-length: 0\r\n\r\n")

        rig = self.rig("single_shot", full)
        self.assertEqual((rig.ask()[0], rig.ask()[0]), (503, 503))
        rig.engines["w"].script = answer_late
        self.assertEqual(rig.ask()[0], 200)
        rig = self.rig("free")
        self.assertEqual([rig.ask()[0] for _ in range(3)], [200] * 3)


class Bound(unittest.TestCase):
    def test_the_oldest_are_forgotten_first(self):
        ids = RepeatedIds()
        for n in range(REMEMBERED + 1):
            ids.ended(n, "non-replayable", True)
        self.assertTrue(ids.may_run(0))
        self.assertFalse(ids.may_run(1) or ids.may_run(REMEMBERED))
