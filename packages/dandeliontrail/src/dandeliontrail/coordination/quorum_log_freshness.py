"""How recent the state of this instance is known to be.

A leader that hears from a majority knows that nobody else committed
anything meanwhile.  That knowledge travels with its messages, and from
instance to instance, as an age: it needs no common clock, and an instance
that is cut off sees the age grow.
"""

# Heartbeats and notices come every second or so; after this long without
# any confirmation an instance calls itself stale.
STALE_AFTER = 10.0
NEVER = float("-inf")


class Freshness:
    """When this instance last had everything that was committed.

    Times are on the own clock.  ``target`` is the highest position known
    to be committed.
    """

    __slots__ = ("confirmed", "target", "_machine", "_waiting", "_newest")

    def __init__(self, machine):
        self.confirmed = NEVER
        self.target = 0
        self._machine = machine
        self._waiting = None
        self._newest = None

    def confirm(self, at, commit):
        """Take note that ``commit`` was all that was committed at ``at``."""
        self.target = max(self.target, commit)
        if at <= self.confirmed:
            return
        if self._machine.applied >= commit:
            self.confirmed = at
        elif self._waiting is None:
            self._waiting = (at, commit)
        else:
            self._newest = (at, commit)

    def hear(self, ago, commit, now):
        """Take in what another instance knows."""
        self.target = max(self.target, commit)
        if ago >= 0:
            self.confirm(now - ago, commit)

    def applied(self):
        """Take note that the applied version grew.

        The oldest thing waited for is kept until it is reached, so that an
        instance which is always a little behind still counts as fresh.
        """
        while self._waiting and self._machine.applied >= self._waiting[1]:
            self.confirmed = max(self.confirmed, self._waiting[0])
            self._waiting = self._newest
            self._newest = None

    def confirmed_ago(self, now):
        """Return the age of the last confirmation, or -1 without any."""
        if self.confirmed == NEVER:
            return -1.0
        return max(0.0, now - self.confirmed)

    def stale(self, now):
        """Tell whether nothing was confirmed for a while."""
        return now - self.confirmed > STALE_AFTER
