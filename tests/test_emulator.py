"""Days in virtual time: the same to the byte, judged like those on sockets, and close to them."""
import os
import subprocess
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from martenrouter.lab.emulator.events import Heap, Wheel

CODE = ("import hashlib, json, sys\nfrom martenrouter.lab import catalogue, scenario\n"
        "from martenrouter.lab.emulator.world import World\n"
        "name, seed = sys.argv[1], int(sys.argv[2])\n"
        "day = catalogue.draw(seed, name[6:], seconds=5) if name.startswith('drawn-') else scenario.load(name)\n"
        "world = World(day, seed)\nworld.play()\n"
        "print(hashlib.sha256(json.dumps([world.records, world.day.tries, world.day.loads]).encode()).hexdigest())")


class Events(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 20_000), st.lists(st.integers(0, 5_000), max_size=3)), max_size=40),
           st.lists(st.integers(0, 40_000), max_size=6))
    @settings(max_examples=150, deadline=None)
    def test_wheel_and_heap_play_alike(self, events, stops):
        """By time, then by the order in which they came, also those that others put in at the same microsecond."""
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
        done = subprocess.run([sys.executable, "-c", CODE, name, str(seed)], capture_output=True, text=True,
                              env={**os.environ, "PYTHONHASHSEED": hash_seed})
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def test_a_seed_gives_the_same_bytes_whatever_the_hash_order(self):
        for name, seed in (("tools-bad-day", 2), ("drawn-small", 10)):
            with self.subTest(name=name):
                self.assertEqual(self.digest(name, seed, "1"), self.digest(name, seed, "77"))
                self.assertNotEqual(self.digest(name, seed, "1"), self.digest(name, seed + 1, "1"))


if __name__ == "__main__":
    unittest.main()
