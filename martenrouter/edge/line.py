"""A TCP connection as a greenlet uses it when it mostly waits: it waits first and reads then.

gevent's own socket tries to read before it waits; on a stream that sends a token each fiftieth of a second
every first try fails. Measured by bench/front.py: a tenth of a front's processor time at 130 reqs a second.
"""

import array
import fcntl
import select
import socket
import struct
import termios

import gevent
from gevent import socket as gevent_socket

ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
DISCARD_UNSENT = struct.pack(
    "ii", 1, 0
)  # SO_LINGER on, for no time: a close drops what the system still holds
READABLE, WRITABLE = 1, 2  # as in libev


class Line:
    given = None  # when it was last put aside for reuse, in microseconds; None for a new one

    def __init__(self, address, within, made=None):
        """Raises OSError when there is no connection within `within` seconds. `made`: a gevent socket that is
        connected already, such as an accepted one."""
        made = made or gevent_socket.create_connection(address, timeout=within)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = socket.socket(fileno=made.detach())
        self._sock.setblocking(False)
        self._hub = gevent.get_hub()
        self._came = self._hub.loop.io(self._sock.fileno(), READABLE)

    # ---- reading ----

    def recv(self, most):
        """Bytes, b"" at the end. Raises OSError."""
        while True:
            self.wait_readable()
            try:
                return self._sock.recv(most)
            except BlockingIOError:
                continue

    def wait_readable(self):
        """Waits until there are bytes, the peer's end, or an error to be had."""
        self._hub.wait(self._came)

    def when_readable(self, callback):
        """Calls `callback()` from the event loop, once for each turn in which there is something to read,
        until `stop_watching`."""
        self._came.start(callback)

    def stop_watching(self):
        self._came.stop()

    def peek(self, most):
        """What has come and nobody has read, up to `most` bytes, left where it is; b"" at the end, None where
        nothing has come. Raises OSError."""
        try:
            return self._sock.recv(most, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def consume(self, count):
        """Reads `count` bytes that `peek` showed. Raises OSError."""
        while count:
            count -= len(self._sock.recv(count))

    # ---- sending ----

    def sendall(self, data, check=None):
        """Sends all of `data`. `check()`, if given, is called right before each part that goes out and may
        raise. Raises OSError."""
        rest = memoryview(data)
        while rest:
            if check is not None:
                check()
            sent = self.send_some(rest)
            rest = rest[sent:]
            if not sent:
                self.wait_writable()

    def send_some(self, data):
        """How many bytes went out without waiting. Raises OSError."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def wait_writable(self):
        room = self._hub.loop.io(self._sock.fileno(), WRITABLE)
        try:
            self._hub.wait(room)
        finally:
            room.close()

    def unsent(self):
        """Bytes that were given to the system and that the peer's machine has not taken yet; 0 where the
        system can't say."""
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            return 0
        return count[0]

    # ---- the peer's end ----

    def shut(self, how):
        """Ends one direction or both (socket.SHUT_WR, SHUT_RDWR): who waits in recv sees the end."""
        try:
            self._sock.shutdown(how)
        except OSError:
            pass  # the peer was faster

    def quiet(self):
        """Whether an idle connection has neither been closed by its peer nor sent anything."""
        try:
            return self.peek(1) is None
        except OSError:
            return False

    def ended(self):
        """Whether the peer closed or reset its side, though nobody has read as far."""
        try:
            seen = self.peek(1)
        except OSError:
            return True
        if not seen:
            return seen is not None
        # bytes wait to be read, and the end may stand behind them: the system knows of it
        look = select.poll()
        look.register(self._sock.fileno(), ENDS)
        return any(seen & ENDS for _, seen in look.poll(0))

    def unread(self):
        """Whether bytes have come that nobody has read: closing over them would reset the connection."""
        try:
            return bool(self.peek(1))
        except OSError:
            return False

    def close(self):
        """What the system still holds goes out all the same."""
        self._came.stop()
        self._came.close()
        self._sock.close()

    def abort(self):
        """Closes so that what the peer's machine has not taken yet never reaches it."""
        if self.unsent():
            try:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT)
            except OSError:
                pass  # the peer was faster
        self.close()
