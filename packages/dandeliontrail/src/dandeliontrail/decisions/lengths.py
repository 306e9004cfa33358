"""Expected output lengths, learned per class and organisation.

The output length of a request is not known in advance. Its mean is not enough
for planning: a request that runs longer than expected uses memory that had
been planned for others. So an upper quantile is learned as well.
"""

# Share of answers that are shorter than the learned upper length.
QUANTILE = 0.9
# Relative change of the estimate per answer. It adapts to a new workload
# within about fifty answers, and a single unusual answer changes it little.
STEP = 0.05
INITIAL_LENGTH_TOKENS = 256.0
MIN_LENGTH_TOKENS = 8.0


class Lengths:
    """A quantile and a mean by stochastic approximation, without samples.

    The quantile rises by ``STEP * QUANTILE`` when an answer is longer and
    falls by ``STEP * (1 - QUANTILE)`` when it is not. It settles where the
    wanted share of answers is shorter (Robbins and Monro, 1951).
    """

    __slots__ = ("_upper", "_mean")

    def __init__(self):
        self._upper = {}
        self._mean = {}

    def learn(self, work, output_tokens):
        """Learn from the length of a complete answer."""
        for key in _keys(work):
            length = self._upper.get(key, INITIAL_LENGTH_TOKENS)
            longer = output_tokens > length
            factor = STEP * QUANTILE if longer else -STEP * (1.0 - QUANTILE)
            self._upper[key] = max(MIN_LENGTH_TOKENS, length * (1.0 + factor))
            mean = self._mean.get(key, float(output_tokens))
            self._mean[key] = mean + STEP * (output_tokens - mean)

    def high_quantile(self, work):
        """Return the length, in tokens, that 90 % of answers stay under."""
        length = _look_up(self._upper, work, INITIAL_LENGTH_TOKENS)
        if work.max_output_tokens:
            return min(length, float(work.max_output_tokens))
        return length

    def mean(self, work):
        """Return the expected length in tokens."""
        return _look_up(self._mean, work, INITIAL_LENGTH_TOKENS)


def _keys(work):
    # The entry of the class alone is used for an organisation that has not
    # been seen before.
    return (
        (work.class_name, work.organisation),
        (work.class_name, ""),
    )


def _look_up(table, work, default):
    for key in _keys(work):
        found = table.get(key)
        if found is not None:
            return found
    return default
