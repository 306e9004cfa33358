"""``PagedCounts`` compared with the ``HdrHistogram`` of the library."""

from dandeliontrail import effects
from dandeliontrail.effects import reports
from dandeliontrail_node import metrics
from dandeliontrail_node import paged_counts
from hdrh import histogram
from hypothesis import given
from hypothesis import strategies as st

VALUES = st.integers(-5, 2 * paged_counts.MAX_VALUE)
PERCENTILES = [1.0, 50.0, 95.0, 99.9, 100.0]


@given(st.lists(VALUES | st.integers(1, 1000), min_size=1))
def test_paged_counts_agree_with_a_whole_histogram(values):
    paged = paged_counts.PagedCounts()
    whole = histogram.HdrHistogram(
        paged_counts.MIN_VALUE,
        paged_counts.MAX_VALUE,
        paged_counts.SIGNIFICANT_DIGITS,
    )
    for value in values:
        paged.record(value)
        clamped = max(
            paged_counts.MIN_VALUE, min(value, paged_counts.MAX_VALUE)
        )
        whole.record_value(clamped)
    assert paged.to_hdr_histogram().encode() == whole.encode()
    assert paged.quantiles(PERCENTILES) == [
        whole.get_value_at_percentile(share) for share in PERCENTILES
    ]


def test_counts_do_not_overflow():
    paged = paged_counts.PagedCounts()
    for _ in range(70_000):
        paged.record(5000)
    assert paged.to_hdr_histogram().get_total_count() == 70_000


def test_text_can_be_restricted_to_classes():
    registry = metrics.Metrics()
    registry.record(
        effects.Measure(reports.Metric.TOTAL, "intake", "lab", 12.5)
    )
    assert 'organisation="lab"' in registry.text()
    assert 'organisation="lab"' not in registry.text("class")
    assert 'total_ms_count{class="intake"} 1' in registry.text("class")
