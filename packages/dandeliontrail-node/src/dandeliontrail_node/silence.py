"""Tells a dead path from a slow server, by the pace that can be expected.

Failure guarded against: something between the two ends loses track of a
connection.  Nothing more arrives on it, for good, while new connections to
the same address work.  A single long timeout would either cut streams that
are only slow or leave callers waiting for minutes.
"""

import time

from . import connection
from . import engine_client

# Before the first byte an engine may queue and read a long prompt; asking
# costs two small requests, and each doubles the time to the next.
FIRST_SECONDS = 2.0
# Between outputs: this many times the longest gap seen, within bounds.  At
# 29 ms between tokens a silence of 2 s is 70 of them.
GAP_FACTOR = 20.0
LEAST_GAP_SECONDS = 2.0
# Each question that changed nothing doubles the time to the next one.
MOST_SECONDS = 20.0
FAILED_PROBES = 2
# How often a silence that seems to be for good is looked at: another server
# may have gone on by then.
LOOK_SECONDS = 0.1
# A stream that its engine twice does not know never arrived there, or is
# lost: a request on its way would have come in between.
NOT_HELD = 2


class PathWatch(connection.Watch):
    """Watches the connection of one attempt, that of ``source``.

    When the server answers on a new connection and still holds the stream,
    the stream goes on over that one, from the event after the last.  That
    is right for a slow server too: nothing is cut, lost or doubled.
    """

    def __init__(self, engines, source, limit_seconds):
        self._engines = engines
        self._source = source
        self._limit = limit_seconds
        self._heard = time.monotonic()
        self._longest = 0.0
        self._begun = False
        self._failed = 0
        self._not_held = 0
        self._patience = 1.0
        self._suspected = False
        self._next_probe = 0.0

    def heard(self):
        """Take note of an output."""
        now = time.monotonic()
        if self._begun:
            self._longest = max(self._longest, now - self._heard)
        self._begun = True
        self._heard = now
        self._failed = 0
        self._patience = 1.0
        self._suspected = False

    def seconds(self):
        """Return the longest silence that needs no question."""
        if self._suspected:
            return LOOK_SECONDS
        return self._interval()

    def _interval(self):
        if not self._begun:
            return min(FIRST_SECONDS * self._patience, MOST_SECONDS)
        wanted = max(GAP_FACTOR * self._longest, LEAST_GAP_SECONDS)
        return min(wanted * self._patience, MOST_SECONDS)

    def silent(self):
        """Probe; move the stream to a new path, or wait on.

        Neither a server that refuses new connections nor one that takes none
        is given up for that: the first may be about to leave, the second
        frozen for a while.  Another one may go on meanwhile.
        """
        if self._suspected:
            self._source.silent()
        if not self._suspected or time.monotonic() >= self._next_probe:
            self._probe()
            self._next_probe = time.monotonic() + self._interval()
        if time.monotonic() - self._heard > self._limit:
            self._give_up(f"silent for {self._limit:g} s")

    def _probe(self):
        found = self._engines.probe(self._source.url)
        if found is engine_client.Probe.ANSWERS:
            self._failed = 0
            self._ask_for_stream()
            return
        self._failed += 1
        refuses = found is engine_client.Probe.REFUSES
        if refuses or self._failed >= FAILED_PROBES:
            self._suspected = True
            self._source.silent()

    def _ask_for_stream(self):
        try:
            answer = self._source.resumed()
        except engine_client.NotHeld:
            self._not_held += 1
            if not self._source.resumable():
                # Such an engine says so of streams that it is working on.
                self._patience *= 2.0
            elif self._not_held >= NOT_HELD:
                self._give_up("unknown to its engine, and silent")
            return
        self._patience *= 2.0
        if answer:
            self._engines.retire(self._source.url)
            raise connection.PathLost(answer)

    def _give_up(self, why):
        self._engines.retire(self._source.url)
        raise TimeoutError(why)
