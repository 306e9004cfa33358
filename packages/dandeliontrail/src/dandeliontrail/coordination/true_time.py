"""The time of day, by which usage is told apart, from clocks that jump.

Windows of usage begin and end at the same moment everywhere, so instances
must agree on the time of day to within some milliseconds.  Their clocks do,
but for one that is set: it jumps by seconds and often back again.  The
monotonic clock does not, so the time of day is carried on from it, and a
jump is believed only once it has lasted.

    >>> clock = TrueTime()
    >>> clock.observe(1000.0, 1.0)
    >>> clock.observe(1010.0, 9.0)
    >>> clock.at(9.0)
    1008.0
"""

# A clock that is kept right by small steps moves by less than this between
# two looks at it.
JUMP = 0.05
# A clock that was set on purpose stays set.
BELIEVED_AFTER = 60.0


class TrueTime:
    """The time of day for moments on the monotonic clock, in seconds."""

    __slots__ = ("_offset", "_other", "_other_since")

    def __init__(self):
        self._offset = None
        self._other = None
        self._other_since = 0.0

    def observe(self, wall, now):
        """Take in what the clock on the wall shows at ``now``."""
        offset = wall - now
        if self._offset is None or abs(offset - self._offset) < JUMP:
            self._offset = offset
            self._other = None
            return
        if self._other is None or abs(offset - self._other) >= JUMP:
            self._other = offset
            self._other_since = now
        elif now - self._other_since >= BELIEVED_AFTER:
            self._offset = offset
            self._other = None

    @property
    def known(self):
        """Tell whether the time was ever told."""
        return self._offset is not None

    def at(self, now):
        """Return the time of day at ``now``, in seconds since 1970."""
        return now + self._offset
