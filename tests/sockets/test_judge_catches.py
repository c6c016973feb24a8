"""A front that breaks a rule is found out from the traffic, by the rule's name; an honest one on the same day
is not."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

# mutant -> (rule it breaks, the day on which it has the chance)
BASE = dict(seconds=4, cells=[{"rd": 1, "wr": 1}, {"rd": 1, "wr": 1}])
TRAFFIC = {"rate": 12, "shares": [0.5, 0.25, 0.25], "deadline_ms": 3000}
TOOLS = {**TRAFFIC, "tools": ["meter", "set_valve"], "tool_ms": 100, "deadline_ms": 5000}
COLD = {
    "reader": {
        "cold_share": 0.08,
        "warm_within_us": 30_000_000,
        "fall_multiple": 1.5,
        "fall_window_us": 1_500_000,
    }
}
DAYS = {
    "honest": (None, [], {}),
    "honest on the cold day": (None, [{"at": 0.3, "kind": "crash", "target": "rd", "again": 0.1}], COLD),
    "answers_twice": ("one answer", [], {}),
    "forgets_to_answer": ("one answer", [], {}),
    "forwards_after_the_answer": ("one answer", [], {}),
    "sends_twice": (
        "no double effect",
        [
            {"at": 0.5, "kind": "garbage", "target": "wr-0-0", "length": 3},
            {"at": 0.5, "kind": "hang", "target": "wr-1-0", "length": 2},
        ],
        {},
    ),
    "ignores_drains": ("drains kept", [{"at": 0.3, "kind": "drain", "target": "wr-0-0", "length": 6}], {}),
    "floods_the_cold": ("cold spared", [{"at": 0.3, "kind": "crash", "target": "rd", "again": 0.1}], COLD),
    "lets_nothing_go": (
        "nothing pinned",
        [
            {"at": 0.5, "kind": "refuse", "target": "wr-0-0", "length": 3},
            {"at": 0.5, "kind": "refuse", "target": "wr-1-0", "length": 3},
        ],
        {},
    ),
    "spoils_tokens": ("tokens right", [], {}),
    "asks_tools_twice": ("tools once", [], {"traffic": TOOLS}),
    "forgets_effects": ("no double effect", [], {"traffic": TOOLS}),
    "holds_for_ever": ("nothing pinned", [], {"traffic": {**TOOLS, "tool_ms": 1500}}),
    "loses_a_result": ("tokens right", [], {"traffic": TOOLS}),
    "honest with tools": (None, [], {"traffic": {**TOOLS, "rejoin": 0.2}}),
}


def play(name):
    rule, faults, extra = DAYS[name]
    code = (
        "import sys, json, tempfile, msgspec\n"
        "from martenrouter.lab.scenario import Scenario\n"
        "from martenrouter.lab.rehearse import Rehearsal\n"
        "from martenrouter.lab.verdict import verdict\n"
        "day = msgspec.convert(json.loads(sys.argv[1]), Scenario)\n"
        "command = json.loads(sys.argv[2])\n"
        "r = Rehearsal(day, 3, sys.argv[3], front_command=command)\n"
        "codes = r.play()\n"
        "told, _ = verdict(sys.argv[3], day.expect)\n"
        "print(json.dumps(told))\n"
    )
    day = {"name": name, "about": "", **BASE, "traffic": TRAFFIC, "faults": faults, **extra}
    command = None if name.startswith("honest") else [sys.executable, "-m", "tests.sockets.mutants", name]
    directory = tempfile.mkdtemp()
    try:
        done = subprocess.run(
            [sys.executable, "-c", code, json.dumps(day), json.dumps(command), directory],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if done.returncode:
            raise AssertionError("%s: %s" % (name, done.stderr[-2000:]))
        return json.loads(done.stdout)
    finally:
        shutil.rmtree(directory, ignore_errors=True)


class Leftovers(unittest.TestCase):
    def test_a_rehearsal_that_is_killed_leaves_no_process(self):
        records = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, records, True)
        popen = subprocess.Popen(
            [sys.executable, "-m", "martenrouter", "rehearse", "quiet", "--quiet", "--records", records]
        )
        until = time.monotonic() + 20
        while time.monotonic() < until and not os.path.exists(os.path.join(records, "clients.jsonl")):
            time.sleep(0.05)
        popen.kill()
        popen.wait()
        while time.monotonic() < until and self.running(records):
            time.sleep(0.05)
        self.assertEqual(self.running(records), [])

    def running(self, word):
        found = []
        for pid in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open("/proc/%s/cmdline" % pid, "rb") as file:
                    if word.encode() in file.read():
                        found.append(pid)
            except OSError:
                pass
        return found


class Mutants(unittest.TestCase):
    def test_each_rule_broken_is_named(self):
        with ThreadPoolExecutor(3) as pool:
            told = dict(zip(DAYS, pool.map(play, DAYS)))
        for name, (rule, _, _) in DAYS.items():
            with self.subTest(front=name):
                broken = [one for one, found in told[name]["rules"].items() if not found["kept"]]
                if rule is None:
                    self.assertEqual(broken, [], told[name]["rules"])
                else:
                    self.assertIn(rule, broken, told[name]["figures"])


if __name__ == "__main__":
    unittest.main()
