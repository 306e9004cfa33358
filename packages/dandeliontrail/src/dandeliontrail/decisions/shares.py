"""The minimum share of each class.

Made for days on which higher classes alone would fill every engine: strict
priority starves the overnight reviews.  A class that has waited and is
below its share goes first, until it has its share again.  Protection holds
beside it, because the shares of the lower classes are small and known: a
higher class gets all but these, and is neither shed nor preempted for them.
"""

import math

# Shares are measured over about this many seconds.
HALF_LIFE = 5.0
# A class claims its share only after waiting this long: below that, its
# turn comes by itself and the claim would only disturb the order.
PATIENCE = 1.0


class Shares:
    """Tokens placed by class, fading with time."""

    __slots__ = ("_placed", "_total", "_faded")

    def __init__(self):
        self._placed = {}
        self._total = 0.0
        self._faded = 0.0

    def fade(self, now):
        """Let the past count for less."""
        passed = now - self._faded
        if passed <= 0.0:
            return
        self._faded = now
        factor = math.exp(-passed * math.log(2.0) / HALF_LIFE)
        self._total *= factor
        for key in self._placed:
            self._placed[key] *= factor

    def placed(self, class_name, tokens):
        """Count tokens given to a class."""
        held = self._placed.get(class_name, 0.0)
        self._placed[class_name] = held + tokens
        self._total += tokens

    def below(self, class_name, minimum):
        """Tell whether a class has less than its minimum."""
        if minimum <= 0.0 or self._total <= 0.0:
            return False
        return self._placed.get(class_name, 0.0) < minimum * self._total
