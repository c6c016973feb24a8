"""Programs started for a rehearsal, each a process of its own, all ended with it however it ends."""

import os
import signal
import subprocess
import sys
import time

import gevent
from gevent import socket

FIRST, LAST = 20_000, 32_000  # ports under the range that systems give to outgoing connections


class Ports:
    """Free loopback ports, tried one by one from a place that depends on the process."""

    def __init__(self):
        self.next = FIRST + os.getpid() * 97 % (LAST - FIRST - 2000)

    def take(self):
        while True:
            self.next = self.next + 1 if self.next < LAST else FIRST
            with socket.socket() as sock:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue


class Process:
    """One program of ours. Its standard input is a pipe from here: it ends when this process does."""

    def __init__(self, name, arguments, log, command=None):
        self.name, self.arguments, self.log = name, arguments, log
        self.command = command or [sys.executable, "-m", "martenrouter"]
        self.popen = None

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [*self.command, *self.arguments, "--with-stdin"],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
        self._close()

    def stop(self, within):
        """SIGTERM and the exit code; killed after `within` seconds (None)."""
        if self.popen is None:
            return None
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        until = time.monotonic() + within
        while self.popen.poll() is None and time.monotonic() < until:
            gevent.sleep(0.01)
        code = self.popen.poll()
        self.kill()
        return code

    def _close(self):
        if self.popen and self.popen.stdin:
            self.popen.stdin.close()
            self.popen.stdin = None

    def wait_for(self, address, within=20):
        """Until it takes connections. Raises OSError with the end of its log when it doesn't."""
        until = time.monotonic() + within
        while time.monotonic() < until and self.popen.poll() is None:
            try:
                socket.create_connection(address, timeout=1).close()
                return
            except OSError:
                gevent.sleep(0.02)
        with open(self.log, encoding="utf-8", errors="replace") as log:
            said = log.read()[-600:]
        raise OSError(
            "%s does not listen on %s:%d: %s" % (self.name, *address, said.strip() or "it said nothing")
        )
