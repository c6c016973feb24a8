"""What is held for requests that are on their way, and for answers that wait, is bounded together; over the
bound those go first that hold most for longest."""

import socket
import unittest

import gevent

from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD, Client, Engine, Rig, request

LIMIT = 1_000_000  # bytes
HALF = b"x" * 200_000
LONG_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (b"x" * 200_000)


def answer_long(server, sock, call, nth):
    if b"long" in call["body"]:
        sock.sendall(HEAD + b"".join(map(http.chunk, [LONG_EVENT, *EVENTS])) + http.chunk(b""))
    else:
        server.answer(sock, call)


class HeldBytes(unittest.TestCase):
    def rig(self):
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode", script=answer_long), sockets=512)
        self.addCleanup(rig.close)
        rig.node.door.bytes_limit = LIMIT
        return rig

    # Picture (a): half a body that was left lying had room, and a whole request that came later had none.
    def test_half_bodies_are_refused_before_whole_requests(self):
        rig = self.rig()
        halves = [rig.client() for _ in range(8)]
        for n, client in enumerate(halves):
            whole = request("%016x" % (n + 1), b"x" * 250_000)
            client.send(whole[: -len(HALF) // 4])
        gevent.sleep(0.2)
        self.assertLessEqual(rig.node.door.bytes_held, LIMIT)
        self.assertEqual([rig.ask("%016x" % (100 + n))[0] for n in range(10)], [200] * 10)
        refused = rig.node.counters["refused_for_memory"]
        self.assertGreater(refused, 0)
        statuses = [client.answer()[0] for client in halves]
        self.assertEqual((statuses.count(503), statuses.count(408)), (refused, len(halves) - refused))

    # Picture (a), related: what is held is given back however a request ends.
    def test_nothing_is_held_when_all_is_over(self):
        rig = self.rig()
        for n in range(4):
            self.assertEqual(rig.ask("%016x" % n)[0], 200)
            rig.client().send(request("%016x" % (50 + n), b"x" * 9000)[:-100]).close()
            self.assertEqual(rig.ask("%016x" % (60 + n), x_priority_class="none")[0], 400)
        rig.until(lambda: not rig.node.door.conns)
        self.assertEqual(rig.node.door.bytes_held, 0)

    # Picture (a): answers that their clients read slowly were bounded each, not together.
    def test_clients_that_leave_long_answers_are_closed_before_memory_is_short(self):
        rig = self.rig()
        slow = []
        for n in range(12):
            client = Client(rig.address)
            self.addCleanup(client.close)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.append(client.ask("%016x" % n, body=b'{"messages":[{"content":"long"}]}'))
        rig.until(lambda: len(rig.engines["w"].calls) == len(slow))
        gevent.sleep(0.3)
        self.assertLessEqual(rig.node.door.bytes_unsent + rig.node.door.bytes_held, LIMIT)
        self.assertGreater(rig.node.counters["connection_closed_for_memory"], 0)
        self.assertEqual([rig.ask("%016x" % (100 + n))[0] for n in range(10)], [200] * 10)
