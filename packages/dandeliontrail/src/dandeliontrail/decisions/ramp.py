"""Gradual admission of lower classes to idle engines.

When a backlog meets idle engines and fills them at once, all of the answers
also end at the same time. Until then no slot becomes free, and every lookup in
that time misses its target. If the engines are filled over the duration of one
answer instead, slots become free evenly from the start. This costs half of the
idle capacity during that time, once for each backlog.
"""

# Share of this instance's slots that is open to lower classes at once. Without
# it an idle instance would delay its first requests.
MAX_OPEN_SHARE = 0.08
# A batch is filled over this many answer durations. Answers that run side by
# side slow each other down and take longer than what was measured while
# engines were idle.
FILL_DURATION_FACTOR = 1.5


class Ramp:
    """A ceiling on own outstanding work that rises with time."""

    __slots__ = ("ceiling", "_raised_at")

    def __init__(self):
        self.ceiling = 0.0
        self._raised_at = 0.0

    def raise_ceiling(self, own, slots, seconds, now):
        """Raise the ceiling according to the elapsed time.

        ``own`` is the outstanding work, ``slots`` how much this instance may
        have outstanding and ``seconds`` the duration of an answer.
        """
        elapsed = now - self._raised_at
        risen = self.ceiling + elapsed * slots / (
            FILL_DURATION_FACTOR * seconds
        )
        self._raised_at = now
        self.ceiling = min(risen, own + max(1.0, slots * MAX_OPEN_SHARE))

    def admits(self, own):
        """Return whether one more request may start."""
        return own < self.ceiling
