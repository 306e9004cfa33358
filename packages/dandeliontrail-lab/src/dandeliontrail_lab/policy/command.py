"""The command ``dandelionctl lab policy``."""

import dataclasses
import pathlib
import sys

import msgspec
import rich.console
import rich.table

from . import plots
from . import report
from . import runs
from . import scenarios

ALL = "all"
BASELINES = "baselines"
EXIT_BAD_USAGE = 2


def policy(
    *,
    scenario: list[str] = (ALL,),
    policy: list[str] = (runs.ADAPTIVE,),
    seed: list[int] = (),
    instances: int = runs.INSTANCES,
    processes: int = 1,
    output: str = "table",
    plot_folder: pathlib.Path | None = None,
):
    """Compare policies over scenarios in a simulation.

    Example: dandelionctl lab policy --scenario overload-1.3 --policy
    adaptive --seed 1

    Parameters
    ----------
    scenario
        The name of a scenario, or "all"; may be given more than once.
    policy
        A policy ("adaptive", "fifo", "priority", "two-choices", or
        "without-" and the name of a mechanism to leave out of "adaptive"),
        "baselines" for the first four, or "all"; may be given more than
        once.
    seed
        A seed; may be given more than once.  The default is the ten fixed
        benchmark seeds.
    instances
        The number of instances, each of which decides on its own.
    processes
        The number of runs to simulate in parallel.
    output
        "table", "markdown" or "json".
    plot_folder
        The folder to write plots to; none are written by default.
    """
    selected_runs = [
        runs.Run(name, policy_name, number, instances)
        for name in _select_scenarios(scenario)
        for policy_name in _select_policies(policy)
        for number in seed or runs.BENCHMARK_SEEDS
    ]
    rows = report.rows(runs.measure_all(selected_runs, processes))
    _show(rows, output)
    if plot_folder is not None:
        plots.save(rows, plot_folder)


def _select_scenarios(names):
    if ALL in names:
        return list(scenarios.SCENARIOS)
    return _check_names(names, list(scenarios.SCENARIOS))


def _select_policies(names):
    if ALL in names:
        return runs.policies()
    if BASELINES in names:
        return [*runs.BASELINES, runs.ADAPTIVE]
    return _check_names(names, runs.policies())


def _check_names(names, known_names):
    for name in names:
        if name not in known_names:
            allowed = ", ".join([*known_names, ALL])
            print(f"{name}: use one of {allowed}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_USAGE)
    return list(names)


def _show(rows, output):
    if output == "markdown":
        print(report.markdown(rows), end="")
        return
    if output == "json":
        plain = [dataclasses.asdict(row) for row in rows]
        print(msgspec.json.encode(plain).decode())
        return
    table = rich.table.Table(*report.COLUMNS)
    for row in rows:
        table.add_row(*report.cells(row))
    rich.console.Console(width=200).print(table)
