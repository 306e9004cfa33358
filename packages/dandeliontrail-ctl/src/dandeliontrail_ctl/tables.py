"""Tables that people can read."""

from hdrh import histogram
import msgspec
import rich.table

MICROSECONDS = 1000.0
# Columns of a listing that would only repeat its title, or fill the screen.
HIDDEN = ("announcement", "kind", "spec")


class Series(msgspec.Struct):
    """One histogram, as an instance sends it."""

    metric: str
    by: str
    name: str
    count: int
    encoded: str


class Quantiles(msgspec.Struct):
    """A histogram merged over instances, in milliseconds."""

    by: str
    name: str
    metric: str
    count: int
    p50: float
    p95: float
    p99: float


def merged(series):
    """Return one histogram with all the values of ``series``."""
    first, *rest = [
        histogram.HdrHistogram.decode(item.encoded) for item in series
    ]
    for other in rest:
        first.add(other)
    return first


def quantiles(series):
    """Return the quantiles of a map from (by, name, metric) to series."""
    return [
        _quantiles_of(key, merged(parts))
        for key, parts in sorted(series.items())
    ]


def _quantiles_of(key, held):
    values = [
        round(held.get_value_at_percentile(share) / MICROSECONDS, 3)
        for share in (50.0, 95.0, 99.0)
    ]
    return Quantiles(*key, held.get_total_count(), *values)


def latency(rows):
    """Return a table of merged histograms."""
    table = rich.table.Table(title="Latency, ms")
    for heading in Quantiles.__struct_fields__:
        table.add_column(heading, justify=_side(heading))
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


def _side(heading):
    return "left" if heading in ("by", "name", "metric") else "right"


def status(rows):
    """Return a table with one line for each instance.

    What is nested is left to ``--output json``, but for what waits.
    """
    table = rich.table.Table(title="Instances")
    headings = [
        heading
        for heading, value in rows[0].items()
        if heading == "waiting" or not isinstance(value, (dict, list))
    ]
    for heading in headings:
        table.add_column(_title(heading), overflow="fold")
    for row in rows:
        table.add_row(*[cell(row.get(heading)) for heading in headings])
    return table


def _title(heading):
    return heading.replace("_", " ")


def listing(value):
    """Return a table of the objects of one kind, or of one object."""
    items = value["items"] if "items" in value else [value]
    table = rich.table.Table(title=value["kind"])
    rows = [_flat(item) for item in items]
    headings = list(rows[0]) if rows else ["name"]
    for heading in headings:
        table.add_column(_title(heading), overflow="fold")
    for row in rows:
        table.add_row(*[cell(row.get(heading)) for heading in headings])
    return table


def _flat(item):
    """Return the columns of one object.

    The fields of its spec come after its name, since they are what a
    listing is read for, and of its status where it is in force.
    """
    row = {key: item[key] for key in item if key not in (*HIDDEN, "status")}
    row.update(item.get("spec") or {})
    found = item.get("status")
    if found:
        row["conditions"] = found.get("conditions")
        row["in force"] = _in_force(found.get("in_force"))
    return row


def _in_force(found):
    return f"{found['instances']} of {found['of']}" if found else ""


def description(value):
    """Yield the tables that tell all of one object."""
    for key, inner in value.items():
        if isinstance(inner, dict):
            yield _pairs(key, inner)
    yield _pairs("object", _plain(value))


def _plain(value):
    return {
        key: inner
        for key, inner in value.items()
        if not isinstance(inner, dict)
    }


def _pairs(title, mapping):
    table = rich.table.Table(title=title, show_header=False)
    table.add_column("key")
    table.add_column("value", overflow="fold")
    for key, inner in mapping.items():
        table.add_row(_title(key), cell(inner))
    return table


def cell(value):
    """Return the text of one value; nested ones become short JSON."""
    if value is None or value == [] or value == {}:
        return ""
    if isinstance(value, list) and all(isinstance(x, str) for x in value):
        return ", ".join(_short(text) for text in value)
    if isinstance(value, dict):
        return ", ".join(
            f"{key}: {cell(inner)}"
            for key, inner in value.items()
            if inner not in (None, "", [], {})
        )
    if isinstance(value, list):
        return ", ".join(_item(inner) for inner in value)
    return _short(str(value))


def _item(value):
    """Return the name of an object in a list, or the object itself."""
    if isinstance(value, dict) and "name" in value:
        return str(value["name"])
    return cell(value)


def _short(text):
    """Cut the digits of a key's hash, which nobody compares by eye."""
    return text[:19] + "…" if text.startswith("sha256:") else text
