"""Sends that a server's machine has in part: what is behind them is neither held nor answered late."""

import socket
import time
import unittest

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

from tests.sockets.node_rig import BODY, SETTINGS, Engine, Rig

HELD_WITHIN = 0.6  # seconds: 0.3 by the settings and 0.3 that sockets have more
ANSWER_SLACK = 0.05  # seconds after a request's time, for sockets
ETHERNET_SEGMENT, SMALL_BUFFER = 1460, 4096  # bytes; loopback's own figures hold a whole body
LARGE_BODY = BODY.replace(b"hello", b"x" * 240_000)
EFFECTS = {
    "free": {"effect": "free"},
    "guarded": {"effect": "guarded", "group": "all", "window-us": 5_000_000},
    "single_shot": {"effect": "single_shot"},
}


class SlowReader(Engine):
    """A server that reads `rate` bytes in a second while it is slow, none where that is 0."""

    def __init__(self, id, kind, rate=0):
        super().__init__(id, kind)
        self.server.stop()
        self._rate = rate
        listener = gevent_socket.socket()
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self.server = StreamServer(listener, self._accepted_slowly)
        self.server.start()

    def _accepted_slowly(self, sock, address):
        self._accepted(_SlowSocket(sock, self._rate), address)


class _SlowSocket:
    def __init__(self, sock, rate):
        self._sock, self._rate = sock, rate

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def __hash__(self):
        return hash(self._sock)

    def recv(self, _):
        """Raises OSError where nothing is ever read."""
        if not self._rate:
            gevent.sleep(10)
            raise ConnectionResetError("nothing is read")
        gevent.sleep(0.01)
        return self._sock.recv(max(self._rate // 100, 1))


class HalfWritten(unittest.TestCase):
    def rig(self, *servers, **settings):
        rig = Rig(*servers, **settings)
        self.addCleanup(rig.close)
        return rig

    # Review 3: a send half written to a decode server that is cut off held its read state for seconds.
    def test_a_state_is_not_held_for_a_send_that_is_half_written(self):
        for effect in EFFECTS.values():
            for cancelling in (True, False):
                with self.subTest(effect=effect["effect"], cancelling=cancelling):
                    rig = self.rig(
                        Engine("r", "prefill"),
                        *(SlowReader("w%d" % n, "decode") for n in range(3)),
                        grades=[{"name": "chat", "goal-time-us": 4_000_000, **effect}],
                        **{"policy-limits": {**SETTINGS["policy-limits"], "cancelling": cancelling}},
                    )
                    client = rig.client().ask(x_timeout_ms="4000", body=LARGE_BODY)
                    rig.until(lambda: rig.engines["r"].calls)
                    read = time.monotonic()
                    rig.until(lambda: rig.engines["r"].released)
                    self.assertLess(time.monotonic() - read, HELD_WITHIN)
                    client.close()
                    rig.close()

    # Review 3, related: the same send to a prefill server waited for the whole of its client's time.
    def test_a_read_that_is_half_written_goes_to_another_server_in_time(self):
        rig = self.rig(SlowReader("r0", "prefill"), Engine("r1", "prefill"), Engine("w", "decode"))
        for n in range(6):
            begun = time.monotonic()
            status = rig.ask("%016x" % n, x_route_key="k%d" % n, x_timeout_ms="4000", body=LARGE_BODY)[0]
            self.assertEqual(status, 200)
            self.assertLess(time.monotonic() - begun, HELD_WITHIN)

    # Picture (d): where a server read a large request slowly, the final answer came seconds after its time.
    def test_the_final_answer_is_in_time_where_servers_read_slowly(self):
        for effect in EFFECTS.values():
            for cancelling in (True, False):
                with self.subTest(effect=effect["effect"], cancelling=cancelling):
                    rig = self.rig(
                        SlowReader("r", "prefill", rate=100_000),
                        SlowReader("w", "decode", rate=100_000),
                        grades=[{"name": "chat", "goal-time-us": 1_000_000, **effect}],
                        **{"policy-limits": {**SETTINGS["policy-limits"], "cancelling": cancelling}},
                    )
                    begun = time.monotonic()
                    status, _, _ = rig.ask(x_timeout_ms="1200", body=LARGE_BODY)
                    self.assertIsNotNone(status)
                    self.assertLess(time.monotonic() - begun, 1.2 + ANSWER_SLACK)
                    rig.close()
