"""A front node as a process under bad clients, and what its usual clients see of it.

`python -m tests.sockets.crowded_node [--memory MB] [--sockets N] [--servers N] [--early] [SHAPE=COUNT ...]`
plays each shape and prints a line of it; shapes joined by `+` come one after the other.
"""

import argparse
import collections
import dataclasses
import subprocess
import sys
import tempfile
import time

import gevent

from martenrouter.lab.processes import Ports
from martenrouter.wire import http
from tests.sockets.node_process import READY_WITHIN, ROOT, NodeProcess
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
AFTER = 10  # usual requests once the crowd has gone
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
    "body_drips": 600,
    "chunk_drips": 600,
    "whole_bodies": 600,
    "long_answers": 300,
    "mixed": 600,
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
    """`count` bad clients of one shape, or of several in turn, and usual ones beside them.

    `servers`: decode servers of the list; `early`: the crowd is there before the node is.
    """

    def __init__(self, shape, count, memory_mb=192, sockets=1024, servers=3, early=False):
        self._shape, self._count, self.memory_mb, self._early = shape, count, memory_mb, early
        self._folder = tempfile.TemporaryDirectory(prefix="crowded-node-")
        self._agent = Agent()
        engines = [Engine("r%d" % n, "prefill") for n in range(2)]
        engines += [Engine("w%d" % n, "decode", script=_answer_long) for n in range(servers)]
        self._engines = engines
        members = [engine.member() for engine in engines]
        self._node = NodeProcess(
            self._folder.name, PORTS.take(), SETTINGS, members, self._agent, None, sockets, memory_mb
        )
        self.seen, self.after, self.late, self.crashed = [], [], 0.0, False
        # millions of bytes: at rest, at most, with shared memory by share, and what the system held of
        # clients' connections
        self.rest_mb = self.peak_mb = self.own_mb = self.queued_mb = 0.0
        self.faults = collections.Counter()  # of the node itself, by the names of their log events

    def play(self):
        crowds = []
        watch = gevent.spawn(self._watch_memory)
        heart = gevent.spawn(self._beat)
        try:
            if self._early:
                crowds = self._start_crowds()
            self._node.start()
            self.rest_mb = self._node.memory_mb()
            crowds = crowds or self._start_crowds()
            gevent.sleep(BEFORE)
            self._ask_usual(USUAL, self.seen)
            self._end(crowds)
            self._ask_usual(AFTER, self.after)
            self.crashed = not self._node.is_running()
            self.peak_mb = self._node.peak_memory_mb()
            self.faults.update(line["event"] for line in self._node.lines() if line["event"] in FAULT_EVENTS)
            self.late = max((line["loop_late_most"] for line in self._node.lines("load")), default=0) / 1e6
        finally:
            watch.kill()
            heart.kill()
            self._end(crowds)
            self._close()
        return self

    def _start_crowds(self):
        """One process for each shape; several share the time."""
        shapes = self._shape.split("+")
        seconds = BEFORE + USUAL * EACH + TIMEOUT + (READY_WITHIN if self._early else 0)
        module = [sys.executable, "-m", "tests.sockets.bad_clients"]
        crowds = []
        for n, shape in enumerate(shapes):
            told = [shape, self._node.port, self._count, seconds / len(shapes), n * seconds / len(shapes)]
            crowds.append(subprocess.Popen([*module, *map(str, told)], cwd=ROOT, stdout=subprocess.DEVNULL))
        return crowds

    @staticmethod
    def _end(crowds):
        for crowd in crowds:
            crowd.kill()
            crowd.wait()

    def _ask_usual(self, count, seen):
        jobs = []
        for n in range(count):
            jobs.append(gevent.spawn(self._ask, n + len(self.seen) * (seen is self.after), seen))
            gevent.sleep(EACH)
        gevent.joinall(jobs, timeout=TIMEOUT + 10)

    def _beat(self):
        while True:
            gevent.sleep(1)
            self._agent.raw(http.chunk(b"\n"))

    def _ask(self, n, all_seen):
        seen = Seen()
        all_seen.append(seen)
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
                self.own_mb = max(self.own_mb, self._node.own_memory_mb())
                self.queued_mb = max(self.queued_mb, self._node.queued_mb())

    def _close(self):
        self._node.close()
        self._agent.server.stop()
        for engine in self._engines:
            engine.server.stop()
        self._folder.cleanup()

    # ---- what came of it ----

    def served(self):
        return sum(seen.status == SERVED for seen in self.seen)

    def served_after(self):
        """Of AFTER, once the crowd had gone."""
        return sum(seen.status == SERVED for seen in self.after)

    def lost(self):
        """How many had no answer by half a second after their time."""
        return sum(
            seen.first_after is None or seen.first_after > TIMEOUT + ANSWER_SLACK
            for seen in self.seen + self.after
        )

    def latest(self):
        return max((seen.first_after for seen in self.seen if seen.first_after is not None), default=0.0)

    def summary(self):
        parts = [
            "%s from %d at %g MB" % (self._shape, self._count, self.memory_mb),
            "%d of %d served, %d lost" % (self.served(), len(self.seen), self.lost()),
            "%d of %d after" % (self.served_after(), AFTER),
            "latest answer %.2f s" % self.latest(),
            "RSS %.1f at rest, %.1f at most" % (self.rest_mb, self.peak_mb),
            "PSS %.1f" % self.own_mb,
            "queued %.1f" % self.queued_mb,
            "loop late %.0f ms" % (self.late * 1000),
        ]
        return "; ".join(parts) + ("; crashed" if self.crashed else "")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory", type=float, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--early", action="store_true")
    parser.add_argument("shapes", nargs="*")
    told = parser.parse_args()
    shapes = dict(argument.split("=") for argument in told.shapes) or DEFAULT
    for shape, count in shapes.items():
        node = CrowdedNode(shape, int(count), told.memory, told.sockets, told.servers, told.early)
        print(node.play().summary(), flush=True)


if __name__ == "__main__":
    main()
