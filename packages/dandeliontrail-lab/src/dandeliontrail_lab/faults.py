"""Faults that a simulated engine injects on purpose."""

import enum
import errno
import random


class Fault(enum.Enum):
    """The fault injected into one request."""

    NONE = "none"
    REFUSE = "refuse"
    CLOSE = "close"
    BREAK = "break"
    CRASH = "crash"
    ERROR = "error"


FAULT_DESCRIPTIONS = {
    Fault.REFUSE: "503 not-run, before it begins",
    Fault.CLOSE: "the connection closes, before it begins",
    Fault.BREAK: "the connection breaks in the answer; the stream lives on",
    Fault.CRASH: "the connection breaks in the answer; the stream is lost",
    Fault.ERROR: "500, after it has begun",
}


class Faults:
    """Draws a random fault for a share ``rate`` of the requests."""

    def __init__(self, seed, rate):
        self._rng = random.Random(seed)
        self._rate = rate

    def draw(self):
        """Return the fault for the next request."""
        if self._rng.random() >= self._rate:
            return Fault.NONE
        return self._rng.choice(list(FAULT_DESCRIPTIONS))

    def position(self, requested_tokens):
        """Return the number of tokens after which an answer breaks off."""
        return self._rng.randrange(requested_tokens + 1)


def connection_reset():
    """Return the error on which the HTTP server closes the connection."""
    return ConnectionResetError(errno.ECONNRESET, "on purpose")
