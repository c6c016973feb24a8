"""One front as two programs: starts edge and planner, starts the planner again when it ends, stops both in
order.

The edge serves without its planner, so a planner that crashes in a loop costs nothing but its place; the
edge's end is the front's end, since what clients wait for is there.
"""

import os
import signal
import subprocess
import sys
import time

from martenrouter.decisions.takeover import Restarts

LOOK = 0.02  # seconds between looks at the two


class Supervisor:
    def __init__(self, edge, planner, stop_within, log):
        """`edge`, `planner`: their command lines; `stop_within`: seconds that the edge may take to stop."""
        self.commands, self.stop_within, self.log = {"edge": edge, "planner": planner}, stop_within, log
        self.running, self.restarts = {}, Restarts()
        self.stopping = 0

    def run(self):
        """Until a signal, or the edge's end; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        signal.signal(
            signal.SIGHUP, lambda *_: self.running["edge"].send_signal(signal.SIGHUP)
        )  # settings are the edge's
        self._start("edge")
        self._start("planner")
        again_at = None
        try:
            while not self.stopping:
                code = self.running["edge"].poll()
                if code is not None:
                    self.log.error("edge_ended", code=code)
                    return code or 1
                planner = self.running.get("planner")
                if planner is not None and planner.poll() is not None:
                    ran = int((time.monotonic() - self.started) * 1e6)
                    wait = self.restarts.ended(ran)
                    del self.running["planner"]
                    again_at = time.monotonic() + wait / 1e6
                    say = self.log.error if self.restarts.in_a_loop() else self.log.warning
                    say(
                        "planner_loops" if self.restarts.in_a_loop() else "planner_ended",
                        code=planner.returncode,
                        ran_us=ran,
                        again_after_us=wait,
                        note="the edge decides by itself",
                    )
                if again_at is not None and time.monotonic() >= again_at:
                    again_at = None
                    self._start("planner")
                time.sleep(LOOK)
            return self._stop()
        finally:
            for process in self.running.values():
                if process.poll() is None:
                    process.kill()
                process.wait()

    def _start(self, name):
        # its standard input is a pipe from here: it ends when this process does, however that ends
        self.running[name] = subprocess.Popen([*self.commands[name], "--with-stdin"], stdin=subprocess.PIPE)
        if name == "planner":
            self.started = time.monotonic()
        self.log.info("started", program=name, pid=self.running[name].pid)

    def _signalled(self, *_):
        self.stopping += 1
        if self.stopping > 1:
            for process in self.running.values():
                process.kill()
            os._exit(1)

    def _stop(self):
        """The edge first, so that what is open is decided to the end; then the planner."""
        edge = self.running["edge"]
        edge.send_signal(signal.SIGTERM)
        until = time.monotonic() + self.stop_within + 2
        while edge.poll() is None and time.monotonic() < until:
            time.sleep(LOOK)
        self.log.info("stopped", code=edge.poll())
        return 1 if edge.poll() is None else edge.returncode


def commands(path, given, socket_path, store=None):
    """Command lines of the two programs for a settings file."""
    program = [sys.executable, "-m", "martenrouter"]
    named = [part for text in given for part in ("--set", text)]
    return [*program, "edge", *([path] if path else []), *named, "--planner", socket_path], [
        *program,
        "planner",
        socket_path,
        *(["--store", store] if store else []),
    ]
