"""Discovery that is slow or crowded, and long lists."""

import unittest

import gevent

from martenrouter.wire import http
from tests.sockets.node_rig import Agent, Engine, Rig


class LongLists(unittest.TestCase):
    def setUp(self):
        self.rig = Rig(Engine("r", "prefill"), Engine("w", "decode"))
        self.addCleanup(self.rig.close)

    def test_a_list_of_3200_servers_that_arrives_over_some_seconds_is_known(self):
        rig = self.rig
        members = [
            {**rig.engines["r"].member(), "id": "s-%08x" % n, "host_port": "127.0.0.1:%d" % (20_000 + n)}
            for n in range(3200)
        ]
        agent = Agent()
        self.addCleanup(agent.server.stop)
        agent.greeting = None  # each call is answered by `answer_slowly`
        line = agent.line(9, members, True)
        host, _, port = agent.address.rpartition(":")
        rig.node.watch.move((host, int(port)))
        rig.until(lambda: agent.open)
        answers = gevent.spawn(self.answer_slowly, agent, line, 4.0)
        rig.until(lambda: len(rig.node.phases) == 3200, within=12)
        answers.kill()

    def answer_slowly(self, agent, line, seconds):
        """Each call is answered with the list, in pieces over that time."""
        served = set()
        while True:
            for sock in set(agent.open) - served:
                served.add(sock)
                gevent.spawn(self.write_slowly, sock, line, seconds)
            gevent.sleep(0.01)

    @staticmethod
    def write_slowly(sock, line, seconds):
        pieces = 40
        size = len(line) // pieces + 1
        try:
            sock.sendall(http.response(200, (), chunked=True))
            for at in range(0, len(line), size):
                sock.sendall(http.chunk(line[at : at + size]))
                gevent.sleep(seconds / pieces)
        except OSError:
            pass  # given up


class SlowAgents(unittest.TestCase):
    def test_an_agent_that_answers_a_call_after_some_seconds_is_heard(self):
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode"))
        self.addCleanup(rig.close)
        agent = Agent()
        self.addCleanup(agent.server.stop)
        agent.greeting, answered = None, set()
        host, _, port = agent.address.rpartition(":")
        rig.node.watch.move((host, int(port)))

        def answer_late():
            while True:
                for sock in set(agent.open) - answered:
                    answered.add(sock)
                    gevent.spawn_later(
                        3.5, self.answer, sock, agent.line(9, [rig.engines["w"].member("leaving")])
                    )
                gevent.sleep(0.01)

        answers = gevent.spawn(answer_late)
        rig.until(lambda: rig.node.phases["w"] == "draining", within=12)
        answers.kill()

    @staticmethod
    def answer(sock, line):
        try:
            sock.sendall(http.response(200, (), chunked=True) + http.chunk(line))
        except OSError:
            pass  # given up
