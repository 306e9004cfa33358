"""Tables that people can read."""

from hdrh import histogram
import rich.table

import msgspec

MICROSECONDS = 1000.0
QUANTILES = (50.0, 95.0, 99.0)


class Series(msgspec.Struct):
    """One histogram, as an instance sends it."""

    metric: str
    by: str
    name: str
    count: int
    encoded: str


def merged(series):
    """Return one histogram with all the values of ``series``."""
    first, *rest = [
        histogram.HdrHistogram.decode(item.encoded) for item in series
    ]
    for other in rest:
        first.add(other)
    return first


def histograms(series):
    """Return a table of merged histograms, in milliseconds."""
    table = rich.table.Table(title="Latency, ms")
    for heading in ("by", "name", "metric", "count", "p50", "p95", "p99"):
        table.add_column(heading)
    for (by, name, metric), parts in sorted(series.items()):
        held = merged(parts)
        values = [
            f"{held.get_value_at_percentile(quantile) / MICROSECONDS:.1f}"
            for quantile in QUANTILES
        ]
        count = str(held.get_total_count())
        table.add_row(by, name, metric, count, *values)
    return table


def status(rows):
    """Return a table with one line for each instance."""
    table = rich.table.Table(title="Instances")
    headings = (
        "instance",
        "failure_domain",
        "version",
        "open_requests",
        "serving_backend_servers",
        "instances_heard",
    )
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*[str(row[heading]) for heading in headings])
    return table


def objects(listing):
    """Return a table of the objects of one kind."""
    table = rich.table.Table(title=listing["kind"])
    items = listing["items"]
    headings = _headings(items)
    for heading in headings:
        table.add_column(heading)
    for item in items:
        table.add_row(*[_cell(item.get(key)) for key in headings])
    return table


def _headings(items):
    if not items:
        return ["name"]
    return [key for key in items[0] if key not in ("announcement", "kind")]


def _cell(value):
    if isinstance(value, (dict, list)):
        return msgspec.json.encode(value).decode()
    return str(value)
