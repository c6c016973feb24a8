"""A client that closes with much still unread: its end stands behind bytes that have no room here."""

import time
import unittest

import gevent

from tests.sockets.node_rig import BODY, Engine, Rig, request

BEGINS_WITHIN = 0.1  # seconds after a close in which an attempt may still begin
READ_TAKES = 0.3  # seconds
BODIES = {"small": (b"", 4_000), "usual": (b"x" * 4_000, 400), "large": (b"x" * 100_000, 40)}


class Unseen(unittest.TestCase):
    def setUp(self):
        self.begun = []

        def note(server, sock, call, nth):
            self.begun.append(time.monotonic())
            gevent.sleep(READ_TAKES)
            server.answer(sock, call)

        self.rig = Rig(Engine("r", "prefill", script=note), Engine("w", "decode", script=note))
        self.addCleanup(self.rig.close)

    def send(self, more, count):
        body = BODY.replace(b"hello", b"hello" + more)
        whole = b"".join(request("%016x" % n, body, x_timeout_ms="9000") for n in range(count))
        client = self.rig.client()
        client.sock.settimeout(0.3)
        try:
            client.send(whole)
        except OSError:
            pass  # no room: the rest stays with the client
        return client

    # Picture (c): a client closed with much unread, and its requests were sent on afterwards.
    def test_no_attempt_begins_after_its_client_closed(self):
        for name, (more, count) in BODIES.items():
            with self.subTest(name):
                self.begun.clear()
                client = self.send(more, count)
                closed = time.monotonic()
                client.close()
                gevent.sleep(3 * READ_TAKES)
                late = [round(at - closed, 2) for at in self.begun if at - closed > BEGINS_WITHIN]
                self.assertEqual(late, [])

    def test_a_client_that_stays_gets_an_answer_to_what_was_read(self):
        client = self.send(*BODIES["usual"])
        client.sock.settimeout(5)
        self.assertEqual(client.answer()[0], 503)
        self.assertTrue(client.last)

    def test_a_few_requests_sent_at_once_are_served_in_their_order(self):
        client = self.send(b"x" * 4_000, 5)
        client.sock.settimeout(5)
        self.assertEqual([client.answer()[0] for _ in range(5)], [200] * 5)

    # Picture (c), related: bytes that come while a request is served hide its client's end as well.
    def test_a_request_behind_which_much_comes_is_given_up_at_once(self):
        client = self.rig.client().ask("a" * 16, x_timeout_ms="9000")
        self.rig.until(lambda: self.begun)
        client.sock.settimeout(0.1)
        try:
            while True:
                client.send(request("b" * 16))
        except OSError:
            pass  # no room
        client.sock.settimeout(5)
        self.assertEqual(client.answer()[0], 503)
        self.assertLess(time.monotonic() - self.begun[0], 2 * READ_TAKES)
        self.assertEqual((len(self.begun), self.rig.node.desk.faults), (1, 0))
