"""What an instance's own attempts say about each backend server.

Nobody reports load or health here; an attempt that fails is the first sign
of a crash, a cut or a server that answers with errors while its health
check is good.  What is learnt decides only where the next request goes:
a server that fails is tried again soon, with one request at a time.
"""

import msgspec

# A server that could not be reached is left alone for so long, twice as long
# after each further failure, up to the second figure: a restart takes one to
# some seconds, and a probe with a live request costs its caller little.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0
# While a server that could not be reached is tried again, the others wait for
# what that one request finds: a connection comes about within this, or not.
PROBE_SECONDS = 0.5
# A server that says that it is full is left alone this long: a request at it
# ends every few tens of milliseconds.
FULL_PAUSE = 0.15
# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.15


class Health(msgspec.Struct):
    """One server; ``until`` is when it may be tried again."""

    until: float = float("-inf")
    pause: float = 0.0
    failure_share: float = 0.0

    def usable(self, now):
        """Tell whether new work may go there."""
        return now >= self.until

    def unreachable(self, now):
        """Take note that no connection came about, or it broke off."""
        self.pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, 2 * self.pause))
        self.until = now + self.pause
        self._answered(failed=True)

    def tried(self, now):
        """Take note that a request goes there, maybe to find it out."""
        if self.pause:
            self.until = max(self.until, now + PROBE_SECONDS)

    def answers(self):
        """Take note that it answers: it can be reached."""
        if self.pause:
            self.pause = 0.0
            self.until = float("-inf")

    def gone(self):
        """Take note that another server is at its address now, for good."""
        self.until = float("inf")

    def full(self, now):
        """Take note that the server turned a request away."""
        self.until = max(self.until, now + FULL_PAUSE)

    def failed(self):
        """Take note of an answer that was a failure."""
        self._answered(failed=True)

    def succeeded(self):
        """Take note of a whole answer."""
        self._answered(failed=False)

    def _answered(self, failed):
        moved = FAILURE_WEIGHT * (float(failed) - self.failure_share)
        self.failure_share += moved
