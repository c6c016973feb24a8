"""Whether the list of servers may be acted on.

What discovery's agent has counts as told to this process, heard or not. So the list may be acted on only
while nothing can have come to the agent unheard: a watch is open on which each line was heard to its end, or
the watch has fallen silent, as it does in an outage, in which the agent learns nothing. From any other state
only a whole line of a watch leads back, however long that takes.
"""

import enum

READY_WITHIN = (
    8_000_000  # microseconds after which a process says that it is ready though its agent is silent
)
MOVE_TOLD_AFTER = 4_000_000  # microseconds after SIGHUP until news at the new agent counts as told
HELD_UP = 150_000  # microseconds that a process may be held between a look at its clock and a send


class DiscoveryEvent(enum.StrEnum):
    """What happened between this process and its agent, other than that a whole line came."""

    STARTED = "started_with_the_list_of_its_configuration"
    RELOAD_ASKED = "new_configuration_signalled"
    RELOAD_ENDED = "configuration_names_the_same_agent"
    AGENT_MOVED = "moved_to_another_agent"
    NEWS_BEGAN = "part_of_a_line_came"
    CALL_CONNECTED = "agent_took_a_call_and_has_not_answered"
    CALL_ENDED = "agent_ended_a_call"
    CALL_REFUSED = "nothing_listens_at_the_agents_address"


class EndpointList:
    """All times are microseconds."""

    def __init__(self, drain_within=0):
        """`drain_within`: how long after news of a drain a send to that server may still begin."""
        self._margin = max(drain_within - HELD_UP, 0)
        self._never_heard_since = None  # when the configuration's list was taken, up to the first line
        self._usable_until = None  # None: as long as nothing happens
        self._signalled, self._moved = None, False  # see _reload_asked
        self._unwatched_since = None  # when the agent ended a call, until another one is heard
        self._agent_gone = False  # whether nothing listened at its address when it was last called
        self.why = None  # DiscoveryEvent for which the list may not, or soon not, be acted on

    def take(self, event, at):
        """`event`: a DiscoveryEvent that happened at the time `at`."""
        match event:
            case DiscoveryEvent.STARTED:
                self._never_heard_since = at
                self._doubt(event, at)
            case DiscoveryEvent.RELOAD_ASKED:
                self._reload_asked(at)
            case DiscoveryEvent.RELOAD_ENDED:
                self._signalled = self._signalled if self._moved else None
            case DiscoveryEvent.AGENT_MOVED:
                self._reload_asked(at)
                self._moved = True
                self._doubt(event, at)
            case DiscoveryEvent.NEWS_BEGAN:
                self._doubt(event, at + self._margin)
            case DiscoveryEvent.CALL_ENDED:
                self._unwatched_since = at if self._unwatched_since is None else self._unwatched_since
                self._may_have_moved(event, at)
            case DiscoveryEvent.CALL_REFUSED:
                # the agent's process has ended, and has no news with it; the next one may have some
                self._unwatched_since, self._agent_gone = None, True
                self._may_have_moved(event, at)
            case DiscoveryEvent.CALL_CONNECTED:
                self._connected(event, at)

    def confirm(self):
        """A whole line of a watch came and was taken in: the list is what the agent has."""
        self._never_heard_since = self._usable_until = self._unwatched_since = self.why = None
        self._agent_gone = False
        if self._moved:
            self._signalled, self._moved = None, False

    def may_be_used(self, now):
        """Whether requests may be sent by it."""
        return self._usable_until is None or now < self._usable_until

    def is_ready(self, now):
        """Whether the process may be given requests."""
        return self._never_heard_since is None or now >= self._never_heard_since + READY_WITHIN

    def _reload_asked(self, at):
        """SIGHUP came. Up to the first line of the agent that the new configuration names, or until that
        turns out to be the same, news counts as told MOVE_TOLD_AFTER the first such signal."""
        self._signalled = at if self._signalled is None else self._signalled

    def _may_have_moved(self, event, at):
        """The agent says no more. Where a new configuration can't be read, discovery may be elsewhere."""
        if self._signalled is not None:
            self._doubt(event, at)

    def _connected(self, event, at):
        if self._agent_gone:
            self._unwatched_since, self._agent_gone = at, False
        if self._unwatched_since is not None:
            self._doubt(event, self._unwatched_since + self._margin)

    def _doubt(self, why, until):
        """From `until` on, or after a move has had its time, the list may not be acted on."""
        if self._signalled is not None:
            until = max(until, self._signalled + MOVE_TOLD_AFTER)
        if self._usable_until is None or until < self._usable_until:
            self._usable_until, self.why = until, why
