"""Reads several attempts of one request concurrently.

Used only once a server has been silent for longer than its timeout: its
answer is still read, and a hedged attempt at another server may run at the
same time.  The results go into the mailbox of the request, which also
receives the reducer's effects, so the greenlet that serves the request
processes results and effects in a single order.
"""

import contextlib

import gevent
import msgspec


class ReadResult(msgspec.Struct):
    """The result of reading one attempt: an ``output`` or an ``error``."""

    attempt: object
    output: object = None
    error: Exception | None = None


class AttemptReaders(contextlib.ExitStack):
    """Runs one reading greenlet per attempt; kills them all on exit."""

    def __init__(self, exchange):
        super().__init__()
        self._exchange = exchange

    def read(self, attempt):
        """Start a greenlet that puts the next output into the mailbox."""
        greenlet = gevent.spawn(self._read, attempt)
        self.callback(greenlet.kill, block=False)

    def _read(self, attempt):
        try:
            self._exchange.put(ReadResult(attempt, attempt.next_output()))
        except Exception as exc:
            self._exchange.put(ReadResult(attempt, error=exc))
