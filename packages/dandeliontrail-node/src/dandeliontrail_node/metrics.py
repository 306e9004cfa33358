"""Counters, and histograms by request class and by organisation.

Values are recorded in microseconds with two significant digits.
"""

import collections

import msgspec

from . import paged_counts

MICROSECONDS_PER_MS = 1000.0
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


class Series(msgspec.Struct):
    """One histogram as it is sent to programs that merge histograms."""

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
        """Record one ``effects.Measure``."""
        value = int(measure.value_ms * MICROSECONDS_PER_MS)
        metric = measure.metric.value
        self._record((metric, "class", measure.class_name), value)
        self._record((metric, "organisation", measure.organisation), value)

    def _record(self, key, value):
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = paged_counts.PagedCounts()
            self._histograms[key] = histogram
        histogram.record(value)

    def series(self):
        """Return all histograms in encoded form."""
        return [
            Series(
                metric,
                by,
                name,
                histogram.total,
                histogram.to_hdr_histogram().encode().decode("ascii"),
            )
            for (metric, by, name), histogram in sorted(
                self._histograms.items()
            )
        ]

    def text(self, by=""):
        """Return all metrics in the Prometheus text format.

        ``by`` restricts the histograms to ``class`` or ``organisation``: with
        1,600 organisations their histograms take over 2 MB, too much to be
        scraped every few seconds.
        """
        lines = []
        for name, value in sorted(self.counters.items()):
            lines.append(f"dandeliontrail_{name} {value}")
        for (metric, kind, name), histogram in sorted(
            self._histograms.items()
        ):
            if by in ("", kind):
                lines.extend(_summary(metric, kind, name, histogram))
        return "\n".join(lines) + "\n"


def _summary(metric, by, name, histogram):
    family = f"dandeliontrail_{metric}"
    label = f'{by}="{name}"'
    for quantile, value in zip(QUANTILES, histogram.quantiles(QUANTILES)):
        share = quantile / 100.0
        milliseconds = value / MICROSECONDS_PER_MS
        yield f'{family}{{{label},quantile="{share:g}"}} {milliseconds:g}'
    yield f"{family}_count{{{label}}} {histogram.total}"
