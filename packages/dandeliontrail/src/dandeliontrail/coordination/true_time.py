"""A wall clock that ignores temporary clock jumps.

Usage windows begin and end at the same time on every instance, so instances
must agree on the wall clock time to within some milliseconds.  Their clocks
do, unless one is set: then it jumps by seconds, and often back again.  The
monotonic clock does not jump, so the time is extrapolated from it, and a jump
of the wall clock is accepted only after it has lasted.

    >>> clock = TrueTime()
    >>> clock.observe(1000.0, 1.0)
    >>> clock.observe(1010.0, 9.0)
    >>> clock.at(9.0)
    1008.0
"""

# In seconds.  A clock that is synchronised in small steps moves by less than
# this, relative to the monotonic clock, between two observations.
MIN_JUMP_SECONDS = 0.05
# How long a jump must last to be accepted, in seconds: a clock that was set on
# purpose stays set.
JUMP_ACCEPTED_AFTER_SECONDS = 60.0


class TrueTime:
    """Converts times of the monotonic clock to Unix time, in seconds."""

    __slots__ = ("_offset", "_jumped_offset", "_jumped_since")

    def __init__(self):
        self._offset = None
        self._jumped_offset = None
        self._jumped_since = 0.0

    def observe(self, wall, now):
        """Record the wall clock time at the monotonic time ``now``."""
        offset = wall - now
        if (
            self._offset is None
            or abs(offset - self._offset) < MIN_JUMP_SECONDS
        ):
            self._offset = offset
            self._jumped_offset = None
            return
        if (
            self._jumped_offset is None
            or abs(offset - self._jumped_offset) >= MIN_JUMP_SECONDS
        ):
            self._jumped_offset = offset
            self._jumped_since = now
        elif now - self._jumped_since >= JUMP_ACCEPTED_AFTER_SECONDS:
            self._offset = offset
            self._jumped_offset = None

    @property
    def known(self):
        """Whether the wall clock was observed at least once."""
        return self._offset is not None

    def at(self, now):
        """Return the Unix time at the monotonic time ``now``, in seconds."""
        return now + self._offset
