"""Histograms per class and per organisation, and counters.

Values are recorded in microseconds with two significant digits.
"""

import collections

import msgspec

from . import paged_counts

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
        self._counts = {}
        self.counters = collections.Counter()

    def record(self, measure):
        """Take in one ``effects.Measure``."""
        value = int(measure.value_ms * MICROSECONDS)
        metric = measure.metric.value
        self._record((metric, "class", measure.class_name), value)
        self._record((metric, "organisation", measure.organisation), value)

    def _record(self, key, value):
        held = self._counts.get(key)
        if held is None:
            held = paged_counts.PagedCounts()
            self._counts[key] = held
        held.record(value)

    def series(self):
        """Return every histogram in its encoded form."""
        return [
            Series(
                metric,
                by,
                name,
                held.total,
                held.whole().encode().decode("ascii"),
            )
            for (metric, by, name), held in sorted(self._counts.items())
        ]

    def text(self, by=""):
        """Return all in the Prometheus text format.

        ``by`` restricts it to ``class`` or ``organisation``: with 1,600
        organisations their part is over 2 MB, too much to be read every
        few seconds.
        """
        lines = []
        for name, value in sorted(self.counters.items()):
            lines.append(f"dandeliontrail_{name} {value}")
        for (metric, kind, name), held in sorted(self._counts.items()):
            if by in ("", kind):
                lines.extend(_summary(metric, kind, name, held))
        return "\n".join(lines) + "\n"


def _summary(metric, by, name, held):
    family = f"dandeliontrail_{metric}"
    label = f'{by}="{name}"'
    for quantile, value in zip(QUANTILES, held.quantiles(QUANTILES)):
        share = quantile / 100.0
        shown = value / MICROSECONDS
        yield f'{family}{{{label},quantile="{share:g}"}} {shown:g}'
    yield f"{family}_count{{{label}}} {held.total}"
