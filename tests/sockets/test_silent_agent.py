"""A process that starts while its agent is silent: its configuration's list may be old."""

import json
import tempfile
import time
import unittest

import gevent

from martenrouter.lab.processes import Ports
from martenrouter.policy.endpoint_list import READY_WITHIN, DiscoveryEvent
from martenrouter.policy.reasons import GiveUp
from tests.helpers import Rig as PolicyRig
from tests.helpers import row
from tests.sockets.node_process import NodeProcess
from tests.sockets.node_rig import SETTINGS, Agent, Client, Engine, Rig, is_ready, request

PORTS = Ports()
READY_BY = 10  # seconds, by the page


class Starts(unittest.TestCase):
    def play(self, greeting, members):
        """(node, agent, engines by id) of a node that starts with the list `members`, not waited for."""
        agent = Agent()
        agent.greeting = greeting
        self.addCleanup(agent.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = NodeProcess(folder.name, PORTS.take(), SETTINGS, members, agent)
        self.addCleanup(node.close)
        return node, agent

    def engines(self):
        engines = [
            Engine("r0", "prefill"),
            Engine("r1", "prefill"),
            Engine("w0", "decode"),
            Engine("w1", "decode"),
        ]
        for engine in engines:
            self.addCleanup(engine.server.stop)
        return engines

    # Review 4: it served at once by the list of its configuration, and sent to servers that drain.
    def test_nothing_is_sent_by_an_old_list_before_the_agent_was_heard(self):
        engines = self.engines()
        node, agent = self.play(None, [engine.member() for engine in engines])
        begun = time.monotonic()
        node.launch()
        while not self.listens(node):
            gevent.sleep(0.02)
        ready, answers, n = [], [], 0

        def ask(n):
            client = node.client()
            try:
                client.send(request("%016x" % n, x_timeout_ms="1500", x_route_key="k%d" % n))
                answers.append(client.answer()[0])
            finally:
                client.close()

        while time.monotonic() < begun + 3:
            n += 1
            gevent.spawn(ask, n)
            ready.append(is_ready(("127.0.0.1", node.port)))
            gevent.sleep(0.1)
        self.assertEqual([engine.id for engine in engines if engine.calls], [])
        self.assertNotIn(True, ready)
        self.assertTrue(answers and set(answers) == {503}, answers)
        agent.greeting = agent.line(2, [engines[0].member("leaving"), engines[2].member("leaving")])
        while not is_ready(("127.0.0.1", node.port)):
            self.assertLess(time.monotonic(), begun + READY_BY)
            gevent.sleep(0.02)
        served = [self.ask(node, "%016x" % (1000 + n)) for n in range(6)]
        self.assertEqual(served, [200] * 6)
        self.assertEqual([engine.id for engine in engines if engine.calls], ["r1", "w1"])

    @staticmethod
    def listens(node):
        try:
            Client(("127.0.0.1", node.port)).close()
        except OSError:
            return False
        return True

    @staticmethod
    def ask(node, id):
        client = node.client()
        try:
            return client.send(request(id, x_route_key=id)).answer()[0]
        finally:
            client.close()

    # Review 4, related: half a list shows no more than silence does.
    def test_half_a_list_is_none(self):
        engines = self.engines()
        members = [engine.member() for engine in engines]
        line = Agent.line(2, members, True)
        indented = json.dumps(json.loads(line), indent=1).encode()
        for half in (line[:200], indented[: len(indented) // 2]):
            with self.subTest(half[:20]):
                node, agent = self.play(half, members)
                begun = time.monotonic()
                node.launch()
                while time.monotonic() < begun + 2:
                    self.assertFalse(is_ready(("127.0.0.1", node.port)))
                    gevent.sleep(0.1)


class SlowAgent(Agent):
    """Answers each call so many seconds later."""

    def __init__(self, seconds):
        super().__init__()
        self._seconds = seconds

    def _accepted(self, sock, address):
        gevent.sleep(self._seconds)
        super()._accepted(sock, address)


class Reloads(unittest.TestCase):
    TOLD_BY = 4.0  # seconds after SIGHUP, by the page

    # Review 5: calls were given up one after the other, each of which the agent would have answered.
    def test_a_slow_agent_is_heard_when_it_answers_its_first_call(self):
        for seconds in (0.5, 1.2, 2.5, 3.8):
            with self.subTest(seconds=seconds):
                rig = Rig(Engine("r", "prefill"), Engine("w", "decode"))
                self.addCleanup(rig.close)
                slow = SlowAgent(seconds)
                self.addCleanup(slow.server.stop)
                slow.greeting = slow.line(2, [rig.engines["r"].member("leaving")])
                rig.write(slow.address)
                begun = time.monotonic()
                rig.node.reload()
                rig.until(lambda: rig.node.phases["r"] == "draining", within=8)
                self.assertLess(time.monotonic() - begun, self.TOLD_BY)

    # Review 5, related: what was left of the calls to the agent before made a second call at once.
    def test_an_agent_that_answers_is_called_once(self):
        for _ in range(5):
            rig, other = Rig(Engine("r", "prefill"), Engine("w", "decode")), Agent()
            self.addCleanup(rig.close)
            self.addCleanup(other.server.stop)
            rig.write(other.address)
            rig.node.reload()
            rig.until(lambda: other.open and not rig.agent.open)
            gevent.sleep(0.2)
            self.assertEqual((len(other.asked), len(other.open)), (1, 1))


class Policy(unittest.TestCase):
    ROWS = [row("r1", "rd"), row("w1", "wr")]

    def rig(self):
        rig = PolicyRig(rows=[])
        rig.play(("listed", (1, "configuration", self.ROWS)))
        rig.front.endpoint_list.take(DiscoveryEvent.STARTED, rig.now)
        return rig

    def test_a_heartbeat_confirms_the_list(self):
        rig = self.rig()
        self.assertEqual(rig.ask(1).all("forward"), [])
        self.assertFalse(rig.front.endpoint_list.is_ready(rig.now))
        self.assertEqual([sent[1] for sent in rig.play(("list_current", ())).all("forward")], ["r1"])
        self.assertTrue(rig.front.endpoint_list.is_ready(rig.now))

    def test_a_process_is_ready_in_its_time_and_answers_though_nobody_is_heard(self):
        rig = self.rig()
        rig.now += READY_WITHIN
        self.assertTrue(rig.front.endpoint_list.is_ready(rig.now))
        self.assertEqual(rig.ask(1).all("forward"), [])
        told = rig.play(after=1_100_000)
        self.assertEqual([kind for kind, *_ in told if kind in ("forward", "push_back")], ["push_back"])
        self.assertIs(rig.front.given_up_for, GiveUp.LIST_UNCONFIRMED)

    # Review 8: after 30 s the configuration's list was acted on though nobody had confirmed it.
    def test_no_time_makes_a_list_current(self):
        rig = self.rig()
        for n, seconds in enumerate((1, 29, 31, 90, 3600, 100_000)):
            rig.now += seconds * 1_000_000
            self.assertEqual(rig.ask(n).all("forward"), [], seconds)
            rig.play(after=1_100_000)
        held = rig.ask(99).all("forward")
        served = rig.play(("list_current", ())).all("forward")
        self.assertEqual((held, [sent[:2] for sent in served]), ([], [(99, "r1")]))
