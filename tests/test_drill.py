import io
import unittest
from contextlib import redirect_stderr

from martenrouter.drill.__main__ import run
from martenrouter.drill.codec import Writer, settings

UP = (
    "up front-0 7 grades.count=1 grades.0.name=chat grades.0.goal-time-us=1000000 grades.0.effect=free "
    "skus=prefill,decode family-info.role-by-kind=read,write family-info.memory-tokens=200000,100000 "
    "family-info.pin-limit-us=300000 policy-limits.attempts-cap=4 tick-us=2000 made-up.key=3 "
    "policy-limits.cancelling=true\n"
    "directory_update front-0 1 C 2\nrow healthy 1 z engine_a 0 prefill -\nrow healthy 1 z engine_b 0 "
    "decode -\n"
)
ASK = "request front-0 5 chat - 91f03b7c55d20a64 4003000 - - 1800 0 256 0\n"


def play(text):
    out, err = io.StringIO(), io.StringIO()
    with redirect_stderr(err):
        code = run(io.StringIO(text), out)
    return code, out.getvalue(), err.getvalue()


class Wire(unittest.TestCase):
    def test_round_trip(self):
        code, out, err = play(
            "turn 1\neob\nturn 1000\n%seob\nturn 3000\n%seob\nturn 40000\nresponse front-0 5 0 half_done "
            "engine_a 37000 0 0 outstanding:7,x0:0.4\neob\n" % (UP, ASK)
        )
        self.assertEqual((code, err), (0, ""))
        replies = out.split("ready\n")
        self.assertEqual(replies[:2], ["", ""])
        self.assertIn("attempt front-0 5 engine_a 0\n", replies[2])
        self.assertIn("attempt front-0 5 engine_b 0\n", replies[3])

    def test_same_input_same_reply(self):
        text = "turn 1000\n%seob\nturn 3000\n%seob\n" % (UP, ASK)
        self.assertEqual(play(text), play(text))

    def test_bad_input_is_named(self):
        for line, says in (
            ("nonsense front-0 1", "line 2: unknown message"),
            ("gone", "line 2: unknown message"),
            ("fired front-9 1", "not up"),
            ("up front-0", "no seed"),
            ("up front-0 x a=1", "unreadable"),
            ("directory_update front-0 1 C 1", "not up"),
            ("fired", "names no instance"),
        ):
            with self.subTest(line=line):
                code, _, err = play("turn 1\n%s\neob\n" % line)
                self.assertEqual((code, says in err, "Traceback" in err), (1, True, False), err)
        for rest, says in (
            ("fired front-0 1 2\neob\n", "2 values where 1 belong"),
            ("fired front-0 x\neob\n", "unreadable"),
            (ASK, "cut off"),
            (ASK.replace("1800", "nan") + "eob\n", "finite"),
            ("directory_update front-0 1 D 1\neob\n", "lacks a row"),
        ):
            with self.subTest(rest=rest):
                code, _, err = play("turn 1\n%s%s" % (UP, rest))
                self.assertEqual((code, says in err, "Traceback" in err), (1, True, False), err)
        self.assertEqual(play("hello\n")[0], 1)

    def test_settings_take_our_words(self):
        told = settings(
            [
                "grades.count=1",
                "grades.0.effect=guarded",
                "grades.0.window-us=5",
                "zones=a,b",
                "policy-limits.cancelling=true",
                "customers=",
            ]
        )
        self.assertEqual(told["groups"], [{"effect": "keyed", "repeat_window": 5}])
        self.assertEqual((told["zones"], told["may_cancel"], told["customers"]), (["a", "b"], True, []))

    def test_each_decision_has_its_line(self):
        lines = []
        out = Writer("front-0", lines)
        for name, args in (
            ("push_back", (1, 2)),
            ("abort", (1,)),
            ("cancel", (1, 0)),
            ("let_go", (1,)),
            ("probe", ("e",)),
            ("hold_ahead", (1, "e")),
            ("move", (1,)),
            ("wake", (3, 4)),
            ("subscribe", ()),
            ("fetch_list", ()),
            ("log", ("a\nb",)),
            ("crash", ("x",)),
        ):
            getattr(out, name)(*args)
        self.assertEqual(
            lines,
            [
                "turn_away front-0 1 2",
                "fail front-0 1",
                "retract front-0 1 0",
                "let_go front-0 1",
                "test front-0 e",
                "earmark front-0 1 e",
                "reassign front-0 1",
                "remind front-0 3 4",
                "observe front-0 1",
                "pull front-0",
                "log front-0 a b",
                "crash front-0 x",
            ],
        )


if __name__ == "__main__":
    unittest.main()
