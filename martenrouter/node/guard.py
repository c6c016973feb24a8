"""The one guard of what a front node must never do, with a count of each time that something tried to.

The policy decides and this holds: a send, a repeat or a close that would break a rule of the platform does
not happen. Reasons that only say that events crossed (a client left, a drain came) are counted as such. A
reason among `VIOLATIONS` says that a decision was wrong: it is logged as an error and counted as
`violation_...`; tests and the fault soak demand that these counters stay at zero.
"""

import enum

from martenrouter.node.held_states import HELD_SLACK


class Reason(enum.StrEnum):
    """Why an attempt may not begin."""

    OVER = "request_over"
    DRAINING = "server_drains"
    LIST_UNCONFIRMED = "discovery_not_heard"
    LATE = "deadline_passed"
    CLIENT_LEFT = "client_left"
    CLIENT_UNSEEN = "client_may_have_left"
    WINDOW_OVER = "repeat_window_over"
    SECOND_COPY = "second_copy"
    EFFECT_REPEATED = "effect_repeated"
    OTHER_PLACE = "repeat_elsewhere"


VIOLATIONS = {Reason.SECOND_COPY, Reason.EFFECT_REPEATED, Reason.OTHER_PLACE}
CLOSED_UNANSWERED, STATE_HELD = "closed_unanswered", "state_held"  # the other violations


class Guard:
    """`phases`, `places` are kept by the node: server's id -> phase, and -> (zone, cell). `list_usable(now)`,
    also the node's, says whether the policy still acts on the list."""

    def __init__(self, settings, counters, log):
        get = settings.get
        self._groups = {group.get("name"): group for group in get("groups", ())}
        self._may_copy, self._round = get("may_copy", False), get("round", 0)
        self._held_limit = get("release_within", 1_000_000) + HELD_SLACK
        self._counters, self._log = counters, log
        self.phases, self.places = {}, {}
        self.list_usable = lambda now: True

    # ---- sending and repeating ----

    def refuses(self, attempt, now):
        """The Reason why this attempt may not begin now; None if it may."""
        why = self._why_not(attempt, now)
        if why is not None:
            self._counters["guard_" + why] += 1
            self._log.debug(
                "attempt_refused", req=attempt.req.id, n=attempt.n, engine=attempt.engine, why=why
            )
        if why in VIOLATIONS:
            self.violated(why, req=attempt.req.id, n=attempt.n, engine=attempt.engine)
        return why

    def _why_not(self, attempt, now):
        request = attempt.req
        if request.over is not None or attempt.ended:
            return Reason.OVER
        if self.phases.get(attempt.engine) != "up":
            return Reason.DRAINING
        if not self.list_usable(now):
            return Reason.LIST_UNCONFIRMED
        if now >= attempt.until:
            return Reason.LATE
        if request.conn.line.ended():
            return Reason.CLIENT_LEFT
        if not request.conn.sees_end():
            return Reason.CLIENT_UNSEEN
        return None if attempt.reads else self._why_no_repeat(attempt, now)

    def _why_no_repeat(self, attempt, now):
        """A read has no effect; of other attempts those count that may have run."""
        request = attempt.req
        group = self._groups.get(request.ask.group, {})
        if request.repeat_by is not None and now >= request.repeat_by:
            return Reason.WINDOW_OVER
        earlier = [other for other in request.may_have_run.values() if other is not attempt]
        if not earlier:
            return None
        if not self._may_copy and any(not other.ended for other in earlier):
            return Reason.SECOND_COPY
        effect = group.get("effect")
        if effect == "non-replayable":
            return Reason.EFFECT_REPEATED
        if effect == "keyed" and not self._same_place(group, earlier[0], attempt):
            return Reason.OTHER_PLACE
        return None

    def _same_place(self, group, first, attempt):
        zone, cell = self.places.get(attempt.engine, (None, None))
        return {"all": True, "zone": zone == first.place[0], "cell": cell == first.place[1]}.get(
            group.get("repeat_scope"), False
        )

    def begins(self, attempt):
        """Its first byte goes out now."""
        attempt.place = self.places.get(attempt.engine, (None, None))
        if not attempt.reads:
            attempt.req.may_have_run[attempt.n] = attempt

    def ended(self, attempt, never_ran):
        """It is over; `never_ran`: whether that is proven."""
        if never_ran:
            attempt.req.may_have_run.pop(attempt.n, None)

    # ---- closing ----

    def closes(self, connection):
        """The node is about to close a client's connection by itself."""
        request = connection.request
        if request is not None and request.over is None and not connection.line.ended():
            self.violated(CLOSED_UNANSWERED, req=request.id, state=connection.state.value)

    # ---- held states ----

    def look(self, requests, now):
        """Counts states that were held for too long, whatever is out for them and not answered."""
        for request in requests:
            if request.held_since is not None and now - request.held_since > self._held_limit:
                self.violated(
                    STATE_HELD, req=request.id, engine=request.reader, held=now - request.held_since
                )
                request.held_since = None  # once

    def violated(self, what, **told):
        """A rule would have been, or was, broken."""
        self._counters["violation_" + what] += 1
        self._log.error("violation", what=what, **told)
