"""The laboratory: drawn days, cutting down, intervals, studies that go on after a kill, profiles of load."""

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrouter.decisions import resampling
from martenrouter.decisions.reducing import drive, reduce, shrink
from martenrouter.lab import catalogue, profile, results, scenario, studies
from martenrouter.lab.emulator.runs import figures
from martenrouter.lab.twice import apart
from martenrouter.settings.load import BadSettings


class Cutting(unittest.TestCase):
    @given(st.lists(st.integers(0, 50), unique=True, max_size=14), st.data())
    @settings(max_examples=200, deadline=None)
    def test_what_is_left_shows_it_and_no_part_can_go(self, parts, data):
        needed = set(data.draw(st.lists(st.sampled_from(parts), unique=True, max_size=4))) if parts else set()
        least = drive(reduce(parts, 10_000), lambda some: needed <= set(some))
        self.assertEqual(set(least), needed)

    def test_the_budget_bounds_what_is_asked_and_what_is_found_still_shows_it(self):
        asked = []

        def shows(some):
            asked.append(some)
            return {3, 11} <= set(some)

        least = drive(reduce(range(16), 6), shows)
        self.assertLessEqual(len(asked), 6)
        self.assertLessEqual({3, 11}, set(least))

    def test_a_number_shrinks_to_the_least_that_shows_it(self):
        found = drive(shrink(100.0, 1.0, 30), lambda value: value >= 17)
        self.assertTrue(17 <= found <= 20, found)
        self.assertEqual(drive(shrink(100.0, 1.0, 30), lambda value: False), 100.0)


class Intervals(unittest.TestCase):
    def test_verdicts(self):
        for low, high, says in (
            (0.02, 0.05, "better"),
            (-0.05, -0.02, "worse"),
            (-0.005, 0.004, "alike"),
            (-0.03, 0.05, "unclear"),
            (None, None, "too few days"),
        ):
            self.assertEqual(resampling.verdict(low, high, 0.01), says)

    def test_an_interval_holds_the_true_difference_about_as_often_as_it_says(self):
        rnd, held = random.Random(5), 0
        for _ in range(60):
            sample = [rnd.gauss(0.1, 0.05) for _ in range(20)]
            _, low, high = resampling.interval(sample, rnd, draws=300)
            held += low <= 0.1 <= high
        self.assertGreater(held, 48)
        self.assertEqual(resampling.interval([0.1, 0.2], rnd)[1:], (None, None))
        self.assertEqual(resampling.interval([], rnd), (None, None, None))

    def test_a_day_counts_for_each_kind_of_its_troubles(self):
        told = resampling.by_kind([(["a", "b"], 0.2), (["b"], 0.4)], random.Random(1))
        self.assertEqual(
            [(kind, days, round(mean, 3)) for kind, (days, mean, _, _) in told.items()],
            [("a", 1, 0.2), ("b", 2, 0.3)],
        )


class Drawing(unittest.TestCase):
    def test_every_trouble_can_be_drawn_and_a_seed_gives_its_day(self):
        for name in catalogue.TROUBLES:
            with self.subTest(name=name):
                day = catalogue.draw(3, "small", troubles=[name], count=2, planners=True)
                self.assertTrue(day.faults)
                self.assertEqual(day, catalogue.draw(3, "small", troubles=[name], count=2, planners=True))
        self.assertNotEqual(catalogue.draw(1).faults, catalogue.draw(2).faults)

    def test_a_drawn_day_is_a_file_that_can_be_played_again(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonnet") as file:
            day = catalogue.draw(7, "medium")
            file.write(catalogue.as_jsonnet(day))
            file.flush()
            self.assertEqual(scenario.load(file.name), day)

    def test_contradictions_are_refused_with_their_place(self):
        good = {"name": "x", "about": "", "cells": [{"rd": 1, "wr": 1}]}
        cases = (
            ({"faults": [{"at": 1, "kind": "hang", "target": "rd-9-9"}]}, r"faults\[0\].target"),
            ({"faults": [{"at": 99, "kind": "hang", "target": "rd"}]}, r"faults\[0\].at"),
            ({"faults": [{"at": 1, "kind": "hang", "target": "mix"}]}, "no engine of role mix"),
            ({"faults": [{"at": 1, "kind": "greedy"}]}, "traffic.customers"),
            ({"faults": [{"at": 1, "kind": "hot_prefix", "value": 3}]}, "a share"),
            ({"faults": [{"at": 1, "kind": "planner_kill", "target": "front-0"}]}, "planners: true"),
            ({"cells": []}, "needs engines"),
            ({"traffic": {"rate": 0}}, "rate over 0"),
            ({"traffic": {"shares": [1, 1, 1, 1]}}, "more shares"),
        )
        for more, says in cases:
            with self.subTest(more=more), self.assertRaisesRegex(BadSettings, says):
                scenario.check(msgspec.convert({**good, **more}, scenario.Scenario), "f.jsonnet")


class Studies(unittest.TestCase):
    DAY = msgspec.structs.replace(catalogue.draw(1, "tiny", seconds=1.0, count=1), name="drawn-x")

    def store(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        return results.Results(holder.name), holder.name

    def test_builds_are_named_and_what_is_wrong_is_said(self):
        trees = studies.Trees()
        self.addCleanup(trees.close)
        self.assertEqual(studies.build("two-choices", trees).policy, "two-choices")
        self.assertEqual(
            studies.build('random,set:{"limits":{"forwards":2}}', trees).settings, {"limits": {"forwards": 2}}
        )
        for text, says in (
            ("best", "no policy"),
            ("set:{", "no JSON"),
            ("set:[1]", "an object"),
            ("rev:nowhere", "rev:nowhere"),
        ):
            with self.subTest(text=text), self.assertRaisesRegex(BadSettings, says):
                studies.build(text, trees)
        laid = studies.with_settings(
            msgspec.structs.replace(self.DAY, settings={"limits": {"pauses": 5}}), {"limits": {"forwards": 2}}
        )
        self.assertEqual(laid.settings, {"limits": {"pauses": 5, "forwards": 2}})

    def test_what_is_kept_is_not_played_again_and_is_the_same_to_the_byte(self):
        store, path = self.store()
        build = studies.build("as-built", None)
        jobs = [(build, self.DAY, 1), (build, self.DAY, 2)]
        said = []
        first = {seed: kept for _, _, seed, kept in studies.study(jobs, store, 2, said.append)}
        again = {seed: kept for _, _, seed, kept in studies.study(jobs, store, 1, said.append)}
        self.assertEqual(first, again)
        self.assertIn("2 runs are kept, 0 to be played by 1 workers", said)
        self.assertNotEqual(first[1].tries, first[2].tries)
        alone, _ = self.store()
        self.assertEqual(
            next(studies.study(jobs[:1], alone, 1))[3], first[1]
        )  # whatever the number of workers

    def test_a_study_that_was_killed_goes_on_where_it_was(self):
        store, path = self.store()
        command = [
            sys.executable,
            "-m",
            "martenrouter",
            "lab",
            "compare",
            "as-built",
            "random",
            "--size",
            "tiny",
            "--days",
            "4",
            "--seconds",
            "2",
            "--workers",
            "1",
            "--store",
            path,
        ]
        popen = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL)
        self.addCleanup(popen.stderr.close)
        for line in popen.stderr:
            if line.startswith(b"2 of 8"):
                break
        popen.send_signal(signal.SIGKILL)
        popen.wait()
        time.sleep(0.1)
        done = subprocess.run(command, capture_output=True, text=True, timeout=120)
        self.assertEqual(done.returncode, 0, done.stderr)
        kept = int(done.stderr.split(" runs are kept")[0].split()[-1])
        self.assertTrue(2 <= kept < 8, done.stderr)
        whole = subprocess.run(
            [*command[:-1], os.path.join(path, "other")], capture_output=True, text=True, timeout=120
        )
        self.assertEqual(done.stdout, whole.stdout)  # the same as one that nothing cut off

    def test_a_worker_that_dies_is_started_once_more_and_a_run_that_fails_is_told(self):
        build = studies.build("as-built", None)
        bad = msgspec.structs.replace(build, policy="nope")
        store, _ = self.store()
        came = []
        with self.assertRaisesRegex(studies.Failed, "1 runs gave nothing.*nope"):
            for told in studies.study([(bad, self.DAY, 1), (build, self.DAY, 1)], store, 1):
                came.append(told)
        self.assertEqual(len(came), 1)  # the other one is played and kept all the same

    def test_a_torn_run_is_played_again(self):
        store, _ = self.store()
        kept = results.Kept("s", 1, "p", "r", {}, {"service": 1.0})
        store.put(b"k", kept)
        self.assertEqual(store.get(b"k"), kept)
        with store._env.begin(write=True) as txn:
            txn.put(b"k", txn.get(b"k")[:-1] + b"x")
        self.assertIsNone(store.get(b"k"))


class Figures(unittest.TestCase):
    def test_service_counts_a_clients_retries_as_one_req(self):
        rows = [
            [0, 100_000, 500_000, "done", "chat", "f", 0],
            [0, None, 10, "pushed back", "chat", "f", 0],
            [5, 2_000_000, 3_000_000, "done", "chat", "f", 1],
            [9, None, None, "open", "chat", "f", 0],
        ]
        told = figures(rows, {"chat": 1_000_000})
        self.assertEqual((told["reqs"], told["tries"], round(told["service"], 3)), (3, 4, 0.333))

    def test_two_days_are_apart_by_shares_and_by_ratios(self):
        one = {
            "done": 0.9,
            "pushed back": 0.0,
            "first token p50": 50.0,
            "forwards a req": 2.0,
            "prompt tokens read": 100,
            "answer tokens written": 50,
        }
        self.assertEqual(apart(one, one), {})
        self.assertEqual(
            apart(one, {**one, "done": 0.8, "first token p50": 200.0}), {"done": 0.1, "first token p50": 0.25}
        )


class Profiles(unittest.TestCase):
    def test_all_workers_together_keep_the_rate_and_its_ramps(self):
        told = profile.Profile(
            phases=[profile.Phase(seconds=20, rate=50), profile.Phase(seconds=20, rate=0, to=100)]
        )
        for kind in ("even", "poisson"):
            told.arrivals = kind
            times = sorted(
                at for worker in range(3) for at in profile.due_times(told, random.Random(4), worker, 3)
            )
            alone = list(profile.due_times(told, random.Random(4), 0, 1))
            self.assertEqual(times, alone)  # however many workers there are
            counts = [sum(begin <= at < begin + 10 for at in times) for begin in (0, 10, 20, 30)]
            for count, due in zip(counts, (500, 500, 250, 750)):
                self.assertLess(abs(count - due), 100, (kind, counts))

    def test_what_is_wrong_is_named(self):
        for more, says in (
            ({"phases": []}, "phases"),
            ({"phases": [{"seconds": 0, "rate": 1}]}, r"phases\[0\]"),
            ({"mixes": [{"weight": 0}]}, "mixes"),
            ({"mixes": [{"sessions": 0}]}, r"mixes\[0\]"),
        ):
            with self.subTest(more=more), self.assertRaisesRegex(BadSettings, says):
                profile.check(msgspec.convert(more, profile.Profile), "p")


if __name__ == "__main__":
    unittest.main()
