"""A stand-in list service: pushes a versioned list to its subscribers, late, and misbehaves on command.

A subscriber sends one line (wire.nodes.Ask) and gets lines (Told). A control connection sends one line
instead, {"op": …}: set (entries to change), late (microseconds), silent (on), back (versions to go back),
epoch (a new one).
"""

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from martenrouter.standins.clocks import now, wall
from martenrouter.standins.listing import Listing
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
        self.listing = Listing(epoch or wall() // 1_000_000, late)
        self.changed = Event()
        self.server = StreamServer(listen, self._accepted)

    def start(self):
        self.server.start()
        return self.server.address

    def set(self, entries):
        self.listing.set(now(), entries)
        self._wake()

    def _wake(self):
        changed, self.changed = self.changed, Event()
        changed.set()

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
        at = ask.version if ask.epoch == self.listing.epoch else -1
        while True:
            if self.listing.silent:
                gevent.sleep(0.02)
                continue
            changed = self.changed
            told, at = self.listing.news(now(), at)
            if told is not None:
                self._send(sock, ask.front, told)
                continue
            due = self.listing.next_due(now())
            if (
                not changed.wait(SAME_EACH if due is None else min(max(due - now(), 1000) / 1e6, SAME_EACH))
                and due is None
            ):
                if not self.listing.silent:
                    sock.sendall(nodes.encode(nodes.Told("same", self.listing.epoch, at)))

    def _send(self, sock, front, told):
        self.record(
            "list_out",
            front=front,
            epoch=told.epoch,
            version=told.version,
            scope=told.scope,
            entries=[(entry.id, entry.phase, entry.start) for entry in told.entries],
        )
        sock.sendall(nodes.encode(told))

    def _control(self, op):
        self.record("control", op=op.op, us=op.us, on=op.on, count=op.count)
        if op.op == "set":
            self.set(op.entries)
        elif op.op == "late":
            self.listing.late = op.us
        elif op.op == "silent":
            self.listing.silent = op.on
        elif op.op == "back":
            self.listing.back(op.count)
            self._wake()
        elif op.op == "epoch":
            self.listing.new_epoch(now())
            self._wake()
