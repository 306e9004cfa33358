"""Latency measures of requests, for the histograms."""

from ..effects import reports


def since_received(work, metric, now):
    """Return the time since the request was received, as a measure."""
    elapsed_ms = (now - work.received) * 1000.0
    return reports.Measure(
        metric, work.class_name, work.organisation, elapsed_ms
    )


def between_tokens(work, gaps_ms):
    """Return one measure for each gap between two outputs."""
    return [
        reports.Measure(
            reports.Metric.BETWEEN_TOKENS,
            work.class_name,
            work.organisation,
            gap,
        )
        for gap in gaps_ms
    ]
