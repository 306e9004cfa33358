"""Histograms per class and per organisation.

Values are recorded in microseconds with two significant digits, from 1 µs
to 24 hours, which costs a fixed amount of memory for each histogram.
"""

import collections

from hdrh import histogram
import msgspec

LOWEST = 1
HIGHEST = 24 * 3600 * 1_000_000
DIGITS = 2
MICROSECONDS = 1000.0
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


class Series(msgspec.Struct):
    """One histogram as it is sent to those who merge them."""

    metric: str
    by: str
    name: str
    count: int
    encoded: str


class Metrics:
    """All histograms and counters of one instance."""

    def __init__(self):
        self._histograms = {}
        self.counters = collections.Counter()

    def record(self, measure):
        """Take in one ``effects.Measure``."""
        value = max(LOWEST, int(measure.value_ms * MICROSECONDS))
        metric = measure.metric.value
        self._record((metric, "class", measure.class_name), value)
        self._record((metric, "organisation", measure.organisation), value)

    def _record(self, key, value):
        held = self._histograms.get(key)
        if held is None:
            held = histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)
            self._histograms[key] = held
        held.record_value(min(value, HIGHEST))

    def series(self):
        """Return every histogram in its encoded form."""
        return [
            Series(
                metric,
                by,
                name,
                held.get_total_count(),
                held.encode().decode("ascii"),
            )
            for (metric, by, name), held in sorted(self._histograms.items())
        ]

    def text(self):
        """Return all in the Prometheus text format."""
        lines = []
        for name, value in sorted(self.counters.items()):
            lines.append(f"dandeliontrail_{name} {value}")
        for (metric, by, name), held in sorted(self._histograms.items()):
            lines.extend(_summary(metric, by, name, held))
        return "\n".join(lines) + "\n"


def _summary(metric, by, name, held):
    family = f"dandeliontrail_{metric}"
    label = f'{by}="{name}"'
    for quantile in QUANTILES:
        value = held.get_value_at_percentile(quantile) / MICROSECONDS
        share = quantile / 100.0
        yield f'{family}{{{label},quantile="{share:g}"}} {value:g}'
    yield f"{family}_count{{{label}}} {held.get_total_count()}"
