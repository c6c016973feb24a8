"""Read states that are held for open requests, and the sends behind them: what no event tells.

All times are microseconds of the process's monotonic clock.
"""

HELD_SLACK = 300_000  # microseconds that a state may be held beyond the settings' limit, on sockets
ARRIVES_WITHIN = 40_000  # microseconds from the first byte of a send to the arrival of its last


class HeldStates:
    """Looks at sockets each time the node does, tells the policy, and logs what stands behind a state that is
    released."""

    def __init__(self, settings, counters, log):
        self._counters, self._log = counters, log
        self._left_limit = settings.get("release_within", 1_000_000) + HELD_SLACK

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
    def left(requests, now):
        """The same of states that attempts may have left, for which no call to release has been answered."""
        since = [request.left_since for request in requests if request.left_since is not None]
        return len(since), now - min(since) if since else 0

    def may_be_left(self, request, attempt, ending, now):
        """An attempt ended in a way that may leave a state at a prefill server."""
        if request.left_since is None:
            request.left_since = now
        self._log.info("state_may_be_left", req=request.id, n=attempt.n, engine=attempt.engine, ending=ending)

    def withheld(self, request, attempts):
        """A call to release is not made, as a read's state is wanted, or servers have these attempts."""
        self._counters["releases_withheld"] += 1
        self._log.info(
            "release_withheld",
            req=request.id,
            state_wanted=request.holds,
            attempts=[(attempt.n, attempt.engine) for attempt in attempts],
        )

    @staticmethod
    def answered(request, now):
        """A server answered an attempt, which lets the clock of what may have been left begin anew."""
        if request.left_since is not None:
            request.left_since = now

    @staticmethod
    def release_answered(request, asked_at):
        """A call to release the request's states, made at that time, was answered."""
        if request.left_since is not None and asked_at >= request.left_since:
            request.left_since = None

    def look_for_overdue(self, requests, now):
        """Names each request once whose state may have been left for longer than one may be held."""
        for request in requests:
            left_since = request.left_since
            if left_since is None or now - left_since <= self._left_limit:
                continue
            if request.holds or any(attempt.taken for attempt in request.forwards.values()):
                request.left_since = now  # the clock rests while a server has an attempt
                continue
            request.left_since = None
            self._counters["releases_overdue"] += 1
            self._log.warning(
                "release_overdue",
                req=request.id,
                left=now - left_since,
                attempts=[(attempt.n, attempt.engine) for attempt in request.forwards.values()],
            )

    @staticmethod
    def _waits_for_arrival(attempt, now):
        """Also one that is half written: its server has not got it, whatever has been sent by now."""
        if attempt.writing_since is None or attempt.began or attempt.reads or not attempt.req.reader:
            return False
        return attempt.arrived is not True and now - attempt.writing_since > ARRIVES_WITHIN

    def _look_at_arrival(self, attempt, desk):
        """Tells the policy whether a send behind a read state has arrived, each time that changes."""
        arrived = attempt.written is not None and not attempt.connection.unsent()
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
