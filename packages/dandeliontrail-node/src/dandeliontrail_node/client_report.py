"""Counts and logs what clients were refused, at a bounded rate.

A crowd of clients must not become a crowd of log lines: the first refusal is
logged at once, those within the next second together.
"""

import collections
import time

import gevent

INTERVAL_SECONDS = 1.0


class ClientReport:
    """Refusals and cuts of all listeners, by reason.

    ``counters`` are those of the metrics.
    """

    def __init__(self, logger, counters, clock=time.monotonic):
        self._logger = logger
        self._counters = counters
        self._clock = clock
        self._counts = collections.Counter()
        self._detail = ""
        self._next_line = float("-inf")
        self._is_waiting = False

    def note(self, reason, detail=""):
        """Record that one client was refused or cut."""
        name = f'clients_refused_total{{reason="{reason}"}}'
        self._counters[name] = self._counters.get(name, 0) + 1
        self._counts[reason] += 1
        self._detail = detail or self._detail
        if self._is_waiting:
            return
        wait = self._next_line - self._clock()
        if wait <= 0:
            self._write()
            return
        self._is_waiting = True
        gevent.spawn_later(wait, self._write)

    def _write(self):
        self._is_waiting = False
        self._next_line = self._clock() + INTERVAL_SECONDS
        fields = {"counts": dict(self._counts), "reason": self._detail}
        self._counts.clear()
        self._detail = ""
        self._logger.info("clients refused", extra=fields)
