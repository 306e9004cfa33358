"""Counts in pages against the histograms of the library."""

from dandeliontrail import effects
from dandeliontrail.effects import reports
from dandeliontrail_node import metrics
from dandeliontrail_node import paged_counts
from hdrh import histogram
from hypothesis import given
from hypothesis import strategies as st

VALUES = st.integers(-5, 2 * paged_counts.HIGHEST)
PERCENTILES = [1.0, 50.0, 95.0, 99.9, 100.0]


@given(st.lists(VALUES | st.integers(1, 1000), min_size=1))
def test_paged_counts_agree_with_a_whole_histogram(values):
    paged = paged_counts.PagedCounts()
    whole = histogram.HdrHistogram(
        paged_counts.LOWEST, paged_counts.HIGHEST, paged_counts.DIGITS
    )
    for value in values:
        paged.record(value)
        clamped = max(paged_counts.LOWEST, min(value, paged_counts.HIGHEST))
        whole.record_value(clamped)
    assert paged.whole().encode() == whole.encode()
    assert paged.quantiles(PERCENTILES) == [
        whole.get_value_at_percentile(share) for share in PERCENTILES
    ]


def test_counts_do_not_overflow():
    paged = paged_counts.PagedCounts()
    for _ in range(70_000):
        paged.record(5000)
    assert paged.whole().get_total_count() == 70_000


def test_text_can_be_restricted_to_classes():
    held = metrics.Metrics()
    held.record(effects.Measure(reports.Metric.TOTAL, "intake", "lab", 12.5))
    assert 'organisation="lab"' in held.text()
    assert 'organisation="lab"' not in held.text("class")
    assert 'total_ms_count{class="intake"} 1' in held.text("class")
