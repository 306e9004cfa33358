"""The monotonic clock of an instance."""

import time

from dandeliontrail import interfaces


class MonotonicClock(interfaces.Clock):
    """The time since the host booted, which cannot be set back.

    Unlike ``time.monotonic`` it includes the time during which the host is
    suspended.  Leases and proofs of freshness must age during that time:
    otherwise an instance would act on outdated state after it wakes up.
    """

    def now(self):
        """Return the seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
