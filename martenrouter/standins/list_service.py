"""A stand-in list service: pushes a versioned list to its subscribers, late, and misbehaves on command.

A subscriber sends one line (wire.nodes.Ask) and gets lines (Told). A control connection sends one line instead,
{"op": …}: set (entries to change), late (microseconds), silent (on), back (versions to go back), epoch (a new one).
"""
import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from martenrouter.standins.clocks import now, wall
from martenrouter.state import records
from martenrouter.wire import nodes

SAME_EACH = 1.0  # seconds between lines that say that nothing is new


class Op(msgspec.Struct, forbid_unknown_fields=True):
    op: str
    entries: list[nodes.Entry] = []
    us: int = 0
    on: bool = False
    count: int = 0


class ListService:
    def __init__(self, listen, late=0, records_dir=None, epoch=None):
        """`listen`: (host, port); `late`: microseconds between a change and its push."""
        self.record = records.recorder(records_dir, "list")
        self.late, self.silent = late, False
        self.epoch = epoch or wall() // 1_000_000
        self.version, self.entries = 0, {}
        self.log = []            # (version, time told, changed entries)
        self.changed = Event()
        self.server = StreamServer(listen, self._accepted)

    def start(self):
        self.server.start()
        return self.server.address

    def set(self, entries):
        self.version += 1
        for entry in entries:
            self.entries[entry.id] = entry
        self.log.append((self.version, now() + self.late, list(entries)))
        self._wake()

    def _wake(self):
        changed, self.changed = self.changed, Event()
        changed.set()

    def _visible(self):
        """The newest version that may be told by now."""
        return max((version for version, at, _ in self.log if at <= now()), default=0)

    def _whole(self, upto):
        entries = {}
        for version, _, changed in self.log:
            if version <= upto:
                entries.update((entry.id, entry) for entry in changed)
        return list(entries.values())

    def _accepted(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            lines = nodes.Lines()
            first = None
            while first is None:
                data = sock.recv(64 * 1024)
                if not data:
                    return
                first = next(iter(lines.feed(data)), None)
            if b'"op"' in first:
                self._control(msgspec.json.decode(first, type=Op))
                sock.sendall(b"{}\n")
            else:
                self._push(sock, nodes.ask(first))
        except (OSError, nodes.BadLine, msgspec.MsgspecError):
            pass
        finally:
            sock.close()

    def _push(self, sock, ask):
        at = ask.version if ask.epoch == self.epoch else -1
        while True:
            if self.silent:
                gevent.sleep(0.02)
                continue
            changed, upto = self.changed, self._visible()
            if at < 0 or at > upto:
                at = upto
                self._send(sock, ask.front, nodes.Told("whole", self.epoch, upto, 0, self._whole(upto)))
            elif upto > at:
                news = {}
                for version, _, entries in self.log:
                    if at < version <= upto:
                        news.update((entry.id, entry) for entry in entries)
                self._send(sock, ask.front, nodes.Told("changes", self.epoch, upto, at, list(news.values())))
                at = upto
            else:
                waits = [due - now() for version, due, _ in self.log if version > upto]
                if not changed.wait(min([SAME_EACH] + [max(wait, 1000) / 1e6 for wait in waits])) and not waits:
                    if not self.silent:
                        sock.sendall(nodes.encode(nodes.Told("same", self.epoch, at)))

    def _send(self, sock, front, told):
        self.record("list_out", front=front, epoch=told.epoch, version=told.version, scope=told.scope,
                    entries=[(entry.id, entry.phase, entry.start) for entry in told.entries])
        sock.sendall(nodes.encode(told))

    def _control(self, op):
        self.record("control", op=op.op, us=op.us, on=op.on, count=op.count)
        if op.op == "set":
            self.set(op.entries)
        elif op.op == "late":
            self.late = op.us
        elif op.op == "silent":
            self.silent = op.on
        elif op.op == "back":
            self.log = self.log[:-op.count] or self.log[:1]
            self.version = self.log[-1][0]
            self._wake()
        elif op.op == "epoch":
            entries = self._whole(self.version)
            self.epoch, self.version, self.log = self.epoch + 1, 1, [(1, now(), entries)]
            self._wake()
