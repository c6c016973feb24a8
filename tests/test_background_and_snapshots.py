import os
import tempfile
import unittest
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from martenrouter.decisions.background import Background
from martenrouter.decisions.learnt import export, put, shifted
from martenrouter.planner.serve import SNAPSHOT_EACH, Planner
from martenrouter.rules import Front
from martenrouter.state.snapshots import KEPT, Snapshots, Unusable
from tests.helpers import SETTINGS, Rig, Seen
from tests.test_adopting import ROWS


class Budget(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 30_000), st.integers(10, 9000)), min_size=200, max_size=400))
    @hyp(max_examples=60, deadline=None)
    def test_the_share_is_kept_whatever_slices_cost(self, steps):
        work, now, spent = Background(0), 0, 0
        work.add(0, "a", 1, 5000)
        work.add(0, "b", 2, 70_000)
        for gap, cost in steps:
            now += gap
            name = work.pick(now)
            if name:
                spent += cost
                work.ran(now, name, cost, cost % 3 == 0)
        # a saved second's budget and the last slice may lie above it
        self.assertLessEqual(spent, now * work.share + Background.SAVED * work.share + 9000)

    def test_importance_then_starvation(self):
        work, order, now = Background(0, share=0.5), [], 0
        work.add(0, "low", 1, 10_000)
        work.add(0, "high", 5, 1000)
        for _ in range(400):
            now += 1000
            name = work.pick(now)
            if name:
                order.append(name)
                work.ran(now, name, 600, True)
        self.assertEqual(order[0], "high")
        self.assertGreater(order.count("low"), 3)
        self.assertGreater(order.count("high"), 3 * order.count("low"))

    def test_a_slice_dearer_than_all_that_is_saved_is_done_at_last(self):
        work = Background(0)
        work.add(0, "big", 1, 1000)
        now, times = 0, []
        for _ in range(4000):
            now += 5000
            if work.pick(now):
                times.append(now)
                work.ran(now, "big", 60_000, True)
        self.assertTrue(5 <= len(times) <= 9, len(times))


class Kept(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)

    def store(self, front="f", name="s"):
        store = Snapshots(os.path.join(self.dir.name, name), front)
        self.addCleanup(store.close)
        return store

    def test_the_newest_whole_one_is_used_and_others_are_set_aside(self):
        store = self.store()
        self.assertEqual(store.newest(), (0, None, []))
        for wall in range(1, 7):
            self.assertIsNone(store.save(wall, {"n": wall}))
        with store._env.begin(write=True) as txn:
            kept = [key for key, _ in txn.cursor()]
            self.assertEqual(len(kept), KEPT)
            data = bytearray(txn.get(kept[-1]))
            data[-1] ^= 1  # torn
            txn.put(kept[-1], bytes(data))
            told = msgspec.msgpack.decode(txn.get(kept[-2]))
            told[1] = "other front"
            txn.put(kept[-2], msgspec.msgpack.encode(told))
            txn.put(b"snap:%020d" % 99, b"garbage")
        wall, learnt, words = store.newest()
        self.assertEqual((wall, learnt, len(words)), (4, {"n": 4}, 3))
        self.assertTrue(
            any("torn" in word for word in words) and any("other front" in word for word in words)
        )
        self.assertEqual(store.newest(), (4, {"n": 4}, []))  # said once

    def test_a_store_that_is_none_or_full(self):
        path = os.path.join(self.dir.name, "file")
        with open(path, "w"):
            pass
        with self.assertRaisesRegex(Unusable, "can't be opened"):
            Snapshots(path, "f")
        os.makedirs(os.path.join(self.dir.name, "bad"))
        with open(os.path.join(self.dir.name, "bad", "data.mdb"), "wb") as file:
            file.write(b"\0" * 10_000)
        with self.assertRaisesRegex(Unusable, "remove it"):
            self.store(name="bad")
        store = self.store()
        store._env.set_mapsize(64 * 1024)
        self.assertIn("MDB_MAP_FULL", store.save(1, {"big": "x" * 200_000}))
        self.assertIsNone(store.save(2, {"small": 1}))

    def test_a_clock_that_is_stepped_back_hides_nothing_that_is_saved_after_it(self):
        store = self.store()
        for wall in range(10, 10 + KEPT):
            self.assertIsNone(store.save(wall * 10**9, {"n": wall}))
        for wall in (6, 7, 8):  # an hour earlier
            self.assertIsNone(store.save(wall * 10**9, {"n": wall}))
            self.assertEqual(store.newest(), (wall * 10**9, {"n": wall}, []))

    def test_a_planner_whose_store_can_not_be_opened_at_first_opens_it_later(self):
        path = os.path.join(self.dir.name, "full")
        planner = Planner("nowhere", mock.Mock(), store=path)
        with mock.patch("martenrouter.planner.serve.Snapshots", side_effect=Unusable("no space")):
            planner.open_store("f", now=1_000_000)
            planner.open_store("f", now=2_000_000)
        self.assertIsNone(planner.snapshots)
        planner.open_store("f", now=1_000_000 + SNAPSHOT_EACH)
        self.addCleanup(planner.snapshots.close)
        self.assertIsNone(planner.snapshots.save(1, {"n": 1}))
        self.assertEqual(planner.log.warning.call_count, 1)

    def test_what_was_learnt_survives_another_clock(self):
        rig = Rig(ROWS)
        for i in range(8):
            reader = rig.ask(i, session="s%d" % i).all("forward")[0][1]
            rig.end(i, 0, "reset" if reader == "r1" else "read", reader)
        store = self.store()
        store.save(10, export(rig.front, rig.now))
        _, learnt, _ = store.newest()
        fresh, now = Front(7, SETTINGS), 5_000_000  # a machine that was started again
        fresh.turn(now, [("listed", (1, "first", ROWS))], Seen())
        self.assertEqual(put(fresh, shifted(learnt, now - learnt["at"]), now), 4)
        for id, engine in rig.front.engines.items():
            self.assertAlmostEqual(fresh.engines[id].late.read(now), engine.late.read(rig.now))
            self.assertEqual(fresh.engines[id].kept, engine.kept)
        self.assertAlmostEqual(
            fresh.pace["read"].expect(now, 500), rig.front.pace["read"].expect(rig.now, 500)
        )


if __name__ == "__main__":
    unittest.main()
