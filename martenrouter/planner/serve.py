"""A planner: rounds in, decisions out, over the edge's Unix socket. Plain blocking code, nothing else runs in this process.

It has no clock and no list of its own: the time of each round and all facts are the edge's. It can be killed at any moment; it
connects again when the edge closes, which an edge does that found it silent.
"""
import os
import random
import socket
import time

from martenrouter.decisions.chain import Chain
from martenrouter.decisions.learnt import export
from martenrouter.wire import channel

LEARNT_EACH = 64  # rounds between what has been learnt is left at the edge: some tenth of a second under load


class Refused(Exception):
    """The edge will not have this planner."""


class Writer(list):
    """Collects decisions as (name, arguments)."""

    def __getattr__(self, name):
        return lambda *arguments: self.append((name, arguments))


class Planner:
    def __init__(self, path, log, name=None, slow=0.0):
        """`slow`: seconds that each round takes longer, for rehearsals."""
        self.path, self.log, self.name, self.slow = path, log, name or "planner-%d" % os.getpid(), slow
        self.random = random.Random(os.getpid())

    def run(self):
        """Serves one connection after the other, for ever. Raises Refused when the edge speaks another version."""
        wait = 0.05
        while True:
            try:
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.connect(self.path)
                    wait = 0.05
                    self._serve(sock)
            except (OSError, channel.BadFrame) as why:
                self.log.info("no_edge", path=self.path, why=str(why))
            time.sleep(wait * (0.5 + self.random.random()))
            wait = min(2 * wait, 2.0)

    def _serve(self, sock):
        sock.sendall(channel.encode(channel.Greeting(channel.VERSION, self.name)))
        frames, welcome, chain, epoch = channel.Frames(), None, None, 0
        while True:
            data = sock.recv(1024 * 1024)
            if not data:
                return
            for message in frames.feed(data):
                if isinstance(message, channel.Welcome):
                    welcome = message
                    self.log.info("welcome", front=message.front)
                elif isinstance(message, channel.Refused):
                    if "version" in message.reason:
                        raise Refused(message.reason)
                    raise OSError(message.reason)
                elif isinstance(message, channel.Handover):
                    chain, epoch = Chain(welcome.seed, welcome.module, welcome.chain), message.epoch
                    chain.adopt(message.now, message.facts, message.learnt)
                    self.log.info("in_charge", epoch=epoch, open=len(message.facts["reqs"]))
                elif isinstance(message, channel.Round) and message.epoch == epoch:
                    sock.sendall(self._decide(chain, message))
                else:
                    raise channel.BadFrame("%s is not for a planner" % type(message).__name__)

    def _decide(self, chain, message):
        began, out = time.perf_counter_ns(), Writer()
        inbox = [(call, tuple(arguments)) for call, arguments in message.inbox]
        chain.turn(message.now, inbox, out)
        if self.slow:
            time.sleep(self.slow)
        learnt = export(chain.front, message.now) if message.seq % LEARNT_EACH == 0 else None
        return channel.encode(channel.Decisions(message.epoch, message.seq, list(out),
                                                (time.perf_counter_ns() - began) // 1000, learnt))
