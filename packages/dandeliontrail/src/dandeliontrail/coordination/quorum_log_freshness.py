"""Bounds on how old the state of this instance may be.

A leader that hears from a majority knows that no other leader has committed
anything in the meantime.  It passes this confirmation on in its messages,
and instances pass it on to each other, as an age in seconds: no common clock
is needed, and on a partitioned instance the age grows.

An age received in a message is too low by the transit time of the message.
That is accurate enough to report staleness after ten seconds.  A guaranteed
(*proven*) bound needs a request and a reply: the requester counts from the
time at which it sent the request, which was before the reply was made.
"""

# Confirmations arrive about every second.  After this long without one, an
# instance reports that its state is stale.
STALE_AFTER_SECONDS = 10.0
NEVER = float("-inf")


class Confirmation:
    """The last time at which this instance had all committed entries."""

    __slots__ = ("at", "_machine", "_waiting", "_newest")

    def __init__(self, machine):
        self.at = NEVER
        self._machine = machine
        self._waiting = None
        self._newest = None

    def record(self, at, commit):
        """Record that ``commit`` was the commit index at time ``at``."""
        if at <= self.at:
            return
        if self._machine.applied >= commit:
            self.at = at
        elif self._waiting is None:
            self._waiting = (at, commit)
        else:
            self._newest = (at, commit)

    def on_applied(self):
        """Update the confirmation after more entries were applied.

        The oldest unconfirmed commit index is kept until it is reached, so
        that an instance which is always slightly behind still counts as
        fresh.
        """
        while self._waiting and self._machine.applied >= self._waiting[1]:
            self.at = max(self.at, self._waiting[0])
            self._waiting = self._newest
            self._newest = None

    def age(self, now):
        """Return the seconds since the last confirmation, or -1 if none."""
        return -1.0 if self.at == NEVER else max(0.0, now - self.at)


class Freshness:
    """The last heard and the last proven confirmation, on the local clock."""

    __slots__ = ("heard", "proven")

    def __init__(self, machine):
        self.heard = Confirmation(machine)
        self.proven = Confirmation(machine)

    def confirm(self, at, commit):
        """Record a confirmation that a majority gave to this leader."""
        self.heard.record(at, commit)
        self.proven.record(at, commit)

    def record_heard(self, age, commit, now):
        """Record an age that was received in a message."""
        if age >= 0:
            self.heard.record(now - age, commit)

    def record_proven(self, age, commit, asked_at):
        """Record the age in the reply to a request sent at ``asked_at``."""
        if age >= 0:
            self.proven.record(asked_at - age, commit)
            self.heard.record(asked_at - age, commit)

    def on_applied(self):
        """Update both confirmations after more entries were applied."""
        self.heard.on_applied()
        self.proven.on_applied()

    def stale(self, now):
        """Return whether the last confirmation is too long ago."""
        return now - self.heard.at > STALE_AFTER_SECONDS
