"""Structured logs: one JSON object a line."""

import logging
import sys

from pythonjsonlogger import msgspec as jsonlogger


def make_logger(name, level, instance, handler=None):
    """Return a logger whose lines carry ``instance``.

    They go to standard error, or wherever ``handler`` writes them.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.MsgspecFormatter(
            "{levelname}{message}{asctime}",
            style="{",
            rename_fields={"levelname": "level", "asctime": "time"},
            static_fields={"instance": instance},
        )
    )
    logger = logging.getLogger(name)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return logger
