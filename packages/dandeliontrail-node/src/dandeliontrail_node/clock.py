"""The clock of the process."""

import time

from dandeliontrail import interfaces


class MonotonicClock(interfaces.Clock):
    """The time since the machine started, which no one can set back.

    It counts on while the machine is suspended, unlike ``time.monotonic``.
    Leases and proofs of how recent some state is age meanwhile: without
    that, an instance that wakes up would act on state as old as its sleep.
    """

    def now(self):
        """Return seconds since some moment before the start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
