"""The clocks of a stand-in's process, in whole microseconds."""

import time


def now():
    return time.monotonic_ns() // 1000


def wall():
    return time.time_ns() // 1000


LAG_LOOK = 20_000  # microseconds between looks
LAG_TOLD = 30_000  # a look later than this is recorded: the machine, not the program, stood still


def watch_lag(sleep, record):
    """Runs in a greenlet: records when this process was not run for a while. The judge grants other processes
    as much."""
    while True:
        before = now()
        sleep(LAG_LOOK / 1e6)
        late = now() - before - LAG_LOOK
        if late > LAG_TOLD:
            record("lag", late=late)
