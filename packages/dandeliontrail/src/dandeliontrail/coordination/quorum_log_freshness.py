"""How recent the state of this instance is known to be.

A leader that hears from a majority knows that nobody else committed
anything meanwhile.  That knowledge travels with its messages, and from
instance to instance, as an age: it needs no common clock, and an instance
that is cut off sees the age grow.

An age that came with a message is too young by the time that the message
took.  For calling oneself stale after ten seconds that does not matter.
What must be certain is *proven* only by an answer: the asker counts from
when it asked, which was before the answer was given.
"""

# Heartbeats and notices come every second or so; after this long without
# any confirmation an instance calls itself stale.
STALE_AFTER = 10.0
NEVER = float("-inf")


class Confirmation:
    """When this instance last had everything that was committed."""

    __slots__ = ("at", "_machine", "_waiting", "_newest")

    def __init__(self, machine):
        self.at = NEVER
        self._machine = machine
        self._waiting = None
        self._newest = None

    def take(self, at, commit):
        """Take note that ``commit`` was all that was committed at ``at``."""
        if at <= self.at:
            return
        if self._machine.applied >= commit:
            self.at = at
        elif self._waiting is None:
            self._waiting = (at, commit)
        else:
            self._newest = (at, commit)

    def applied(self):
        """Take note that the applied version grew.

        The oldest thing waited for is kept until it is reached, so that an
        instance which is always a little behind still counts as fresh.
        """
        while self._waiting and self._machine.applied >= self._waiting[1]:
            self.at = max(self.at, self._waiting[0])
            self._waiting = self._newest
            self._newest = None

    def ago(self, now):
        """Return the age of the last confirmation, or -1 without any."""
        return -1.0 if self.at == NEVER else max(0.0, now - self.at)


class Freshness:
    """What was heard of, and what is proven; times on the own clock."""

    __slots__ = ("heard", "proven")

    def __init__(self, machine):
        self.heard = Confirmation(machine)
        self.proven = Confirmation(machine)

    def confirm(self, at, commit):
        """Take in what a majority confirmed to this instance itself."""
        self.heard.take(at, commit)
        self.proven.take(at, commit)

    def hear(self, ago, commit, now):
        """Take in an age that came with a message."""
        if ago >= 0:
            self.heard.take(now - ago, commit)

    def prove(self, ago, commit, asked_at):
        """Take in the age in an answer to what was asked at ``asked_at``."""
        if ago >= 0:
            self.proven.take(asked_at - ago, commit)
            self.heard.take(asked_at - ago, commit)

    def applied(self):
        """Take note that the applied version grew."""
        self.heard.applied()
        self.proven.applied()

    def stale(self, now):
        """Tell whether nothing was confirmed for a while."""
        return now - self.heard.at > STALE_AFTER
