"""A rate-limited log handler that never blocks on its reader.

A reader that stalls must not stall an instance, and a burst of requests must
not cause a burst of log lines.  Lines are collected in a bounded buffer and
written in chunks that a pipe accepts at once: if the kernel reports a pipe as
writable, it accepts ``CHUNK_BYTES`` without blocking (POSIX, PIPE_BUF).
Beyond the rate limit, lines about success are dropped first; the number of
dropped lines is logged by message once a second.
"""

import collections
import logging
import os
import select
import time

import gevent
from gevent import monkey

# Sustained rate, and size of a burst.  At three lines per request this covers
# 100 requests per second, sixteen times the present load of an instance.
LINES_PER_SECOND = 300.0
BURST_LINES = 600.0
# Fraction of the burst reserved for warnings and failed requests.
RESERVED_FRACTION = 0.3
CHUNK_BYTES = 4096
MAX_BUFFERED_BYTES = 512 * 1024
FLUSH_SECONDS = 0.05
REPORT_SECONDS = 1.0

_poll = monkey.get_original("select", "poll")


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor, within the rate limit.

    ``clock`` returns seconds.
    """

    def __init__(self, descriptor=1, clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._available_lines = BURST_LINES
        self._refilled_at = clock()
        self._buffer = collections.deque()
        self._buffered_bytes = 0
        self._dropped = collections.Counter()
        self._next_report = 0.0
        self._flush_timer = None

    def emit(self, record):
        """Queue a line, or drop and count it."""
        now = self._clock()
        if not self._take_from_budget(record, now):
            self._dropped[record.getMessage()] += 1
            return
        self._report_dropped(now)
        self._append(self.format(record))
        if record.levelno >= logging.WARNING:
            self.flush()
        elif self._flush_timer is None:
            self._flush_timer = gevent.spawn_later(FLUSH_SECONDS, self.flush)

    def _take_from_budget(self, record, now):
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._available_lines = min(
            BURST_LINES, self._available_lines + gained
        )
        self._refilled_at = now
        required = (
            1.0 if _is_important(record) else BURST_LINES * RESERVED_FRACTION
        )
        if (
            self._available_lines < required
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            return False
        self._available_lines -= 1.0
        return True

    def _report_dropped(self, now):
        """Log the number of lines dropped since the last report."""
        if not self._dropped or now < self._next_report:
            return
        self._next_report = now + REPORT_SECONDS
        counts, self._dropped = dict(self._dropped), collections.Counter()
        record = logging.LogRecord(
            "", logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.counts = counts
        self._append(self.format(record))

    def _append(self, text):
        data = text.encode() + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self):
        """Write as much as the reader accepts without blocking."""
        self._flush_timer = None
        while self._buffer and self._is_writable():
            data = self._dequeue_chunk()
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The reader is gone for good; the error cannot be reported.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer.appendleft(data[written:])
        if self._buffer and self._flush_timer is None:
            self._flush_timer = gevent.spawn_later(FLUSH_SECONDS, self.flush)

    def _dequeue_chunk(self):
        """Dequeue as many whole lines as fit, or part of a longer line."""
        chunk = self._buffer.popleft()
        while self._buffer and (
            len(chunk) + len(self._buffer[0]) <= CHUNK_BYTES
        ):
            chunk += self._buffer.popleft()
        if len(chunk) > CHUNK_BYTES:
            self._buffer.appendleft(chunk[CHUNK_BYTES:])
            chunk = chunk[:CHUNK_BYTES]
        return chunk

    def _is_writable(self):
        poll = _poll()
        poll.register(self._descriptor, select.POLLOUT)
        found = poll.poll(0)
        return bool(found) and bool(found[0][1] & select.POLLOUT)


def _is_important(record):
    """Return whether a line reports a failure or a warning."""
    if record.levelno >= logging.WARNING:
        return True
    return getattr(record, "important", False)
