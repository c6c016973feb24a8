"""A running node whose list nobody confirms any more: what it sends, what an outage costs, and the return."""

import struct
import time
import unittest

import gevent
from gevent import socket
from gevent.server import StreamServer

from martenrouter.wire import http
from tests.sockets.node_rig import SETTINGS, Agent, Engine, Rig

GRACE = 1.0  # seconds after news of a drain in which a send may still begin
SLACK = 0.05  # seconds that each time limit is longer on sockets
MOVE_TOLD_AFTER = 4.0  # seconds after SIGHUP, by the page
EACH = 0.1  # seconds between requests
AT_ONCE = 0.3  # seconds in which a waiting request is served once the agent is heard
RESET = struct.pack("ii", 1, 0)
RULES = {**SETTINGS["rules"], "stop-sending-within-us": int(GRACE * 1e6)}


class UnconfirmedList(unittest.TestCase):
    def setUp(self):
        self.sent = []  # (when, server's id) of each call that came to a server
        self.answers = []  # (when the request was sent, its answer's status, seconds that it took)
        servers = [
            Engine(id, kind, script=self.note_and_answer)
            for id, kind in (("r0", "prefill"), ("r1", "prefill"), ("w0", "decode"), ("w1", "decode"))
        ]
        self.rig = Rig(*servers, rules=RULES)
        self.addCleanup(self.rig.close)
        self.asked = 0

    def note_and_answer(self, engine, sock, call, nth):
        self.sent.append((time.monotonic(), engine.id))
        engine.answer(sock, call)

    def ask(self, timeout_ms):
        self.asked += 1
        begun, id = time.monotonic(), "%016x" % self.asked
        status = self.rig.ask(id, x_route_key=id, x_timeout_ms=str(timeout_ms))[0]
        self.answers.append((begun, status, time.monotonic() - begun))

    def ask_for(self, seconds, timeout_ms=1500):
        """Requests one after the other begun; returns once all are answered."""
        asks, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            asks.append(gevent.spawn(self.ask, timeout_ms))
            gevent.sleep(EACH)
        gevent.joinall(asks, raise_error=True)

    def news(self, agent):
        """The line by which r0 and w0 drain."""
        servers = self.rig.engines
        return agent.line(7, [servers[id].member("leaving") for id in ("r0", "w0")])

    def answer_calls(self, agent):
        """The agent is heard again: what it has is told on the calls that are open."""
        agent.greeting = self.news(agent)
        agent.raw(http.response(200, (), chunked=True) + http.chunk(agent.greeting))

    def assert_nothing_sent_after(self, at):
        late = [round(when - at, 1) for when, _ in self.sent if when > at]
        self.assertEqual(late, [], "seconds after the bound, of %d calls" % len(self.sent))

    def assert_all_served(self):
        self.assertEqual([answer for answer in self.answers if answer[1] != 200], [])

    def assert_refused_in_time(self, timeout_ms=1500):
        """Of the requests that were not served, each was refused before its time was over."""
        others = [(status, took) for _, status, took in self.answers if status != 200]
        self.assertTrue(others)
        self.assertEqual({status for status, _ in others}, {503})
        self.assertLess(max(took for _, took in others), timeout_ms / 1000)

    def assert_served_at_once_when_heard(self, agent):
        """Requests that wait are served where nothing drains as soon as the agent is heard."""
        asks = [gevent.spawn(self.ask, 3000) for _ in range(5)]
        gevent.sleep(0.3)
        self.answers.clear()
        self.sent.clear()
        heard = time.monotonic()
        self.answer_calls(agent)
        gevent.joinall(asks, raise_error=True)
        self.assertLess(time.monotonic() - heard, AT_ONCE)
        self.assert_all_served()
        self.assertEqual({id for _, id in self.sent}, {"r1", "w1"})

    # Review 8, related: after SIGHUP to an agent that has news and is silent, the old list was used for good.
    def test_nothing_is_sent_by_the_old_list_once_a_move_counts_as_told(self):
        agent = Agent()
        agent.greeting = None
        self.addCleanup(agent.server.stop)
        self.rig.write(agent.address)
        signalled = time.monotonic()
        self.rig.node.reload()
        self.ask_for(2.5)
        self.assert_all_served()  # up to then the page lets a new agent take its time
        self.ask_for(5)
        self.assert_nothing_sent_after(signalled + MOVE_TOLD_AFTER + GRACE + SLACK)
        self.assert_refused_in_time()
        self.assert_served_at_once_when_heard(agent)

    # Review 8, related: a configuration half written for seconds must not put the clock of the move off.
    def test_a_move_counts_from_its_signal_though_its_configuration_comes_late(self):
        agent = Agent()
        agent.greeting = None
        self.addCleanup(agent.server.stop)
        self.rig.write(None, data="{")
        signalled = time.monotonic()
        gevent.spawn(self.rig.node.reload)
        gevent.spawn_later(3.0, self.rig.write, agent.address)
        self.ask_for(7)
        self.assert_nothing_sent_after(signalled + MOVE_TOLD_AFTER + GRACE + SLACK)
        self.assert_refused_in_time()

    # Review 8, related: after a reset watch, an agent that is silent may have what the watch did not bring.
    def test_nothing_is_sent_by_a_list_whose_watch_the_agent_ended(self):
        agent = self.rig.agent
        agent.greeting = None
        ended = time.monotonic()
        self.reset_watch(agent)
        self.ask_for(4)
        self.assert_nothing_sent_after(ended + GRACE + SLACK)
        self.assert_refused_in_time()
        self.assert_served_at_once_when_heard(agent)

    # Review 8, related: half a line is news, whatever it says.
    def test_nothing_is_sent_by_a_list_of_which_half_a_change_came(self):
        agent = self.rig.agent
        agent.greeting = None
        begun = time.monotonic()
        agent.raw(http.chunk(self.news(agent)[:60]))
        self.ask_for(4)
        self.assert_nothing_sent_after(begun + GRACE + SLACK)
        self.assert_refused_in_time()
        self.assert_served_at_once_when_heard(agent)

    # Review 8, the other side: who has a current list pays nothing for an outage.
    def test_an_outage_under_a_current_watch_costs_no_request(self):
        agent = self.rig.agent
        agent.greeting = None
        self.ask_for(9)
        self.assertGreaterEqual(len(agent.asked), 3)  # the watch was given up, and calls after it
        self.assert_all_served()
        self.answer_calls(agent)
        gevent.sleep(AT_ONCE)
        self.sent.clear()
        self.ask_for(0.5)
        self.assert_all_served()
        self.assertEqual({id for _, id in self.sent}, {"r1", "w1"})

    # Review 8, the other side: an agent whose process has ended has no news; the one after it may have some.
    def test_an_agent_that_is_gone_costs_no_request_until_another_listens(self):
        agent = self.rig.agent
        address = agent.server.address
        agent.greeting = None
        agent.server.stop()
        self.reset_watch(agent)
        self.ask_for(3)
        self.assert_all_served()
        agent.server = StreamServer(address, agent._accepted)
        agent.server.start()
        listens = time.monotonic()
        self.ask_for(3.5)
        self.assert_nothing_sent_after(listens + 0.5 + GRACE + SLACK)  # 0.5 s: the next call to it
        self.assert_served_at_once_when_heard(agent)

    @staticmethod
    def reset_watch(agent):
        for sock in list(agent.open):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()


if __name__ == "__main__":
    unittest.main()
