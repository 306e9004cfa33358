"""Keeps a SIGHUP that comes before the instance can act on it.

The default action of SIGHUP is to end the process.  One that was sent while
a process still loaded its modules ended it without a line in its log, and
callers saw an instance vanish right after its start.  So the signal is taken
from the first lines of the program on, and what was asked for is done once
the instance runs.  This module imports nothing that takes time.
"""

import signal

_seen = []


def hold():
    """Take note of every SIGHUP from now on in place of ending."""
    signal.signal(signal.SIGHUP, _note)


def _note(number, frame):
    _seen.append(number)


def came():
    """Tell whether one came that nobody has acted on, and forget it."""
    found = bool(_seen)
    _seen.clear()
    return found
