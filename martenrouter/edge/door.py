"""The client door: JSON-RPC 2.0 over WebSocket (RFC 6455, by wsproto). A greenlet reads each connection; a
second one exists only while there is something to be sent."""

import collections

import gevent
from gevent import socket
from gevent.server import StreamServer
from wsproto import ConnectionType, WSConnection
from wsproto.events import (
    AcceptConnection,
    BytesMessage,
    CloseConnection,
    Ping,
    RejectConnection,
    Request,
    TextMessage,
)
from wsproto.utilities import ProtocolError

from martenrouter.edge import clock
from martenrouter.wire import jsonrpc

CHUNK = 64 * 1024
GOING_AWAY, TOO_BIG, NOT_TEXT = 1001, 1009, 1003  # RFC 6455, 7.4.1


class Conn:
    """One client's connection. `reqs`: its open calls of generate by their JSON-RPC id."""

    def __init__(self, id, sock, door):
        self.id, self.sock, self.door, self.reqs = id, sock, door, {}
        self.ws, self.open = WSConnection(ConnectionType.SERVER), True
        self.unsent, self._queue, self._writer = 0, collections.deque(), None
        self._parts, self._size = [], 0
        self.writing_since = None  # while a write is on; the door closes one that takes too long

    def send(self, message, spare=False):
        """Queues one encoded message. False when too much is unsent already; `spare`: a final answer may go
        over by as much again, past which the connection is closed (its client has read nothing for that
        long)."""
        if not self.open:
            return False
        limit = self.door.unsent_limit
        if self.unsent + len(message) > (2 * limit if spare else limit):
            if spare:
                self.door.counters["connection_closed_unread"] += 1
                self.close()
            return False
        try:
            self._put(self.ws.send(TextMessage(data=message.decode())))
        except ProtocolError:
            return False  # one side has said that it closes
        return True

    def _put(self, data):
        self.unsent += len(data)
        self._queue.append(data)
        if self._writer is None:
            self._writer = gevent.spawn(self._write)

    def _write(self):
        try:
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                self.writing_since = clock.now()
                self.sock.sendall(data)
                self.unsent -= len(data)
        except OSError:
            self.close()
        finally:
            self._writer = self.writing_since = None

    def read(self):
        """Runs in the connection's greenlet until it ends."""
        try:
            while self.open:
                data = self.sock.recv(CHUNK)
                self.ws.receive_data(data or None)
                for event in self.ws.events():
                    if not self._hear(event):
                        return
                if not data:
                    return
        except (OSError, ProtocolError, UnicodeDecodeError):
            self.door.counters["connection_broken"] += 1

    def _hear(self, event):
        if isinstance(event, TextMessage):
            self._parts.append(event.data)
            self._size += len(event.data)
            if self._size > self.door.frame_limit:
                self.door.counters["frame_too_big"] += 1
                self.shut(TOO_BIG, "a message over %d bytes" % self.door.frame_limit)
                return False
            if event.message_finished:
                text, self._parts, self._size = "".join(self._parts), [], 0
                self.door.heard(self, text)
        elif isinstance(event, Request):
            if len(self.door.conns) > self.door.most:
                self.door.counters["connection_refused"] += 1
                self._put(self.ws.send(RejectConnection(status_code=503)))
                return False
            self._put(self.ws.send(AcceptConnection()))
        elif isinstance(event, Ping):
            self._put(self.ws.send(event.response()))
        elif isinstance(event, BytesMessage):
            self.shut(NOT_TEXT, "messages are text")
            return False
        elif isinstance(event, CloseConnection):
            try:
                self._put(self.ws.send(event.response()))
            except ProtocolError:
                pass  # closed by both at once
            return False
        return True

    def shut(self, code, reason):
        """Says why, then closes once that is sent."""
        if self.open:
            try:
                self._put(self.ws.send(CloseConnection(code=code, reason=reason)))
            except ProtocolError:
                pass

    def flush(self, within):
        """Waits until what is queued is sent, at most `within` seconds."""
        if self._writer is not None:
            self._writer.join(within)

    def close(self):
        if self.open:
            self.open = False
            self._queue.clear()
            self.sock.close()
            self.door.left(self)


class Batch:
    """Answers to the calls of one array are sent as one array, once all are there."""

    def __init__(self, conn, waiting):
        self.conn, self.waiting, self.answers = conn, waiting, []

    def add(self, message):
        if message is not None:
            self.answers.append(message)
        self.waiting -= 1
        if not self.waiting and self.answers:
            self.conn.send(jsonrpc.array(self.answers), spare=True)


class Door:
    def __init__(self, listen, limits, front, counters, record, log):
        """`listen`: (host, port); `limits`: settings.front.Limits; `front` takes asked, cancelled, answered,
        client_left and status."""
        self.front, self.counters, self.record, self.log = front, counters, record, log
        self.frame_limit, self.unsent_limit = limits.frame_bytes, limits.unsent_bytes
        self.unread_within, self.most = int(limits.unread_within_ms * 1000), limits.connections
        self.conns, self._last = {}, 0
        self.server = StreamServer(listen, self._accepted, backlog=4096)

    def start(self):
        """Raises OSError when the address can't be had."""
        self.server.start()

    def sweep(self, now):
        """Closes connections whose client has taken nothing for too long."""
        for conn in [
            conn
            for conn in self.conns.values()
            if conn.writing_since is not None and now - conn.writing_since > self.unread_within
        ]:
            self.counters["connection_closed_unread"] += 1
            conn.close()

    def stop_accepting(self):
        self.server.close()

    def shut_all(self, within):
        """Tells every client that the front goes, sends what is queued, closes."""
        for conn in list(self.conns.values()):
            conn.shut(GOING_AWAY, "the front stops")
        with gevent.Timeout(within, False):
            for conn in list(self.conns.values()):
                conn.flush(within)
        for conn in list(self.conns.values()):
            conn.close()

    def _accepted(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # what the kernel holds for a client that doesn't read is unsent too; left alone it grows to megabytes
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, min(self.unsent_limit, 256 * 1024))
        self._last += 1
        conn = self.conns[self._last] = Conn(self._last, sock, self)
        try:
            conn.read()
            conn.flush(1)
        except Exception as why:  # a peer's bytes never end the process
            self.counters["connection_broken"] += 1
            self.log.error("connection_failed", conn=conn.id, error="%s: %s" % (type(why).__name__, why))
        finally:
            conn.close()

    def left(self, conn):
        self.conns.pop(conn.id, None)
        self.front.client_left(conn)

    # ---- messages ----

    def heard(self, conn, text):
        items, batched = jsonrpc.parse(text)
        self.record("client_in", conn=conn.id, bytes=len(text), calls=len(items))
        batch = Batch(conn, len(items)) if batched else None
        for item in items:
            answer = self._item(conn, item, batched)
            if batch:
                batch.add(answer)
            elif answer is not None:
                conn.send(answer, spare=True)

    def _item(self, conn, item, batched):
        """The message to answer at once, or None."""
        if isinstance(item, jsonrpc.Wrong):
            self.counters["client_message_wrong"] += 1
            return item.bytes
        if isinstance(item, jsonrpc.Answer):
            self.front.answered(conn, item)
            return None
        try:
            if item.method == "generate":
                return self._generate(conn, item, batched)
            if item.method == "$/cancel":
                self.front.cancelled(conn, jsonrpc.cancelled_id(item.params))
                return jsonrpc.result(item.id, {}) if item.told_id else None
            if item.method in ("ping", "status"):
                value = self.front.status() if item.method == "status" else {}
                return jsonrpc.result(item.id, value) if item.told_id else None
        except jsonrpc.BadParams as why:
            self.counters["client_message_wrong"] += 1
            return jsonrpc.error(item.id, jsonrpc.BAD_PARAMS, str(why)) if item.told_id else None
        self.counters["client_message_wrong"] += 1
        text = "no method %s; there are generate, $/cancel, ping, status" % item.method[:80]
        return jsonrpc.error(item.id, jsonrpc.NO_METHOD, text) if item.told_id else None

    def _generate(self, conn, item, batched):
        if not item.told_id or item.id is None:
            return jsonrpc.error(
                None, jsonrpc.INVALID, "generate needs an id: its answer is the final answer"
            )
        if batched:
            # an array is answered when its slowest call is: the others would pass their deadlines
            return jsonrpc.error(
                item.id, jsonrpc.INVALID, "generate is not taken in an array; send it by itself"
            )
        if item.id in conn.reqs:
            # answered without the id: a second response to it would be taken for the final answer
            self.counters["client_id_twice"] += 1
            return jsonrpc.error(None, jsonrpc.INVALID, "the id of an open call came again", {"id": item.id})
        return self.front.asked(conn, item.id, jsonrpc.generate(item.params))
