"""The clock of the process."""

import time

from dandeliontrail import interfaces


class MonotonicClock(interfaces.Clock):
    """The system's monotonic clock, which no one can set back."""

    def now(self):
        """Return seconds since some moment before the start."""
        return time.monotonic()
