"""Reads attempts beside the greenlet that serves their request.

Needed only where a server is silent: its answer is waited for, and another
server may have been asked.  What comes of either is put into the mailbox of
the request, in which the reducer's effects arrive too, so that whoever serves
the request sees all of it in one order.
"""

import contextlib

import gevent
import msgspec


class Heard(msgspec.Struct):
    """What came of one attempt: an ``output``, or ``error``."""

    attempt: object
    output: object = None
    error: Exception | None = None


class Readers(contextlib.ExitStack):
    """One greenlet for each attempt that is read; all end with it."""

    def __init__(self, exchange):
        super().__init__()
        self._exchange = exchange

    def read(self, attempt):
        """Have the next output of ``attempt`` put into the mailbox."""
        greenlet = gevent.spawn(self._read, attempt)
        self.callback(greenlet.kill, block=False)

    def _read(self, attempt):
        try:
            self._exchange.put(Heard(attempt, attempt.next()))
        except Exception as exc:
            self._exchange.put(Heard(attempt, error=exc))
