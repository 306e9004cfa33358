"""Whether and when work is tried a second time.

Made for an engine, or a rack of them, that crashes under load: every
request that it had would come again at the same moment, on top of what
the others get, and could take the next engine down in the same way.  So
retries after work has begun are a small part of the traffic, come spread
over a while, and are not for sheddable work while there is no free slot.

Work that certainly did not begin cost nobody anything and goes back to its
queue at once, without a budget.  That non-repeatable work which may have
begun never comes here is the part of ``components.life``.
"""

import heapq

# One retry for so many admitted requests, kept up to a small stock, which
# is enough for an engine's batch once in a while.
PART = 0.1
STOCK = 32.0
# A lone failure is tried again at once; the more of the stock is gone, the
# wider retries are spread, up to this long, in which a server answers some
# ten requests.
JITTER_SECONDS = 1.0


class Retries:
    """The budget of one instance, and the work that waits for its moment."""

    __slots__ = ("stock", "_rng", "_delayed", "_number")

    def __init__(self, rng):
        self.stock = STOCK
        self._rng = rng
        self._delayed = []
        self._number = 0

    def admitted(self):
        """Count a request that was admitted."""
        self.stock = min(STOCK, self.stock + PART)

    def allow(self, work, free):
        """Tell whether ``work`` may be tried again.

        ``free`` tells that some server has a free slot.
        """
        if self.stock < 1.0 or (work.sheddable and not free):
            return False
        return True

    def delay(self, work, now):
        """Count a retry and hold it back for a moment drawn by lot."""
        self._number += 1
        spread = JITTER_SECONDS * (1.0 - self.stock / STOCK)
        due = now + self._rng.random() * spread
        heapq.heappush(self._delayed, (due, self._number, work))
        self.spend()

    def spend(self):
        """Count a retry."""
        self.stock -= 1.0

    def due(self, now):
        """Return the work whose moment has come."""
        found = []
        while self._delayed and self._delayed[0][0] <= now:
            found.append(heapq.heappop(self._delayed)[2])
        return found

    def withdraw(self, request_id):
        """Take out work that is held back; return it or ``None``."""
        for entry in self._delayed:
            if entry[2].request_id == request_id:
                self._delayed.remove(entry)
                heapq.heapify(self._delayed)
                return entry[2]
        return None
