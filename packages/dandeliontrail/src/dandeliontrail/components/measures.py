"""What the life of a request adds to the histograms."""

from ..effects import reports


def since_received(work, metric, now):
    """Return the time since the request came in, as a measure."""
    passed = (now - work.received) * 1000.0
    return reports.Measure(metric, work.class_name, work.organisation, passed)


def gaps(work, gaps_ms):
    """Return the times between two outputs, each as a measure."""
    return [
        reports.Measure(
            reports.Metric.BETWEEN_TOKENS,
            work.class_name,
            work.organisation,
            gap,
        )
        for gap in gaps_ms
    ]
