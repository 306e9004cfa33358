"""``dandelionctl lab audit``: are all outcomes true?"""

import rich.console
import rich.table

from . import audit as audit_module

COLUMNS = (
    "seed",
    "sent",
    "complete",
    "not run",
    "unknown",
    "no answer",
    "resent",
    "reruns",
    "lost",
    "doubled",
    "cut",
    "false not-run",
)


def audit(
    *,
    requests: int = 1000,
    seeds: int = 1,
    first_seed: int = 0,
    concurrency: int = 64,
    fault_rate: float = 0.2,
    path_losses: int = 2,
    kills: int = 1,
):
    """Send numbered requests with faults, and compare both ends.

    Starts three instances and three stand-in engines.  Engines refuse,
    close, break, crash and fail on purpose; paths lose their connections;
    an instance is killed and started anew.  Exits with 1 where an answer
    was lost, work that must not be repeated ran twice, a text was cut or
    "not run" was said of a request that an engine had begun.

    Example: dandelionctl lab audit --requests 500 --seeds 3

    Parameters
    ----------
    requests
        How many requests each seed sends.
    seeds
        How many runs, each with a seed of its own.
    first_seed
        The first seed; a seed draws the same requests and faults again.
    concurrency
        How many requests are under way at once.
    fault_rate
        The share of requests that an engine fails on purpose.
    path_losses
        How often in a run a path loses track of its connections.
    kills
        How often in a run an instance is killed.
    """
    console = rich.console.Console()
    reports = []
    for seed in range(first_seed, first_seed + seeds):
        plan = audit_module.Plan(
            seed, requests, concurrency, fault_rate, path_losses, kills
        )
        report = audit_module.Audit(plan).run()
        reports.append(report)
        console.print(_line(report))
    console.print(_table(reports))
    return 0 if all(report.clean() for report in reports) else 1


def _line(report):
    return f"seed {report.seed}: {report.outcomes}"


def _table(reports):
    table = rich.table.Table(*COLUMNS)
    for report in reports:
        table.add_row(*(str(item) for item in _row(report)))
    return table


def _row(report):
    return (
        report.seed,
        report.sent,
        _count(report, "complete"),
        _count(report, "not-run"),
        _count(report, "unknown"),
        _count(report, "no answer"),
        report.resent,
        report.reruns,
        len(report.lost),
        len(report.doubled),
        len(report.cut),
        len(report.false_not_run),
    )


def _count(report, start):
    return sum(
        count
        for name, count in report.outcomes.items()
        if name.startswith(start)
    )
