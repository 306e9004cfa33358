"""Faults that a stand-in engine makes on purpose."""

import enum
import errno
import random


class Fault(enum.Enum):
    """What goes wrong with one request."""

    NONE = "none"
    REFUSE = "refuse"
    CLOSE = "close"
    BREAK = "break"
    CRASH = "crash"
    ERROR = "error"


MEANINGS = {
    Fault.REFUSE: "503 not-run, before it begins",
    Fault.CLOSE: "the connection closes, before it begins",
    Fault.BREAK: "the connection breaks in the answer; the stream lives on",
    Fault.CRASH: "the connection breaks in the answer; the stream is lost",
    Fault.ERROR: "500, after it has begun",
}


class Faults:
    """Draws a fault for one request in so many; seeded."""

    def __init__(self, seed, rate):
        self._rng = random.Random(seed)
        self._rate = rate

    def draw(self):
        """Return the fault of the next request."""
        if self._rng.random() >= self._rate:
            return Fault.NONE
        return self._rng.choice(list(MEANINGS))

    def position(self, wanted):
        """Return after how many tokens an answer breaks."""
        return self._rng.randrange(wanted + 1)


def reset():
    """Return the error that has the HTTP server close a connection."""
    return ConnectionResetError(errno.ECONNRESET, "on purpose")
