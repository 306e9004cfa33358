"""Estimates how long a queue takes from the recent rate of placements."""

import collections

# Placements within this time count: long enough for a few at the rate of a
# busy instance, short enough to follow a burst.
WINDOW_SECONDS = 3.0
# No rate is derived before the oldest placement in the window is this old: a
# queue that has just begun has shown no rate yet.
MIN_OBSERVED_SECONDS = 1.0


class PlacementRate:
    """The prompt tokens placed per second, by service.

    >>> rate = PlacementRate()
    >>> for at in range(4):
    ...     rate.record("s", 300, float(at))
    >>> rate.estimate_seconds("s", 900, 3.0)
    3.0
    """

    def __init__(self):
        self._placed = collections.defaultdict(collections.deque)

    def record(self, service, tokens, now):
        """Record that work with ``tokens`` prompt tokens was placed."""
        self._placed[service].append((now, tokens))

    def estimate_seconds(self, service, tokens, now):
        """Return how long it takes to place ``tokens`` prompt tokens.

        Without enough recent placements the rate is unknown, and 0.0 is
        returned, so that no work is refused for it.
        """
        recent = self._placed[service]
        while recent and recent[0][0] < now - WINDOW_SECONDS:
            recent.popleft()
        if len(recent) < 2 or now - recent[0][0] < MIN_OBSERVED_SECONDS:
            return 0.0
        total = sum(count for _, count in recent)
        return tokens * (now - recent[0][0]) / total
