"""Structured log lines on standard error (structlog), for a person or as JSON."""
import logging
import sys

import structlog


def logger(form, level, **bound):
    shape = (structlog.processors.JSONRenderer() if form == "json"
             else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True), shape],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
    return structlog.get_logger(**bound)
