"""Takes connections from the system's queue, and knows since when each can have waited there."""

import collections
import errno
import socket
import struct

from gevent.server import StreamServer

from martenrouter.edge.line import limit_buffers, receive_buffer

BACKLOG = 1024  # connections that may wait in the system's queue
AT_ONCE = (
    16  # connections taken before others get their turn: those over the bound hold descriptors until then
)
QUEUE_FIELDS = struct.Struct("@24xII")  # of tcp_info of a listening socket: how many wait, and how many may

# accept(2): errors of the connection that was to be taken, not of the listening socket: the next one is taken
CONNECTION_FAILED = {
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
}
# nothing to hold a connection with just now: those that wait are taken when there is
SHORT_OF_RESOURCES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
FAILED_AT_ONCE = 1024  # connections that fail in one turn, the length of the queue: others get theirs then


def queue_length(sock):
    """How many connections wait at the listening socket; the most that can where the system does not tell."""
    try:
        waiting, most = QUEUE_FIELDS.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUE_FIELDS.size)
        )
    except (OSError, struct.error):
        return BACKLOG + 1
    return waiting if waiting <= most > 0 else BACKLOG + 1


class AcceptQueue:
    """Since when a connection that is taken now can have waited: those that wait are taken in their order, so
    one that is taken after all that waited at some time has come since. Times are microseconds."""

    def __init__(self):
        self._taken = 0
        self._looks = collections.deque()  # (the first connection that had not come, when), oldest first
        self._since = None  # no connection that waits came earlier

    def looked_at(self, now, waiting):
        """So many wait at the most."""
        if self._since is None:
            self._since = now
        elif not self._looks or now > self._looks[-1][1]:
            self._looks.append((self._taken + waiting, now))

    def taken(self):
        """One is taken; returns since when it can have waited."""
        while self._looks and self._looks[0][0] <= self._taken:
            self._since = self._looks.popleft()[1]
        self._taken += 1
        return self._since

    def is_empty(self):
        self._looks.clear()
        self._since = None


class Listener(StreamServer):
    """Takes connections one after the other, and says of each since when it can have waited at the latest.

    `full()`: whether no more can be held; they wait in the system until `resume` is called. `turns`:
    arrivals.LoopTurns. `failed(OSError)` is told of each call that failed. `buffers`: bytes that the system
    may hold of what a connection receives, and sends.
    """

    def __init__(self, listen, accepted, full, turns, failed, buffers):
        super().__init__(listen, accepted, backlog=BACKLOG)
        self.max_accept, self._buffers = AT_ONCE, buffers
        self.full, self._turns, self._failed, self._queue = full, turns, failed, AcceptQueue()
        self.short = False  # whether some may wait that can't be taken just now

    def init_socket(self):
        super().init_socket()
        # before connections come: theirs are as the listening socket's
        limit_buffers(self.socket, *self._buffers)
        self.receive_buffer = receive_buffer(self.socket)

    def do_read(self):
        """(socket, since when it can have waited), None where none can be taken now. Raises OSError where the
        listening socket itself has failed."""
        self._someone_waits()
        self.short = False
        for _ in range(FAILED_AT_ONCE):
            try:
                taken = super().do_read()
            except OSError as why:
                self._failed(why)
                if why.errno in CONNECTION_FAILED:
                    continue
                if why.errno not in SHORT_OF_RESOURCES:
                    raise
                self.short = True
                self.stop_accepting()  # else the loop would come back at once; `resume` goes on
                return None
            if taken:
                return taken[0], self._queue.taken()
            self._queue.is_empty()
            return None
        return None

    def _do_read(self):
        """Called by the loop when some wait, also where none can be held just now."""
        self._someone_waits()
        super()._do_read()

    def _someone_waits(self):
        self._queue.looked_at(self._turns.earliest(), queue_length(self.socket))

    def do_close(self, sock, *_):
        sock.close()

    @property
    def is_held(self):
        """Whether some wait that can't be taken just now."""
        return self.started and self._watcher is None

    def resume(self):
        """Some were closed: takes connections again if it had stopped."""
        if self.is_held and not self.full():
            self.start_accepting()
