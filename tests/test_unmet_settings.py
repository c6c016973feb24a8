"""The module and the translator under settings that no fleet so far had: tables of cases, one for each
assumption removed.

docs/assumptions.md has the list; each case fails with the assumption back in its place.
"""

import unittest

from martenrouter.settings import told
from tests.helpers import Rig, row

MIXED = {"kinds": ["mix"], "role_by_kind": ["both"], "memory_by_kind": [200_000]}


def group(**changes):
    return [{"name": "chat", "effect": "replayable", "target": 1_000_000, "importance": 1, **changes}]


def answers(seen):
    return [d[:2] for d in seen if d[0] in ("push_back", "abort")]


class Groups(unittest.TestCase):
    def test_an_answer_that_does_not_stream_is_waited_for_to_its_end(self):
        # guards against the first token's time standing for the whole answer where none is told
        for stream, cancelled in ((False, 0), (True, 1)):
            with self.subTest(stream=stream):
                rig = Rig(
                    [row("r1", "rd"), row("w1", "wr"), row("w2", "wr")],
                    groups=group(stream=stream, target=2_000_000),
                )
                seen = []
                for id in (1, 2):
                    rig.ask(id, session="s%d" % id, last=60_000_000)
                    rig.end(id, 0, "read", "r1")
                for _ in range(170):  # 25 tokens at 60 ms each are 1.5 s; w2 is done after 3.4 s
                    seen += rig.play(after=20_000).all("cancel")
                out = {f.engine.id: r.id for r in rig.front.reqs.values() for f in r.out.values()}
                self.assertEqual(set(out), {"w1", "w2"})
                seen += rig.play(("outcome", (out["w2"], 1, "done", "w2", 3_400_000, True, 0, None))).all(
                    "cancel"
                )
                self.assertEqual(len(seen), cancelled)

    def test_what_does_not_stream_is_learnt_from_its_end(self):
        rig = Rig(groups=group(stream=False))
        for id in range(20):
            rig.ask(id, session="s%d" % id)
            rig.end(id, 0, "read", "r1")
            rig.play(("outcome", (id, 1, "done", "w1", 9_500_000, True, 0, None)))
        rig.ask(99, session="x")
        rig.end(99, 0, "read", "r1")
        expected = rig.front.reqs[99].out[1].expected
        self.assertTrue(6_000_000 < expected < 12_000_000, expected)
        self.assertGreater(rig.front.drained.read(rig.now), 0)

    def test_what_may_not_be_sent_any_more_is_answered_in_that_round(self):
        # guards against a req held with no forward that rule 2 still allows
        for effect, scope, window, then in (
            ("keyed", "all", 900_000, "push_back"),
            ("keyed", "cell", 900_000, "abort"),
            ("keyed", "all", 9_000_000, None),
            ("non-replayable", "", 0, "abort"),
            ("replayable", "", 0, None),
        ):
            with self.subTest(effect=effect, scope=scope, window=window):
                rig = Rig(
                    groups=group(effect=effect, repeat_scope=scope, repeat_window=window, target=3_000_000)
                )
                rig.ask(1, last=60_000_000)
                rig.end(1, 0, "read", "r1")
                seen = rig.end(1, 1, "reset", "w1", after=1_000_000)
                self.assertEqual(answers(seen), [(then, 1)] if then else [])
                self.assertEqual(len(seen.all("let_go")), 1 if then else 0)

    def test_a_window_that_closes_while_a_state_waits_is_answered_then(self):
        rig = Rig(
            groups=group(effect="keyed", repeat_scope="cell", repeat_window=500_000),
            release_within=60_000_000,
        )
        rig.ask(1, last=60_000_000)
        rig.end(1, 0, "read", "r1")
        rig.play(("listed", (2, "changes", [row("w1", "wr", phase="draining")])))
        self.assertEqual(answers(rig.end(1, 1, "reset", "w1", after=100_000)), [])
        self.assertEqual(answers(rig.play(after=450_000)), [("abort", 1)])

    def test_a_silent_keyed_forward_is_left_while_a_repeat_has_no_effect(self):
        # guards against a keyed req held at a hung engine until its deadline, and against one cancelled that
        # can't go on
        for scope, window, cell, cancelled in (
            ("all", 60_000_000, 0, 1),
            ("cell", 60_000_000, 0, 1),
            ("cell", 60_000_000, 1, 0),
            ("all", 500_000, 0, 0),
        ):
            with self.subTest(scope=scope, window=window, cell=cell):
                rig = Rig(
                    [row("r1", "rd"), row("w1", "wr"), row("w2", "wr", cell=cell)],
                    groups=group(effect="keyed", repeat_scope=scope, repeat_window=window),
                )
                seen = []
                for id in (1, 2, 3):
                    rig.ask(id, session="s%d" % id, last=60_000_000)
                    rig.end(id, 0, "read", "r1")
                hung = next(f for r in rig.front.reqs.values() for f in r.out.values() if f.engine.id == "w1")
                for r in list(rig.front.reqs.values()):
                    if hung not in r.out.values():
                        rig.play(("outcome", (r.id, 1, "cancelled", r.out[1].engine.id, 1000, True, 0, None)))
                for _ in range(200):
                    rig.front.now = rig.now
                    rig.front.answers(rig.front.engines["w2"])
                    seen += rig.play(after=20_000).all("cancel")
                self.assertEqual(seen, [(hung.req.id, 1)] * cancelled)


class Roles(unittest.TestCase):
    def test_an_engine_that_reads_for_itself_needs_one_forward(self):
        for cap, rows, sent in (
            (1, [row("m1", "mix")], 1),
            (1, [row("r1", "rd"), row("w1", "wr")], 0),
            (2, [row("r1", "rd"), row("w1", "wr")], 1),
        ):
            with self.subTest(cap=cap, rows=rows):
                mixed = MIXED if rows[0][5] == "mix" else {}
                self.assertEqual(len(Rig(rows, forwards_cap=cap, **mixed).ask(1).all("forward")), sent)

    def test_what_a_mixed_engine_read_is_kept_there(self):
        # guards against sessions that move between engines which read for themselves, and read all anew
        rig = Rig([row("m%d" % i, "mix") for i in range(4)], **MIXED)
        ((_, home, _),) = rig.ask(1, session="s", prompt=6000).all("forward")
        rig.play(("first_token", (1, 0, home, 300_000)))
        rig.end(1, 0, "done", home, final=True)
        front = rig.front
        self.assertEqual(front.engines[home].kept, {"s": 6000})
        rig.ask(2, session="s", prompt=6500)
        self.assertEqual(front.reqs[2].out[0].cost, 500)
        rig.play(("first_token", (2, 0, home, 300_000)))
        rig.end(2, 0, "done", home, final=True, note=0)  # it found nothing of what was thought kept
        self.assertEqual(front.engines[home].kept, {"s": 6500})


class AnsweredAtOnce(unittest.TestCase):
    """docs/assumptions.md, "Waiting, path by path": when each path answers, against a deadline of 30 s."""

    def waited(self, rig, *calls):
        """Microseconds until the answer, rounds being 2 ms apart; None when it takes over 5 s."""
        begun, seen = rig.now, rig.play(*calls)
        while not answers(seen) and rig.now - begun < 5_000_000:
            seen = rig.play()
        return rig.now - begun if answers(seen) else None

    def test_each_path_answers_as_soon_as_no_forward_can_serve_it(self):
        def asked(rows=None, **settings):
            rig = Rig(rows, **settings)
            rig.ask(1, last=30_000_000)
            return rig

        def written(note, **settings):
            rig = asked(**settings)
            rig.end(1, 0, "read", "r1")
            return rig, ("outcome", (1, 1, "full", "w1", 1000, False, note, None))

        def joined(**settings):
            rig = Rig(**settings)
            for id in (
                1,
                2,
            ):  # the first holds all the credit of the port; the second joins the queue without
                rig.ask(id, session="s%d" % id, prompt=30_000, last=30_000_000)
                rig.end(id, 0, "read", "r1")
            return rig

        used, full = written(0, forwards_cap=2)
        gone, lost = written(1, forwards_cap=3)
        target = 1_000_000 + 40_000
        for path, rig, calls, least, most in (
            ("forwards used up at a writer", used, [full], 0, 2000),
            ("too few left to read anew", gone, [lost], 0, 2000),
            ("no reader is up", asked([row("w1", "wr")]), [], target // 2, target),
            (
                "all readers drain",
                asked([row("r1", "rd", phase="draining"), row("w1", "wr")]),
                [],
                target // 2,
                target,
            ),
            (
                "no writer is up",
                asked([row("r1", "rd")], forwards_cap=2),
                [("outcome", (1, 0, "read", "r1", 1000, False, 0, None))],
                0,
                target,
            ),
            ("joined a queue, target passed", joined(), [], target // 2, 2_300_000),
            ("joined a queue, no cancel", joined(may_cancel=False), [], target // 2, 2_300_000),
        ):
            with self.subTest(path=path):
                took = self.waited(rig, *calls)
                self.assertTrue(took is not None and least <= took <= most, took)


class Held(unittest.TestCase):
    def test_a_state_waits_no_longer_than_the_response_target_allows(self):
        # guards against a release limit of minutes: reqs would wait for room until their deadline
        for limit, joined in ((60_000_000, 1_000_000), (300_000, 270_000)):
            with self.subTest(limit=limit):
                rig = Rig(release_within=limit)
                for id in (1, 2):
                    rig.ask(id, session="s%d" % id, prompt=30_000, last=30_000_000)
                    rig.end(id, 0, "read", "r1")
                waited = 0
                while (
                    not (seen := rig.play(after=10_000)).all("forward")
                    and not answers(seen)
                    and waited < 9_000_000
                ):
                    waited += 10_000
                self.assertLess(waited, 2 * (1_000_000 + 30 * 40_000) if limit > 1_000_000 else 300_000)
                self.assertGreater(waited, joined // 2)

    def test_a_state_that_a_running_forward_kept_is_let_go_after_it(self):
        # guards against a release that comes while a forward, which can't be cancelled, still waits for the
        # state
        for ending, note, lets in (
            ("timed out", 0, 1),
            ("full", 0, 1),
            ("full", 1, 1),
            ("reset", 0, 1),
            ("done", 0, 0),
        ):
            with self.subTest(ending=ending, note=note):
                rig = Rig(may_cancel=False)
                rig.ask(1, last=400_000)
                rig.end(1, 0, "read", "r1")
                seen = rig.play(after=393_000)
                self.assertEqual(answers(seen), [("push_back", 1)])
                self.assertEqual(len(rig.end(1, 1, ending, "w1", final=True, note=note).all("let_go")), lets)
                self.assertEqual(rig.front.reqs, {})


class Loads(unittest.TestCase):
    def test_a_report_field_that_is_no_memory_is_not_taken_for_it(self):
        for text, taken in (("share_of_memory_that_is_held", 1), ("requests_held_per_slot", 0), (None, 1)):
            with self.subTest(text=text):
                plain = told.from_pairs(["family-info.report-x0=%s" % text] if text else [])
                rig = Rig(fronts=2, **{k: v for k, v in plain.items() if v != []})
                rig.ask(1)
                rig.end(1, 0, "read", "r1")
                rig.play(("probed", ("done", 100, "w1", {"memory_share": 0.9})))
                self.assertEqual(len(rig.front.told), 2 * taken)
                self.assertEqual(rig.front.room(rig.front.engines["w1"]) < 20_000, bool(taken))


class Translator(unittest.TestCase):
    def test_names_stay_text(self):
        plain = told.from_pairs(
            [
                "skus=7,true",
                "zones=1,2.0",
                "family-info.role-by-kind=read,write",
                "grades.0.name=8",
                "stats.fields=x0",
            ]
        )
        self.assertEqual(
            (plain["kinds"], plain["zones"], plain["load_names"], plain["groups"][0]["name"]),
            (["7", "true"], ["1", "2.0"], ["x0"], "8"),
        )

    def test_absent_values_are_as_if_not_given(self):
        self.assertEqual(
            told.from_pairs(
                ["tick-us=-", "family-info.pin-limit-us=-", "grades.0.window-us=-", "grades.0.name=a"]
            ),
            {"groups": [{"name": "a"}], "customers": []},
        )

    def test_what_cannot_be_used_is_refused_with_where_and_the_mend(self):
        for pair in (
            "tick-us=soon",
            "family-info.pin-limit-us=1e400",
            "family-info.memory-tokens=5,many",
            "grades.0.goal-time-us=true",
            "grades.0.effect=sometimes",
            "grades.0.group=rack",
            "policy-limits.cancelling=perhaps",
            "customers.0.quota-rps=x",
            "family-info.role-by-kind=read,scribe",
            "grades.10000.name=x",
            "peers-total=-3",
            "rules.cold-share=nan",
            "discovery=carrier",
        ):
            path, _, value = pair.partition("=")
            nested = value.split(",") if "," in value else value
            for name in reversed(path.split(".")):
                nested = [{}] * int(name) + [nested] if name.isdigit() else {name: nested}
            for form, data in ((told.from_pairs, [pair]), (told.from_nested, nested)):
                with self.subTest(pair=pair, form=form.__name__):
                    with self.assertRaises(told.Unreadable) as caught:
                        form(data)
                    self.assertIn(path, str(caught.exception))
                    self.assertIn(";", str(caught.exception))
