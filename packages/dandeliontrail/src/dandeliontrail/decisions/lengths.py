"""Expected output length, learned per class and organisation.

Lengths are unknown in advance.  What is needed is not the mean but an upper
quantile: a request that runs longer than thought holds memory which had
been promised to others.
"""

# Nine in ten requests stay under the learned length.
QUANTILE = 0.9
# The estimate moves by this part of itself per answer: it follows a new
# workload within about fifty answers and one odd answer moves it little.
STEP = 0.05
FIRST_GUESS = 256.0
SHORTEST = 8.0


class Lengths:
    """A quantile and a mean by stochastic approximation, without samples.

    The quantile rises by ``STEP * QUANTILE`` when an answer is longer and
    falls by ``STEP * (1 - QUANTILE)`` when it is not, which balances where
    the wanted share of answers is shorter (Robbins and Monro, 1951).
    """

    __slots__ = ("_upper", "_mean")

    def __init__(self):
        self._upper = {}
        self._mean = {}

    def learn(self, work, output_tokens):
        """Take in the length of a whole answer."""
        for key in _keys(work):
            held = self._upper.get(key, FIRST_GUESS)
            up = output_tokens > held
            factor = STEP * QUANTILE if up else -STEP * (1.0 - QUANTILE)
            self._upper[key] = max(SHORTEST, held * (1.0 + factor))
            mean = self._mean.get(key, float(output_tokens))
            self._mean[key] = mean + STEP * (output_tokens - mean)

    def upper(self, work):
        """Return the length that nine in ten answers stay under."""
        held = _first(self._upper, work, FIRST_GUESS)
        if work.max_output_tokens:
            return min(held, float(work.max_output_tokens))
        return held

    def mean(self, work):
        """Return the expected length."""
        return _first(self._mean, work, FIRST_GUESS)


def _keys(work):
    # The class alone serves for an organisation not seen before.
    return (
        (work.class_name, work.organisation),
        (work.class_name, ""),
    )


def _first(table, work, default):
    for key in _keys(work):
        held = table.get(key)
        if held is not None:
            return held
    return default
