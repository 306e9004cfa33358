"""Writes log lines within a budget and never waits for their reader.

A reader that stalls must not stall an instance, and a storm of requests must
not become a storm of lines.  Lines gather in a bounded buffer and go out in
pieces that a pipe takes at once: where the kernel says that a pipe can be
written to, it takes ``PIECE_BYTES`` without blocking (POSIX, PIPE_BUF).
Above the budget, lines about what went well are left out first; how many of
each kind were left out is said once a second.
"""

import collections
import logging
import os
import select
import time

import gevent
from gevent import monkey

# Lines a second that an instance may write for long, and at once.  At three
# lines a request this covers 100 requests a second, sixteen times the load
# of today's instances.
LINES_PER_SECOND = 300.0
BURST_LINES = 600.0
# The part of the burst that is kept for warnings and failed requests.
KEPT_PART = 0.3
PIECE_BYTES = 4096
MOST_BUFFERED_BYTES = 512 * 1024
FLUSH_SECONDS = 0.05
REPORT_SECONDS = 1.0

_poll = monkey.get_original("select", "poll")


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor, within the budget."""

    def __init__(self, descriptor=1, clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._left = BURST_LINES
        self._filled = clock()
        self._buffer = collections.deque()
        self._buffered = 0
        self._left_out = collections.Counter()
        self._next_report = 0.0
        self._flusher = None

    def emit(self, record):
        """Take in a line, or count it as left out."""
        now = self._clock()
        if not self._allow(record, now):
            self._left_out[record.getMessage()] += 1
            return
        self._report(now)
        self._put(self.format(record))
        if record.levelno >= logging.WARNING:
            self.flush()
        elif self._flusher is None:
            self._flusher = gevent.spawn_later(FLUSH_SECONDS, self.flush)

    def _allow(self, record, now):
        gained = (now - self._filled) * LINES_PER_SECOND
        self._left = min(BURST_LINES, self._left + gained)
        self._filled = now
        least = 1.0 if _is_important(record) else BURST_LINES * KEPT_PART
        if self._left < least or self._buffered > MOST_BUFFERED_BYTES:
            return False
        self._left -= 1.0
        return True

    def _report(self, now):
        """Say how many lines were left out since the last time."""
        if not self._left_out or now < self._next_report:
            return
        self._next_report = now + REPORT_SECONDS
        counts, self._left_out = dict(self._left_out), collections.Counter()
        record = logging.LogRecord(
            "", logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.counts = counts
        self._put(self.format(record))

    def _put(self, text):
        data = text.encode() + b"\n"
        self._buffer.append(data)
        self._buffered += len(data)

    def flush(self):
        """Write what the reader takes at once; the rest waits."""
        self._flusher = None
        while self._buffer and self._writable():
            data = self._next_piece()
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The reader is gone for good, and nobody could be told.
                self._buffer.clear()
                self._buffered = 0
                return
            self._buffered -= written
            if written < len(data):
                self._buffer.appendleft(data[written:])
        if self._buffer and self._flusher is None:
            self._flusher = gevent.spawn_later(FLUSH_SECONDS, self.flush)

    def _next_piece(self):
        """Take as many whole lines as one piece holds, or part of one."""
        piece = self._buffer.popleft()
        while self._buffer and (
            len(piece) + len(self._buffer[0]) <= PIECE_BYTES
        ):
            piece += self._buffer.popleft()
        if len(piece) > PIECE_BYTES:
            self._buffer.appendleft(piece[PIECE_BYTES:])
            piece = piece[:PIECE_BYTES]
        return piece

    def _writable(self):
        poll = _poll()
        poll.register(self._descriptor, select.POLLOUT)
        found = poll.poll(0)
        return bool(found) and bool(found[0][1] & select.POLLOUT)


def _is_important(record):
    """Tell whether a line explains something that did not go well."""
    if record.levelno >= logging.WARNING:
        return True
    return getattr(record, "important", False)
