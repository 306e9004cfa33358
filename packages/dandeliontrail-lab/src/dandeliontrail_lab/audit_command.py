"""The command ``dandelionctl lab audit``."""

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
    """Send numbered requests under faults and verify all outcomes.

    Starts three instances and three simulated engines.  Engines refuse, close,
    break, crash and fail on purpose, network paths lose their connections, and
    an instance is killed and restarted.  Exits with 1 if an answer was lost,
    work that must not be repeated ran twice, a text was truncated, or "not
    run" was reported of a request that an engine had begun.

    Example: dandelionctl lab audit --requests 500 --seeds 3

    Parameters
    ----------
    requests
        The number of requests per seed.
    seeds
        The number of runs, each with its own seed.
    first_seed
        The first seed; the same seed draws the same requests and faults.
    concurrency
        The maximum number of concurrent requests.
    fault_rate
        The share of requests that an engine fails on purpose.
    path_losses
        How often per run a path loses the state of its connections.
    kills
        How often per run an instance is killed.
    """
    console = rich.console.Console()
    reports = []
    for seed in range(first_seed, first_seed + seeds):
        plan = audit_module.Plan(
            seed, requests, concurrency, fault_rate, path_losses, kills
        )
        report = audit_module.Audit(plan).run()
        reports.append(report)
        console.print(_summary(report))
    console.print(_table(reports))
    return 0 if all(report.clean() for report in reports) else 1


def _summary(report):
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
        _count_outcomes(report, "complete"),
        _count_outcomes(report, "not-run"),
        _count_outcomes(report, "unknown"),
        _count_outcomes(report, "no answer"),
        report.resent,
        report.reruns,
        len(report.lost),
        len(report.doubled),
        len(report.cut),
        len(report.false_not_run),
    )


def _count_outcomes(report, prefix):
    return sum(
        count
        for name, count in report.outcomes.items()
        if name.startswith(prefix)
    )
