"""Estimates how many prompt tokens a second an engine prefills.

The estimate is the tokens of recent prompts divided by the time that they
took, so that prompts which an engine finishes in the same step count together
and not as one slow and one infinitely fast prompt.
"""

# Assumed while no engine of the service has been measured.
TYPICAL_PACE = 50_000.0
# Each newer sample multiplies the weight of older ones by this.
OLDER_WEIGHT = 0.8
# Shorter prompts give no sample: the time that messages take is too large a
# part of theirs.
MIN_SAMPLE_TOKENS = 4_000
# The typical pace has the weight of one sample of this many tokens.
TYPICAL_TOKENS = 10_000.0
# A prompt that takes more than this multiple of the expected time lowers the
# pace before it ends.
MAX_EXPECTED_RATIO = 3.0


def median_pace(paces):
    """Return the typical pace of a service given its engines' known paces.

    >>> median_pace([30_000.0, 50_000.0, 80_000.0])
    50000.0
    >>> median_pace([])
    50000.0
    """
    if not paces:
        return TYPICAL_PACE
    ordered = sorted(paces)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2


class PaceEstimate:
    """The pace of one engine, in tokens per second.

    >>> estimate = PaceEstimate(50_000.0)
    >>> estimate.add(10_000, 0.6)
    >>> estimate.value()
    25000.0
    """

    __slots__ = ("typical", "is_known", "_tokens", "_seconds")

    def __init__(self, typical):
        self.typical = typical
        self.is_known = False
        self._tokens = 0.0
        self._seconds = 0.0

    def add(self, tokens, seconds):
        """Add a prompt that took ``seconds``, unless it is too short."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self.is_known = True
        self._tokens = self._tokens * OLDER_WEIGHT + tokens
        self._seconds = self._seconds * OLDER_WEIGHT + seconds

    def value(self):
        """Return the pace according to the prompts that have ended."""
        seconds = self._seconds + TYPICAL_TOKENS / self.typical
        return (self._tokens + TYPICAL_TOKENS) / seconds

    def value_while(self, tokens, seconds):
        """Return the pace while ``tokens`` have taken ``seconds`` so far.

        Few tokens count as those of the shortest sample, since the time that
        messages take would else make the engine appear slow.
        """
        value = self.value()
        tokens = max(tokens, MIN_SAMPLE_TOKENS)
        if seconds * value <= MAX_EXPECTED_RATIO * tokens:
            return value
        return min(value, tokens / seconds)
