"""The clocks of a stand-in's process, in whole microseconds."""
import time


def now():
    return time.monotonic_ns() // 1000


def wall():
    return time.time_ns() // 1000
