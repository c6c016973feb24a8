"""`martenrouter front`: two programs under one, the planner started again, both stopped in order."""

import os
import signal
import subprocess
import sys
import unittest

import gevent

from martenrouter.edge.client import Left
from tests.sockets.rig import Engine, ending
from tests.sockets.test_hard_cases import Stopping


class Front(Stopping):
    """The stops of an edge alone hold for both programs too."""

    COMMAND = "front"

    def status(self, client, decides, within=10):
        with gevent.Timeout(within, AssertionError("%s does not decide" % decides)):
            while client.call("status", {}, within=2)["result"]["decides"] != decides:
                gevent.sleep(0.05)

    def children(self, pid):
        found = {}
        for other in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open("/proc/%s/stat" % other) as file:
                    parent = int(file.read().rsplit(")", 1)[1].split()[1])
                with open("/proc/%s/cmdline" % other) as file:
                    words = file.read().split("\0")
            except OSError:
                continue
            if parent == pid and "martenrouter" in words:
                found[words[words.index("martenrouter") + 1]] = int(other)
        return found

    def test_the_planner_is_started_again_and_the_edge_goes_on(self):
        popen, client = self.edge([Engine("r", "rd"), Engine("w", "wr")])
        for _ in range(2):
            self.status(client, "planner")
            os.kill(self.children(popen.pid)["planner"], signal.SIGKILL)
            ids = [client.begin("generate", {"prompt": "x %d" % i}) for i in range(20)]
            self.assertEqual({ending(client.wait(id, 5)) for id in ids}, {"done"})
        self.status(client, "planner")
        popen.send_signal(signal.SIGTERM)
        self.assertEqual(self.wait(popen, 5), 0)

    def test_a_planner_that_crashes_in_a_loop_costs_nothing_but_its_place(self):
        code = (
            "import sys, structlog\nfrom martenrouter.planner.supervisor import Supervisor\n"
            "from martenrouter.edge.log import logger\n"
            "sleep = [sys.executable, '-c', 'import sys, time; time.sleep(30)']\n"
            "ends = [sys.executable, '-c', 'import sys; sys.exit(9)']\n"
            "sys.exit(Supervisor(sleep, ends, 1, logger('json', 'info')).run())"
        )
        popen = subprocess.Popen([sys.executable, "-c", code], stderr=subprocess.PIPE)
        self.addCleanup(popen.stderr.close)
        self.addCleanup(popen.kill)
        gevent.sleep(6)
        self.assertIsNone(popen.poll())
        popen.send_signal(signal.SIGTERM)
        said = popen.communicate(timeout=10)[1].decode()
        self.assertIn("planner_loops", said)
        self.assertLess(said.count('"program": "planner"'), 9)

    def test_the_edges_end_is_the_fronts_and_nothing_is_left(self):
        popen, client = self.edge([Engine("r", "rd"), Engine("w", "wr")])
        self.status(client, "planner")
        children = self.children(popen.pid)
        os.kill(children["edge"], signal.SIGKILL)
        self.assertNotEqual(self.wait(popen, 5), 0)
        popen, client = self.edge([Engine("r", "rd"), Engine("w", "wr")])
        self.status(client, "planner")
        children.update(self.children(popen.pid))
        popen.kill()
        with gevent.Timeout(5, AssertionError("programs are left")):
            while any(self.alive(pid) for pid in children.values()):
                gevent.sleep(0.05)

    def test_both_killed_at_once_and_started_again(self):
        engines = [
            Engine("r", "rd"),
            Engine("w", "wr", script=lambda e, sock, told, n: gevent.sleep(0.3) or e.answer(sock, told)),
        ]
        popen, client = self.edge(engines)
        self.status(client, "planner")
        asked = client.begin("generate", {"prompt": "x", "deadline_ms": 4000})
        gevent.sleep(0.15)
        for pid in self.children(popen.pid).values():
            os.kill(pid, signal.SIGKILL)
        self.assertNotEqual(self.wait(popen, 5), 0)
        with self.assertRaises(Left):  # what it held is the client's to repeat
            client.wait(asked, 2)
        popen, client = self.edge(engines)
        self.assertEqual(
            ending(client.call("generate", {"prompt": "x", "deadline_ms": 4000}, within=5)), "done"
        )
        self.status(client, "planner")
        self.assertEqual(client.call("status", {}, within=2)["result"]["open"], 0)

    def alive(self, pid):
        try:
            with open("/proc/%d/cmdline" % pid) as file:
                return bool(file.read())  # a process that has ended and is not reaped has none
        except OSError:
            return False


del Stopping  # run by its own file

if __name__ == "__main__":
    unittest.main()
