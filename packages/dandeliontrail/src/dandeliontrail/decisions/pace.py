"""The pace of a server beside the usual pace of each class.

Made for one slow engine whose own reports say that all is well: its first
tokens and the gaps between its tokens tell otherwise within a few requests.
Classes differ in prompt and length, so that each is compared with itself;
and all servers slow down together under load, so that a server is compared
with the median of the others.
"""

import statistics

# The usual pace follows within about a hundred samples; a single slow
# server among ten moves it by less than it moves that server's own ratio.
WEIGHT = 0.02
# A single sample beyond this counts as this: one stall is no verdict.
MOST_RATIO = 6.0
# This many samples make a verdict, and this is the weight of a new one.
FEW_SAMPLES = 4
SAMPLE_WEIGHT = 0.2
# Gaps vary little from answer to answer; the first token varies with the
# prompts before it, so that more is needed for a verdict.
SLOW_GAP = 1.8
SLOW_FIRST = 3.0
# Back in service below this part of the verdict's ratio.
RECOVERED = 0.75


class Ratio:
    """A smoothed ratio to the usual pace."""

    __slots__ = ("value", "samples")

    def __init__(self):
        self.value = 1.0
        self.samples = 0

    def add(self, ratio):
        """Take in one sample."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (ratio - self.value)


class Pace:
    """The usual first-token time and gap by class."""

    __slots__ = ("_usual",)

    def __init__(self):
        self._usual = {}

    def ratio(self, kind, class_name, value):
        """Return ``value`` over the usual one, and learn from it."""
        key = (kind, class_name)
        usual = self._usual.get(key)
        if usual is None:
            self._usual[key] = max(value, 1e-6)
            return 1.0
        ratio = min(value / usual, MOST_RATIO)
        self._usual[key] = usual * (1.0 + WEIGHT * (min(ratio, 2.0) - 1.0))
        return ratio

    def usual(self, kind, class_name, default):
        """Return the usual value, or ``default`` before the first sample."""
        return self._usual.get((kind, class_name), default)


class Medians:
    """The median ratios over all engines, taken once a second."""

    __slots__ = ("gap", "first")

    def __init__(self):
        self.gap = 1.0
        self.first = 1.0

    def update(self, engines):
        """Take the medians anew."""
        gaps = [e.gap.value for e in engines if e.gap.samples]
        firsts = [e.first.value for e in engines if e.first.samples]
        self.gap = statistics.median(gaps) if gaps else 1.0
        self.first = statistics.median(firsts) if firsts else 1.0

    def slow(self, engine):
        """Tell whether an engine is far behind the others."""
        part = RECOVERED if engine.slow else 1.0
        return _beyond(engine.gap, self.gap * SLOW_GAP * part) or _beyond(
            engine.first, self.first * SLOW_FIRST * part
        )

    def relative(self, engine):
        """Return the pace of an engine as a multiple of the median."""
        return max(0.2, engine.gap.value / self.gap)


def _beyond(ratio, most):
    return ratio.samples >= FEW_SAMPLES and ratio.value > most
