"""Two customers' fronts in one process: nothing of the one shows in the other, whatever names they share."""

import unittest

from martenrouter.settings import told
from tests.helpers import SETTINGS, Rig, row

# contrary in all that is looked up by name: groups, customers, kinds, sessions, prefixes
ONE = {
    "groups": [{"name": "chat", "effect": "replayable", "target": 1_000_000, "importance": 1}],
    "fronts": 1,
    "forwards_cap": 4,
}
OTHER = {
    "groups": [
        {"name": "chat", "effect": "non-replayable", "target": 400_000, "importance": 9, "deadline": 900_000},
        {
            "name": "late",
            "effect": "keyed",
            "repeat_scope": "cell",
            "repeat_window": 50_000,
            "target": 90_000_000,
        },
    ],
    "customers": [{"name": "c", "quota_per_s": 1}],
    "over_share_importance": 0.1,
    "fronts": 40,
    "forwards_cap": 2,
    "may_cancel": False,
    "kinds": ["wr", "rd"],
    "role_by_kind": ["read", "write"],
    "memory_by_kind": [9_000, 400_000],
    "release_within": 900_000,
}
ROWS = {
    "one": [row("r1", "rd"), row("r2", "rd", cell=1), row("w1", "wr"), row("w2", "wr", cell=1)],
    "other": [
        row("r1", "wr"),
        row("r2", "wr", cell=1),
        row("w1", "rd"),
        row("w2", "rd", cell=1, phase="draining"),
    ],
}


def day(rig):
    """A generator of a front's rounds on a scripted day with failures; gives what was decided in each."""
    for n in range(30):
        seen = rig.ask(
            "q%d" % n,
            session="s%d" % (n % 4),
            prefix="p%d" % (n % 3),
            prompt=900 + 700 * (n % 5),
            after=20_000,
        )
        yield list(seen)
        for _ in range(4):
            sent = [call for call in seen if call[0] == "forward"]
            seen = rig.play(
                *(
                    (
                        "outcome",
                        (
                            call[1],
                            rig.front.reqs[call[1]].used - 1,
                            ("read", "reset", "full", "done")[(n + len(call[2])) % 4]
                            if rig.front.engines[call[2]].role == "read"
                            else ("done", "reset")[n % 2],
                            call[2],
                            30_000 + 9_000 * (n % 3),
                            False,
                            0,
                            {"memory_share": 0.1 * (n % 9)},
                        ),
                    )
                    for call in sent
                    if call[1] in rig.front.reqs
                ),
                after=30_000,
            )
            yield list(seen)


class TwoCustomers(unittest.TestCase):
    def test_fronts_with_contrary_settings_played_in_turns_decide_as_each_does_alone(self):
        alone = {
            name: list(day(Rig(ROWS[name], **settings)))
            for name, settings in (("one", ONE), ("other", OTHER))
        }
        self.assertNotEqual(alone["one"], alone["other"])
        self.assertGreater(sum(len(seen) for seen in alone["other"]), 60)
        days = {"one": day(Rig(ROWS["one"], **ONE)), "other": day(Rig(ROWS["other"], **OTHER))}
        turns = {name: [] for name in days}
        for _ in range(len(alone["one"])):
            for name, rounds in days.items():
                turns[name].append(next(rounds))
        self.assertEqual(turns, alone)

    def test_settings_are_left_as_they_came(self):
        given = {**SETTINGS, **OTHER}
        before = repr(given)
        rig = Rig(ROWS["other"], **OTHER)
        list(day(rig))
        self.assertEqual(repr(given), before)

    def test_the_translator_remembers_nothing(self):
        one = {
            "grades": [{"name": "a", "effect": "guarded", "group": "all", "window-us": 5}],
            "customers": [{"name": "x", "quota-rps": 2}],
        }
        first = told.from_nested(one)
        told.from_nested({"grades": [{"name": "b", "effect": "free"}], "tick-us": 7})
        self.assertEqual(told.from_nested(one), first)
        self.assertNotIn("round", first)

    def test_settings_that_contradict_each_other_are_named(self):
        for tree, says in (
            ({"grades": [{"name": "a"}, {"name": "b"}, {"name": "a"}]}, "grades.2.name"),
            ({"customers": [{"name": "a"}, {"name": "a"}]}, "customers.1.name"),
            ({"skus": ["p", "d"], "family-info": {"role-by-kind": ["read"]}}, "role-by-kind"),
        ):
            with self.subTest(says=says), self.assertRaisesRegex(told.Unreadable, says + ".*; write"):
                told.from_nested(tree)


if __name__ == "__main__":
    unittest.main()
