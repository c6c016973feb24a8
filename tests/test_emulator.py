"""Days in virtual time: the same to the byte, judged like those on sockets, and close to them."""

import os
import subprocess
import sys
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrouter.decisions import booking
from martenrouter.lab.audit import audit
from martenrouter.lab.emulator.events import Heap, Wheel
from martenrouter.settings import front as front_settings

CODE = (
    "import hashlib, json, sys\nfrom martenrouter.lab import catalogue, scenario\n"
    "from martenrouter.lab.emulator.world import World\n"
    "name, seed = sys.argv[1], int(sys.argv[2])\n"
    "day = catalogue.draw(seed, name[6:], seconds=5) if name.startswith('drawn-') else scenario.load(name)\n"
    "world = World(day, seed)\nworld.play()\n"
    "print(hashlib.sha256(json.dumps([world.records, world.day.tries, "
    "world.day.loads]).encode()).hexdigest())"
)


class Events(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 20_000), st.lists(st.integers(0, 5_000), max_size=3)), max_size=40),
        st.lists(st.integers(0, 40_000), max_size=6),
    )
    @settings(max_examples=150, deadline=None)
    def test_wheel_and_heap_play_alike(self, events, stops):
        """By time, then by the order in which they came, also those that others put in at the same
        microsecond."""
        played = []
        for queue in (Wheel(), Heap()):
            seen = []

            def act(name, more, queue=queue, seen=seen):
                seen.append((queue.now, name))
                for i, later in enumerate(more):
                    queue.at(queue.now + later, act, "%s.%d" % (name, i), ())

            for i, (at, more) in enumerate(events):
                queue.at(at, act, str(i), more)
            for stop in sorted(stops) + [10**6]:
                queue.run(stop)
            played.append((seen, queue.now))
        self.assertEqual(played[0], played[1])
        self.assertEqual([at for at, _ in played[0][0]], sorted(at for at, _ in played[0][0]))


class Days(unittest.TestCase):
    def digest(self, name, seed, hash_seed):
        done = subprocess.run(
            [sys.executable, "-c", CODE, name, str(seed)],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def test_a_seed_gives_the_same_bytes_whatever_the_hash_order(self):
        for name, seed in (("tools-bad-day", 2), ("drawn-small", 10)):
            with self.subTest(name=name):
                self.assertEqual(self.digest(name, seed, "1"), self.digest(name, seed, "77"))
                self.assertNotEqual(self.digest(name, seed, "1"), self.digest(name, seed + 1, "1"))


class Audits(unittest.TestCase):
    """The check of ledgers against traffic sees what it is there for."""

    def told(self, **final):
        messages = [{"role": "user", "content": "x" * 40}]
        return [
            {"ev": "req_out", "who": "clients", "trace": "t1", "messages": messages, "max_tokens": 64},
            {"ev": "forward_in", "trace": "00-t1-x-01", "kind": "read", "prompt": 10, "who": "rd"},
            {"ev": "token_in", "trace": "t1", "tokens": ["a", "b"], "who": "clients"},
            {"ev": "final_in", "trace": "t1", "ending": "done", "who": "clients", **final},
        ]

    def exports(self, *entries):
        return [("front-0", 1, len(entries), list(entries), True)]

    def entry(self, number=1, **more):
        made = booking.charge(
            "front-0-%d" % number, "2025-12-01", 5, "ada", "chat", None, 10, 2, 18, "00-t1-x-01"
        )
        return {**made, **more}

    def breaks(self, told, exports, **budgets):
        limits = msgspec.convert({"read_price": 1, "write_price": 4, **budgets}, front_settings.Budgets)
        return [what for what, _, _ in audit(told, exports, limits, 1)["breaks"]]

    def test_each_kind_of_fault_is_named(self):
        good = self.exports(self.entry())
        cases = (
            ("right", self.told(), good, {}, []),
            ("not charged", self.told(), [], {}, ["charged once"]),
            ("charged twice", self.told(), self.exports(self.entry(), self.entry(2)), {}, ["charged once"]),
            (
                "a token too many",
                self.told(),
                self.exports(self.entry(written=3, units=22)),
                {},
                ["charged what it got"],
            ),
            (
                "another prompt",
                self.told(),
                self.exports(self.entry(prompt=11, units=19)),
                {},
                ["charged what it got"],
            ),
            ("too dear", self.told(), self.exports(self.entry(units=19)), {}, ["charged what it got"]),
            (
                "charged for a pushback",
                self.told(ending="pushed back", reason="x"),
                good,
                {},
                ["charged what it got"],
            ),
            ("never asked for", self.told()[1:2], good, {}, ["charged what it got"]),
            ("a gap", self.told(), [("front-0", 3, 3, [self.entry()], True)], {}, ["ledger"]),
            (
                "over its cap",
                [
                    {**record, **({"trace": record["trace"].replace("t1", "t%d" % i)})}
                    for i in range(1, 30)
                    for record in self.told()
                ],
                self.exports(*[self.entry(i, why="00-t%d-x-01" % i) for i in range(1, 30)]),
                {"each_customer": {"cap": 20}},
                ["caps"],
            ),
        )
        for name, told, exports, budgets, breaks in cases:
            with self.subTest(name):
                self.assertEqual(self.breaks(told, exports, **budgets), breaks)


if __name__ == "__main__":
    unittest.main()
