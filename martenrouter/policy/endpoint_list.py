"""Whether the list of servers may be acted on.

A process begins with the list of its configuration, which may be old: what its agent has been told since
counts as told to the process from its first moment. So that list is acted on only once the agent has been
heard; where it stays silent for long, an old list is better than none.
"""

READY_WITHIN = (
    8_000_000  # microseconds after which a process says that it is ready though its agent is silent
)
TRUSTED_AFTER = 30_000_000  # microseconds after which the configuration's list is acted on all the same


class EndpointList:
    """All times are microseconds."""

    def __init__(self):
        self._known_since = None  # when the configuration's list was taken; None where it has been confirmed

    @property
    def confirmed(self):
        """Whether what is held came from discovery, or was confirmed by it."""
        return self._known_since is None

    def taken_from_configuration(self, now):
        self._known_since = now

    def confirm(self):
        self._known_since = None

    def may_be_used(self, now):
        """Whether requests may be sent by it."""
        return self.confirmed or now >= self._known_since + TRUSTED_AFTER

    def is_ready(self, now):
        """Whether the process may be given requests."""
        return self.confirmed or now >= self._known_since + READY_WITHIN
