"""Read states that are held for open requests, and the sends behind them: what no event tells.

All times are microseconds of the process's monotonic clock.
"""

ARRIVES_WITHIN = 40_000  # microseconds from the last byte's sending to its arrival; most need one round trip


class HeldStates:
    """Looks at sockets each time the node does, tells the policy, and logs what stands behind a state that is
    released."""

    def __init__(self, counters, log):
        self._counters, self._log = counters, log

    def look(self, attempts, desk, now):
        """`attempts`: those that are out; `desk`: takes events for the policy."""
        for attempt in list(attempts):
            if self._waits_for_arrival(attempt, now):
                self._look_at_arrival(attempt, desk)

    @staticmethod
    def held(requests, now):
        """(how many states are held, for how long the oldest has been)."""
        since = [request.held_since for request in requests if request.held_since is not None]
        return len(since), now - min(since) if since else 0

    @staticmethod
    def _waits_for_arrival(attempt, now):
        if attempt.written is None or attempt.began or attempt.reads or not attempt.req.reader:
            return False
        return attempt.arrived is not True and now - attempt.written > ARRIVES_WITHIN

    def _look_at_arrival(self, attempt, desk):
        """Tells the policy whether a send behind a read state has arrived, each time that changes."""
        arrived = not attempt.connection.unsent()
        if arrived is attempt.arrived:
            return
        request = attempt.req
        self._counters["sends_not_arrived"] += not arrived
        self._log.debug("send_arrival", req=request.id, n=attempt.n, engine=attempt.engine, arrived=arrived)
        # the usual news, that it has arrived, is needed only near the state's limit: no round for it alone
        post = desk.post_quietly if arrived and attempt.arrived is None else desk.post
        post("arrival", request.id, attempt.n, arrived)
        attempt.arrived = arrived

    def released(self, request, now):
        """Its state is released; logs each send that is out for it, written and not answered."""
        for attempt in request.forwards.values():
            if attempt.written is None or attempt.reads or attempt.began or attempt.unanswered_logged:
                continue
            attempt.unanswered_logged = True
            self._counters["sends_unanswered"] += 1
            self._log.info(
                "send_unanswered",
                req=request.id,
                n=attempt.n,
                engine=attempt.engine,
                reader=request.reader,
                written_ago=now - attempt.written,
                arrived=attempt.arrived,
                new_connection=attempt.idled is None,
            )
