"""A planner: rounds in, decisions out, over the edge's Unix socket. Plain blocking code, nothing else runs in
this process.

It has no list of its own and decides by no clock of its own: the time of each round and all facts are the
edge's. It can be killed at any moment; it connects again when the edge closes, which an edge does that found
it silent.
"""

import os
import random
import socket
import threading
import time

from martenrouter.decisions.background import Background
from martenrouter.decisions.chain import Chain
from martenrouter.decisions.learnt import VERSION as LEARNT
from martenrouter.decisions.learnt import shifted
from martenrouter.state.snapshots import Snapshots, Unusable
from martenrouter.wire import channel

SNAPSHOT_EACH = (
    5_000_000  # microseconds: what is older by some seconds is as good, sums halve in four to sixty
)
LEARNT_EACH = 64  # rounds between what has been learnt is left at the edge: some tenth of a second under load


class Refused(Exception):
    """The edge will not have this planner."""


class Writer(list):
    """Collects decisions as (name, arguments)."""

    def __getattr__(self, name):
        return lambda *arguments: self.append((name, arguments))


class Planner:
    def __init__(self, path, log, name=None, slow=0.0, store=None):
        """`slow`: seconds that each round takes longer, for rehearsals; `store`: directory for snapshots, or
        None."""
        self.store, self.snapshots, self.writer, self.background = store, None, None, None
        self.writer_at, self.writer_told = 0, False
        self.store_of, self.store_again_at = None, 0  # the front it belongs to; when it is tried again
        self.path, self.log, self.name, self.slow = path, log, name or "planner-%d" % os.getpid(), slow
        self.random = random.Random(os.getpid())

    def run(self):
        """Serves one connection after the other, for ever. Raises Refused when the edge speaks another
        version."""
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
                    self.store_of = welcome.front
                    self.log.info("welcome", front=message.front)
                elif isinstance(message, channel.Refused):
                    if "version" in message.reason:
                        raise Refused(message.reason)
                    raise OSError(message.reason)
                elif isinstance(message, channel.Handover):
                    chain, epoch = Chain(welcome.seed, welcome.module, welcome.chain), message.epoch
                    self.open_store(self.store_of, message.now)
                    learnt = message.learnt or self._newest(message.now)
                    chain.adopt(message.now, message.facts, learnt)
                    self.background = Background(message.now)
                    self.background.add(message.now, "snapshot", 1, SNAPSHOT_EACH)
                    self.log.info(
                        "in_charge",
                        epoch=epoch,
                        open=len(message.facts["reqs"]) + len(message.facts["later"]),
                        learnt="edge" if message.learnt else "snapshot" if learnt else "nothing",
                    )
                elif isinstance(message, channel.Round) and message.epoch == epoch:
                    sock.sendall(self._decide(chain, message))
                    self._between(chain, message.now)
                else:
                    raise channel.BadFrame("%s is not for a planner" % type(message).__name__)

    # ---- what can wait ----

    def open_store(self, front, now):
        """Unless it is open; what can't be opened is tried again each SNAPSHOT_EACH, and said once."""
        if self.store is None or self.snapshots is not None or now < self.store_again_at:
            return
        try:
            self.snapshots = Snapshots(os.path.join(self.store, front), front)
        except Unusable as why:
            if not self.store_again_at:
                self.log.warning("snapshots_unusable", why=str(why))
            self.store_again_at = now + SNAPSHOT_EACH

    def _newest(self, now):
        """What was learnt before this front was started, moved to its clock; old parts are not believed (see
        learnt.put)."""
        if self.snapshots is None:
            return None
        wall, learnt, words = self.snapshots.newest()
        for word in words:
            self.log.warning("snapshot_set_aside", what=word)
        if learnt is None or learnt.get("version") != LEARNT:
            return None
        age = max(time.time_ns() // 1000 - wall, 0)
        return shifted(learnt, now - age - learnt["at"])

    def _between(self, chain, now):
        """A slice of background work, when its budget allows: the export here, the disk in a thread of its
        own."""
        self.open_store(self.store_of, now)
        name = self.background.pick(now) if self.snapshots is not None else None
        if name is None:
            return
        if self.writer is not None and self.writer.is_alive():
            # the disk is slow, or another program holds the store: deciding goes on, nothing more is queued
            # up
            if not self.writer_told and now - self.writer_at > 2 * SNAPSHOT_EACH:
                self.writer_told = True
                self.log.warning(
                    "snapshot_waits",
                    path=self.store,
                    mend="see what else writes there, or how full the disk is",
                )
            return
        self.writer_at, self.writer_told = now, False
        began = time.perf_counter_ns()
        learnt = chain.learnt(now)
        self.writer = threading.Thread(target=self._save, args=(time.time_ns() // 1000, learnt), daemon=True)
        self.writer.start()
        self.background.ran(now, name, (time.perf_counter_ns() - began) // 1000, True)

    def _save(self, wall, learnt):
        why = self.snapshots.save(wall, learnt)
        if why:
            self.log.warning("snapshot_not_saved", why=why, mend="look at the disk; deciding goes on")

    def _decide(self, chain, message):
        began, out = time.perf_counter_ns(), Writer()
        inbox = [(call, tuple(arguments)) for call, arguments in message.inbox]
        chain.turn(message.now, inbox, out)
        if self.slow:
            time.sleep(self.slow)
        learnt = chain.learnt(message.now) if message.seq % LEARNT_EACH == 0 else None
        return channel.encode(
            channel.Decisions(
                message.epoch, message.seq, list(out), (time.perf_counter_ns() - began) // 1000, learnt
            )
        )
