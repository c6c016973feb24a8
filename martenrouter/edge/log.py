"""Structured log lines on standard error: JSON, or for a person to read (structlog).

A log that can't be written costs no request: a line that fails, or that a full pipe would hold up, is
dropped.
"""

import datetime
import json
import os
import select
import stat
import sys

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


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


class JsonLogger:
    """One JSON object a line: what is told, then event, level and timestamp. It does without structlog, which
    loads asyncio and TLS: a quarter of the memory of a small process."""

    def __init__(self, stream, level, bound):
        self._stream, self._least, self._bound = stream, LEVELS[level], bound

    def debug(self, event, **told):
        self._write("debug", event, told)

    def info(self, event, **told):
        self._write("info", event, told)

    def warning(self, event, **told):
        self._write("warning", event, told)

    def error(self, event, **told):
        self._write("error", event, told)

    def _write(self, level, event, told):
        if LEVELS[level] < self._least:
            return
        now = datetime.datetime.now(datetime.timezone.utc).replace(tzinfo=None)
        about = {"event": event, "level": level, "timestamp": now.isoformat(timespec="microseconds") + "Z"}
        self._stream.write(json.dumps({**self._bound, **told, **about}, default=repr) + "\n")
        self._stream.flush()


def logger(form, level, **bound):
    """`form`: "json", or "person"; `level`: the least that is logged; `bound` is told with each line."""
    stream = LossyStream(sys.stderr)
    return JsonLogger(stream, level, bound) if form == "json" else _for_a_person(stream, level, bound)


def _for_a_person(stream, level, bound):
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**bound)
