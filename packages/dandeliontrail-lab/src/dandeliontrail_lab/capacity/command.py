"""``dandelionctl lab capacity``: measure, and make the page's tables."""

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
DATA = pathlib.Path("docs/capacity.json")
PAGE = pathlib.Path("docs/CAPACITY.md")
# Two seeds at the smaller sizes show how much chance there is in a run.
FLOWS = (("9", 0), ("9", 1), ("53", 0), ("53", 1), ("159", 0))
LARGEST = (("530", 0),)
WORST = "80"

app = cyclopts.App(
    name="capacity", help="Measure slopes and make docs/CAPACITY.md."
)


class Part(enum.Enum):
    """What may be measured by itself."""

    PURE = "pure"
    LIVE = "live"
    STREAMS = "streams"
    FLOWS = "flows"
    LARGEST = "largest"
    WORST = "worst"


@app.default
def capacity(*, data: pathlib.Path = DATA, page: pathlib.Path = PAGE):
    """Measure everything, write the data file and remake the page.

    Takes half an hour and, for the largest size, some 6 GB of memory.

    Example: dandelionctl lab capacity
    """
    measure(data=data)
    tables(data=data, page=page)


@app.command
def measure(*parts: Part, data: pathlib.Path = DATA):
    """Measure all parts, or those named, and write the data file.

    Example: dandelionctl lab capacity measure pure live

    Parameters
    ----------
    data
        The file; what it holds of other parts is kept.
    """
    for part in parts or list(Part):
        _say(f"measuring {part.value}")
        found = _MEASURES[part]()
        held = data_module.read(data)
        found(held)
        held.command = COMMAND
        held.python = platform.python_version()
        held.cores = os.cpu_count()
        held.load_average = round(os.getloadavg()[0], 1)
        data_module.write(data, held)
    _say(f"wrote {data}")


def _say(text):
    print(text, file=sys.stderr, flush=True)


def _pure():
    found = [fits.run(probe, COMMAND) for probe in pure.PROBES]
    return lambda held: held.replace_fits(found)


def _live():
    layers = [data_module.Layer(*item) for item in live.layers()]
    found = live.run(COMMAND)

    def put(held):
        held.layers = layers
        held.replace_fits(found)

    return put


def _streams():
    found = [fits.run(live.STREAMS, COMMAND)]
    return lambda held: held.replace_fits(found)


def _flows(runs):
    def measure_flows():
        found = []
        for size, seed in runs:
            _say(f"  {size} nodes")
            found.extend(flows.measure(size, seed))
        return lambda held: held.replace_flows(found)

    return measure_flows


def _worst():
    found = flows.worst(WORST)

    def put(held):
        held.worst = found

    return put


_MEASURES = {
    Part.PURE: _pure,
    Part.LIVE: _live,
    Part.STREAMS: _streams,
    Part.FLOWS: _flows(FLOWS),
    Part.LARGEST: _flows(LARGEST),
    Part.WORST: _worst,
}


@app.command
def tables(*, data: pathlib.Path = DATA, page: pathlib.Path = PAGE):
    """Remake the tables of the page from the data file.

    Example: dandelionctl lab capacity tables
    """
    text = page.read_text()
    page.write_text(page_module.remade(text, data_module.read(data)))
