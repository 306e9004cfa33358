"""Renders the keepers, and how safe the configuration is, as tables."""

import rich.console
import rich.table

from . import tables

UNKNOWN_SECONDS = -1.0
LOSSES = {
    -1: "writes wait: no leader, or no majority of the voters, is heard",
    0: "one more loss of a voter would stop writes",
}


def listing(value):
    """Return the tables of the voters and spares, and what they amount to."""
    parts = [_voters(value)]
    if value.get("spares"):
        parts.append(_table("spares", value["spares"]))
    parts.extend(_remarks(value))
    return rich.console.Group(*parts)


def _voters(value):
    rows = [{**item, "answered_ago": _ago(item)} for item in value["items"]]
    return _table(value["kind"], rows)


def _ago(item):
    seconds = item.get("answered_ago", UNKNOWN_SECONDS)
    return "" if seconds == UNKNOWN_SECONDS else f"{seconds:.1f} s"


def _table(title, rows):
    table = rich.table.Table(title=title)
    headings = list(rows[0]) if rows else ["name"]
    for heading in headings:
        table.add_column(tables.column_title(heading), overflow="fold")
    for row in rows:
        table.add_row(*[tables.cell(row[heading]) for heading in headings])
    return table


def _remarks(value):
    """Yield the lines below the tables; an older instance sends none."""
    if "losses_survived" not in value:
        return
    losses = value["losses_survived"]
    if losses is None:
        yield f"more is known to the leader, {value['leader']}: ask it"
    elif losses in LOSSES:
        yield LOSSES[losses]
    else:
        yield f"losses of voters that writes survive: {losses}"
    if value["repair_waits"]:
        yield f"a repair waits{_for(value)}: {value['repair_waits']}"


def _for(value):
    """Return for how long a repair waits, '' if that is not known."""
    seconds = value["repair_waits_seconds"]
    return f", {seconds:.0f} s" if seconds else ""


def configuration(instances):
    """Return a table with the state of the log on each instance."""
    rows = [
        {
            "instance": item["instance"],
            **{key: item["configuration"].get(key) for key in CONFIGURATION},
        }
        for item in instances
    ]
    return _table("Configuration", rows)


CONFIGURATION = (
    "role",
    "term",
    "leader",
    "confirmed_ago",
    "stale",
    "voters",
    "spares",
    "voters_answering",
    "losses_survived",
    "repair_waits",
)
