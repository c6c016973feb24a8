import ast
import json
import os
import subprocess
import sys
import tempfile
import unittest

from martenrouter.lab import scenario
from martenrouter.settings import front
from martenrouter.settings.load import BadSettings, evaluate

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# package -> what of ours it may import, as shared by all who build here
FLOORS = {
    "cli": {"node", "lab", "standins", "edge", "planner", "state", "wire", "settings", "decisions"},
    "lab": {"standins", "edge", "wire", "decisions", "settings", "state"},
    "standins": {"wire", "settings", "state", "edge"},
    "edge": {"wire", "decisions", "state", "settings"},
    "planner": {"wire", "decisions", "state", "settings"},
    "state": {"settings"},
    "wire": set(),
    "settings": set(),
    "decisions": {"rules"},
    "drill": {"rules", "settings"},
    "rules": {"policy"},
    "policy": set(),
    "node": {"edge", "wire", "decisions", "settings", "rules"},
}


class House(unittest.TestCase):
    def test_arrows_point_down(self):
        for folder, _, files in os.walk(os.path.join(ROOT, "martenrouter")):
            for name in files:
                package = os.path.relpath(
                    os.path.join(folder, name), os.path.join(ROOT, "martenrouter")
                ).split(os.sep)
                room = package[0].removesuffix(".py")
                if not name.endswith(".py") or room not in FLOORS:
                    continue
                with open(os.path.join(folder, name)) as file:
                    tree = ast.parse(file.read())
                for node in ast.walk(tree):
                    names = (
                        [node.module]
                        if isinstance(node, ast.ImportFrom)
                        else [alias.name for alias in node.names]
                        if isinstance(node, ast.Import)
                        else []
                    )
                    for told in names:
                        parts = (told or "").split(".")
                        if parts[0] == "martenrouter" and len(parts) > 1:
                            self.assertIn(parts[1], FLOORS[room] | {room}, "%s imports %s" % (name, told))

    def test_decisions_do_no_io(self):
        allowed = {
            "martenrouter",
            "collections",
            "math",
            "statistics",
            "heapq",
            "bisect",
            "zlib",
            "dataclasses",
        }
        folder = os.path.join(ROOT, "martenrouter", "decisions")
        for name in sorted(os.listdir(folder)):
            if name.endswith(".py"):
                with open(os.path.join(folder, name)) as file:
                    for node in ast.walk(ast.parse(file.read())):
                        if isinstance(node, (ast.Import, ast.ImportFrom)):
                            for told in (
                                [node.module]
                                if isinstance(node, ast.ImportFrom)
                                else [a.name for a in node.names]
                            ):
                                self.assertIn(told.split(".")[0], allowed, name)


class Settings(unittest.TestCase):
    def test_what_is_wrong_is_named_with_what_is_allowed(self):
        cases = (
            ({"limits": {"opne": 1}}, "at limits: .*opne.*allowed: open_reqs"),
            ({"listen": "x"}, "host:port"),
            ({"groups": [{"name": "a", "effct": 1}]}, r"at groups\[0\]: .*effct.*allowed: name, effect"),
            ({"groups": [{"name": "a", "effect": "maybe"}]}, r"groups\[0\].effect"),
            ({"fronts": "two"}, "fronts"),
            ({"groups": [{"name": "a"}, {"name": "a"}]}, "stands twice"),
            ({"groups": []}, "groups"),
            ({"round_ms": 0}, "round_ms"),
            ({"limits": {"connect_within_ms": 950}}, "drains"),
            ({"cold": {"share": 2}}, "cold.share"),
            ({"list": {}}, "list"),
            ({"kinds": [{"name": "a", "role": "read", "memory_tokens": -1}]}, r"kinds\[0\].memory_tokens"),
        )
        for value, says in cases:
            with self.subTest(value=value), self.assertRaisesRegex(BadSettings, says) as caught:
                front.check(value, "f.jsonnet")
            self.assertNotIn("\n", str(caught.exception))

    def test_templates_take_parameters(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "f.jsonnet")
            with open(path, "w") as file:
                file.write("local n = std.parseInt(std.extVar('fronts')); { fronts: n, name: 'f%d' % n }")
            self.assertEqual(evaluate(path, ["fronts=3"]), {"fronts": 3, "name": "f3"})
            for given, says in (([], "fronts"), (["fronts"], "NAME=VALUE"), (["fronts=x"], "f.jsonnet")):
                with self.assertRaisesRegex(BadSettings, says):
                    evaluate(path, given)
            with self.assertRaisesRegex(BadSettings, "can't be read"):
                evaluate(path + "x")

    def test_the_module_gets_whole_microseconds_in_its_words(self):
        told = front.for_module(front.load())
        self.assertEqual(
            (told["release_within"], told["groups"][0]["target"], told["round"]), (300_000, 1_000_000, 1000)
        )
        self.assertEqual(told["role_by_kind"], ["read", "write", "both"])

    def test_every_scenario_can_be_played(self):
        for name in scenario.names():
            self.assertEqual(scenario.load(name).name, name)
        self.assertIn("bad-day", scenario.names())

    def test_the_command_line_says_what_is_wrong(self):
        cases = (
            (["config", "check", "/nowhere.jsonnet"], 2, "can't be read"),
            (["rehearse", "nope"], 2, "there are"),
            (["judge", "/nowhere"], 2, "can't be read"),
            (["ask", "x", "--front", "127.0.0.1:1"], 1, "no answer"),
            (["standin", "engine", "--spec", "{"], 2, "not JSON"),
            (["nope"], 2, "No such command"),
            (["standin", "engine", "--spec", '{"id":"a","sice":1}'], 2, "allowed"),
            (["config", "show"], 0, ""),
        )
        for arguments, code, says in cases:
            with self.subTest(arguments=arguments):
                done = subprocess.run(
                    [sys.executable, "-m", "martenrouter", *arguments],
                    capture_output=True,
                    text=True,
                    cwd=ROOT,
                )
                self.assertEqual(
                    (done.returncode, says in done.stderr, "Traceback" in done.stderr),
                    (code, True, False),
                    done.stderr,
                )
        self.assertEqual(json.loads(done.stdout)["fronts"], 1)


if __name__ == "__main__":
    unittest.main()
