"""What is held for requests that are on their way, and for answers that wait, is bounded together; over the
bound those go first that hold most for longest."""

import socket
import unittest

import gevent

from martenrouter.node.door import NEWCOMERS
from martenrouter.node.listener import AT_ONCE
from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD, Client, Engine, Rig, request

LIMIT = 1_000_000  # bytes
HALF = b"x" * 200_000
SMALL_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (b"x" * 150)
LONG_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (b"x" * 200_000)


def answer_long(server, sock, call, nth):
    if b"many" in call["body"]:
        sock.sendall(HEAD + b"".join(map(http.chunk, [SMALL_EVENT] * 1000 + EVENTS)) + http.chunk(b""))
    elif b"long" in call["body"]:
        sock.sendall(HEAD + b"".join(map(http.chunk, [LONG_EVENT, *EVENTS])) + http.chunk(b""))
    else:
        server.answer(sock, call)


class HeldBytes(unittest.TestCase):
    def rig(self):
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode", script=answer_long), sockets=512)
        self.addCleanup(rig.close)
        rig.node.door.memory.limit = LIMIT
        return rig

    # Picture (a): half a body that was left lying had room, and a whole request that came later had none.
    def test_half_bodies_are_refused_before_whole_requests(self):
        rig = self.rig()
        halves = [rig.client() for _ in range(8)]
        for n, client in enumerate(halves):
            whole = request("%016x" % (n + 1), b"x" * 250_000)
            client.send(whole[: -len(HALF) // 4])
        gevent.sleep(0.2)
        self.assertLessEqual(rig.node.door.memory.requests, LIMIT)
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
        self.assertEqual(rig.node.door.memory.requests, 0)

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
        self.assertLessEqual(rig.node.door.memory.held, LIMIT)
        self.assertGreater(rig.node.counters["connection_closed_for_memory"], 0)
        self.assertEqual([rig.ask("%016x" % (100 + n))[0] for n in range(10)], [200] * 10)

    # Report 82eceb: answers were read as fast as they came, and their clients cut when that was too much.
    def test_answers_that_are_read_slowly_wait_at_their_servers_and_come_whole(self):
        rig = self.rig()
        rig.node.door.memory.limit = 300_000
        slow = [Client(rig.address) for _ in range(8)]
        for n, client in enumerate(slow):
            self.addCleanup(client.close)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.ask("%016x" % n, body=b'{"messages":[{"content":"many"}]}')
        rig.until(lambda: len(rig.engines["w"].calls) == len(slow))
        most = 0
        for _ in range(20):
            gevent.sleep(0.05)
            most = max(most, rig.node.door.memory.held)
        self.assertLessEqual(most, 300_000)
        jobs = [gevent.spawn(client.answer) for client in slow]
        gevent.joinall(jobs, timeout=20)
        whole = len(SMALL_EVENT) * 1000 + len(b"".join(EVENTS))
        self.assertEqual([(job.value[0], len(job.value[2]) >= whole) for job in jobs], [(200, True)] * 8)
        self.assertEqual(rig.node.counters["connection_closed_for_memory"], 0)

    # Report 82eceb, related: what servers had sent of events that were not whole was in no sum.
    def test_half_heard_answers_are_bounded_together(self):
        def half_an_event(server, sock, call, nth):
            sock.sendall(HEAD + b"%x\r\n" % len(LONG_EVENT) + LONG_EVENT[:-10])
            gevent.sleep(3)

        rig = Rig(Engine("r", "prefill"), Engine("w", "decode", script=half_an_event), sockets=512)
        self.addCleanup(rig.close)
        rig.node.door.memory.limit = LIMIT
        clients = [rig.client().ask("%016x" % n) for n in range(12)]
        rig.until(lambda: rig.node.counters["answer_ended_for_memory"] >= 5)
        gevent.sleep(0.2)
        self.assertGreater(rig.node.door.memory.half_heard, LIMIT - 250_000, "more were ended than had to be")
        self.assertLessEqual(rig.node.door.memory.held, LIMIT)
        ended = rig.node.counters["answer_ended_for_memory"]
        statuses = [client.answer()[0] for client in clients]
        self.assertGreaterEqual(statuses.count(502), ended)
        self.assertTrue(set(statuses) <= {502, 503}, statuses)
        rig.until(lambda: not rig.node.engines.out)
        self.assertEqual(rig.node.door.memory.half_heard, 0)

    # Report 82eceb, related: whole requests were bounded by nothing but their number.
    def test_large_whole_requests_leave_room_for_small_ones(self):
        def hangs_on_large(server, sock, call, nth):
            if len(call["body"]) > 10_000:
                gevent.sleep(3)
            server.answer(sock, call)

        rig = Rig(Engine("r", "prefill", script=hangs_on_large), Engine("w", "decode"), sockets=512)
        self.addCleanup(rig.close)
        rig.node.door.memory.limit = LIMIT
        body = b'{"messages":[{"content":"%s"}]}' % (b"x" * 200_000)
        large = [rig.client().ask("%016x" % n, body) for n in range(8)]
        rig.until(lambda: rig.node.counters["refused_for_memory"] >= 5)
        self.assertEqual(rig.node.door.memory.whole_requests // 200_000, 3)
        self.assertEqual([rig.ask("%016x" % (100 + n))[0] for n in range(10)], [200] * 10)
        self.assertEqual(sorted(client.answer()[0] for client in large[3:]), [503] * 5)

    # Report 82eceb, related: a half request that was refused for a newcomer held its place until its client
    # had read why, and was counted as gone: 421 connections were open where 146 may be.
    def test_refused_half_requests_count_until_they_are_closed(self):
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode"), sockets=64)
        self.addCleanup(rig.close)
        door, most = rig.node.door, 0

        def come_again_and_again():
            while True:
                client = Client(rig.address)
                client.send(request()[:-5]).answer()
                client.close()

        crowd = [gevent.spawn(come_again_and_again) for _ in range(200)]
        for _ in range(150):
            gevent.sleep(0.02)
            most = max(most, len(door.conns))
        gevent.killall(crowd)
        self.assertLessEqual(most, door.most + NEWCOMERS + AT_ONCE)
