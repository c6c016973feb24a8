"""Requests that are written slowly into a planned stop."""

import time
import unittest

import gevent

from martenrouter.node.leaving import STILL_COMING
from tests.sockets.node_rig import SETTINGS, Engine, Rig, request

PIECES = 8
TAKEN_LATE = 0.7  # seconds after SIGTERM from which what the kill cuts is lost, by the page


class LateRequests(unittest.TestCase):
    def rig(self, resume):
        family = {**SETTINGS["family-info"], "resume": resume}
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode"), **{"family-info": family})
        self.addCleanup(rig.close)
        return rig

    def write(self, rig, begun, first, last, n):
        """(status, seconds after the stop's begin of the last byte that could be written)."""
        data, client = request("%016x" % n), rig.client()
        size = len(data) // PIECES + 1
        for k in range(PIECES):
            due = begun + first + (last - first) * k / (PIECES - 1)
            gevent.sleep(max(due - time.monotonic(), 0))
            try:
                client.send(data[k * size : (k + 1) * size])
            except OSError:
                break  # it was closed after its answer
        return client.answer()[0], time.monotonic() - begun

    # Review 2: a request of which a part had come was taken whenever its last byte did, and cut by the kill.
    def test_a_request_that_is_not_whole_in_time_is_refused(self):
        rig = self.rig(resume=False)
        gevent.spawn(rig.node.stop)
        begun = time.monotonic()
        writes = [(0.05, 0.4), (0.2, 0.9), (0.3, 1.0), (0.3, 1.2), (0.4, 2.0)]
        jobs = [gevent.spawn(self.write, rig, begun, *write, n) for n, write in enumerate(writes)]
        gevent.joinall(jobs, raise_error=True)
        self.assertEqual([job.value[0] for job in jobs], [200, 503, 503, 503, 503])
        self.assertEqual(len(rig.engines["r"].calls), 1)
        self.assertLess(STILL_COMING / 1e6, TAKEN_LATE)

    def test_it_is_served_for_as_long_as_connections_are_kept(self):
        rig = self.rig(resume=True)  # one other front at the most: connections are kept for longer
        gevent.spawn(rig.node.stop)
        begun = time.monotonic()
        self.assertEqual(self.write(rig, begun, 0.3, 1.2, 1)[0], 200)
