"""Retry budget: whether and when work is tried again.

When an engine, or a rack of engines, crashes under load, all of its requests
would be retried at the same moment, in addition to the load that the other
engines already have, and could crash the next engine in the same way. So
retries after work has begun are limited to a small fraction of the traffic,
are spread over time, and are not allowed for sheddable work while there is no
free slot.

Work that certainly did not begin cost nothing and returns to its queue at
once, without using the budget. ``components.request_lifecycle`` makes sure
that non-repeatable work that may have begun is never offered for a retry.
"""

import heapq

# Retries added to the budget per admitted request, up to a small maximum,
# which covers an engine's batch once in a while.
RETRIES_PER_REQUEST = 0.1
MAX_BUDGET = 32.0
# Retries are delayed by a random part of this time, multiplied by the share of
# the budget that is used up: a single failure is retried at once, many are
# spread out. A server answers some ten requests within this time.
MAX_JITTER_SECONDS = 1.0


class Retries:
    """The retry budget of one instance, and the retries being delayed."""

    __slots__ = ("budget", "_rng", "_delayed", "_sequence")

    def __init__(self, rng):
        self.budget = MAX_BUDGET
        self._rng = rng
        self._delayed = []
        self._sequence = 0

    def admitted(self):
        """Add to the budget for one admitted request."""
        self.budget = min(MAX_BUDGET, self.budget + RETRIES_PER_REQUEST)

    def allow(self, work, free):
        """Return whether ``work`` may be retried.

        ``free`` tells whether some server has a free slot.
        """
        if self.budget < 1.0 or (work.sheddable and not free):
            return False
        return True

    def delay(self, work, now):
        """Use the budget for one retry and delay it by a random time."""
        self._sequence += 1
        spread = MAX_JITTER_SECONDS * (1.0 - self.budget / MAX_BUDGET)
        due = now + self._rng.random() * spread
        heapq.heappush(self._delayed, (due, self._sequence, work))
        self.spend()

    def spend(self):
        """Use the budget for one retry."""
        self.budget -= 1.0

    def due(self, now):
        """Return the delayed retries that are due."""
        due = []
        while self._delayed and self._delayed[0][0] <= now:
            due.append(heapq.heappop(self._delayed)[2])
        return due

    def withdraw(self, request_id):
        """Remove a delayed retry; return its work or ``None``."""
        for entry in self._delayed:
            if entry[2].request_id == request_id:
                self._delayed.remove(entry)
                heapq.heapify(self._delayed)
                return entry[2]
        return None
