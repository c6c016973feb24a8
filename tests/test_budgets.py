"""Budgets: what is promised of caps holds in any order of events; rates, places, periods, order between
customers, parts of fronts."""

import copy
import datetime
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martenrouter.decisions import periods
from martenrouter.decisions.budgets import ROOT, Budgets, Limits
from martenrouter.decisions.chain import Chain
from martenrouter.decisions.heavy import Heavy
from martenrouter.decisions.parts import Following, Leased, fixed
from martenrouter.decisions.sharing import Sharing
from martenrouter.decisions.wheel import Wheel
from martenrouter.settings import front as settings_of
from martenrouter.wire import channel
from tests.helpers import Seen, row

WALL = 1_764_600_000_000_000  # 2025-12-01 14:40 UTC
LAPSE = 60_000_000


def budgets(limits, **more):
    return Budgets(0, limits.get, 1, 3, **more)


class Machine(RuleBasedStateMachine):
    """Any order of arrivals, tokens, ends and repeats over a small tree, against a plain account of what was
    charged."""

    CUSTOMER = ("customer", "a")

    def __init__(self):
        super().__init__()
        self.limits = {
            ROOT: Limits(cap=3000),
            self.CUSTOMER: Limits(cap=1000),
            ("group", "a", "chat"): Limits(cap=700, on_cap="end"),
            ("customer", "b"): Limits(cap=900, on_cap="finish"),
            ("session", "a", "s"): Limits(open=2),
        }
        self.budgets, self.now, self.last = budgets(self.limits), 0, 0
        self.open, self.charged, self.beyond = {}, {}, {}

    @rule(
        customer=st.sampled_from("ab"),
        group=st.sampled_from(["chat", "code"]),
        session=st.sampled_from(["s", None]),
        prompt=st.integers(1, 120),
        expected=st.integers(1, 60),
    )
    def arrives(self, customer, group, session, prompt, expected):
        self.last += 1
        keys = self.budgets.path(customer, group, session)
        refused = self.budgets.reserve(self.now, WALL, self.last, keys, prompt, expected, LAPSE)
        if refused is None:
            self.open[self.last] = [keys, prompt, 0, False, expected]
        else:
            assert refused.after is None or refused.after >= 0

    @precondition(lambda self: self.open)
    @rule(data=st.data(), more=st.integers(1, 80))
    def writes(self, data, more):
        id = data.draw(st.sampled_from(sorted(self.open)))
        held = self.open[id]
        if not held[3]:
            if self.budgets.more(self.now, WALL, id, held[2] + more):
                held[2] += more
            else:
                held[3] = True  # ended here: the client gets none of these

    @precondition(lambda self: self.open)
    @rule(data=st.data(), twice=st.booleans())
    def ends(self, data, twice):
        id = data.draw(st.sampled_from(sorted(self.open)))
        keys, prompt, written, _, _ = self.open.pop(id)
        charged = self.budgets.settle(self.now, WALL, id, prompt, written)
        assert charged == prompt + 3 * written
        for key in keys:
            self.charged[key] = self.charged.get(key, 0) + charged
        if twice:
            assert self.budgets.settle(self.now, WALL, id, prompt, written) is None

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def gets_nothing(self, data):
        id = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[id]
        assert self.budgets.drop(id) and not self.budgets.drop(id)

    @invariant()
    def what_was_charged_is_what_counts(self):
        for key, node in self.budgets.nodes.items():
            if node.period is not None:
                assert node.period.read(WALL) == self.charged.get(key, 0)
            assert node.reserved >= 0 and node.open == sum(key in held[0] for held in self.open.values())

    @invariant()
    def no_cap_is_passed_by_more_than_one_answers_worth(self):
        for key, limits in self.limits.items():
            if limits.cap is None or limits.on_cap == "finish" or key not in self.budgets.nodes:
                continue
            node = self.budgets.nodes[key]
            taken = self.charged.get(key, 0) + sum(
                held[1] + 3 * held[2] for held in self.open.values() if key in held[0]
            )
            holder = self.open.get(node.grace)
            if limits.on_cap == "end":
                assert taken <= limits.cap, (key, taken)
            elif holder:
                assert taken - (holder[1] + 3 * holder[2]) <= limits.cap, (key, taken)
            # the holders that have ended: each was alone, and while the cap stays passed nobody gets anything
            # more
            worst = 120 + 3 * 80 * 50
            assert taken <= limits.cap + worst


Machine.TestCase.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
Property = Machine.TestCase


class Caps(unittest.TestCase):
    A = ("customer", "a")

    def test_a_cap_reached_midway_by_several_answers_at_once(self):
        for on_cap, ended, charged in (("one", 2, 1000 + 90), ("end", 3, 1000), ("finish", 0, 1000 + 270)):
            with self.subTest(on_cap=on_cap):
                held = budgets({self.A: Limits(cap=1000, on_cap=on_cap)})
                ids = (1, 2, 3)
                for id in ids:
                    self.assertIsNone(held.reserve(0, WALL, id, [self.A], 33, 100, LAPSE))  # 333 each
                held.settle(0, WALL, 9, 0, 0)
                got = {id: 0 for id in ids}
                for written in range(1, 131):
                    for id in ids:
                        if got[id] == written - 1 and held.more(0, WALL, id, written):
                            got[id] = written
                self.assertEqual(sum(count < 130 for count in got.values()), ended)
                total = sum(held.settle(0, WALL, id, 33, got[id]) for id in ids)
                self.assertLessEqual(total, charged)
                self.assertGreater(total, charged - 10)

    def test_the_next_answer_may_pass_only_when_the_one_before_has_settled_and_nothing_new_is_taken_meanwhile(
        self,
    ):
        held = budgets({self.A: Limits(cap=1000)})
        held.reserve(0, WALL, 1, [self.A], 100, 200, LAPSE)
        held.reserve(0, WALL, 2, [self.A], 0, 100, LAPSE)
        self.assertTrue(held.more(0, WALL, 1, 400))
        self.assertFalse(held.more(0, WALL, 2, 101))
        self.assertFalse(held.more(0, WALL, 2, 102))  # asked again it stays so
        self.assertEqual(held.reserve(0, WALL, 3, [self.A], 1, 0, LAPSE).limit, "cap")
        held.settle(0, WALL, 1, 100, 400)
        self.assertEqual(held.reserve(0, WALL, 3, [self.A], 1, 0, LAPSE).limit, "cap")
        self.assertIsNone(held.nodes[self.A].grace)

    def test_a_refusal_says_when_there_is_room_again(self):
        day = 86_400_000_000
        until_midnight = day - WALL % day
        cases = (
            (Limits(cap=1000), 900, 200, "cap", until_midnight),
            (Limits(cap=1000), 0, 1001, "cap", None),
            (Limits(rate=100, burst=300), 300, 50, "rate", 500_001),
            (Limits(open=1), 5, 5, "open", 100_000),
        )
        for limits, first, second, limit, after in cases:
            with self.subTest(limit=limit, after=after):
                held = budgets({self.A: limits})
                if first:
                    held.reserve(0, WALL, 1, [self.A], first, 0, LAPSE)
                    if limit == "cap":
                        held.settle(0, WALL, 1, first, 0)
                refused = held.reserve(0, WALL, 2, [self.A], second, 0, LAPSE)
                self.assertEqual((refused.key, refused.limit, refused.after), (self.A, limit, after))
                if after:
                    later = 0 if limit == "open" else after
                    if limit == "open":
                        held.drop(1)
                    self.assertIsNone(held.reserve(later, WALL + later, 2, [self.A], second, 0, LAPSE))

    def test_what_a_refused_req_would_have_taken_is_free_in_all_nodes(self):
        b = ("group", "a", "chat")
        held = budgets({ROOT: Limits(cap=10_000), self.A: Limits(rate=10, burst=5000), b: Limits(cap=10)})
        self.assertEqual(held.reserve(0, WALL, 1, [ROOT, self.A, b], 100, 0, LAPSE).key, b)
        self.assertEqual(
            [(held.nodes[key].reserved, held.nodes[key].open) for key in (ROOT, self.A, b)], [(0, 0)] * 3
        )
        self.assertEqual(held.nodes[self.A].level, 5000)

    def test_a_req_dearer_than_the_burst_goes_with_a_debt(self):
        held = budgets({self.A: Limits(rate=100, burst=100)})
        self.assertIsNone(held.reserve(0, WALL, 1, [self.A], 400, 0, LAPSE))
        self.assertEqual(held.reserve(1_000_000, WALL, 2, [self.A], 10, 0, LAPSE).limit, "rate")
        self.assertIsNone(held.reserve(4_000_000, WALL, 2, [self.A], 10, 0, LAPSE))

    def test_what_nobody_settles_lapses(self):
        held = budgets({self.A: Limits(cap=100)})
        held.reserve(0, WALL, 1, [self.A], 100, 0, 5_000_000)
        self.assertEqual(held.lapsed(4_900_000), [])
        self.assertEqual(held.lapsed(5_200_000), [1])
        self.assertIsNone(held.reserve(6_000_000, WALL, 2, [self.A], 100, 0, LAPSE))

    def test_budgets_lowered_under_load(self):
        limits = {self.A: Limits(cap=1000, on_cap="end")}
        held = budgets(limits)
        held.reserve(0, WALL, 1, [self.A], 100, 100, LAPSE)
        self.assertTrue(held.more(0, WALL, 1, 100))
        limits[self.A] = Limits(cap=300, on_cap="end")
        held.changed(0, WALL)
        self.assertFalse(held.more(0, WALL, 1, 101))
        self.assertEqual(held.settle(0, WALL, 1, 100, 100), 400)
        self.assertEqual(held.reserve(0, WALL, 2, [self.A], 1, 0, LAPSE).limit, "cap")
        limits[self.A] = Limits(cap=500, period="hour")  # of another kind: what counted counts on
        held.changed(0, WALL)
        self.assertEqual(held.holds(self.A), (400, 500))

    def test_waste_touches_no_budget(self):
        held = budgets({self.A: Limits(cap=100)})
        held.waste("forward repeated", 50, 10)
        held.waste("forward repeated", 1, 0)
        self.assertEqual((held.house, held.holds(self.A)), ({"forward repeated": 81}, None))

    def test_what_was_spent_outlives_a_restart_but_not_a_change_of_period(self):
        limits = {self.A: Limits(cap=1000), ("customer", "b"): Limits(cap=1000, period=60_000_000)}
        held = budgets(limits)
        for id, key in enumerate(limits):
            held.reserve(0, WALL, id, [key], 300, 0, LAPSE)
            held.settle(0, WALL, id, 300, 0)
        again = budgets(limits)
        again.put(0, held.export())
        self.assertEqual([again.holds(key)[0] for key in limits], [300, 300])
        again.correct(WALL, [self.A], -100)
        self.assertEqual(again.holds(self.A)[0], 200)

    def test_sessions_are_bounded_and_what_was_spent_is_not_forgotten(self):
        held = Budgets(
            0,
            lambda key: (
                Limits(open=9) if key[0] == "session" else Limits(cap=10**9) if key[0] == "customer" else None
            ),
            1,
            1,
        )
        held.MOST = 500
        for i in range(3000):
            held.reserve(
                i, WALL, i, [("customer", "c%d" % (i % 5)), ("session", "x", "s%d" % i)], 1, 0, LAPSE
            )
            held.settle(i, WALL, i, 1, 0)
        self.assertLessEqual(len(held.nodes), 500)
        self.assertEqual(sum(held.holds(("customer", "c%d" % i))[0] for i in range(5)), 3000)


class Periods(unittest.TestCase):
    @given(st.integers(-700_000, 2_000_000))
    def test_days_are_those_of_the_calendar(self, day):
        year, month, date = periods.civil(day)
        self.assertEqual(periods.days_of(year, month, date), day)
        if 1 <= year <= 9999:
            self.assertEqual(
                datetime.date(1970, 1, 1) + datetime.timedelta(day), datetime.date(year, month, date)
            )

    def test_periods_have_names_and_ends(self):
        for kind, name, next_ in (
            ("hour", "2025-12-01T14", "2025-12-01T15"),
            ("day", "2025-12-01", "2025-12-02"),
            ("month", "2025-12", "2026-01"),
        ):
            told, begin, end = periods.calendar(kind, WALL)
            self.assertEqual(
                (told, periods.calendar(kind, begin)[0], periods.calendar(kind, end)[0]), (name, name, next_)
            )
            self.assertEqual(periods.calendar(kind, end - 1)[0], name)

    def test_a_clock_set_back_over_a_periods_end_grants_nothing_twice(self):
        told = periods.Calendar("day")
        _, _, end = periods.calendar("day", WALL)
        told.add(end - 5, 70)
        told.add(end + 5, 10)
        told.add(end - 5, 10)  # set back: it counts to the day that is on
        self.assertEqual((told.name, told.read(end - 100), told.read(end + 100)), ("2025-12-02", 20, 20))

    @given(st.lists(st.tuples(st.integers(0, 5_000_000), st.integers(1, 50)), max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_a_rolling_window_never_shows_less_than_was_spent_in_it(self, steps):
        told, at, spent = periods.Rolling(6_000_000), WALL, []
        for gap, amount in steps:
            at += gap
            told.add(at, amount)
            spent.append((at, amount))
            inside = sum(amount for when, amount in spent if when > at - 6_000_000)
            with_slot = sum(amount for when, amount in spent if when > at - 6_000_000 - 2 * told.slot)
            self.assertTrue(inside <= told.read(at) <= with_slot)
            room = told.room_at(at, 30, 40)
            self.assertLessEqual(
                copy.deepcopy(told).read(room) + 30, 40
            )  # a look ahead moves the window for good


class Wheels(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 40), st.integers(0, 3_000_000), st.booleans(), st.integers(0, 400_000)),
            max_size=120,
        )
    )
    @settings(max_examples=100, deadline=None)
    def test_it_does_what_a_plain_dictionary_does(self, steps):
        wheel, plain, now, tick = Wheel(0, 1000), {}, 0, 1000
        for key, after, take, step in steps:
            if take:
                self.assertEqual(wheel.take(key), plain.pop(key, None) is not None)
            else:
                wheel.put(key, now + after)
                plain[key] = max(-(-(now + after) // tick), now // tick + 1)
            now += step
            due = wheel.due(now)
            self.assertEqual(sorted(due), sorted(key for key, at in plain.items() if at <= now // tick))
            for key in due:
                del plain[key]
            self.assertEqual(len(wheel), len(plain))


class HeavyOnes(unittest.TestCase):
    def test_who_is_heavy_is_found_among_many_in_bounded_memory(self):
        rnd, heavy, now = random.Random(3), Heavy(64, 10_000_000), 0
        for _ in range(40_000):
            now += 100
            name = "big-%d" % rnd.randrange(3) if rnd.random() < 0.3 else "c%d" % rnd.randrange(100_000)
            heavy.add(now, name, rnd.randrange(1, 100))
        self.assertEqual(len(heavy.counts), 64)
        top = heavy.top(3)
        self.assertEqual({name for name, _, _ in top}, {"big-0", "big-1", "big-2"})
        for _, most, least in top:
            self.assertTrue(least <= 0.1 + 0.03 and most >= 0.1 - 0.03, top)

    def test_amounts_halve(self):
        heavy = Heavy(8, 1_000_000)
        heavy.add(0, "old", 1000)
        heavy.add(10_000_000, "new", 100)
        self.assertEqual(heavy.top(1)[0][0], "new")


class Order(unittest.TestCase):
    def test_a_greedy_customer_gets_its_share_and_what_others_leave(self):
        sharing, got = Sharing({"greedy": 1.0, "a": 1.0, "b": 2.0}.get), {"greedy": 0, "a": 0, "b": 0}
        for i in range(4000):
            sharing.put(i, "greedy", 10, 1)
        for i in range(400):
            sharing.put(10_000 + i, "a", 10, 1)
            sharing.put(20_000 + i, "b", 10, 1)
        for _ in range(400):
            got[sharing.next()[1]] += 1
        self.assertEqual(got, {"greedy": 100, "a": 100, "b": 200})
        while len(sharing):
            got[sharing.next()[1]] += 1
        self.assertEqual(got["greedy"], 4000)  # what others leave is its

    def test_one_that_was_away_neither_saves_up_nor_pays(self):
        sharing = Sharing(lambda customer: 1.0)
        for i in range(100):
            sharing.put(i, "a", 10, 1)
        for _ in range(50):
            sharing.next()
        for i in range(50):
            sharing.put(1000 + i, "b", 10, 1)
        self.assertEqual([sharing.next()[1] for _ in range(6)].count("b"), 3)

    def test_importance_goes_first_and_starves_nobody(self):
        sharing = Sharing(lambda customer: 1.0)
        for i in range(100):
            sharing.put(i, "a", 1, 1)
            sharing.put(1000 + i, "b", 1, 3)
        taken = [sharing.next()[1] for _ in range(68)]
        self.assertEqual((taken[:16], taken.count("a")), (["b"] * 16, 4))

    def test_one_that_left_is_passed_over(self):
        sharing = Sharing(lambda customer: 1.0)
        for i in range(3):
            sharing.put(i, "a", 1, 1)
        sharing.leave(0)
        self.assertEqual(
            (len(sharing), sharing.next()[0], sharing.next()[0], sharing.next()), (2, 1, 2, None)
        )


class Gates(unittest.TestCase):
    """The chain with a fleet that is short: one reader whose queue is long, so that reqs stay unread."""

    def chain(self, budgets=None, **group):
        told = settings_of.check(
            {
                "groups": [{"name": "chat", "target_ms": 2000, **group}],
                "budgets": {} if budgets is None else budgets,
                "kinds": [
                    {"name": "rd", "role": "read", "memory_tokens": 10**6},
                    {"name": "wr", "role": "write", "memory_tokens": 10**6},
                ],
            },
            "t",
        )
        chain, out = Chain(1, settings_of.for_module(told), settings_of.for_chain(told)), Seen()
        chain.turn(1_000_000, [("listed", (1, "first", [row("r1", "rd"), row("w1", "wr")]))], out)
        return chain, out

    def ask(self, chain, out, now, id, customer, deadline=60_000_000):
        chain.turn(
            now,
            [("arrived", (id, "chat", customer, None, now + deadline, None, None, 20_000, 0, 64, 0, 1))],
            out,
        )

    def test_beyond_a_few_unread_reqs_customers_take_turns(self):
        chain, out = self.chain()
        now = 1_100_000
        for i in range(100):
            now += 100
            self.ask(chain, out, now, i, "greedy")
        for i in range(100, 110):
            now += 100
            self.ask(chain, out, now, i, "small")
        waiting = len(chain.gate)
        self.assertGreater(waiting, 60)
        self.assertLessEqual(sum(r.stage == 0 for r in chain.front.live.values()), chain.gate.LIMIT)
        gone_on = []
        for step in range(16):
            before = set(chain.front.reqs)
            unread = next(id for id, r in chain.front.live.items() if r.stage == 0)
            now += 1000
            chain.turn(now, [("gone", (unread,))], out)
            gone_on += [id for id in chain.front.reqs if id not in before]
        self.assertTrue(5 <= sum(id >= 100 for id in gone_on) <= 11, gone_on)

    def test_what_waited_too_long_is_pushed_back_with_a_time_before_its_deadline(self):
        chain, out = self.chain()
        for i in range(60):
            self.ask(chain, out, 1_100_000 + i, i, "a", 60_000_000 if i % 2 else 300_000)
        out.clear()
        waiting = dict(chain.gate.until)
        for now in range(1_110_000, 2_300_000, 20_000):
            chain.turn(now, [("look", ())], out)
            self.assertTrue(all(until > now for until in chain.gate.until.values()))
        told = {told[0]: told for told in out.all("push_back") if told[2] == "others' turn"}
        self.assertTrue(told and set(told) <= set(waiting))
        self.assertTrue(all(wait > 0 for _, wait, _ in told.values()))
        self.assertFalse(any(id in chain.whole for id in told))

    def test_one_that_left_and_a_stop_leave_nothing_behind(self):
        chain, out = self.chain()
        for i in range(60):
            self.ask(chain, out, 1_100_000 + i, i, "a")
        left = sorted(chain.gate.until)[:5]
        chain.turn(1_200_000, [("gone", (id,)) for id in left], out)
        self.assertFalse(set(left) & set(chain.gate.until))
        chain.turn(1_210_000, [("stop", ())], out)
        for now in range(1_220_000, 12_000_000, 100_000):
            chain.turn(now, [("look", ())], out)
        self.assertEqual((len(chain.gate), chain.whole, chain.admission.open), (0, {}, {}))

    def test_without_budgets_there_is_no_gate_and_a_planner_gets_its_shares(self):
        told = settings_of.check({}, "t")
        self.assertIsNone(Chain(1, settings_of.for_module(told), settings_of.for_chain(told)).gate)
        budgets = {"each_customer": {"share": 2}, "customers": {"a": {"share": 5}}}
        told = settings_of.for_chain(settings_of.check({"budgets": budgets}, "t"))
        (welcome,) = channel.Frames().feed(channel.encode(channel.Welcome(1, "f", 1, {}, told)))
        self.assertEqual(welcome.chain["shares"], {None: 2.0, "a": 5.0})


class Parts(unittest.TestCase):
    @given(st.lists(st.lists(st.floats(0, 2), min_size=4, max_size=4), max_size=60))
    @settings(max_examples=60, deadline=None)
    def test_parts_that_follow_stay_within_their_bound(self, uses):
        fronts = [Following(4) for _ in range(4)]
        for used in uses:
            for front, use in zip(fronts, used):
                front.look("a", use * 100, 100, 1.0)
            self.assertLessEqual(sum(front.part("a") for front in fronts), Following.SPAN + 1e-9)
            self.assertTrue(all(front.part("a") >= fixed(4) / Following.SPAN - 1e-9 for front in fronts))

    def test_leases_end_before_their_time_and_their_sum_is_checked(self):
        leased = Leased("f1", 4)
        leased.put(WALL + 5_000_000, {"a": 0.7})
        self.assertEqual(
            [leased.part(at, "a") for at in (WALL, WALL + 4_500_000, WALL + 9_000_000)], [0.7, 0.125, 0.125]
        )
        self.assertEqual(leased.part(WALL, "other"), 0.125)
        for parts, wrong in (
            ({"a": {"f1": 0.6, "f2": 0.15}}, False),
            ({"a": {"f1": 0.7, "f2": 0.2}}, True),
            ({"a": {"f1": 0.6, "f2": 0.2, "f3": 0.1, "f4": 0.1}}, True),
            ({"a": {"f1": -0.1}}, True),
            ({"a": {"f1": 0.5, "f2": 0.2, "f3": 0.15, "f4": 0.15}}, False),
        ):
            self.assertEqual(Leased.check(parts, 4) is not None, wrong, parts)

    def test_a_front_holds_its_part_of_a_cap(self):
        key = ("customer", "a")
        held = budgets({key: Limits(cap=1000, open=4)}, part=lambda key: 0.25)
        self.assertIsNone(held.reserve(0, WALL, 1, [key], 250, 0, LAPSE))
        self.assertEqual(held.reserve(0, WALL, 2, [key], 1, 0, LAPSE).limit, "open")
        held.settle(0, WALL, 1, 250, 0)
        self.assertEqual(held.reserve(0, WALL, 2, [key], 1, 0, LAPSE).limit, "cap")


if __name__ == "__main__":
    unittest.main()
