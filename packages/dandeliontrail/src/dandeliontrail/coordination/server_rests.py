"""How long servers want to be left alone, as they say themselves.

A server that turns a request away may say for how many seconds it wants
nothing from the instance that it answers (Retry-After of RFC 9110, section
10.2.3, here with fractions and without dates).  That holds for one start of
the server and one instance; nothing but its time or a new start ends it.
"""

import re

import msgspec

# A server that names more is asked again after this time, in seconds.
MAX_REST_SECONDS = 3600.0
# Times are short decimal numbers; longer texts are no times.
MAX_TIME_CHARACTERS = 32

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class BadRest(ValueError):
    """An answer names a time of rest that cannot be read."""


def parse(texts):
    """Return the longest time that an answer names, in seconds.

    Raises :class:`BadRest` if a value is no decimal number of at least 0.

    >>> parse(["3", "0.5"])
    3.0
    """
    return max((_parse_one(text.strip()) for text in texts), default=0.0)


def _parse_one(text):
    if len(text) > MAX_TIME_CHARACTERS or not _DECIMAL.fullmatch(text):
        raise BadRest(
            f"{text[:MAX_TIME_CHARACTERS]!r} is no decimal number of at"
            " least 0; name seconds"
        )
    return min(float(text), MAX_REST_SECONDS)


class ServerRest(msgspec.Struct, tag="server_rest"):
    """Tells the receiver that a server asked it for ``seconds`` of rest.

    The sender got that answer through a tunnel of the receiver.
    """

    server: str
    epoch: int
    seconds: float
