"""A front node as a process under bad clients, and what its usual clients see of it.

`python -m tests.sockets.crowded_node [SHAPE=COUNT ...]` plays each shape and prints a line of it.
"""

import collections
import dataclasses
import subprocess
import sys
import tempfile
import time

import gevent

from martenrouter.lab.processes import Ports
from martenrouter.wire import http
from tests.sockets.node_process import ROOT, NodeProcess
from tests.sockets.node_rig import EVENTS, HEAD, SETTINGS, Agent, Engine, request

USUAL, EACH = 75, 0.08  # requests, and seconds from one to the next
TIMEOUT = 2.0  # seconds that a usual client waits
ANSWER_SLACK = 0.5  # seconds after a request's time from which it is lost, by the page
BEFORE = 0.5  # seconds for which bad clients have been there
SERVED = 200
LONG_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (b"x" * 40_000)
PORTS = Ports()
FAULT_EVENTS = "round_failed", "look_failed", "connection_failed", "forward_failed", "violation"
MEMORY_EACH = 0.05  # seconds between looks at the node's memory
DEFAULT = {
    "short_lines": 200,
    "empty_lines": 8,
    "one_byte_chunks": 8,
    "zero_chunks": 8,
    "probes": 8,
    "unsound_bodies": 8,
    "sound_requests": 8,
    "unsound_heads": 200,
    "many_fields": 600,
    "half_bodies": 600,
    "half_heads": 600,
    "slow_writers": 600,
    "long_answers": 300,
}


def _answer_long(server, sock, call, nth):
    if b'"long"' in call["body"]:
        sock.sendall(HEAD + b"".join(map(http.chunk, [LONG_EVENT] * 6 + EVENTS)) + http.chunk(b""))
    else:
        server.answer(sock, call)


@dataclasses.dataclass
class Seen:
    """One usual request; seconds from its sending."""

    status: int | None = None
    first_after: float | None = None


class CrowdedNode:
    """`count` bad clients of one shape, and usual ones beside them."""

    def __init__(self, shape, count, memory_mb=192):
        self._shape, self._count, self.memory_mb = shape, count, memory_mb
        self._folder = tempfile.TemporaryDirectory(prefix="crowded-node-")
        self._agent = Agent()
        engines = [Engine("r%d" % n, "prefill") for n in range(2)]
        engines += [Engine("w%d" % n, "decode", script=_answer_long) for n in range(3)]
        self._engines = engines
        members = [engine.member() for engine in engines]
        self._node = NodeProcess(
            self._folder.name, PORTS.take(), SETTINGS, members, self._agent, memory_mb=memory_mb
        )
        self.seen, self.peak_mb, self.late, self.crashed = [], 0.0, 0.0, False
        self.faults = collections.Counter()  # of the node itself, by the names of their log events

    def play(self):
        crowd = None
        watch = gevent.spawn(self._watch_memory)
        heart = gevent.spawn(self._beat)
        try:
            self._node.start()
            crowd = self._start_crowd()
            gevent.sleep(BEFORE)
            jobs = []
            for n in range(USUAL):
                jobs.append(gevent.spawn(self._ask, n))
                gevent.sleep(EACH)
            gevent.joinall(jobs, timeout=TIMEOUT + 10)
            self.crashed = not self._node.is_running()
            self.faults.update(line["event"] for line in self._node.lines() if line["event"] in FAULT_EVENTS)
            self.late = max((line["loop_late_most"] for line in self._node.lines("load")), default=0) / 1e6
        finally:
            watch.kill()
            heart.kill()
            if crowd is not None:
                crowd.kill()
                crowd.wait()
            self._close()
        return self

    def _start_crowd(self):
        seconds = BEFORE + USUAL * EACH + TIMEOUT
        told = [self._shape, self._node.port, self._count, seconds]
        command = [sys.executable, "-m", "tests.sockets.bad_clients", *map(str, told)]
        return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)

    def _beat(self):
        while True:
            gevent.sleep(1)
            self._agent.raw(http.chunk(b"\n"))

    def _ask(self, n):
        seen = Seen()
        self.seen.append(seen)
        begun = time.monotonic()
        try:
            client = self._node.client()
        except OSError:
            return
        try:
            client.sock.settimeout(TIMEOUT + 8)
            told = {"x_timeout_ms": str(int(TIMEOUT * 1000)), "x_route_key": "k%d" % (n % 9)}
            client.send(request("%016x" % (n + 1), **told))
            seen.status = client.answer()[0]
            seen.first_after = time.monotonic() - begun
        except OSError:
            pass  # no answer in time
        finally:
            client.close()

    def _watch_memory(self):
        while True:
            gevent.sleep(MEMORY_EACH)
            if self._node.is_running():
                self.peak_mb = max(self.peak_mb, self._node.memory_mb())

    def _close(self):
        self._node.close()
        self._agent.server.stop()
        for engine in self._engines:
            engine.server.stop()
        self._folder.cleanup()

    # ---- what came of it ----

    def served(self):
        return sum(seen.status == SERVED for seen in self.seen)

    def lost(self):
        """How many had no answer by half a second after their time."""
        return sum(
            seen.first_after is None or seen.first_after > TIMEOUT + ANSWER_SLACK for seen in self.seen
        )

    def latest(self):
        return max((seen.first_after for seen in self.seen if seen.first_after is not None), default=0.0)

    def summary(self):
        return (
            "%s from %d: %d of %d served, %d lost, latest answer %.2f s, peak %.0f MB, loop late %.0f ms%s"
            % (
                self._shape,
                self._count,
                self.served(),
                len(self.seen),
                self.lost(),
                self.latest(),
                self.peak_mb,
                self.late * 1000,
                ", crashed" if self.crashed else "",
            )
        )


def main():
    told = dict(argument.split("=") for argument in sys.argv[1:]) or DEFAULT
    for shape, count in told.items():
        print(CrowdedNode(shape, int(count)).play().summary(), flush=True)


if __name__ == "__main__":
    main()
