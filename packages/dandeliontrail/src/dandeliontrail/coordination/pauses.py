"""Finds out that this process was paused, from the gaps between its ticks."""

# A gap between two ticks above this means that this process was paused, and
# that the silence of its peers is no evidence against them.
MAX_TICK_GAP_SECONDS = 0.5
# For this long after a pause, data read from sockets may have been queued
# during the pause.
PAUSE_BACKLOG_SECONDS = 1.0


class PauseDetector:
    """Remembers the last tick and the last pause of this process.

    Times are seconds on this instance's monotonic clock.

    >>> detector = PauseDetector()
    >>> detector.note_tick(1.0), detector.note_tick(4.0)
    (0.0, 3.0)
    >>> detector.waited(4.5), detector.waited(6.0)
    (3.0, 2.0)
    """

    __slots__ = ("_last_tick", "_pause", "_pause_ended")

    def __init__(self):
        self._last_tick = None
        self._pause = 0.0
        self._pause_ended = float("-inf")

    def note_tick(self, now):
        """Record a tick and return for how long this process was paused.

        Returns 0.0 if the tick came on time.
        """
        late = now - self._last_tick if self._last_tick is not None else 0.0
        self._last_tick = now
        if late <= MAX_TICK_GAP_SECONDS:
            return 0.0
        self._pause = late
        self._pause_ended = now
        return late

    def waited(self, now):
        """Return how old data may be that was just read from a socket.

        After a pause of this process, such data may be as old as the pause
        was long.  Taken for fresh, it would make a backend server that has
        stopped since appear alive.
        """
        if self._last_tick is None:
            return 0.0
        if now - self._last_tick > MAX_TICK_GAP_SECONDS:
            return now - self._last_tick
        if now - self._pause_ended < PAUSE_BACKLOG_SECONDS:
            return self._pause
        return 0.0
