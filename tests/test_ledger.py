"""The ledger on disk: each entry once, whatever is killed when; corrections, closes, exports, repairs,
compaction."""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import lmdb
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from martenrouter.decisions import booking
from martenrouter.state.ledger import Ledger, Unusable, read_export
from martenrouter.state.snapshots import Snapshots

WALL = 1_764_600_000_000_000


def entry(i, units=10, customer="a", period="2025-12-01", front="f"):
    return booking.charge("%s-%d" % (front, i), period, WALL + i, customer, "chat", None, units, 0, units)


class Case(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.dir = holder.name
        self.out = os.path.join(holder.name, "out")

    def ledger(self, name="ledger", front="f"):
        made = Ledger(os.path.join(self.dir, name), front)
        self.addCleanup(made.close)
        return made

    def reconciled(self, *directories):
        names = [
            os.path.join(directory, name)
            for directory in directories or [self.out]
            for name in sorted(os.listdir(directory))
            if name.endswith(".jsonl")
        ]
        return booking.reconcile([read_export(name) for name in names])


class Entries(Case):
    def test_an_identity_is_booked_once(self):
        ledger = self.ledger()
        self.assertEqual(ledger.append([entry(1), entry(2), entry(1)]), 2)
        self.assertEqual(ledger.append([entry(2), entry(3)]), 1)
        self.assertEqual([one["id"] for one in ledger.entries(1)], ["f-1", "f-2", "f-3"])

    def test_reservations_that_a_crash_left_are_resolved_by_rule_once(self):
        ledger = self.ledger()
        ledger.append([], opened=[("f-1", {"customer": "a"}), ("f-2", {"customer": "b"})])
        ledger.append([entry(1)], ended=["f-1"])
        ledger.close()
        again = Ledger(os.path.join(self.dir, "ledger"), "f")
        self.addCleanup(again.close)

        def make(identity, fields):
            return booking.resolved(identity, "2025-12-01", WALL, fields.get("customer"), None, None)

        self.assertEqual((again.resolve(make), again.resolve(make)), (["f-2"], []))
        self.assertEqual(
            [(one["id"], one["units"]) for one in again.entries(1)], [("f-1", 10), ("f-2/resolved", 0)]
        )

    def test_corrections_go_against_an_exported_entry_twice_and_against_a_correction(self):
        ledger = self.ledger()
        ledger.append([entry(1, 100)])
        ledger.export(self.out)

        def correct(identity, units):
            return ledger.correct(
                identity,
                lambda known, number: booking.correction(known, "2025-12-02", WALL, number, units, "mistake"),
            )

        self.assertEqual(
            [correct("f-1", -30)["id"], correct("f-1", -20)["id"], correct("f-1/c1", 5)["id"]],
            ["f-1/c1", "f-1/c2", "f-1/c1/c1"],
        )
        for identity, units, says in (("f-9", 1, "no entry"), ("f-1", 0, "of nothing")):
            with self.assertRaisesRegex(booking.BadEntry, says):
                correct(identity, units)
        ledger.export(self.out)
        told = self.reconciled()
        self.assertEqual(
            [row[:3] for row in told["totals"]], [["a", "2025-12-01", 100], ["a", "2025-12-02", -45]]
        )
        self.assertTrue(booking.in_order(told))

    def test_a_period_is_closed_once_and_only_when_it_is_over(self):
        ledger = self.ledger()
        ledger.append([entry(1), entry(2, customer="b"), entry(3, period="2025-12-02")])

        def close(wall):
            return ledger.close_period(
                "2025-12-01",
                booking.counts,
                lambda totals: booking.close("f", "2025-12-01", 100, wall, totals),
            )

        with self.assertRaisesRegex(booking.BadEntry, "not over"):
            close(99)
        self.assertEqual((close(100)["totals"], close(500)["wall"]), ([["a", 10], ["b", 10]], 100))
        ledger.append([entry(4)])  # what the rule forbids is named by who adds up
        ledger.export(self.out)
        self.assertEqual(self.reconciled()["after a close"], ["f-4"])

    def test_a_ledger_of_another_front_is_refused(self):
        self.ledger()
        with self.assertRaisesRegex(Unusable, "of f, not of g"):
            Ledger(os.path.join(self.dir, "ledger"), "g")


class Panicked:
    """An LMDB environment after a failed write of its root page: it takes no more writes, ever. Seen with EIO
    from pwrite of less than a page."""

    def __init__(self, env):
        self.env = env

    def begin(self, write=False, **more):
        if write:
            raise lmdb.PanicError("mdb_txn_begin")
        return self.env.begin(**more)

    def __getattr__(self, name):
        return getattr(self.env, name)


class Faults(Case):
    def test_a_disk_error_that_ends_the_environment_ends_neither_ledger_nor_snapshots(self):
        ledger = self.ledger()
        ledger.append([entry(1)])
        ledger._env = Panicked(ledger._env)
        self.assertEqual(ledger.append([entry(1), entry(2)]), 1)
        ledger._env = Panicked(ledger._env)
        ledger.keep_counters({"n": 1})
        self.assertEqual([one["id"] for one in ledger.entries(1)], ["f-1", "f-2"])
        self.assertEqual(ledger.counters(), (2, {"n": 1}))
        store = Snapshots(os.path.join(self.dir, "snapshots"), "f")
        self.addCleanup(store.close)
        store._env = Panicked(store._env)
        self.assertIsNone(store.save(1, {"n": 1}))
        self.assertEqual(store.newest(), (1, {"n": 1}, []))

    def test_a_store_that_can_not_be_opened_anew_at_once_is_opened_later(self):
        ledger = self.ledger()
        ledger.append([entry(1)])
        store = Snapshots(os.path.join(self.dir, "snapshots"), "f")
        self.addCleanup(store.close)
        for one in (ledger, store):
            one._env = Panicked(one._env)
        with mock.patch.object(lmdb, "open", side_effect=lmdb.DiskError("EIO")):
            for _ in range(2):
                with self.assertRaises(Unusable):
                    ledger.append([entry(2)])
                with self.assertRaises(Unusable):
                    ledger.keep_counters({"n": 1})
                with self.assertRaises(Unusable):
                    ledger.compact(0)
                self.assertIn("EIO", store.save(1, {"n": 1}))
                self.assertEqual(store.newest()[:2], (0, None))
        self.assertEqual(ledger.append([entry(2)]), 1)
        self.assertIsNone(store.save(2, {"n": 2}))
        self.assertEqual([one["id"] for one in ledger.entries(1)], ["f-1", "f-2"])
        self.assertEqual(store.newest()[1], {"n": 2})

    def test_torn_entries_are_named_set_aside_and_all_else_is_whole(self):
        ledger = self.ledger()
        ledger.append([entry(i) for i in range(1, 21)])
        with ledger._env.begin(write=True) as txn:
            key = b"e" + (7).to_bytes(8, "big")
            txn.put(key, txn.get(key)[:-3] + b"xyz")
            txn.delete(b"e" + (12).to_bytes(8, "big"))
        self.assertEqual(ledger.verify(), (18, [7], [(12, 12)]))
        self.assertEqual(ledger.repair(), [7])
        self.assertEqual(ledger.verify()[:2], (18, []))
        self.assertEqual(len(list(ledger.entries(1))), 18)

    def test_a_full_disk_loses_nothing_that_was_there(self):
        code = (
            "import resource, sys\nfrom martenrouter.state.ledger import Ledger, Unusable\nfrom "
            "martenrouter.decisions import booking\n"
            "ledger = Ledger(sys.argv[1], 'f')\n"
            "def entry(i):\n    return booking.charge('f-%d' % i, 'p', i, 'a', None, None, 1, 0, 1)\n"
            "ledger.append([entry(i) for i in range(50)])\n"
            "resource.setrlimit(resource.RLIMIT_FSIZE, (65536, 65536))\n"
            "done = 50\ntry:\n    while True:\n        ledger.append([entry(done + i) for i in "
            "range(50)])\n        done += 50\n"
            "except Unusable as why:\n    print(done, str(why).count('not written'))\n"
        )
        path = os.path.join(self.dir, "ledger")
        done = subprocess.run([sys.executable, "-c", code, path], capture_output=True, text=True)
        booked, said = map(int, done.stdout.split())
        ledger = Ledger(path, "f")
        self.addCleanup(ledger.close)
        self.assertEqual((said, ledger.verify(), len(list(ledger.entries(1)))), (1, (booked, [], []), booked))

    def test_killed_at_any_time_what_was_told_done_is_there(self):
        code = (
            "import sys\nfrom martenrouter.state.ledger import Ledger\nfrom martenrouter.decisions import "
            "booking\n"
            "ledger, i = Ledger(sys.argv[1], 'f'), int(sys.argv[2])\n"
            "while True:\n    ledger.append([booking.charge('f-%d' % (i + k), 'p', i, 'a', None, None, 1, "
            "0, 1) for k in range(3)])\n"
            "    i += 3\n    print(i, flush=True)\n"
        )
        path, told, rnd = os.path.join(self.dir, "ledger"), 0, random.Random(2)
        for _ in range(12):
            popen = subprocess.Popen([sys.executable, "-c", code, path, str(told)], stdout=subprocess.PIPE)
            for _ in range(rnd.randrange(1, 40)):
                told = int(popen.stdout.readline())
            popen.send_signal(signal.SIGKILL)
            rest = popen.communicate()[0].split()
            told = int(rest[-1]) if rest and rest[-1].isdigit() else told
        ledger = Ledger(path, "f")
        self.addCleanup(ledger.close)
        whole, torn, missing = ledger.verify()
        identities = [one["id"] for one in ledger.entries(1)]
        self.assertEqual(
            (torn, missing, len(set(identities)), whole), ([], [], len(identities), len(identities))
        )
        self.assertLessEqual({"f-%d" % i for i in range(told)}, set(identities))


class Exports(Case):
    def test_cut_off_at_each_step_an_export_gives_each_entry_once(self):
        for step in ("part", "renamed", "torn part"):
            with self.subTest(step=step):
                out = os.path.join(self.dir, "out-" + step.replace(" ", "-"))
                ledger = self.ledger("ledger-" + step.replace(" ", "-"))
                ledger.append([entry(i) for i in range(25)])
                ledger.export(out, 10)
                ledger.append([entry(i) for i in range(25, 40)])
                if step == "renamed":
                    ledger._write_export(out, 26, 35)  # the cursor didn't move any more
                else:
                    with open(os.path.join(out, "f-26-35.jsonl.part"), "w") as file:
                        file.write("{" if step == "part" else "")
                ledger.append([entry(i) for i in range(40, 50)])
                ledger.export(out, 7)
                told = self.reconciled(out)
                self.assertEqual(
                    (told["entries"], told["doubled entries"], booking.in_order(told)), (50, [], True)
                )

    def test_killed_at_random_two_hundred_times(self):
        """The processes append and export; each may be killed anywhere. Totals from the files alone, in the
        end."""
        code = (
            "import os, sys\nfrom martenrouter.state.ledger import Ledger\nfrom martenrouter.decisions "
            "import booking\n"
            "import random\npath, out, kill = sys.argv[1:3] + [int(sys.argv[3])]\n"
            "rnd, steps = random.Random(kill), [0]\n"
            "def maybe(real):\n"
            "    def call(*arguments, **more):\n"
            "        steps[0] += 1\n"
            "        if steps[0] == kill:\n            os.kill(os.getpid(), 9)\n"
            "        done = real(*arguments, **more)\n"
            "        steps[0] += 1\n"
            "        if steps[0] == kill:\n            os.kill(os.getpid(), 9)\n"
            "        return done\n"
            "    return call\n"
            "os.replace, os.fsync, os.unlink = maybe(os.replace), maybe(os.fsync), maybe(os.unlink)\n"
            "ledger = Ledger(path, 'f')\n"
            "ledger._move_cursor = maybe(ledger._move_cursor)\n"
            "base = ledger.last\n"
            "ledger.append([booking.charge('f-%d' % (base + k), 'p', 1, 'a', None, None, 2, 1, 5) for k in "
            "range(9)])\n"
            "ledger.export(out, 4)\n"
        )
        path = os.path.join(self.dir, "ledger")
        env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        killed = 0
        # one process forks for each try, so that two hundred kills take seconds
        forker = (
            "import os, sys\nfrom martenrouter.state import ledger\nfrom martenrouter.decisions import "
            "booking\ncode = sys.argv[3]\n"
            "killed = 0\nfor i in range(200):\n    pid = os.fork()\n    if not pid:\n"
            "        sys.argv = ['x', sys.argv[1], sys.argv[2], str(i % 29 + 1)]\n"
            "        exec(code, {'__name__': 'x'})\n        os._exit(0)\n"
            "    killed += os.waitpid(pid, 0)[1] == 9\nprint(killed)\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", forker, path, self.out, code], capture_output=True, text=True, env=env
        )
        killed = int(done.stdout or -1)
        self.assertGreater(killed, 100, done.stderr[-500:])
        ledger = Ledger(path, "f")
        self.addCleanup(ledger.close)
        ledger.export(self.out)
        told = self.reconciled()
        self.assertEqual(
            (
                told["entries"],
                told["totals"],
                booking.in_order(told),
                told["doubled"],
                told["doubled entries"],
            ),
            (
                ledger.last,
                [["a", "p", 5 * ledger.last, 2 * ledger.last, ledger.last, ledger.last]],
                True,
                [],
                [],
            ),
        )

    def test_totals_of_many_fronts_name_gaps_doubles_and_contradictions(self):
        files = []
        for front in ("f1", "f2"):
            ledger = self.ledger(front, front)
            ledger.append([entry(i, front=front) for i in range(20)])
            ledger.export(self.out, 5)
        files = [read_export(os.path.join(self.out, name)) for name in sorted(os.listdir(self.out))]
        told = booking.reconcile(files)
        self.assertEqual(
            (told["totals"], booking.in_order(told)), ([["a", "2025-12-01", 400, 400, 0, 40]], True)
        )
        told = booking.reconcile(files[1:] + files[2:3])
        self.assertEqual((told["missing"], len(told["doubled entries"])), ([["f1", 1, 5]], 5))
        changed = [*files[0][:3], [{**one, "units": 11} for one in files[0][3]], True]
        self.assertEqual(len(booking.reconcile([*files, changed])["contradictions"]), 5)
        with open(os.path.join(self.out, "f1-1-5.jsonl"), "rb+") as file:
            file.truncate(200)
        self.assertEqual(self.reconciled()["torn"], [["f1", 1]])


class Compaction(Case):
    def test_only_what_was_exported_and_is_in_the_counters_goes(self):
        ledger = self.ledger()
        ledger.append([entry(i) for i in range(100)])
        self.assertEqual(ledger.compact(keep=10), 0)
        ledger.export(self.out)
        self.assertEqual(ledger.compact(keep=10), 0)
        ledger.keep_counters({"a": 1000})
        self.assertEqual([ledger.compact(keep=10, most=50) for _ in range(3)], [50, 40, 0])
        self.assertEqual((ledger.verify(), ledger.counters()), ((10, [], []), (100, {"a": 1000})))
        self.assertEqual(ledger.append([entry(3)]), 0)  # a repeat is still known

    def test_counters_that_are_torn_give_way_to_those_before(self):
        ledger = self.ledger()
        ledger.append([entry(1)])
        ledger.keep_counters("one")
        ledger.append([entry(2)])
        ledger.keep_counters("two")
        with ledger._env.begin(write=True) as txn:
            txn.put(b"mcounters", b"torn")
        self.assertEqual(ledger.counters(), (1, "one"))


class Model(RuleBasedStateMachine):
    """Appends, exports and compactions in any order, with the store opened anew between any two, against
    plain lists."""

    def __init__(self):
        super().__init__()
        self.holder = tempfile.TemporaryDirectory()
        self.path, self.out = os.path.join(self.holder.name, "l"), os.path.join(self.holder.name, "out")
        self.ledger, self.booked, self.next = Ledger(self.path, "f"), {}, 0

    def teardown(self):
        self.ledger.close()
        self.holder.cleanup()

    @rule(count=st.integers(1, 5), again=st.booleans())
    def append(self, count, again):
        some = [entry(self.next + i) for i in range(count)] + (
            [entry(max(self.next - 1, 0))] if again and self.next else []
        )
        self.next += count
        self.ledger.append(some)
        for one in some:
            self.booked.setdefault(one["id"], one)

    @rule(most=st.integers(1, 7))
    def export(self, most):
        self.ledger.export(self.out, most)

    @rule()
    def keep(self):
        self.ledger.keep_counters(self.ledger.last)

    @rule(keep=st.integers(0, 4))
    def compact(self, keep):
        self.ledger.compact(keep, 3)

    @rule()
    def opened_again(self):
        self.ledger.close()
        self.ledger = Ledger(self.path, "f")

    @invariant()
    def nothing_is_lost_or_doubled(self):
        assert self.ledger.last == len(self.booked)
        whole, torn, missing = self.ledger.verify()
        assert not torn and not missing
        names = (
            [os.path.join(self.out, name) for name in os.listdir(self.out)] if os.path.isdir(self.out) else []
        )
        told = booking.reconcile([read_export(name) for name in names])
        assert booking.in_order(told) and not told["doubled"] and told["entries"] == self.ledger.cursor()
        kept = {one["id"] for one in self.ledger.entries(1)}
        assert len(self.booked) - len(kept) <= self.ledger.cursor()


Model.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
Property = Model.TestCase


class Commands(Case):
    def run_(self, *arguments):
        done = subprocess.run(
            [sys.executable, "-m", "martenrouter", "ledger", *arguments], capture_output=True, text=True
        )
        self.assertNotIn("Traceback", done.stderr)
        return done.returncode, done.stdout, done.stderr

    def test_from_entries_to_totals(self):
        path = os.path.join(self.dir, "ledger")
        ledger = Ledger(path, "f")
        ledger.append([entry(i) for i in range(5)])
        ledger.close()
        self.assertEqual(self.run_("verify", path, "--front", "f")[0], 0)
        self.assertEqual(
            self.run_("correct", path, "f-2", "-4", "--front", "f", "--why", "typed twice")[0], 0
        )
        self.assertEqual(self.run_("close", path, "2025-12-01", "--front", "f")[0], 0)
        self.assertEqual(self.run_("export", path, self.out, "--front", "f")[0], 0)
        code, out, _ = self.run_("reconcile", self.out, "--json")
        self.assertEqual((code, sum(row[2] for row in json.loads(out)["totals"])), (0, 46))
        for arguments, says in (
            (("close", path, "2025-13", "--front", "f"), "no calendar period"),
            (("close", path, "2999-01", "--front", "f"), "not over"),
            (("correct", path, "f-9", "1", "--front", "f", "--why", "x"), "no entry"),
            (("verify", path, "--front", "g"), "of f, not of g"),
            (("export", path + "x", "y", "--front", "f"), "no ledger"),
        ):
            code, _, err = self.run_(*arguments)
            self.assertEqual((code, says in err), (1, True), err)


if __name__ == "__main__":
    unittest.main()
