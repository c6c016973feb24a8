"""The list's subscriber: plays what decisions.membership chooses on a socket, a file and the disk."""

import os
import random

import gevent
from gevent import socket

from martenrouter.decisions.membership import Membership
from martenrouter.edge import clock
from martenrouter.state import last_list
from martenrouter.wire import nodes

FILE_LOOK = 0.2  # seconds between looks at a list file: well under the second that drains have


class Roster:
    def __init__(self, name, source, seed, post, moved, counters, record, log):
        """`source`: settings.front.ListSource, its service already a pair or None. `post` hands calls to the
        desk,
        `moved` takes changed addresses."""
        self.name, self.source = name, source
        self.post, self.addresses = post, moved
        self.counters, self.record, self.log = counters, record, log
        self.members = Membership(random.Random("%s list %s" % (seed, name)).random)
        self._sock, self._greenlet = None, None

    def start(self):
        self.members.started(clock.now(), clock.wall(), self._kept(), self)
        if self.source.file:
            gevent.spawn(self._watch_file)
        gevent.spawn(self._tick)

    def _kept(self):
        if not self.source.keep:
            return None
        try:
            data = last_list.load(self.source.keep)
            return nodes.told(data) if data is not None else None
        except (OSError, nodes.BadLine) as why:
            self.log.warning(
                "kept_list_unusable",
                path=self.source.keep,
                why=str(why),
                mend="it is written anew with the next list",
            )
            return None

    # ---- what membership writes ----

    def listed(self, version, scope, rows):
        self.record("list_taken", version=version, scope=scope, rows=[(row[3], row[0]) for row in rows])
        self.post("listed", version, scope, rows)

    def ask(self, epoch, version, after):
        if not self.source.service:
            return
        if self._greenlet is not None and self._greenlet is not gevent.getcurrent():
            self._greenlet.kill(block=False)
        self.drop()
        self._greenlet = gevent.spawn(self._follow, epoch, version, after)

    def drop(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def keep(self, held):
        if not self.source.keep:
            return
        epoch, version, entries = held
        try:
            last_list.save(self.source.keep, nodes.encode(nodes.Told("whole", epoch, version, 0, entries)))
        except OSError as why:
            self.counters["list_not_kept"] += 1
            self.log.warning("list_not_kept", path=self.source.keep, why=why.strerror)

    def noted(self, event, **facts):
        self.counters[event] += 1
        self.log.info(event, **facts)

    # ---- greenlets ----

    def _tick(self):
        while True:
            gevent.sleep(1)
            self.members.tick(clock.now(), self)

    def _follow(self, epoch, version, after):
        gevent.sleep(after / 1e6)
        sock = None
        try:
            sock = self._sock = socket.create_connection(self.source.service, timeout=2)
            sock.settimeout(None)
            sock.sendall(nodes.encode(nodes.Ask(self.name, epoch, version)))
            lines = nodes.Lines()
            while True:
                data = sock.recv(64 * 1024)
                if not data:
                    raise OSError("closed by the service")
                for line in lines.feed(data):
                    self.members.told(clock.now(), clock.wall(), nodes.told(line), self)
                    if self._sock is not sock:
                        return  # a full list is asked for on another connection
        except (OSError, nodes.BadLine) as why:
            if self._sock is sock or sock is None:
                self._sock = None
                self.members.broken(clock.now(), str(why), self)
        finally:
            if sock is not None:
                sock.close()

    def _watch_file(self):
        seen = None
        while True:
            try:
                stat = os.stat(self.source.file)
                if (stat.st_mtime_ns, stat.st_size) != seen:
                    with open(self.source.file, "rb") as file:
                        message = nodes.told(file.read())
                    seen = stat.st_mtime_ns, stat.st_size
                    self.members.from_file(clock.now(), clock.wall(), message, self)
            except (OSError, nodes.BadLine) as why:
                if seen != str(why):
                    seen = str(why)
                    self.counters["list_file_unusable"] += 1
                    self.log.warning(
                        "list_file_unusable", path=self.source.file, why=str(why), mend="the old list stays"
                    )
            gevent.sleep(FILE_LOOK)
