"""A decider rebuilt from facts goes on where the one before it was: the module's `adopted`, what was learnt,
the chain."""

import unittest
from unittest.mock import Mock

from martenrouter.decisions.chain import Chain
from martenrouter.decisions.learnt import export, put
from martenrouter.decisions.takeover import Restarts, Takeover
from martenrouter.edge import clock
from martenrouter.edge.facts import Forward, Req
from martenrouter.edge.hands import Hands
from martenrouter.rules import READ, READING, STARTED, UNREAD, WRITING, Front
from martenrouter.settings import front as settings_of
from tests.helpers import SETTINGS, Rig, Seen, row

ROWS = [row("r1", "rd"), row("r2", "rd"), row("w1", "wr"), row("w2", "wr")]
TOLD = ("chat", None, "s", None, None, None, 1000, 0, 100, 0)


class Adopting(unittest.TestCase):
    def adopted(
        self,
        stage,
        out=(),
        group="chat",
        reader=None,
        since=0,
        held=False,
        effect=None,
        used=1,
        age=0,
        rows=ROWS,
        **settings,
    ):
        rig = Rig(rows, **settings)
        told = (group,) + TOLD[1:3] + (rig.now + 4_000_000,) + TOLD[4:]
        rig.front.now, rig.front.out = rig.now, Seen()
        rig.front.adopted(1, told, age, stage, used, reader, since, held, effect, list(out))
        self.assertEqual(list(rig.front.out), [])  # nothing is decided by adopting
        return rig

    def test_each_stage_goes_on(self):
        rig = self.adopted(UNREAD)
        self.assertEqual(len(rig.play().all("forward")), 1)
        rig = self.adopted(READING, [(0, "r1", 5000, False)])
        self.assertEqual(rig.play().all("forward"), [])
        self.assertEqual(rig.front.engines["r1"].pending, 1000)
        self.assertEqual([f[1][0] for f in rig.end(1, 0, "read", "r1").all("forward")], ["w"])
        rig = self.adopted(READ, reader="r1", held=True)
        self.assertEqual(len(rig.play().all("forward")), 1)
        rig = self.adopted(WRITING, [(1, "w1", 5000, False)], reader="r1", held=True, used=2)
        self.assertEqual(
            sum(len(link.waiting) for link in rig.front.links.values()), 1
        )  # credit is out on its link
        rig.play(("first_token", (1, 1, "w1", 500)))
        self.assertEqual(sum(len(link.waiting) for link in rig.front.links.values()), 0)
        rig.end(1, 1, "done", "w1", final=True)
        self.assertEqual((rig.front.reqs, rig.front.engines["w1"].streams), ({}, 0))
        rig = self.adopted(STARTED, [(1, "w1", 500_000, True)], reader="r1", used=2)
        self.assertEqual((rig.front.live, len(rig.front.engines["w1"].waiting)), ({}, 0))
        rig.end(1, 1, "done", "w1", final=True)
        self.assertEqual(rig.front.reqs, {})

    def test_a_state_keeps_its_release_clock(self):
        for since, last in ((0, False), (299_000, True)):
            rig = self.adopted(READ, reader="r1", held=True, since=since, release_within=300_000)
            rig.front.listed(2, "changes", [row("w1", "wr", phase="gone"), row("w2", "wr", phase="gone")])
            self.assertEqual(rig.play().all("let_go"), [(1,)] if last else [])

    def test_the_edges_release_clock_is_the_modules(self):
        # guards against a decider that takes over and holds a state longer than the one before it would have
        for ending, goes_on in (("unreachable", True), ("reset", True), ("full", False), ("error", False)):
            with self.subTest(ending=ending):
                told = {
                    "name": "f",
                    "groups": [{"name": "chat", "effect": "replayable"}],
                    "list": {"file": "-"},
                }
                hands = Hands(settings_of.check(told, "test"), lambda *_, **__: None, Mock())
                hands.desk = Mock()
                r = Req(1, clock.now())
                r.max_tokens, r.tools, r.since = (
                    10,
                    None,
                    clock.now() - 200_000_000,
                )  # read 200 s ago, sent on just now
                f = Forward(r, r.leg_id, 1, "f-1", "w1", "write", 0, clock.now() - 1000, None)
                r.forwards[f.leg, f.n] = f
                hands.ended(f, ending, 0)
                rig = Rig(ROWS, release_within=60_000_000, forwards_cap=9)
                rig.ask(1, last=900_000_000)
                ((_, writer, _),) = rig.end(1, 0, "read", "r1").all("forward")
                rig.front.reqs[1].clock -= 200_000_000
                rig.front.turn(
                    rig.now + 1000, [("outcome", (1, 1, ending, writer, 1000, False, 0, None))], Seen()
                )
                held = clock.now() - r.since, rig.now + 1000 - rig.front.reqs[1].clock
                self.assertEqual([waited > 100_000_000 for waited in held], [goes_on] * 2, held)

    def test_what_may_have_run_binds_the_next_one(self):
        groups = [
            {
                "name": "chat",
                "effect": "keyed",
                "repeat_scope": "cell",
                "repeat_window": 9_000_000,
                "target": 1_000_000,
            }
        ]
        rows = [row("r1", "rd"), row("w1", "wr", cell=1), row("w2", "wr")]
        rig = self.adopted(
            READ, reader="r1", held=True, effect=(1, "w1", 9000, True), used=2, groups=groups, rows=rows
        )
        self.assertEqual(rig.play().all("forward"), [(1, "w1", 0)])
        # what ran there stays bound to that cell, though the list moves the engine's id to another
        rig = self.adopted(
            READ, reader="r1", held=True, effect=(1, "w1", 9000, True), used=2, groups=groups, rows=rows
        )
        rig.front.listed(
            2, "whole", [row("r1", "rd"), row("w1", "wr", cell=2), row("w2", "wr"), row("w3", "wr", cell=1)]
        )
        self.assertEqual(rig.play().all("forward"), [(1, "w3", 0)])

    def test_age_counts_to_the_target_and_tries_to_the_cap(self):
        rig = self.adopted(UNREAD, age=900_000)
        self.assertEqual(rig.front.reqs[1].target, rig.now - 900_000 + 1_040_000)
        rig = self.adopted(UNREAD, used=4)
        self.assertEqual(len(rig.play().all("push_back")), 1)


class Whole(unittest.TestCase):
    """The chain, from an edge's facts."""

    def one(self, **more):
        return {
            "id": 3,
            "conn": 1,
            "told": ("chat", None, "s", 9_000_000, None, None, 100, 0, 64, 0),
            "leg": 0,
            "steps": 0,
            "rewrites": 0,
            "effects": False,
            "prompt": 100,
            "left": 64,
            "flowed": 0,
            "paused": False,
            "holder": None,
            "calls": [],
            "age": 1000,
            "stage": 0,
            "used": 0,
            "reader": None,
            "since": 0,
            "held": False,
            "out": [],
            "broke": False,
            "effect": None,
            "swamped": False,
            "orphan": False,
            **more,
        }

    def adopt(self, kind="replayable", later=(), **more):
        told = settings_of.check(
            {
                "groups": [{"name": "chat", "effect": kind}],
                "kinds": [
                    {"name": "rd", "role": "read", "memory_tokens": 10**6},
                    {"name": "wr", "role": "write", "memory_tokens": 10**6},
                ],
            },
            "t",
        )
        chain, out = Chain(1, settings_of.for_module(told), settings_of.for_chain(told)), Seen()
        chain.adopt(
            2_000_000,
            {
                "version": 4,
                "stopping": False,
                "rows": ROWS,
                "later": list(later),
                "reqs": [] if later else [self.one(**more)],
            },
        )
        chain.turn(2_001_000, [("look", ())], out)
        return chain, out

    def test_what_the_one_before_had_still_to_decide(self):
        read_again = 3 + (1 << 32)
        broke = dict(broke=True, stage=0, used=2, reader="r1", effect=(1, "w1", 500_000, True), flowed=5)
        cases = (
            ("just arrived", "replayable", {}, "forward", 3),
            ("its stream broke", "replayable", broke, "forward", read_again),
            ("the same, once only", "non-replayable", broke, "abort", 3),
            (
                "reset before a token",
                "non-replayable",
                dict(stage=2, used=2, reader="r1", held=True, effect=(1, "w1", 500_000, True)),
                "abort",
                3,
            ),
            (
                "read, state waits",
                "non-replayable",
                dict(stage=2, used=1, reader="r1", held=True),
                "forward",
                3,
            ),
            (
                "all results there",
                "replayable",
                dict(
                    paused=True,
                    steps=1,
                    used=2,
                    holder="w1",
                    reader="w1",
                    held=True,
                    calls=[("0.0.x", "t", True, "answered", 0)],
                ),
                "forward",
                read_again,
            ),
        )
        for name, kind, facts, then, id in cases:
            with self.subTest(name):
                chain, out = self.adopt(kind, **facts)
                self.assertEqual(
                    [row[:2] for row in out if row[0] in ("forward", "abort", "push_back")], [(then, id)]
                )
                self.assertEqual(len(chain.admission.open), then == "forward")

    STREAM = dict(stage=4, used=2, reader="r1", out=[(1, "w1", 500_000, True)])

    def test_what_follows_later_is_adopted_in_its_turn(self):
        news = ("outcome", (3, 1, "reset", "w1", 600_000, False, 0, None))
        after = 3 + (1 << 32)
        # what comes in the round of the facts, the facts, what comes after; decisions, reqs open in the end
        cases = (
            ("goes on", (), self.STREAM, (news,), [("forward", after)], 1),
            (
                "news before its facts is part of them",
                (news,),
                dict(broke=True, used=2, reader="r1"),
                (),
                [("forward", after)],
                1,
            ),
            ("ended since", (("gone", (3,)),), None, (), [], 0),
            ("ended after", (), self.STREAM, (("gone", (3,)),), [], 0),
            (
                "done after",
                (),
                self.STREAM,
                (("outcome", (3, 1, "done", "w1", 600_000, True, 0, None)),),
                [],
                0,
            ),
            (
                "its client reads too slowly",
                (("swamped", (3,)),),
                dict(self.STREAM, swamped=True),
                (),
                [("push_back", 3)],
                0,
            ),
        )
        for name, before, facts, then, decided, left in cases:
            with self.subTest(name):
                chain, out = self.adopt(later=[(3, 1)])
                self.assertEqual((len(chain.admission.open), chain.pending), (1, {3}))
                chain.turn(2_002_000, [*before, ("adopt", (3, facts and self.one(**facts)))], out)
                chain.turn(2_003_000, list(then), out)
                self.assertEqual(
                    [row[:2] for row in out if row[0] in ("forward", "abort", "push_back")], decided
                )
                self.assertEqual((len(chain.admission.open), chain.pending), (left, set()))

    def test_what_only_an_event_told_is_found_in_the_facts(self):
        for kind, facts, then in (
            ("replayable", dict(self.STREAM, swamped=True), "push_back"),
            ("non-replayable", dict(self.STREAM, swamped=True), "abort"),
            ("replayable", dict(self.STREAM, orphan=True), "abort"),
        ):
            chain, out = self.adopt(kind, **facts)
            self.assertEqual(
                [row[0] for row in out if row[0] in ("abort", "push_back", "end_stream")],
                [then, "end_stream"],
            )

    def test_the_usual_gap_comes_along(self):
        chain, out = self.adopt()
        chain.streams.gap = 300_000
        told = chain.learnt(2_000_000)
        other, _ = self.adopt()
        other.adopt(2_100_000, {"version": 4, "stopping": False, "rows": ROWS, "reqs": [], "later": []}, told)
        self.assertEqual(other.streams.patience(), chain.streams.patience())

    def test_a_pause_keeps_its_clocks(self):
        pause = dict(paused=True, steps=1, used=2, holder="w1", reader="w1", held=True, since=200_000)
        chain, out = self.adopt(
            calls=[("0.0.x", "t", True, "out", 200_000), ("0.1.y", "t", False, "queued", 0)], **pause
        )
        self.assertEqual(out.all("call_tool"), [(3, "0.1.y")])
        chain.turn(2_080_000, [("look", ())], out)
        self.assertEqual(out.all("let_go"), [(3,)])
        chain.turn(2_090_000, [("tool", (3, "0.0.x", 120, 60)), ("tool", (3, "0.1.y", 140, 60))], out)
        self.assertEqual((out.all("next_leg"), out.all("forward")[0][0]), ([(3, False)], 3 + (1 << 32)))
        self.assertTrue(chain.talks.talks[3].effects)

    def test_a_pause_counts_to_the_release_of_its_state(self):
        # found by `rehearse planner-killed-long`: a state held 200 ms in a pause got all of the limit anew
        # when it went on
        chain, out = self.adopt(
            paused=True,
            steps=1,
            used=2,
            holder="w1",
            reader="w1",
            held=True,
            since=200_000,
            calls=[("0.0.x", "t", True, "out", 200_000)],
        )
        chain.turn(2_021_000, [("tool", (3, "0.0.x", 120, 60))], out)
        self.assertEqual(chain.front.reqs[3 + (1 << 32)].clock, 1_800_000)


class Learnt(unittest.TestCase):
    def test_health_and_kept_text_come_along(self):
        rig = Rig(ROWS)
        for i in range(6):
            reader = rig.ask(i, session="s%d" % i).all("forward")[0][1]
            rig.end(i, 0, "reset" if reader == "r1" else "read", reader)
        told = export(rig.front, rig.now)
        fresh = Front(7, SETTINGS)
        fresh.turn(rig.now, [("listed", (1, "first", ROWS))], Seen())
        self.assertEqual(put(fresh, told, rig.now), 4)
        for id, engine in rig.front.engines.items():
            self.assertEqual((fresh.engines[id].failed, fresh.engines[id].kept), (engine.failed, engine.kept))
            self.assertEqual(fresh.engines[id].late.read(rig.now), engine.late.read(rig.now))
        self.assertEqual(
            fresh.pace["read"].expect(rig.now, 1000), rig.front.pace["read"].expect(rig.now, 1000)
        )

    def test_old_or_of_another_process_it_is_not_believed(self):
        rig = Rig(ROWS)
        reader = rig.ask(1).all("forward")[0][1]
        rig.end(1, 0, "read", reader)
        told = export(rig.front, rig.now)
        for rows, later, kept in (
            (ROWS, 70_000_000, False),
            ([row("r1", "rd", born=5), row("r2", "rd", born=5)], 0, False),
            (ROWS, 1_000, True),
        ):
            fresh = Front(7, SETTINGS)
            fresh.turn(rig.now, [("listed", (1, "first", rows))], Seen())
            put(fresh, told, rig.now + later)
            self.assertEqual(any(engine.kept for engine in fresh.engines.values()), kept)


class Charge(unittest.TestCase):
    def test_epochs_and_waits(self):
        takeover, now, epochs, waits = Takeover(), 0, [], []
        for _ in range(9):
            now = max(now, takeover.not_before)
            self.assertTrue(takeover.may_hand_over(now))
            epochs.append(takeover.handed_over(now))
            self.assertTrue(takeover.counts(epochs[-1]))
            now += 1000
            self.assertEqual(
                [takeover.overdue(now, now - 79_000), takeover.overdue(now, now - 81_000)], [False, True]
            )
            epochs.append(takeover.taken_over(now))
            self.assertFalse(takeover.counts(epochs[-2]) or takeover.counts(epochs[-1]))
            waits.append(takeover.not_before - now)
        self.assertEqual(epochs, sorted(set(epochs)))
        self.assertEqual((waits[0], waits[-1], waits == sorted(waits)), (250_000, 30_000_000, True))
        takeover.handed_over(now)
        takeover.taken_over(now + takeover.FORGIVEN + 1)
        self.assertEqual(takeover.faults, 1)

    def test_a_planner_lets_go_early_enough_for_its_silence_to_be_seen(self):
        told = Takeover.for_planner({"release_within": 300_000, "round": 1000})
        self.assertEqual(told, {"release_within": 300_000 - Takeover.SILENT - Takeover.BEAT, "round": 1000})
        self.assertEqual(Takeover.for_planner({"release_within": 90_000})["release_within"], 30_000)

    def test_restarts_back_off_and_a_loop_is_seen(self):
        restarts = Restarts()
        waits = [restarts.ended(1000) for _ in range(10)]
        self.assertEqual(
            (waits[:3], waits[-1], restarts.in_a_loop()), ([100_000, 200_000, 400_000], 10_000_000, True)
        )
        self.assertEqual((restarts.ended(60_000_000), restarts.in_a_loop()), (100_000, False))


if __name__ == "__main__":
    unittest.main()
