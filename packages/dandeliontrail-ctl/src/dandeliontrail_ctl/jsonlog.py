"""Prints errors as JSON lines on standard error, as instances log."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def error(message, remedy):
    """Write one error with its remedy as a JSON line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "{levelname}{message}{asctime}",
            style="{",
            rename_fields={"levelname": "level", "asctime": "time"},
        )
    )
    logger = logging.getLogger("dandelionctl")
    logger.handlers = [handler]
    logger.propagate = False
    logger.error(message, extra={"remedy": remedy})
