"""A connection that is closed while something waits to send on it."""

import unittest

import gevent
from gevent import socket

from martenrouter.edge.line import Line


class ClosedLines(unittest.TestCase):
    def line(self):
        """A line whose peer reads nothing, and with no room left."""
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        line = Line(None, None, made=ours)
        while line.send_some(b"x" * 65536):
            pass
        return line

    # Found under picture (a): hundreds of clients left long answers at once, and libev ended the process: a
    # sender that was to be ended, but had not been woken yet, still watched a descriptor that was closed.
    def test_nothing_watches_a_descriptor_that_is_closed(self):
        line, loop = self.line(), gevent.get_hub().loop
        sender = gevent.spawn(line.wait_writable)
        gevent.sleep(0.01)
        watched = loop.activecnt
        line.close()
        self.assertEqual(loop.activecnt, watched - 1)
        sender.kill(timeout=1)
        self.assertTrue(sender.dead)
