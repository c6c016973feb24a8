"""Since when connections can have waited to be accepted."""

import unittest

from gevent import socket

from martenrouter.node.listener import BACKLOG, AcceptQueue, queue_length


class Queue(unittest.TestCase):
    # Found under picture (b): while clients came again and again, each was held to have waited since the
    # queue had last been empty, seconds ago, and usual requests were refused as if their time was over.
    def test_one_that_is_taken_behind_all_that_waited_has_come_since(self):
        queue = AcceptQueue()
        queue.looked_at(1_000, 3)
        self.assertEqual([queue.taken() for _ in range(2)], [1_000, 1_000])
        queue.looked_at(2_000, 3)  # one that waited at first, and two more
        self.assertEqual([queue.taken() for _ in range(3)], [1_000] * 3)
        queue.looked_at(3_000, 5)
        self.assertEqual([queue.taken() for _ in range(5)], [2_000] * 5)
        self.assertEqual(queue.taken(), 3_000)

    def test_an_empty_queue_begins_anew(self):
        queue = AcceptQueue()
        queue.looked_at(1_000, BACKLOG + 1)
        queue.taken()
        queue.is_empty()
        queue.looked_at(9_000, BACKLOG + 1)
        self.assertEqual(queue.taken(), 9_000)

    def test_the_system_tells_how_many_wait(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
            self.assertEqual(queue_length(listener), 3)
            for client in clients:
                client.close()
        self.assertEqual(queue_length(listener), BACKLOG + 1)
