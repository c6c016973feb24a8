"""A front node as a process under bad clients, and what its usual clients see of it.

`python -m tests.sockets.crowded_node [--memory MB] [--sockets N] [--servers N] [--early] [SHAPE=COUNT ...]`
plays each shape and prints a line of it; shapes joined by `+` come one after the other.
"""

import argparse
import collections
import dataclasses
import json
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
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n'
# by what a request's body holds: some 240 KB in a few large events, or in many
LONG_ANSWERS = {b'"long"': [EVENT % (b"x" * 40_000)] * 6, b'"many"': [EVENT % (b"x" * 150)] * 1200}
PORTS = Ports()
FAULT_EVENTS = "round_failed", "look_failed", "connection_failed", "forward_failed", "violation"
MEMORY_EACH = 0.5  # seconds between looks at the node's memory: a look takes the system some time
SLOW_READ = 0.3  # seconds
POLL = 0.05  # seconds between looks whether a play has ended
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
    "large_unsound_bodies": 600,
    "leavers": 600,
    "short_deadlines": 600,
    "long_names": 600,
    "slow_readers": 600,
    "long_answers": 300,
    "mixed": 600,
}


def _answer_long(server, sock, call, nth):
    events = next((events for kind, events in LONG_ANSWERS.items() if kind in call["body"]), None)
    if events is not None:
        sock.sendall(HEAD + b"".join(map(http.chunk, events + EVENTS)) + http.chunk(b""))
    else:
        server.answer(sock, call)


def _read_slowly(server, sock, call, nth):
    if b'"slow"' in call["body"]:
        gevent.sleep(SLOW_READ)
    server.answer(sock, call)


@dataclasses.dataclass
class Seen:
    """One usual request; seconds from its sending."""

    status: int | None = None
    first_after: float | None = None


@dataclasses.dataclass
class Outcome:
    """What came of a play: memory in millions of bytes, times in seconds."""

    shape: str
    count: int
    memory_mb: float
    sockets: int
    asked: int
    served: int
    lost: int  # had no answer by half a second after their time
    served_after: int  # of AFTER, once the crowd had gone
    latest: float  # answer
    rest_mb: float  # resident at rest
    peak_mb: float  # resident at most
    own_mb: float  # at most, with what other processes have too by share
    queued_mb: float  # by the system for clients' connections, at most
    late: float  # the event loop at most
    crashed: bool
    faults: dict  # of the node itself, by the names of their log events

    def summary(self):
        parts = [
            "%s from %d at %g MB, %d descriptors" % (self.shape, self.count, self.memory_mb, self.sockets),
            "%d of %d served, %d lost" % (self.served, self.asked, self.lost),
            "%d of %d after" % (self.served_after, AFTER),
            "latest answer %.2f s" % self.latest,
            "RSS %.1f at rest, %.1f at most" % (self.rest_mb, self.peak_mb),
            "PSS %.1f" % self.own_mb,
            "queued %.1f" % self.queued_mb,
            "loop late %.0f ms" % (self.late * 1000),
        ]
        return "; ".join(parts) + ("; crashed" if self.crashed else "")


class CrowdedNode:
    """`count` bad clients of one shape, or of several in turn, and usual ones beside them.

    `servers`: decode servers of the list; `early`: the crowd is there before the node is.
    """

    def __init__(self, shape, count, memory_mb=192, sockets=1024, servers=3, early=False):
        self._shape, self._count, self.memory_mb, self._early = shape, count, memory_mb, early
        self._folder = tempfile.TemporaryDirectory(prefix="crowded-node-")
        self._agent = Agent()
        engines = [Engine("r%d" % n, "prefill", script=_read_slowly) for n in range(2)]
        engines += [Engine("w%d" % n, "decode", script=_answer_long) for n in range(servers)]
        self._engines = engines
        members = [engine.member() for engine in engines]
        self._node = NodeProcess(
            self._folder.name, PORTS.take(), SETTINGS, members, self._agent, None, sockets, memory_mb
        )
        self._sockets, self._seen, self._after = sockets, [], []
        self._own_mb = self._queued_mb = 0.0

    def play(self):
        crowds = []
        watch = gevent.spawn(self._watch_memory)
        heart = gevent.spawn(self._beat)
        try:
            if self._early:
                crowds = self._start_crowds()
            self._node.start()
            rest_mb = self._node.memory_mb()
            crowds = crowds or self._start_crowds()
            gevent.sleep(BEFORE)
            self._ask_usual(USUAL, self._seen)
            self._end(crowds)
            self._ask_usual(AFTER, self._after)
            return self._outcome(rest_mb)
        finally:
            watch.kill()
            heart.kill()
            self._end(crowds)
            self._close()

    def _outcome(self, rest_mb):
        lines = self._node.lines()
        times = [seen.first_after for seen in self._seen + self._after]
        within = TIMEOUT + ANSWER_SLACK
        return Outcome(
            self._shape,
            self._count,
            self.memory_mb,
            self._sockets,
            asked=len(self._seen),
            served=sum(seen.status == SERVED for seen in self._seen),
            lost=sum(after is None or after > within for after in times),
            served_after=sum(seen.status == SERVED for seen in self._after),
            latest=max((after for after in times if after is not None), default=0.0),
            rest_mb=rest_mb,
            peak_mb=self._node.peak_memory_mb(),
            own_mb=self._own_mb,
            queued_mb=self._queued_mb,
            late=max((line["loop_late_most"] for line in lines if line["event"] == "load"), default=0) / 1e6,
            crashed=not self._node.is_running(),
            faults=dict(
                collections.Counter(line["event"] for line in lines if line["event"] in FAULT_EVENTS)
            ),
        )

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
            jobs.append(gevent.spawn(self._ask, n + len(self._seen) * (seen is self._after), seen))
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
                self._own_mb = max(self._own_mb, self._node.own_memory_mb())
                self._queued_mb = max(self._queued_mb, self._node.queued_mb())

    def _close(self):
        self._node.close()
        self._agent.server.stop()
        for engine in self._engines:
            engine.server.stop()
        self._folder.cleanup()


def play_apart(shape, count, memory_mb=192, sockets=1024, servers=3, early=False):
    """Plays in a process of its own, as several in one would hold each other up; returns the Outcome."""
    command = [sys.executable, "-m", "tests.sockets.crowded_node", "--json", "%s=%d" % (shape, count)]
    command += ["--memory", str(memory_mb), "--sockets", str(sockets), "--servers", str(servers)]
    command += ["--early"] * early
    # not gevent's: it would take the exit codes of all other children of this process from who waits for them
    popen = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
    while popen.poll() is None:
        gevent.sleep(POLL)
    with popen.stdout:
        return Outcome(**json.loads(popen.stdout.read()))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory", type=float, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--early", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("shapes", nargs="*")
    told = parser.parse_args()
    shapes = dict(argument.split("=") for argument in told.shapes) or DEFAULT
    for shape, count in shapes.items():
        node = CrowdedNode(shape, int(count), told.memory, told.sockets, told.servers, told.early)
        outcome = node.play()
        print(json.dumps(dataclasses.asdict(outcome)) if told.json else outcome.summary(), flush=True)


if __name__ == "__main__":
    main()
