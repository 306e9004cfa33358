"""Tables of the measures of many runs."""

import collections
import dataclasses
import statistics


@dataclasses.dataclass(slots=True)
class Row:
    """Means over all seeds of one scenario and policy.

    ``protected_least`` and ``least_share`` are the minimum over all seeds,
    ``wait`` is the maximum.
    """

    scenario: str
    policy: str
    protected: float
    protected_least: float
    goodput: float
    waste: float
    jain: float | None
    least_share: float | None
    attainment: dict
    wait: dict


COLUMNS = (
    "scenario",
    "policy",
    "protected",
    "worst seed",
    "goodput",
    "waste",
    "Jain",
    "least share",
    "attainment by class",
    "longest wait, s",
)


def rows(measured):
    """Return one row per scenario and policy, in order of the runs."""
    grouped = collections.defaultdict(list)
    for run, measures in measured:
        grouped[(run.scenario, run.policy)].append(measures)
    return [_row(*key, items) for key, items in grouped.items()]


def _row(scenario, policy, items):
    jain = [item.jain for item in items if item.jain is not None]
    shares = [i.least_share for i in items if i.least_share is not None]
    return Row(
        scenario,
        policy,
        statistics.mean(item.protected for item in items),
        min(item.protected for item in items),
        statistics.mean(item.goodput for item in items),
        statistics.mean(item.waste for item in items),
        statistics.mean(jain) if jain else None,
        min(shares) if shares else None,
        {
            name: statistics.mean(item.attainment[name] for item in items)
            for name in items[0].attainment
        },
        {
            name: max(item.wait.get(name, 0.0) for item in items)
            for name in items[0].wait
        },
    )


def cells(row):
    """Return the cells of a row as text, in the order of ``COLUMNS``."""
    return (
        row.scenario,
        row.policy,
        f"{row.protected:.4f}",
        f"{row.protected_least:.4f}",
        f"{row.goodput:.3f}",
        f"{row.waste:.4f}",
        _format_optional(row.jain),
        _format_optional(row.least_share),
        ", ".join(f"{k} {v:.3f}" for k, v in row.attainment.items()),
        ", ".join(f"{k} {v:.1f}" for k, v in row.wait.items()),
    )


def markdown(table):
    """Return the rows as a Markdown table."""
    lines = [
        "| " + " | ".join(COLUMNS) + " |",
        "| " + " | ".join("---" for _ in COLUMNS) + " |",
    ]
    lines += ["| " + " | ".join(cells(row)) + " |" for row in table]
    return "\n".join(lines) + "\n"


def _format_optional(value):
    return "" if value is None else f"{value:.2f}"
