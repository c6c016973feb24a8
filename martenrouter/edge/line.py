"""A TCP connection as a greenlet uses it when it mostly waits: it waits first and reads then.

gevent's own socket tries to read before it waits; on a stream that sends a token each fiftieth of a second
every first try fails. Measured by bench/front.py: a tenth of a front's processor time at 130 reqs a second.
"""

import array
import errno
import fcntl
import os
import select
import socket
import struct
import termios

import gevent
from gevent import socket as gevent_socket

from martenrouter.edge import clock
from martenrouter.edge.system_errors import is_local, is_transient

ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
DISCARD_UNSENT = struct.pack(
    "ii", 1, 0
)  # SO_LINGER on, for no time: a close drops what the system still holds
READABLE, WRITABLE = 1, 2  # as in libev
CONNECT_PAUSE = 0.01  # seconds before a connect that this machine failed is tried again
CALL_PAUSE = 0.002  # seconds before a call on an open connection that failed for a moment is made again


def _resolved(host, port):
    """(family, address); a numeric host needs no resolver. Raises OSError."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
            return family, (host, port)
        except OSError:
            continue
    family, _, _, _, address = gevent_socket.getaddrinfo(host, port, 0, socket.SOCK_STREAM)[0]
    return family, address


def _connect_once(family, address, within):
    """A plain socket that is connected and doesn't block. Raises OSError."""
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        number = sock.connect_ex(address)
        if number == errno.EINPROGRESS:
            with gevent.Timeout(max(within, 0), TimeoutError(errno.ETIMEDOUT, "no connection in time")):
                _wait_for(sock, WRITABLE)
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, os.strerror(number))
    except BaseException:
        sock.close()
        raise
    return sock


def _connected(address, within):
    """As `_connect_once`; trouble of this machine that passes within `within` seconds is waited out."""
    until = clock.now() / 1e6 + within
    family, address = _resolved(*address)
    while True:
        try:
            return _connect_once(family, address, until - clock.now() / 1e6)
        except OSError as why:
            if not is_local(why) or clock.now() / 1e6 + CONNECT_PAUSE >= until:
                raise
        gevent.sleep(CONNECT_PAUSE)


def limit_buffers(sock, receive, send):
    """Bounds what the system holds of a connection, in bytes; a system that can't keeps its own bounds."""
    for option, size in ((socket.SO_RCVBUF, receive), (socket.SO_SNDBUF, send)):
        try:
            sock.setsockopt(socket.SOL_SOCKET, option, size)
        except OSError:
            pass


def receive_buffer(sock):
    """Bytes that the system may hold of what comes, as it counts them; 0 where it does not say."""
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return 0


def _wait_for(sock, events):
    hub = gevent.get_hub()
    watcher = hub.loop.io(sock.fileno(), events)
    try:
        hub.wait(watcher)
    finally:
        watcher.close()


class Line:
    given = None  # when it was last put aside for reuse, in microseconds; None for a new one

    def __init__(self, address, within, made=None):
        """Raises OSError when there is no connection within `within` seconds. `made`: a gevent socket that is
        connected already, such as an accepted one."""
        self._sock = _connected(address, within) if made is None else socket.socket(fileno=made.detach())
        self._sock.setblocking(False)
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # it serves without, if a little later
        self._hub = gevent.get_hub()
        self._came = self._hub.loop.io(self._sock.fileno(), READABLE)
        self._has_room = None  # the watcher of the other direction, made when something first waits
        self._owed = 0  # bytes that were consumed and could not be read away yet
        self._pauses = False  # whether the last send failed for a moment
        self._unsure = False  # whether the last look did, so that it shows nothing

    # ---- reading ----

    def recv(self, most):
        """Bytes, b"" at the end. Raises OSError."""
        return self.recv_some(lambda: most)

    def recv_some(self, most):
        """As `recv`; `most()` is asked once there is something to read. Raises OSError."""
        while True:
            self.wait_readable()
            try:
                return self._sock.recv(most())
            except BlockingIOError:
                continue
            except OSError as why:
                if not is_transient(why):
                    raise
            gevent.sleep(CALL_PAUSE)

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
        nothing has come, or can't be had just now. Raises OSError."""
        self._unsure = False
        try:
            self._read_away()
            return self._sock.recv(most, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as why:
            if not is_transient(why):
                raise
            self._unsure = True
            return None

    def consume(self, count):
        """Reads `count` bytes that `peek` showed. Raises OSError."""
        self._owed += count
        try:
            self._read_away()
        except OSError as why:
            if not is_transient(why):
                raise  # else they are read away before anything else is

    def _read_away(self):
        while self._owed:
            data = self._sock.recv(self._owed)
            if not data:
                raise ConnectionResetError(errno.ECONNRESET, "what had come is gone")
            self._owed -= len(data)

    def _poll(self, events):
        """Which of `events`, or of ENDS, the system reports now."""
        look = select.poll()
        look.register(self._sock.fileno(), events)
        seen = look.poll(0)
        return seen[0][1] if seen else 0

    # ---- sending ----

    def sendall(self, data, check=None, check_within=None):
        """Sends all of `data`. `check()`, if given, is called right before each part that goes out, and
        `check_within` seconds after the last one where there is no room for so long; it may raise. Raises
        OSError."""
        rest = memoryview(data)
        while rest:
            if check is not None:
                check()
            sent = self.send_some(rest)
            rest = rest[sent:]
            if not sent:
                with gevent.Timeout(check_within, False):
                    self.wait_writable()

    def send_some(self, data):
        """How many bytes went out without waiting. Raises OSError."""
        self._pauses = False
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as why:
            if not is_transient(why):
                raise
            self._pauses = True
            return 0

    def wait_writable(self):
        """Until it is worth while to send again."""
        if self._pauses:
            gevent.sleep(CALL_PAUSE)
        if self._has_room is None:
            self._has_room = self._hub.loop.io(self._sock.fileno(), WRITABLE)
        self._hub.wait(self._has_room)

    def unread_bytes(self):
        """How many have come that nobody has read; 0 where the system can't say."""
        return self._queued(termios.FIONREAD)

    def unsent(self):
        """Bytes that were given to the system and that the peer's machine has not taken yet; 0 where the
        system can't say."""
        return self._queued(termios.TIOCOUTQ)

    def _queued(self, request):
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), request, count)
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
            return self.peek(1) is None and not (self._unsure and self._poll(select.POLLIN | ENDS))
        except OSError:
            return False

    def ended(self):
        """Whether the peer closed or reset its side, though nobody has read as far."""
        try:
            seen = self.peek(1)
        except OSError:
            return True
        if not seen and not self._unsure:
            return seen is not None
        # where bytes wait to be read, the end may stand behind them: the system knows of it
        return bool(self._poll(ENDS) & ENDS)

    def unread(self):
        """Whether bytes have come that nobody has read: closing over them would reset the connection."""
        try:
            return bool(self.peek(1))
        except OSError:
            return False

    def close(self):
        """What the system still holds goes out all the same. Who still waits is not woken."""
        for watcher in (self._came, self._has_room):
            # before the descriptor goes: libev ends the process over a closed one that it watches
            if watcher is not None:
                watcher.stop()
                watcher.close()
        self._sock.close()

    def abort(self):
        """Closes so that what the peer's machine has not taken yet never reaches it."""
        if self.unsent():
            try:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT)
            except OSError:
                pass  # the peer was faster
        self.close()
