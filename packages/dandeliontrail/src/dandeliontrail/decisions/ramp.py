"""How fast lower classes may fill idle engines.

Made for the moment at which a backlog meets idle engines.  A batch that is
filled at one stroke also ends at one stroke: for as long as one answer
takes no slot comes free, and every lookup of that time misses its target.
Filled over the time that one answer takes, slots come free evenly from the
start.  It costs half of that time's idle capacity, once for each onset.
"""

# Of all own slots, so many are open to lower classes at once; without any,
# an idle instance would answer its first requests late.
OPEN_PART = 0.08
# A batch is filled in this many times the time of one answer: answers that
# run side by side slow each other down, so that they take longer than what
# was learned while engines were idle.
FILL_TIMES = 1.5


class Ramp:
    """A ceiling on own outstanding work that rises with time."""

    __slots__ = ("ceiling", "_moved")

    def __init__(self):
        self.ceiling = 0.0
        self._moved = 0.0

    def move(self, own, slots, seconds, now):
        """Raise the ceiling by the time that has passed.

        ``own`` is the outstanding work, ``slots`` what this instance may
        have outstanding, ``seconds`` how long an answer takes.
        """
        passed = now - self._moved
        risen = self.ceiling + passed * slots / (FILL_TIMES * seconds)
        self._moved = now
        self.ceiling = min(risen, own + max(1.0, slots * OPEN_PART))

    def open(self, own):
        """Tell whether one more may start."""
        return own < self.ceiling
