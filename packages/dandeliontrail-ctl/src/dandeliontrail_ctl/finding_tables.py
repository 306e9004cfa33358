"""Renders the findings and differences of a check as tables."""

import rich.console
import rich.table
import rich.text

from . import tables

FINDING_COLUMNS = ("level", "field", "message", "remedy", "code")
DIFFERENCE_COLUMNS = ("kind", "field", "attributes")


def report(value):
    """Return the tables of a report, or a line if it is empty."""
    parts = []
    if value.findings:
        rows = [_finding_row(item) for item in value.findings]
        parts.append(_table("Findings", FINDING_COLUMNS, rows))
    if value.differences:
        rows = [_difference_row(item) for item in value.differences]
        parts.append(_table("Differences", DIFFERENCE_COLUMNS, rows))
    if not value.findings:
        parts.insert(0, "no findings")
    return rich.console.Group(*parts)


def _table(title, columns, rows):
    table = rich.table.Table(title=title)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        # As ``Text``, so that brackets in it are not read as markup.
        table.add_row(*[rich.text.Text(text) for text in row])
    return table


def _finding_row(item):
    return (item.level.value, item.field, item.message, item.remedy, item.code)


def _difference_row(item):
    attributes = [
        f"{change.name}: {_value(change.before)} -> {_value(change.after)}"
        for change in item.attributes
    ]
    return item.kind.value, item.field, "\n".join(attributes)


def _value(value):
    return tables.cell(value) or "none"
