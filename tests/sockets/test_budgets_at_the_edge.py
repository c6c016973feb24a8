"""Budgets and the ledger in a front on sockets: caps reached midway, charged once, crashes between the last
token and the sync."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from unittest import mock

import gevent
import msgspec

from martenrouter.decisions import booking
from martenrouter.edge.client import Client, Left
from martenrouter.lab.processes import Ports
from martenrouter.settings import front as settings_of
from martenrouter.settings.load import BadSettings
from martenrouter.state.ledger import Ledger, Unusable
from tests.sockets.rig import GROUPS, Engine, Rig, ending


def slowly(engine, sock, told, nth, words=40, each=0.01):
    engine.tokens(sock, [])
    for _ in range(words):
        gevent.sleep(each)
        engine.tokens(sock, ["a"], head=False)
    engine.finish(sock)


class Case(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = os.path.join(holder.name, "ledger")

    def rig(self, budgets, script=slowly, **more):
        rig = Rig(
            Engine("r", "rd"),
            Engine("w", "wr", script=script),
            Engine("w2", "wr", script=script),
            name="front-x",
            budgets={"ledger": self.path, "read_price": 1, "write_price": 1, **budgets},
            **more,
        )
        self.addCleanup(rig.close)
        self.addCleanup(rig.front.books.stop)
        return rig

    def booked(self, rig):
        return [one for one in rig.front.books.ledger.entries(1) if booking.counts(one)]

    def ask(self, rig, count, **params):
        client = rig.client()
        self.addCleanup(client.close)
        ids = [
            client.begin(
                "generate",
                {"prompt": "p %d" % i, "customer": "a", "deadline_ms": 5000, "max_tokens": 100, **params},
            )
            for i in range(count)
        ]
        return [client.wait(id, 8) for id in ids]


class Charging(Case):
    def test_what_the_client_got_is_charged_once_and_before_it_is_told(self):
        rig = self.rig({"each_customer": {"cap": 100_000}})
        answers = self.ask(rig, 5)
        self.assertEqual([ending(answer) for answer in answers], ["done"] * 5)
        entries = self.booked(rig)
        self.assertEqual(
            [(one["customer"], one["prompt"], one["written"], one["units"]) for one in entries],
            [("a", 10, 40, 50)] * 5,
        )
        self.assertEqual({one["id"] for one in entries}, {answer["result"]["req"] for answer in answers})
        self.assertEqual(rig.front.books.budgets.holds(("customer", "a")), (250, 100_000))

    def test_a_repeat_under_its_key_and_an_answer_given_again_charge_nothing_more(self):
        rig = self.rig({"each_customer": {"cap": 100_000}})
        for _ in range(3):
            (answer,) = self.ask(rig, 1, key="k", group="booking", prompt="same")
            self.assertEqual(ending(answer), "done")
        self.assertEqual(len(self.booked(rig)), 1)

    def test_a_forward_repeated_by_the_front_is_the_houses(self):
        def breaks_first(engine, sock, told, nth):
            if engine.id == "w" and nth == 1:
                engine.tokens(sock, ["a"] * 10)
                engine.reset(sock)
            slowly(engine, sock, told, nth, 30)

        rig = self.rig({"each_customer": {"cap": 100_000}}, breaks_first)
        answers = self.ask(rig, 6, deadline_ms=8000)
        self.assertEqual({ending(answer) for answer in answers}, {"done"})
        for answer, entry in zip(
            sorted(answers, key=lambda one: one["result"]["req"]),
            sorted(self.booked(rig), key=lambda one: one["id"]),
        ):
            self.assertEqual(
                (entry["id"], entry["prompt"], entry["written"]),
                (answer["result"]["req"], 10, answer["result"]["tokens"]),
            )

    def test_what_a_client_cancels_or_leaves_is_charged_as_far_as_it_came(self):
        rig = self.rig({"each_customer": {"cap": 100_000}})
        client = rig.client()
        got = []
        id = client.begin(
            "generate",
            {"prompt": "x", "customer": "a", "max_tokens": 100},
            lambda index, texts: got.extend(texts),
        )
        rig.until(lambda: len(got) >= 5)
        client.cancel(id)
        self.assertEqual(ending(client.wait(id, 3)), "aborted")
        client.close()
        rig.until(lambda: self.booked(rig))
        self.assertEqual(self.booked(rig)[0]["written"], len(got))

    def test_a_pushback_charges_nothing(self):
        rig = self.rig(
            {"each_customer": {"cap": 100_000}}, lambda engine, sock, told, nth: engine.refuse(sock)
        )
        self.assertEqual(
            [ending(answer) for answer in self.ask(rig, 2, deadline_ms=1500)], ["pushed back"] * 2
        )
        self.assertEqual(
            (self.booked(rig), rig.front.books.budgets.holds(("customer", "a"))), ([], (0, 100_000))
        )
        self.assertEqual(rig.front.books.budgets.open, {})


class Capping(Case):
    def test_a_cap_reached_midway_by_several_answers_at_once(self):
        for on_cap, most in (("one", 150 + 50), ("end", 150)):
            with self.subTest(on_cap=on_cap):
                self.path += on_cap
                # an answer is expected to be short, so that all four are taken, and writes forty
                rig = self.rig({"each_customer": {"cap": 150, "on_cap": on_cap}})
                rig.front.books.expected["chat"] = 5 * 256
                answers = self.ask(rig, 4)
                units = sum(one["units"] for one in self.booked(rig))
                reasons = sorted(
                    answer["result"]["finish_reason"] for answer in answers if "result" in answer
                )
                self.assertIn("budget", reasons)
                self.assertEqual(reasons.count("stop"), 1 if on_cap == "one" else 0, reasons)
                self.assertTrue(100 < units <= most, units)
                for answer in answers:
                    if "result" in answer:
                        (entry,) = [one for one in self.booked(rig) if one["id"] == answer["result"]["req"]]
                        self.assertEqual(entry["written"], answer["result"]["tokens"])
                rig.front.books.stop()

    def test_over_its_budget_a_customer_is_pushed_back_at_once_with_a_time_and_others_are_served(self):
        rig = self.rig({"customers": {"a": {"rate_per_s": 20, "burst": 20}}})
        answers = self.ask(rig, 4, max_tokens=40)
        refused = [answer["error"]["data"] for answer in answers if "error" in answer]
        self.assertTrue(refused)
        for told in refused:
            self.assertEqual(
                (told["ending"], told["retry"], "budget: rate of customer a" in told["reason"]),
                ("pushed back", "harmless", True),
            )
            self.assertTrue(0 < told["return_after_ms"] <= 3000, told)
        self.assertEqual([ending(answer) for answer in self.ask(rig, 4, customer="b")], ["done"] * 4)
        self.assertEqual(
            sum(len(engine.calls) for engine in rig.engines.values() if engine.kind == "wr"), 8 - len(refused)
        )

    def test_a_customer_that_is_not_known_has_the_limits_of_each(self):
        rig = self.rig({"each_customer": {"open": 1}, "customers": {"big": {"open": 3}}})
        for customer, done in (("nobody", 1), ("big", 3), (None, 4)):
            endings = [ending(answer) for answer in self.ask(rig, 4, customer=customer)]
            self.assertEqual(endings.count("done"), done, (customer, endings))

    def test_budgets_lowered_by_new_settings_under_load(self):
        rig = self.rig({"each_customer": {"cap": 100_000, "on_cap": "end"}})
        client = rig.client()
        self.addCleanup(client.close)
        ids = [
            client.begin("generate", {"prompt": "p", "customer": "a", "max_tokens": 100, "deadline_ms": 5000})
            for _ in range(3)
        ]
        rig.until(lambda: all(len(r.texts) > 8 for r in rig.front.reqs.values()) and len(rig.front.reqs) == 3)
        lower = msgspec.structs.replace(
            rig.front.settings.budgets, each_customer=settings_of.Budget(cap=60, on_cap="end"), write_price=9
        )
        rig.front.again = lambda: msgspec.structs.replace(rig.front.settings, budgets=lower)
        rig.front._settings_again()
        answers = [client.wait(id, 5) for id in ids]
        self.assertEqual({answer["result"]["finish_reason"] for answer in answers}, {"budget"})
        self.assertEqual([ending(answer) for answer in self.ask(rig, 1)], ["pushed back"])
        for entry in self.booked(rig):  # at the prices of the start, for what came
            self.assertLessEqual(entry["units"], entry["prompt"] + entry["written"])

        def bad():
            raise BadSettings("f.jsonnet: at budgets: no")

        rig.front.again = bad
        rig.front._settings_again()  # said, and the old ones stay
        self.assertEqual(rig.front.books.told.each_customer.cap, 60)

    def test_parts_follow_the_operators_file_until_their_time(self):
        leases = self.path + ".leases"

        def write(parts, until=3600):
            with open(leases + ".new", "w") as file:
                json.dump({"until_ms": int((time.time() + until) * 1000), "parts": parts}, file)
            os.replace(leases + ".new", leases)

        write({"a": {"front-x": 0.75, "front-y": 0.25}})
        rig = self.rig({"each_customer": {"cap": 1000}, "parts": "leased", "leases": leases}, fronts=2)
        key, books = ("customer", "a"), rig.front.books
        self.ask(rig, 1)
        self.assertEqual(books.budgets.holds(key)[1], 750)
        write(
            {"a": {"front-x": 0.9, "front-y": 0.9}}
        )  # hands out more than there is: refused, the old one runs on
        gevent.sleep(1.2)
        self.assertEqual(books.budgets.holds(key)[1], 750)
        write({"a": {"front-x": 0.3, "front-y": 0.7}}, until=0.5)
        rig.until(
            lambda: books.budgets.holds(key)[1] == 250, 4
        )  # over at once but for the guard: half of an even part
        with open(leases, "w") as file:
            file.write("{")
        gevent.sleep(1.2)
        self.assertEqual([ending(answer) for answer in self.ask(rig, 1)], ["done"])


class Failing(Case):
    def test_a_disk_that_is_full_means_no_answer_is_told_done_and_new_reqs_are_pushed_back(self):
        rig = self.rig({"each_customer": {"cap": 100_000}})
        real = rig.front.books.ledger.append
        with mock.patch.object(rig.front.books.ledger, "append", side_effect=Unusable("full")):
            answers = self.ask(rig, 3, deadline_ms=1500)
            self.assertEqual({ending(answer) for answer in answers}, {"aborted"})
            self.assertEqual(answers[0]["error"]["data"]["reason"], "usage can't be booked")
            self.assertEqual([ending(answer) for answer in self.ask(rig, 2)], ["pushed back"] * 2)
        self.assertEqual(rig.front.books.budgets.holds(("customer", "a"))[0], 0)
        rig.front.books.ledger.append = real
        rig.until(lambda: not rig.front.books.failing)
        self.assertEqual([ending(answer) for answer in self.ask(rig, 2)], ["done"] * 2)
        self.assertEqual(len(self.booked(rig)), 2)

    def test_a_disk_that_is_back_before_the_deadline_costs_only_time(self):
        rig = self.rig({"each_customer": {"cap": 100_000}})
        real, fails = rig.front.books.ledger.append, [2]

        def sometimes(*arguments, **more):
            if fails[0]:
                fails[0] -= 1
                raise Unusable("full")
            return real(*arguments, **more)

        with mock.patch.object(rig.front.books.ledger, "append", side_effect=sometimes):
            self.assertEqual({ending(answer) for answer in self.ask(rig, 1, deadline_ms=5000)}, {"done"})
        self.assertEqual(len(self.booked(rig)), 1)


class Killed(Case):
    """A front as a process, killed where it is asked to be; its ledger is read afterwards, and by the front
    that follows."""

    CODE = (
        "import os, sys\nfrom martenrouter.edge.books import Books\nfrom martenrouter.state.ledger import "
        "Ledger\nstep = sys.argv.pop(1)\n"
        "append, settled = Ledger.append, Books.settled\n"
        "def booked(self, entries, *rest):\n"
        "    if entries and step == 'before the sync':\n        os.kill(os.getpid(), 9)\n"
        "    done = append(self, entries, *rest)\n"
        "    if entries and step == 'after the sync':\n        os.kill(os.getpid(), 9)\n"
        "    return done\n"
        "def settle(self, *rest):\n"
        "    if step == 'after the last token':\n        os.kill(os.getpid(), 9)\n"
        "    return settled(self, *rest)\n"
        "Ledger.append, Books.settled = booked, settle\nfrom martenrouter.cli.main import main\nmain()\n"
    )

    def front(self, engines, step):
        rig = Rig(*engines)  # its front isn't asked; it gives the list file
        self.addCleanup(rig.close)
        path = os.path.join(rig.dir.name, "front.jsonnet")
        port = Ports().take()
        with open(path, "wb") as file:
            file.write(
                msgspec.json.encode(
                    {
                        "name": "front-x",
                        "listen": "127.0.0.1:%d" % port,
                        "groups": GROUPS,
                        "list": {"file": rig.path},
                        "budgets": {"ledger": self.path, "each_customer": {"cap": 10_000}, "write_price": 1},
                        "log": {"level": "error"},
                    }
                )
            )
        popen = subprocess.Popen([sys.executable, "-c", self.CODE, step, "edge", path])
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        with gevent.Timeout(10):
            while True:
                try:
                    return popen, Client(("127.0.0.1", port))
                except OSError:
                    gevent.sleep(0.05)

    def test_killed_at_each_step_between_the_last_token_and_the_answer(self):
        for step, booked, told in (
            ("after the last token", 0, False),
            ("before the sync", 0, False),
            ("after the sync", 1, False),
            ("never", 1, True),
        ):
            with self.subTest(step=step):
                self.path += step[0:8].replace(" ", "-")
                engines = [Engine("r", "rd"), Engine("w", "wr")]
                popen, client = self.front(engines, step)
                id = client.begin("generate", {"prompt": "x", "customer": "a", "deadline_ms": 4000})
                try:
                    answer = ending(client.wait(id, 5))
                except Left:
                    answer = "its front was killed"
                self.assertEqual(answer == "done", told)
                popen.send_signal(signal.SIGKILL)
                popen.wait()
                ledger = Ledger(self.path, "front-x")
                charges = [one for one in ledger.entries(1) if one["kind"] == booking.CHARGE]
                self.assertEqual(len(charges), booked)
                ledger.close()
                popen, client = self.front(
                    engines, "never"
                )  # resolves what is left, and charges what follows once
                self.assertEqual(
                    ending(
                        client.call(
                            "generate", {"prompt": "y", "customer": "a", "deadline_ms": 4000}, within=6
                        )
                    ),
                    "done",
                )
                held = client.call("status", {}, within=3)["result"]["budgets"]
                popen.send_signal(signal.SIGTERM)
                popen.wait()
                ledger = Ledger(self.path, "front-x")
                self.addCleanup(ledger.close)
                charges = [one for one in ledger.entries(1) if one["kind"] == booking.CHARGE]
                self.assertEqual(
                    (len(charges), ledger.verify()[1:], held["failing"]), (booked + 1, ([], []), False)
                )
                self.assertEqual(
                    ledger.resolve(
                        lambda identity, fields: booking.resolved(identity, "p", 1, None, None, None)
                    ),
                    [],
                )
                ledger.close()


if __name__ == "__main__":
    unittest.main()
