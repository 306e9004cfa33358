"""Detects slow servers by comparing their latency with the usual one.

A slow engine may report that all is well, but its time to first token and the
gaps between its tokens show it within a few requests.  Request classes differ
in prompt and answer length, so each sample is compared with the usual latency
of its class; and all servers slow down together under load, so a server is
compared with the median of all.
"""

import statistics

# Weight of a sample in the usual latency of a class, which thus follows
# within about a hundred samples.  A single slow server among ten moves the
# usual latency by less than it moves that server's own ratio.
BASELINE_WEIGHT = 0.02
# Ratios are capped at this: one stall does not make a server slow.
MAX_RATIO = 6.0
# A server is judged from this many samples on; the other figure is the least
# weight of a new sample.
MIN_SAMPLES = 4
SAMPLE_WEIGHT = 0.2
# A server is slow if its ratio exceeds the median by these factors.  Gaps
# vary little between answers; the time to first token varies with the prompts
# that are served before, so its factor is larger.
SLOW_GAP_FACTOR = 1.8
SLOW_FIRST_FACTOR = 3.0
# A slow server counts as recovered below this fraction of the threshold.
RECOVERY_FRACTION = 0.75


class SmoothedRatio:
    """A moving average of the ratio of samples to the usual latency."""

    __slots__ = ("value", "samples")

    def __init__(self):
        self.value = 1.0
        self.samples = 0

    def add(self, ratio):
        """Add one sample."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (ratio - self.value)


class LatencyBaseline:
    """The usual time to first token and gap between tokens, by class.

    The ``kind`` of a sample says which of the two it is; it is part of the
    key under which the usual value is stored.
    """

    __slots__ = ("_usual",)

    def __init__(self):
        self._usual = {}

    def ratio(self, kind, class_name, value):
        """Return ``value`` divided by the usual one, and update that."""
        key = (kind, class_name)
        usual = self._usual.get(key)
        if usual is None:
            self._usual[key] = max(value, 1e-6)
            return 1.0
        ratio = min(value / usual, MAX_RATIO)
        self._usual[key] = usual * (
            1.0 + BASELINE_WEIGHT * (min(ratio, 2.0) - 1.0)
        )
        return ratio

    def usual(self, kind, class_name, default):
        """Return the usual value, or ``default`` before the first sample."""
        return self._usual.get((kind, class_name), default)


class Medians:
    """The median ratios over all engines, updated once a second."""

    __slots__ = ("gap", "first")

    def __init__(self):
        self.gap = 1.0
        self.first = 1.0

    def update(self, engines):
        """Compute the medians of the engines that have samples."""
        gaps = [e.gap.value for e in engines if e.gap.samples]
        firsts = [e.first.value for e in engines if e.first.samples]
        self.gap = statistics.median(gaps) if gaps else 1.0
        self.first = statistics.median(firsts) if firsts else 1.0

    def slow(self, engine):
        """Return whether an engine is much slower than the median.

        The threshold is lower for an engine that counts as slow already.
        """
        fraction = RECOVERY_FRACTION if engine.slow else 1.0
        return _exceeds(
            engine.gap, self.gap * SLOW_GAP_FACTOR * fraction
        ) or _exceeds(engine.first, self.first * SLOW_FIRST_FACTOR * fraction)

    def relative(self, engine):
        """Return an engine's gap as a multiple of the median, 0.2 or more."""
        return max(0.2, engine.gap.value / self.gap)


def _exceeds(ratio, threshold):
    return ratio.samples >= MIN_SAMPLES and ratio.value > threshold
