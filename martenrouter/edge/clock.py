"""The two clocks of a process, in whole microseconds."""

import time


def now():
    """Monotonic: for everything that is decided."""
    return time.monotonic_ns() // 1000


def wall():
    """Wall time: only for what other processes told in it."""
    return time.time_ns() // 1000


def follow(virtual_now, virtual_wall):
    """From here on this whole process lives in a laboratory's time; what it gives are whole microseconds as
    well."""
    global now, wall
    now, wall = virtual_now, virtual_wall
