"""Reads the body of a request, within the account of what clients hold.

What a body costs is bounded by the bytes of it that have arrived: one buffer
grows with them, and nothing outlives the chunk that it was made for.  Bytes
that have arrived already are read without a pause, so the processor is handed
back every so many bytes; a timeout could not fire otherwise, and no heartbeat
would be sent.

Framing costs more processor time than what it frames.  All bodies with more
framing than data share one turn and wait as long as they have worked, so that
they never use more than half of the processor.
"""

import time

import gevent
from gevent import lock

from dandeliontrail.decisions import held_bytes

READ_BYTES = 64 * 1024
# An announced body up to this size is charged and read at once.
MAX_WHOLE_BYTES = 16 * 1024
# After so many bytes of one body others have their turn.
TURN_BYTES = 64 * 1024
# A body may take longer than its limit if it comes faster than this.
MIN_BYTES_PER_SECOND = 256 * 1024
# Work on framing up to a wait; a longer one gains nothing.
WORK_SECONDS = 0.002
MAX_WAIT_SECONDS = 0.05


class TooLarge(Exception):
    """The body is larger than its limit."""


class TooSlow(Exception):
    """The body did not arrive in time."""


class NoRoom(Exception):
    """The instance holds as much for its clients as it may."""


class _Cut(BaseException):
    """Others need the room of a body that comes too slowly."""


class _FramingTurn:
    """The processor time of all bodies with more framing than data."""

    def __init__(self):
        self._lock = lock.Semaphore(1)

    def wait(self, worked_seconds):
        """Wait in turn for as long as the work has taken."""
        with self._lock:
            gevent.sleep(min(worked_seconds, MAX_WAIT_SECONDS))


_framing_turn = _FramingTurn()


class _PaceTimer:
    """Raises ``timeout`` in its greenlet if a body falls behind its pace."""

    def __init__(self, seconds):
        self._began = time.monotonic()
        self._seconds = seconds
        self.timeout = gevent.Timeout.start_new(seconds)

    def extend(self, wire_bytes):
        """Allow for what has arrived."""
        allowed = self._seconds + wire_bytes / MIN_BYTES_PER_SECOND
        left = self._began + allowed - time.monotonic()
        self.timeout.close()
        self.timeout = gevent.Timeout.start_new(max(0.001, left))

    def close(self):
        """Stop the timer."""
        self.timeout.close()


class _CutDelivery:
    """Raises :class:`_Cut` in the greenlet that reads, and only there.

    The exception is thrown by the event loop: while that runs, the reader
    waits inside the reading or has left it.
    """

    def __init__(self):
        self._greenlet = gevent.getcurrent()

    def request(self):
        """Have the reader cut soon."""
        gevent.get_hub().loop.run_callback(self._deliver)

    def _deliver(self):
        greenlet = self._greenlet
        if greenlet is not None:
            self._greenlet = None
            greenlet.throw(_Cut())

    def close(self):
        """Deliver nothing any more."""
        self._greenlet = None


def read(source, holds, limit, seconds):
    """Return the body as ``bytes``.

    ``source`` is :class:`.body_source.BodySource`;
    ``holds`` (:class:`.client_holds.RequestHolds`) is charged until the
    request has ended.  Raises ``OSError`` if the body is broken, and the
    exceptions above.
    """
    delivery = _CutDelivery()
    hold = holds.open_body(delivery.request)
    timer = _PaceTimer(seconds)
    try:
        body = _read_parts(source, hold, limit, timer)
        holds.body_is_read()
        return body
    except gevent.Timeout as exc:
        if exc is not timer.timeout:
            raise
        raise TooSlow()
    except _Cut:
        raise NoRoom()
    finally:
        timer.close()
        delivery.close()


def _read_parts(source, hold, limit, timer):
    length = source.length()
    if length is not None and length <= MAX_WHOLE_BYTES:
        _take_room(hold, length, limit)
        return source.read_whole() if length else b""
    first = source.read_part(READ_BYTES)
    _take_room(hold, len(first), limit)
    if source.is_complete():
        return first
    body = bytearray(first)
    del first
    turn_ends = TURN_BYTES
    worked = 0.0
    while True:
        began = time.perf_counter()
        part = source.read_part(READ_BYTES)
        if not part:
            return bytes(body)
        _take_room(hold, len(body) + len(part), limit)
        body += part
        if source.wire_bytes > 2 * source.body_bytes + TURN_BYTES:
            worked += time.perf_counter() - began
            if worked >= WORK_SECONDS:
                _framing_turn.wait(worked)
                worked = 0.0
        if source.wire_bytes >= turn_ends:
            turn_ends = source.wire_bytes + TURN_BYTES
            timer.extend(source.wire_bytes)
            gevent.sleep(0)


def _take_room(hold, size, limit):
    if size > limit:
        hold.close()
        raise TooLarge()
    if hold.is_cut or not hold.resize(size, time.monotonic()):
        # Others need not wait until its client has read the refusal.
        hold.close()
        raise NoRoom()


def retry_after_seconds():
    """Return when a client that found no room may come back."""
    return 2 * held_bytes.HALF_LIFE_SECONDS
