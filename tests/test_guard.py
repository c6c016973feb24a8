"""The front node's guard: each reason for which an attempt may not begin, and each violation."""

import collections
import types
import unittest
from unittest import mock

from martenrouter.node.guard import Guard, Reason

NOW = 10_000_000


class Line:
    def __init__(self, ended=False):
        self.is_ended = ended

    def ended(self):
        return self.is_ended


class Case(unittest.TestCase):
    def setUp(self):
        self.counters, self.log = collections.Counter(), mock.Mock()

    def guard(self, effect="replayable", **more):
        group = {"name": "chat", "effect": effect, **more.pop("group", {})}
        guard = Guard({"groups": [group], "release_within": 300_000, **more}, self.counters, self.log)
        guard.phases.update(a="up", b="up", far="up", old="draining")
        guard.places.update(a=("z", 1), b=("z", 1), far=("y", 2), old=("z", 1))
        return guard

    def request(self, **more):
        told = {
            "id": "r",
            "over": None,
            "repeat_by": None,
            "may_have_run": {},
            "forwards": {},
            "held_since": None,
            "reader": "p",
            "ask": types.SimpleNamespace(group="chat"),
            "conn": self.connection(),
        }
        return types.SimpleNamespace(**{**told, **more})

    @staticmethod
    def connection(ended=False, sees_end=True):
        return types.SimpleNamespace(line=Line(ended=ended), sees_end=lambda: sees_end)

    def attempt(self, request, n=0, engine="a", **more):
        told = {"reads": False, "ended": False, "until": NOW + 1000, "place": None, "written": None}
        return types.SimpleNamespace(req=request, n=n, engine=engine, **{**told, "arrived": None, **more})


class Sending(Case):
    def test_crossings_are_refused_and_counted_but_are_no_violations(self):
        left, unseen = self.connection(ended=True), self.connection(sees_end=False)
        for why, request, attempt in (
            (Reason.OVER, {"over": "done"}, {}),
            (Reason.OVER, {}, {"ended": True}),
            (Reason.DRAINING, {}, {"engine": "old"}),
            (Reason.DRAINING, {}, {"engine": "gone"}),
            (Reason.LATE, {}, {"until": NOW}),
            (Reason.CLIENT_LEFT, {"conn": left}, {}),
            (Reason.CLIENT_UNSEEN, {"conn": unseen}, {}),
            (Reason.CLIENT_UNSEEN, {"conn": unseen}, {"reads": True}),
            (Reason.WINDOW_OVER, {"repeat_by": NOW}, {}),
            (None, {"repeat_by": NOW}, {"reads": True}),
            (None, {}, {}),
        ):
            with self.subTest(why=why, request=request, attempt=attempt):
                guard, request = self.guard(), self.request(**request)
                self.assertEqual(guard.refuses(self.attempt(request, **attempt), NOW), why)
        self.assertEqual([name for name in self.counters if name.startswith("violation")], [])

    # Review 8, related: an attempt was still connecting when its list could not be acted on any more.
    def test_nothing_begins_by_a_list_that_came_to_be_in_doubt(self):
        guard = self.guard()
        guard.list_usable = lambda now: now < NOW
        attempt = self.attempt(self.request())
        self.assertIsNone(guard.refuses(attempt, NOW - 1))
        self.assertEqual(guard.refuses(attempt, NOW), Reason.LIST_UNCONFIRMED)
        self.assertEqual(dict(self.counters), {"guard_discovery_not_heard": 1})

    def second(self, guard, ended, engine="b"):
        request = self.request()
        first = self.attempt(request)
        guard.begins(first)
        first.ended = ended
        return guard.refuses(self.attempt(request, 1, engine), NOW)

    def test_repeats_are_refused_by_effect_and_place(self):
        keyed = {"group": {"repeat_scope": "zone"}}
        for why, guard, ended, engine in (
            (None, self.guard(), True, "b"),
            (Reason.SECOND_COPY, self.guard(), False, "b"),
            (None, self.guard(may_copy=True), False, "b"),
            (Reason.EFFECT_REPEATED, self.guard("non-replayable"), True, "b"),
            (None, self.guard("keyed", **keyed), True, "b"),
            (Reason.OTHER_PLACE, self.guard("keyed", **keyed), True, "far"),
            (Reason.OTHER_PLACE, self.guard("keyed", group={"repeat_scope": "cell"}), True, "far"),
            (None, self.guard("keyed", group={"repeat_scope": "all"}), True, "far"),
        ):
            with self.subTest(why=why, engine=engine):
                before = sum(self.counters.values())
                self.assertEqual(self.second(guard, ended, engine), why)
                self.assertEqual(sum(self.counters.values()) - before, 0 if why is None else 2)

    def test_what_provably_never_ran_and_reads_free_a_repeat(self):
        guard, request = self.guard("non-replayable"), self.request()
        first = self.attempt(request)
        guard.begins(first)
        first.ended = True
        guard.ended(first, never_ran=True)
        guard.begins(self.attempt(request, 1, reads=True))
        self.assertIsNone(guard.refuses(self.attempt(request, 2), NOW))

    def test_the_place_is_where_the_first_ran_whatever_the_list_says_later(self):
        guard, request = self.guard("keyed", group={"repeat_scope": "zone"}), self.request()
        first = self.attempt(request)
        guard.begins(first)
        first.ended = True
        guard.places["a"] = ("y", 2)
        self.assertEqual(guard.refuses(self.attempt(request, 1, "far"), NOW), Reason.OTHER_PLACE)


class ClosingAndHolding(Case):
    def test_a_close_over_an_open_request(self):
        for request, ended, count in (
            (None, False, 0),
            ("open", False, 1),
            ("over", False, 0),
            ("open", True, 0),
        ):
            with self.subTest(request=request, ended=ended):
                self.counters.clear()
                told = request and self.request(over="done" if request == "over" else None)
                state = types.SimpleNamespace(value="serving")
                conn = types.SimpleNamespace(request=told, line=Line(ended), state=state)
                self.guard().closes(conn)
                self.assertEqual(self.counters["violation_closed_unanswered"], count)

    def test_a_state_that_is_held_for_too_long_is_counted_once(self):
        for held, sends, count in (
            (600_000, [], 0),
            (600_001, [], 1),
            (600_001, [{"written": 5, "arrived": True}], 1),
            (600_001, [{"written": 5}], 1),
            (600_001, [{"written": 5, "arrived": False}], 1),
            (600_001, [{"written": None}], 1),
            (600_001, [{"written": 5, "reads": True}], 1),
        ):
            with self.subTest(held=held, sends=sends):
                self.counters.clear()
                request = self.request(held_since=NOW - held)
                request.forwards = {n: self.attempt(request, n, **more) for n, more in enumerate(sends)}
                guard = self.guard()
                guard.look([request], NOW)
                guard.look([request], NOW)
                self.assertEqual(self.counters["violation_state_held"], count)
