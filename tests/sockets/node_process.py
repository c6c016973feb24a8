"""One front node as a process on loopback, with its configuration and log in a folder of its own."""

import json
import os
import signal
import subprocess
import sys

import gevent

from martenrouter.edge import clock
from tests.sockets.node_rig import Client, is_ready

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
READY_WITHIN = 10  # seconds, by the page
LISTENS = "0A"  # a listening socket's state in /proc/net/tcp


class NodeProcess:
    """`folder` takes its files; `members` are those of the list that it starts with; `shims` is what
    `tests.soak.launcher` is told, None for a process without."""

    def __init__(self, folder, port, settings, members, agent, shims=None, sockets=1024, memory_mb=192):
        self.port, self._arguments = port, ["martenrouter"]
        self.path, self._log_path = os.path.join(folder, "node.json"), os.path.join(folder, "node.log")
        self._popen = None
        told = {
            "name": "n0",
            "listen": "127.0.0.1:%d" % self.port,
            "discovery": agent.address,
            "seed": "8c1f",
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"revision": 1, "complete": True, "members": members},
        }
        with open(self.path, "w") as file:
            json.dump(told, file)
        if shims is not None:
            spec = os.path.join(folder, "shims.json")
            with open(spec, "w") as file:
                json.dump(shims, file)
            self._arguments = ["tests.soak.launcher", spec]

    @property
    def pid(self):
        return self._popen.pid

    def launch(self):
        with open(self._log_path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments, "node", self.path],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start(self):
        """Until it is ready. Raises AssertionError when it isn't in time."""
        self.launch()
        until = clock.now() + READY_WITHIN * 1_000_000
        while not is_ready(("127.0.0.1", self.port)):
            if clock.now() > until:
                raise AssertionError("not ready within %d s" % READY_WITHIN)
            gevent.sleep(0.05)

    def is_running(self):
        return self._popen is not None and self._popen.poll() is None

    def memory_mb(self):
        """What it holds of the machine's memory (RSS); 0 once it has ended."""
        return self._told_mb("status", "VmRSS:")

    def peak_memory_mb(self):
        """The most that it has held since its start, as the system noted it."""
        return self._told_mb("status", "VmHWM:")

    def own_memory_mb(self):
        """As `memory_mb`, with its share of what it has in common with other processes (PSS)."""
        return self._told_mb("smaps_rollup", "Pss:")

    def _told_mb(self, file, name):
        """In millions of bytes, as the configuration's limit."""
        try:
            with open("/proc/%d/%s" % (self.pid, file)) as told:
                sizes = [int(line.split()[1]) for line in told if line.startswith(name)]
        except OSError:
            return 0.0
        return sizes[0] * 1024 / 1e6 if sizes else 0.0

    def queued_mb(self):
        """Bytes that the system holds for its clients' connections, received and unsent."""
        port, total = ":%04X" % self.port, 0
        with open("/proc/net/tcp") as told:
            for line in told:
                fields = line.split()
                if fields[1].endswith(port) and fields[3] != LISTENS:
                    total += sum(int(size, 16) for size in fields[4].split(":"))
        return total / 1e6

    def client(self):
        """Raises OSError where it takes no connection."""
        return Client(("127.0.0.1", self.port))

    def stop(self, within):
        """SIGTERM, and until it has ended, `within` seconds at most."""
        self._popen.send_signal(signal.SIGTERM)
        until = clock.now() + within * 1_000_000
        while self._popen.poll() is None and clock.now() < until:
            gevent.sleep(0.02)

    def close(self):
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()

    def lines(self, event=None):
        """The log's lines, those of one event where it is named."""
        with open(self._log_path) as log:
            told = [json.loads(line) for line in log]
        return [line for line in told if event in (None, line["event"])]
