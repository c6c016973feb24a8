"""Whole rehearsals by the command line: verdicts, exit codes, the same for a seed."""

import json
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor


def rehearse(*arguments):
    done = subprocess.run(
        [sys.executable, "-m", "martenrouter", "rehearse", "--json", "--quiet", *arguments],
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout, done.stderr


class Days(unittest.TestCase):
    def test_rules_are_kept_and_a_seed_gives_its_verdict(self):
        days = [
            ("quiet", "--seed", "3"),
            ("quiet", "--seed", "3"),
            ("front-kill",),
            ("leave-early",),
            ("list-back",),
            ("budgets",),
        ]
        with ThreadPoolExecutor(2) as pool:
            told = list(pool.map(lambda day: rehearse(*day), days))
        verdicts = []
        for day, (code, out, err) in zip(days, told):
            with self.subTest(day=day):
                self.assertEqual(code, 0, out + err)
                verdict = json.loads(out)
                verdicts.append(
                    ({rule: found["kept"] for rule, found in verdict["rules"].items()}, verdict["expected"])
                )
                self.assertGreater(verdict["figures"]["reqs"], 40)
        self.assertEqual(verdicts[0], verdicts[1])

    def test_a_day_that_is_not_as_expected_fails(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonnet") as file:
            file.write(
                "{ name: 'none', about: 'no writer', seconds: 1.5, cells: [{ rd: 1 }], traffic: { rate: 10,"
                " retries: 0 },"
                " expect: { done_at_least: 0.5 } }"
            )
            file.flush()
            code, out, err = rehearse(file.name)
        verdict = json.loads(out)
        self.assertEqual((code, verdict["kept"], verdict["expected"]), (1, True, False), err)
        self.assertIn("done", verdict["missed"][0])


if __name__ == "__main__":
    unittest.main()
