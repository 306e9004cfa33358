"""Distinguishes a dead connection from a slow server.

A device between the two ends, such as a firewall, can lose track of a
connection. Nothing more ever arrives on it, while new connections to the
same address work. A single long timeout would either cut
streams that are only slow or make callers wait for minutes, so the timeout
follows the pace of the stream.
"""

import time

from . import connection
from . import engine_client

# Before the first output an engine may queue the request and process a long
# prompt. A check costs two small requests, and each one doubles the time to
# the next.
FIRST_SECONDS = 2.0
# Between outputs, the timeout is this multiple of the longest gap seen, within
# bounds. At 29 ms between tokens, a silence of 2 s equals 70 gaps.
GAP_FACTOR = 20.0
LEAST_GAP_SECONDS = 2.0
# The interval doubles with each check that changes nothing, up to this.
MAX_INTERVAL_SECONDS = 20.0
SUSPECT_AFTER_FAILED_PROBES = 2
# How often to check on a server that is suspected to be gone: a hedge on
# another server may have output by then.
SUSPECTED_POLL_SECONDS = 0.1
# If its engine twice does not know the stream, the request never arrived or
# the stream is lost: a request still on its way would have arrived in between.
MAX_NOT_HELD_ANSWERS = 2


class StreamSilenceMonitor(connection.SilenceMonitor):
    """Monitors the connection of one attempt, ``response``.

    If the server answers on a new connection and still holds the stream, the
    stream continues there, from the event after the last one received. This is
    also correct for a slow server: no output is cut, lost or duplicated.
    """

    def __init__(self, engines, response, limit_seconds):
        self._engines = engines
        self._response = response
        self._limit_seconds = limit_seconds
        self._last_output_at = time.monotonic()
        self._longest_gap = 0.0
        self._has_output = False
        self._failed_probes = 0
        self._not_held_answers = 0
        self._backoff = 1.0
        self._suspected = False
        self._next_probe = 0.0

    def record_output(self):
        """Record that output has arrived."""
        now = time.monotonic()
        if self._has_output:
            self._longest_gap = max(
                self._longest_gap, now - self._last_output_at
            )
        self._has_output = True
        self._last_output_at = now
        self._failed_probes = 0
        self._backoff = 1.0
        self._suspected = False

    def timeout_seconds(self):
        """Return the longest silence that does not trigger a check."""
        if self._suspected:
            return SUSPECTED_POLL_SECONDS
        return self._interval()

    def _interval(self):
        if not self._has_output:
            return min(FIRST_SECONDS * self._backoff, MAX_INTERVAL_SECONDS)
        interval = max(GAP_FACTOR * self._longest_gap, LEAST_GAP_SECONDS)
        return min(interval * self._backoff, MAX_INTERVAL_SECONDS)

    def handle_timeout(self):
        """Check the server; resume the stream or continue to wait.

        A server is not given up because it refuses new connections or does not
        answer them: the first may be shutting down, the second be frozen for a
        while. A hedge may run on another server in the meantime.
        """
        if self._suspected:
            self._response.report_silence()
        if not self._suspected or time.monotonic() >= self._next_probe:
            self._probe()
            self._next_probe = time.monotonic() + self._interval()
        if time.monotonic() - self._last_output_at > self._limit_seconds:
            self._give_up(f"silent for {self._limit_seconds:g} s")

    def _probe(self):
        result = self._engines.probe(self._response.url)
        if result is engine_client.Probe.ANSWERS:
            self._failed_probes = 0
            self._try_resume()
            return
        self._failed_probes += 1
        refuses = result is engine_client.Probe.REFUSES
        if refuses or self._failed_probes >= SUSPECT_AFTER_FAILED_PROBES:
            self._suspected = True
            self._response.report_silence()

    def _try_resume(self):
        try:
            answer = self._response.try_resume()
        except engine_client.NotHeld:
            self._not_held_answers += 1
            if not self._response.is_resumable():
                # An engine that cannot resume streams gives this answer even
                # for those it is working on.
                self._backoff *= 2.0
            elif self._not_held_answers >= MAX_NOT_HELD_ANSWERS:
                self._give_up(
                    "silent, and its engine does not know the stream"
                )
            return
        self._backoff *= 2.0
        if answer:
            self._engines.retire_connections(self._response.url)
            raise connection.PathLost(answer)

    def _give_up(self, reason):
        self._engines.retire_connections(self._response.url)
        raise TimeoutError(reason)
