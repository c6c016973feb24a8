"""What ends the time for which a read state is held, as far as this process can know.

Only an answer shows that a decode server has taken a state: bytes that its machine has may never be taken by
its process. Times are whole microseconds.
"""

SERVER_ANSWERED = ("done", "error", "full")  # endings that only a server's process can cause
NEVER_ARRIVED = ("unreachable", "not sent")


def clock_after(clock, now, sent, ending, exact):
    """From when the state's limit counts after a decode attempt that ended so. `clock`: from when it did
    before; `sent`: when the attempt was; `exact`: whether an attempt that was out is known to have counted,
    as on the simulator."""
    if ending in SERVER_ANSWERED:
        return now
    if not exact or ending in NEVER_ARRIVED:
        return clock
    return clock + now - sent if ending == "reset" else now


def is_unanswered(attempt):
    """Whether it is a decode attempt that its server's machine has, and of which nothing has come back."""
    return bool(attempt.arrived) and not (attempt.reads or attempt.started or attempt.cancelled)
