"""Errors as JSON lines on standard error, like the logs of an instance."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def error(message, remedy):
    """Write one error line."""
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
