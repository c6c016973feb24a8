"""Why a request is given up, in words that logs and metrics share."""

import enum


class GiveUp(enum.StrEnum):
    """Why a request gets its final answer without having been served."""

    DEADLINE = "deadline_near"
    TARGET = "target_missed_without_room"
    NOT_REPEATABLE = "not_repeatable_any_more"
    SEND_NOT_ARRIVED = "send_not_arrived"
    QUEUE = "queue_longer_than_target"
    ATTEMPTS = "attempts_used_up"
    PROCESS_LATE = "this_process_is_late"
    STATE_LIMIT = "state_held_to_its_limit"
    CLIENT_UNSEEN = "client_may_have_left"
    LIST_UNCONFIRMED = "discovery_not_heard"
    CLIENT_TAKES_NOTHING = "client_takes_nothing"
    MEMORY_SHORT = "memory_short"
    OTHER = "decided_elsewhere"
