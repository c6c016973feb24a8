"""Whether the process of a server has taken an attempt: its machine may have all bytes of one that no process
ever takes, and only an answer of the process tells them apart.

A call to release a request that was served does nothing, and every server answers it at once. One that is
made after the attempt was written, and answered, shows that the server runs. As it goes over another
connection, it shows nothing of an attempt over one that is silent: a call has to have been answered over the
attempt's own connection, too, right before the attempt was written (`Forward.connection_answered`).
"""

import gevent
from gevent.lock import BoundedSemaphore

from martenrouter.edge import clock

PROBE_WAITS = 0.1  # seconds for an answer
FOUND_OUT_WITHIN = 0.2  # seconds, where probes wait for each other
PROBED_AGAIN_AFTER = 200_000  # microseconds from a probe that was not answered


class TakenAttempts:
    """`most`: probes that may be out at once, as each holds a descriptor; `ask(id, server, within)` makes one
    call to release and tells whether it was answered within so many seconds. `served`: id of a request that
    was served, None where there was none yet; kept by the node."""

    def __init__(self, most, ask, counters):
        self._ask, self._counters = ask, counters
        self._probes = BoundedSemaphore(most)
        self.served = None

    def known(self, attempt):
        """True, False, or None where nobody knows yet; what is not known to be taken is probed meanwhile."""
        if attempt.taken or attempt.written is None or not attempt.connection_answered:
            return bool(attempt.taken)
        due = attempt.probed_at is None or clock.now() - attempt.probed_at > PROBED_AGAIN_AFTER
        if attempt.probe is None and due:
            attempt.probe = gevent.spawn(self._probe, attempt)
        return attempt.taken

    def find_out(self, attempt):
        """Whether it is known to be taken once the first probe is over."""
        known = self.known(attempt)
        if known is None and attempt.probe is not None:
            attempt.probe.join(timeout=FOUND_OUT_WITHIN)
        return bool(attempt.taken)

    def _probe(self, attempt):
        try:
            with self._probes:
                attempt.probed_at = clock.now()
                answered = self.served is not None and self._ask(self.served, attempt.engine, PROBE_WAITS)
                self._counters["probes_answered" if answered else "probes_unanswered"] += 1
                attempt.taken = answered
        finally:
            attempt.probe = None
