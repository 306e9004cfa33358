"""The minimum share of each request class.

Strict priority starves overnight reviews on days when higher classes alone
would fill every engine. A class that is below its minimum share, and whose
requests have waited, is served first until it has its share again. Higher
classes stay protected, because the minimum shares are small and known: a
higher class gets everything else, and is neither shed nor preempted for them.
"""

import math

# Half-life of the decaying token counts from which shares are measured.
HALF_LIFE_SECONDS = 5.0
# A class claims its share only after waiting this long. Before that its turn
# comes without a claim, which would only disturb the order.
MIN_WAIT_SECONDS = 1.0


class Shares:
    """Tokens placed by class, with exponential decay."""

    __slots__ = ("_tokens", "_total", "_decayed_at")

    def __init__(self):
        self._tokens = {}
        self._total = 0.0
        self._decayed_at = 0.0

    def decay(self, now):
        """Apply the decay since the last call."""
        elapsed = now - self._decayed_at
        if elapsed <= 0.0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed * math.log(2.0) / HALF_LIFE_SECONDS)
        self._total *= factor
        for key in self._tokens:
            self._tokens[key] *= factor

    def placed(self, class_name, tokens):
        """Count tokens of work placed for a class."""
        placed = self._tokens.get(class_name, 0.0)
        self._tokens[class_name] = placed + tokens
        self._total += tokens

    def below(self, class_name, minimum):
        """Return whether a class has less than its minimum share."""
        if minimum <= 0.0 or self._total <= 0.0:
            return False
        return self._tokens.get(class_name, 0.0) < minimum * self._total
