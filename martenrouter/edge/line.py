"""A TCP connection as a greenlet uses it when it mostly waits: it waits first and reads then.

gevent's own socket tries to read before it waits; on a stream that sends a token each fiftieth of a second every first try
fails. Measured by bench/front.py: a tenth of a front's processor time at 130 reqs a second.
"""
import select
import socket

import gevent
from gevent import socket as gevent_socket

ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Line:
    given = None  # when it was last put aside for reuse, in microseconds; None for a new one

    def __init__(self, address, within, made=None):
        """Raises OSError when there is no connection within `within` seconds. `made`: a gevent socket that is connected
        already, such as an accepted one."""
        made = made or gevent_socket.create_connection(address, timeout=within)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = socket.socket(fileno=made.detach())
        self._sock.setblocking(False)
        self._hub = gevent.get_hub()
        self._came = self._hub.loop.io(self._sock.fileno(), 1)  # 1: readable, as in libev

    def recv(self, most):
        """Bytes, b"" at the end. Raises OSError."""
        while True:
            self._hub.wait(self._came)
            try:
                return self._sock.recv(most)
            except BlockingIOError:
                continue

    def sendall(self, data):
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._sock.send(rest):]
            except BlockingIOError:
                room = self._hub.loop.io(self._sock.fileno(), 2)
                try:
                    self._hub.wait(room)
                finally:
                    room.close()

    def send_now(self, data):
        """Sends what goes out without waiting; returns the rest. Raises OSError."""
        try:
            return data[self._sock.send(data):]
        except BlockingIOError:
            return data

    def shut(self, how):
        """Ends one direction or both (socket.SHUT_WR, SHUT_RDWR): who waits in recv sees the end."""
        try:
            self._sock.shutdown(how)
        except OSError:
            pass  # the peer was faster

    def quiet(self):
        """Whether an idle connection has neither been closed by its peer nor sent anything."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def ended(self):
        """Whether the peer closed or reset its side, though nobody has read as far."""
        try:
            if self._sock.recv(1, socket.MSG_PEEK) == b"":
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        # bytes wait to be read, and the end may stand behind them: the system knows of it
        look = select.poll()
        look.register(self._sock.fileno(), ENDS)
        return any(seen & ENDS for _, seen in look.poll(0))

    def unread(self):
        """Whether bytes have come that nobody has read: closing over them would reset the connection."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def close(self):
        self._came.stop()
        self._came.close()
        self._sock.close()
