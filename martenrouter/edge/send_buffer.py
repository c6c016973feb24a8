"""Bytes on their way to a peer that may read slowly, in the order in which they were put."""

import gevent

from martenrouter.edge import clock

PART = 64 * 1024  # bytes handed to the system at a time: more are not copied for it to take a few


def _ignore(*_):
    """Takes the place of callbacks to a connection that is over."""


class SendBuffer:
    """Sends at once what the system takes; the rest is sent by a greenlet that exists only while there is
    some.

    What is being sent stays in the buffer until the system has taken it: so nothing put later can pass it,
    and `empty` is true only when all has gone out.
    """

    def __init__(self, line, limit, failed, drained):
        """`limit`: bytes that may wait; `failed(why)` is called when the connection breaks or more than that
        waits,
        `drained()` when a buffer that held something is empty."""
        self._line, self._limit, self._failed, self._drained = line, limit, failed, drained
        self._rest, self._sender = bytearray(), None
        self.waits_since = (
            None  # when the peer last took something, or the buffer began to fill; None while it is empty
        )

    def __len__(self):
        return len(self._rest)

    @property
    def empty(self):
        return not self._rest

    def put(self, data):
        if self.empty:
            try:
                data = data[self._line.send_some(data) :]
            except OSError as why:
                return self._failed(str(why))
            if not data:
                return
            self.waits_since = clock.now()
        self._rest += data
        if len(self._rest) > self._limit:
            return self._failed("its peer has left %d bytes unread" % len(self._rest))
        if self._sender is None:
            self._sender = gevent.spawn(self._send)

    def _send(self):
        try:
            while self._rest:
                self._line.wait_writable()
                sent = self._send_part()
                if sent:
                    del self._rest[:sent]
                    self.waits_since = clock.now()
        except OSError as why:
            self._failed(str(why))
        else:
            self.waits_since = None
            self._sender = None
            self._drained()

    def _send_part(self):
        """How many bytes went out without waiting. Raises OSError."""
        with memoryview(self._rest) as rest, rest[:PART] as part:
            return self._line.send_some(part)

    def stop(self):
        """Nothing more is sent, and nobody is told any more."""
        self._rest.clear()
        self._failed = self._drained = _ignore
        if self._sender is not None:
            self._sender.kill(block=False)
