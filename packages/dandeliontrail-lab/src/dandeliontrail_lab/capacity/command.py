"""The command ``dandelionctl lab capacity``."""

import enum
import os
import pathlib
import platform
import sys

import cyclopts

from . import data as data_module
from . import fits
from . import flows
from . import live
from . import page as page_module
from . import pure

COMMAND = "dandelionctl lab capacity"
DATA_PATH = pathlib.Path("docs/capacity.json")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")
# Two seeds at the smaller sizes show the variance between runs.
FLOW_RUNS = (("9", 0), ("9", 1), ("53", 0), ("53", 1), ("159", 0))
LARGEST_RUNS = (("530", 0),)
WORST_CASE_SIZE = "80"

app = cyclopts.App(
    name="capacity",
    help="Measure costs and generate the tables of docs/CAPACITY.md.",
)


class Part(enum.Enum):
    """Parts that can be measured on their own."""

    PURE = "pure"
    LIVE = "live"
    STREAMS = "streams"
    FLOWS = "flows"
    LARGEST = "largest"
    WORST = "worst"


@app.default
def capacity(
    *, data: pathlib.Path = DATA_PATH, page: pathlib.Path = PAGE_PATH
):
    """Measure everything, write the data file and regenerate the page.

    This takes half an hour and, for the largest size, about 6 GB of memory.

    Example: dandelionctl lab capacity
    """
    measure(data=data)
    tables(data=data, page=page)


@app.command
def measure(*parts: Part, data: pathlib.Path = DATA_PATH):
    """Measure all parts, or those given, and write the data file.

    Example: dandelionctl lab capacity measure pure live

    Parameters
    ----------
    data
        The data file; its results of other parts are kept.
    """
    for part in parts or list(Part):
        _print_progress(f"measuring {part.value}")
        store_results = _MEASUREMENTS[part]()
        results = data_module.read(data)
        store_results(results)
        results.command = COMMAND
        results.python = platform.python_version()
        results.cores = os.cpu_count()
        results.load_average = round(os.getloadavg()[0], 1)
        data_module.write(data, results)
    _print_progress(f"wrote {data}")


def _print_progress(text):
    print(text, file=sys.stderr, flush=True)


def _measure_pure():
    new_fits = [fits.run(probe, COMMAND) for probe in pure.PROBES]
    return lambda results: results.replace_fits(new_fits)


def _measure_live():
    layers = [data_module.Layer(*item) for item in live.layers()]
    new_fits = live.run(COMMAND)

    def store_results(results):
        results.layers = layers
        results.replace_fits(new_fits)

    return store_results


def _measure_streams():
    new_fits = [fits.run(live.STREAMS, COMMAND)]
    return lambda results: results.replace_fits(new_fits)


def _measure_flows_of(runs):
    def measure_flows():
        new_flows = []
        for size, seed in runs:
            _print_progress(f"  {size} nodes")
            new_flows.extend(flows.measure(size, seed))
        return lambda results: results.replace_flows(new_flows)

    return measure_flows


def _measure_worst_cases():
    worst_cases = flows.measure_worst_cases(WORST_CASE_SIZE)

    def store_results(results):
        results.worst = worst_cases

    return store_results


_MEASUREMENTS = {
    Part.PURE: _measure_pure,
    Part.LIVE: _measure_live,
    Part.STREAMS: _measure_streams,
    Part.FLOWS: _measure_flows_of(FLOW_RUNS),
    Part.LARGEST: _measure_flows_of(LARGEST_RUNS),
    Part.WORST: _measure_worst_cases,
}


@app.command
def tables(*, data: pathlib.Path = DATA_PATH, page: pathlib.Path = PAGE_PATH):
    """Regenerate the tables of the page from the data file.

    Example: dandelionctl lab capacity tables
    """
    text = page.read_text()
    page.write_text(page_module.render_page(text, data_module.read(data)))
