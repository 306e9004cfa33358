"""``dandelionctl lab capacity``: measure, and make the page's tables."""

import os
import pathlib
import platform
import sys

import cyclopts
import rich.console

from . import data as data_module
from . import fits
from . import flows
from . import live
from . import page as page_module
from . import pure

COMMAND = "dandelionctl lab capacity"
DATA = pathlib.Path("docs/capacity.json")
PAGE = pathlib.Path("docs/CAPACITY.md")
# One more run with another seed shows how much chance there is in it.
FLOWS = (("9", 0), ("9", 1), ("53", 0), ("53", 1), ("159", 0), ("530", 0))

app = cyclopts.App(
    name="capacity", help="Measure slopes and make docs/CAPACITY.md."
)


@app.default
def capacity(*, data: pathlib.Path = DATA, page: pathlib.Path = PAGE):
    """Measure everything, write the data file and remake the page.

    Takes some minutes and, for the largest size, some 5 GB of memory.

    Example: dandelionctl lab capacity
    """
    measure(data=data)
    tables(data=data, page=page)


@app.command
def measure(*, data: pathlib.Path = DATA):
    """Measure everything and write the data file.

    Example: dandelionctl lab capacity measure --data /tmp/capacity.json
    """
    console = rich.console.Console(file=sys.stderr)
    found = []
    for probe in pure.PROBES:
        console.print(f"measuring {probe.what}")
        found.append(fits.run(probe, COMMAND))
    console.print("measuring running instances")
    layers = [data_module.Layer(*item) for item in live.layers()]
    found.extend(live.run(COMMAND))
    flowed = []
    for size, seed in FLOWS:
        console.print(f"measuring {size} nodes")
        flowed.extend(flows.measure(size, seed))
    measured = data_module.Data(
        COMMAND,
        platform.python_version(),
        os.cpu_count(),
        round(os.getloadavg()[0], 1),
        layers,
        found,
        flowed,
    )
    data_module.write(data, measured)
    console.print(f"wrote {data}")


@app.command
def tables(*, data: pathlib.Path = DATA, page: pathlib.Path = PAGE):
    """Remake the tables of the page from the data file.

    Example: dandelionctl lab capacity tables
    """
    text = page.read_text()
    page.write_text(page_module.remade(text, data_module.read(data)))
