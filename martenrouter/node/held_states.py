"""Read states that are held for open requests, and the sends behind them: what no event tells.

All times are microseconds of the process's monotonic clock.
"""

ARRIVES_WITHIN = 40_000  # microseconds from the last byte's sending to its arrival; most need one round trip


class HeldStates:
    """Looks at sockets each time the node does, tells the policy, and logs what stands behind a state that is
    held to its limit."""

    def __init__(self, settings, counters, log):
        self._limit = settings.get("release_within", 1_000_000)
        self._counters, self._log = counters, log

    def look(self, requests, attempts, post, now):
        """`attempts`: those that are out; `post`: takes events for the policy."""
        for attempt in list(attempts):
            if self._waits_for_arrival(attempt, now):
                self._look_at_arrival(attempt, post)
        for request in requests:
            if request.held_since is not None and now - request.held_since > self._limit:
                self._log_unanswered(request, now)

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

    def _look_at_arrival(self, attempt, post):
        """Tells the policy whether a send behind a read state has arrived, each time that changes."""
        arrived = not attempt.connection.unsent()
        if arrived is attempt.arrived:
            return
        request = attempt.req
        self._counters["sends_not_arrived"] += not arrived
        self._log.debug("send_arrival", req=request.id, n=attempt.n, engine=attempt.engine, arrived=arrived)
        if attempt.arrived is False or not arrived:
            post("arrival", request.id, attempt.n, arrived)
        attempt.arrived = arrived

    def _log_unanswered(self, request, now):
        """One line for each send that is out, written and not answered when its state's limit has passed."""
        for attempt in request.forwards.values():
            if attempt.written is None or attempt.reads or attempt.unanswered_logged:
                continue
            attempt.unanswered_logged = True
            self._counters["sends_unanswered"] += 1
            self._log.info(
                "send_unanswered",
                req=request.id,
                n=attempt.n,
                engine=attempt.engine,
                reader=request.reader,
                held=now - request.held_since,
                written_ago=now - attempt.written,
                arrived=attempt.arrived,
                new_connection=attempt.idled is None,
            )
