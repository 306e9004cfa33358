"""Renders API responses as tables for a terminal."""

from hdrh import histogram
import msgspec
import rich.table

MICROSECONDS_PER_MS = 1000.0
# Omitted from listings: they repeat the title or are too wide.
HIDDEN_COLUMNS = ("announcement", "kind", "spec")


class Series(msgspec.Struct):
    """One encoded HdrHistogram, as an instance returns it."""

    metric: str
    by: str
    name: str
    count: int
    encoded: str


class Quantiles(msgspec.Struct):
    """Quantiles of a histogram merged over instances, in milliseconds."""

    by: str
    name: str
    metric: str
    count: int
    p50: float
    p95: float
    p99: float


def merge_histograms(series):
    """Return one histogram with the values of all ``series``."""
    first, *rest = [
        histogram.HdrHistogram.decode(item.encoded) for item in series
    ]
    for other in rest:
        first.add(other)
    return first


def quantiles(series):
    """Return the :class:`Quantiles` of each key of ``series``.

    ``series`` maps (by, name, metric) to the histograms to merge.
    """
    return [
        _quantiles_of(key, merge_histograms(parts))
        for key, parts in sorted(series.items())
    ]


def _quantiles_of(key, merged):
    values = [
        round(
            merged.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS, 3
        )
        for percentile in (50.0, 95.0, 99.0)
    ]
    return Quantiles(*key, merged.get_total_count(), *values)


def latency(rows):
    """Return a table of latency :class:`Quantiles`."""
    table = rich.table.Table(title="Latency, ms")
    for heading in Quantiles.__struct_fields__:
        table.add_column(heading, justify=_justification(heading))
    for row in rows:
        table.add_row(
            row.by,
            row.name,
            row.metric.removesuffix("_ms"),
            str(row.count),
            f"{row.p50:.1f}",
            f"{row.p95:.1f}",
            f"{row.p99:.1f}",
        )
    return table


def _justification(heading):
    return "left" if heading in ("by", "name", "metric") else "right"


def status(rows):
    """Return a table with one row for each instance.

    Nested fields other than ``waiting`` are omitted; ``--output json``
    shows them.
    """
    table = rich.table.Table(title="Instances")
    headings = [
        heading
        for heading, value in rows[0].items()
        if heading == "waiting" or not isinstance(value, (dict, list))
    ]
    for heading in headings:
        table.add_column(column_title(heading), overflow="fold")
    for row in rows:
        table.add_row(*[cell(row.get(heading)) for heading in headings])
    return table


def column_title(heading):
    """Return the heading of a column, from the name of its field."""
    return heading.replace("_", " ")


def listing(value):
    """Return a table of all objects of a kind, or of a single object."""
    items = value["items"] if "items" in value else [value]
    table = rich.table.Table(title=value["kind"])
    rows = [_listing_row(item) for item in items]
    headings = list(rows[0]) if rows else ["name"]
    for heading in headings:
        table.add_column(column_title(heading), overflow="fold")
    for row in rows:
        table.add_row(*[cell(row.get(heading)) for heading in headings])
    return table


def _listing_row(item):
    """Return one object as a flat mapping from column to value.

    The spec fields follow the name, because they are what operators look
    for in a listing.  Of the status, only the conditions and where the
    object is in force are included.
    """
    row = {
        key: item[key]
        for key in item
        if key not in (*HIDDEN_COLUMNS, "status")
    }
    row.update(item.get("spec") or {})
    found = item.get("status")
    if found:
        row["conditions"] = found.get("conditions")
        row["in force"] = _in_force(found.get("in_force"))
    return row


def _in_force(found):
    return f"{found['instances']} of {found['of']}" if found else ""


def description(value):
    """Yield a table for each nested mapping of an object, then its scalars."""
    for key, field_value in value.items():
        if isinstance(field_value, dict):
            yield _key_value_table(key, field_value)
    yield _key_value_table("object", _scalar_fields(value))


def _scalar_fields(value):
    return {
        key: field_value
        for key, field_value in value.items()
        if not isinstance(field_value, dict)
    }


def _key_value_table(title, mapping):
    table = rich.table.Table(title=title, show_header=False)
    table.add_column("key")
    table.add_column("value", overflow="fold")
    for key, field_value in mapping.items():
        table.add_row(column_title(key), cell(field_value))
    return table


def cell(value):
    """Return the text of one table cell; nested values are flattened."""
    if value is None or value == [] or value == {}:
        return ""
    if isinstance(value, list) and all(isinstance(x, str) for x in value):
        return ", ".join(_shorten_hash(text) for text in value)
    if isinstance(value, dict):
        return ", ".join(
            f"{key}: {cell(field_value)}"
            for key, field_value in value.items()
            if field_value not in (None, "", [], {})
        )
    if isinstance(value, list):
        return ", ".join(_list_item_text(field_value) for field_value in value)
    return _shorten_hash(str(value))


def _list_item_text(value):
    """Return the name of an object in a list, or else its flattened text."""
    if isinstance(value, dict) and "name" in value:
        return str(value["name"])
    return cell(value)


def _shorten_hash(text):
    """Truncate the hash of a key; nobody compares its digits by eye."""
    return text[:19] + "…" if text.startswith("sha256:") else text
