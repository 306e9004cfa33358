"""The places of a brittle server, as the holder of its permits counts them.

A server that falls over if it has to turn too many requests away may get no
more at a time than it has places for, from all instances together.  Each
instance reports how many places it uses; what was granted since its report is
counted on top.  So a report that is lost, late or doubled frees no place that
is in use, and the next one corrects the count.
"""

import collections

import msgspec

# An instance that has not reported for this long has ended, and its requests
# with it.
REPORT_TTL_SECONDS = 2.5
# A grant that no report has confirmed for this long was lost, or its permits
# have expired unused.
GRANT_TTL_SECONDS = 3.5
# A new holder grants nothing for this long, in which all instances that use
# places report to it.
SETTLE_SECONDS = 1.0
# The rate of the grants is that of the last seconds.
RATE_SECONDS = 2.0
MIN_RATE = 0.1


class _Grant(msgspec.Struct):
    """Places granted to an instance; ``serial`` is 0 until it is sent."""

    at: float
    serial: int = 0


class _Use(msgspec.Struct):
    """What one instance uses: its last report, and grants since then."""

    incarnation: int
    in_use: int
    reported_at: float
    grants: list = msgspec.field(default_factory=list)


class PlaceLedger:
    """Counts the places of one brittle server.

    >>> ledger = PlaceLedger(0.0)
    >>> ledger.update(4, SETTLE_SECONDS)
    >>> ledger.free()
    4
    """

    __slots__ = ("_count", "_uses", "_granted_at", "_since")

    def __init__(self, now):
        self._count = 0
        self._uses = {}
        self._granted_at = collections.deque()
        self._since = now

    def update(self, count, now):
        """Set the number of places, and drop what has expired."""
        has_settled = now - self._since >= SETTLE_SECONDS
        self._count = count if has_settled else 0
        for name, use in list(self._uses.items()):
            use.grants = [
                item
                for item in use.grants
                if now - item.at < GRANT_TTL_SECONDS
            ]
            is_old = now - use.reported_at >= REPORT_TTL_SECONDS
            if is_old and not use.grants:
                del self._uses[name]
        while self._granted_at and now - self._granted_at[0] > RATE_SECONDS:
            self._granted_at.popleft()

    def free(self):
        """Return how many places nobody uses."""
        return self._count - sum(
            use.in_use + len(use.grants) for use in self._uses.values()
        )

    def report(self, asker, in_use, seen, now):
        """Enter what an instance reports.

        ``seen`` is the serial of the last grant that it has counted.
        """
        use = self._uses.get(asker.instance)
        if use is None or use.incarnation != asker.incarnation:
            use = _Use(asker.incarnation, 0, now)
            self._uses[asker.instance] = use
        use.in_use = in_use
        use.reported_at = now
        use.grants = [
            item
            for item in use.grants
            if not item.serial or item.serial > seen
        ]

    def take(self, asker, now):
        """Grant one place to an instance that has asked."""
        self._uses[asker.instance].grants.append(_Grant(now))
        self._granted_at.append(now)

    def sent(self, asker, serial, now):
        """Record the serial under which an instance's places are sent."""
        use = self._uses.get(asker.instance)
        for grant in use.grants if use else ():
            grant.serial = grant.serial or serial

    def rate(self, now):
        """Return how many places a second were granted lately."""
        seconds = max(0.1, min(RATE_SECONDS, now - self._since))
        return max(MIN_RATE, len(self._granted_at) / seconds)

    def seconds_to_next(self):
        """Return about how long it takes until a place is free."""
        if self.free() > 0:
            return 0.0
        return RATE_SECONDS / max(1, len(self._granted_at))
