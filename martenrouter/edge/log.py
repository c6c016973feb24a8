"""Structured log lines on standard error (structlog), for a person or as JSON.

A log that can't be written costs no request: a line that fails, or that a full pipe would hold up, is
dropped.
"""

import logging
import os
import select
import stat
import sys

import structlog


class LossyStream:
    """A text stream that drops what its reader does not take. `dropped`: how many writes were."""

    def __init__(self, stream):
        self._stream, self.dropped = stream, 0
        try:
            waits = not stat.S_ISREG(os.fstat(stream.fileno()).st_mode)
        except (OSError, ValueError, AttributeError):
            waits = False
        self._room = select.poll() if waits else None
        if waits:
            self._room.register(stream.fileno(), select.POLLOUT)

    def write(self, text):
        try:
            if self._room is None or self._room.poll(0):
                self._stream.write(text)
                return
        except (OSError, ValueError):
            pass
        self.dropped += 1

    def flush(self):
        try:
            self._stream.flush()
        except (OSError, ValueError):
            pass

    def isatty(self):
        return self._stream.isatty()


def logger(form, level, **bound):
    shape = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(LossyStream(sys.stderr)),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**bound)
