"""Defers a SIGHUP that arrives before the instance can handle it.

The default action of SIGHUP terminates the process.  A signal that was sent
while a process was still importing its modules ended it without a log line,
and callers saw an instance vanish right after its start.  So a handler is
installed in the first lines of the program, and the reload is done once the
instance runs.  This module has no import that takes time.
"""

import signal

_pending = []


def hold():
    """Record every SIGHUP from now on instead of terminating."""
    signal.signal(signal.SIGHUP, _record)


def _record(number, frame):
    _pending.append(number)


def take_pending():
    """Return whether a SIGHUP was recorded, and clear the record."""
    received = bool(_pending)
    _pending.clear()
    return received
