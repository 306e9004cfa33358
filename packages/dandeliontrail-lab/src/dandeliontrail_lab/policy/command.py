"""``dandelionctl lab policy``."""

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
BAD_USAGE = 2


def policy(
    *,
    scenario: list[str] = (ALL,),
    policy: list[str] = (runs.OURS,),
    seed: list[int] = (),
    instances: int = runs.INSTANCES,
    processes: int = 1,
    output: str = "table",
    plot_folder: pathlib.Path | None = None,
):
    """Measure policies against scenarios in virtual time.

    Example: dandelionctl lab policy --scenario overload-1.3 --policy
    adaptive --seed 1

    Parameters
    ----------
    scenario
        The name of a scenario, or "all"; may be given more than once.
    policy
        A policy ("adaptive", "fifo", "priority", "two-choices",
        "without-" and a mechanism), "baselines" for the four whole ones, or
        "all"; may be given more than once.
    seed
        A seed; may be given more than once.  The ten held seeds by default.
    instances
        How many instances decide side by side.
    processes
        How many runs go on at once.
    output
        "table", "markdown" or "json".
    plot_folder
        Where to write plots, if given.
    """
    wanted = [
        runs.Run(name, chosen, number, instances)
        for name in _scenarios(scenario)
        for chosen in _policies(policy)
        for number in seed or runs.HELD_SEEDS
    ]
    rows = report.rows(runs.measure_all(wanted, processes))
    _show(rows, output)
    if plot_folder is not None:
        plots.save(rows, plot_folder)


def _scenarios(names):
    if ALL in names:
        return list(scenarios.SCENARIOS)
    return _known(names, list(scenarios.SCENARIOS))


def _policies(names):
    if ALL in names:
        return runs.policies()
    if BASELINES in names:
        return [*runs.BASELINES, runs.OURS]
    return _known(names, runs.policies())


def _known(names, known):
    for name in names:
        if name not in known:
            allowed = ", ".join([*known, ALL])
            print(f"{name}: use one of {allowed}", file=sys.stderr)
            raise SystemExit(BAD_USAGE)
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
