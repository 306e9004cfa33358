"""The data file that the page's tables are made from."""

import pathlib

import msgspec

from . import fits as fits_module
from . import flows as flows_module


class Layer(msgspec.Struct):
    """Memory of an interpreter with all layers up to this one."""

    name: str
    bytes: float


class Data(msgspec.Struct):
    """All that was measured, by parts that may be measured anew alone."""

    command: str = ""
    python: str = ""
    cores: int = 0
    load_average: float = 0.0
    layers: list[Layer] = []
    fits: list[fits_module.Fit] = []
    flows: list[flows_module.Flow] = []
    worst: list[flows_module.Worst] = []

    def replace_fits(self, found):
        """Put newly measured fits in the place of those of their name."""
        names = {item.name for item in found}
        kept = [item for item in self.fits if item.name not in names]
        self.fits = kept + found

    def replace_flows(self, found):
        """Put newly measured flows in the place of those of their size."""
        sizes = {item.size for item in found}
        kept = [item for item in self.flows if item.size not in sizes]
        self.flows = sorted(kept + found, key=_flow_order)

    def fit(self, name):
        """Return the fit called ``name``."""
        return next(item for item in self.fits if item.name == name)

    def flow(self, size, kind):
        """Return the first run of a size for a kind of node, or ``None``."""
        for item in self.flows:
            if (item.size, item.kind) == (size, kind):
                return item
        return None


def _flow_order(item):
    return (item.nodes, item.kind, item.seed)


def read(path):
    """Return the data in the file at ``path``, empty where there is none."""
    if not pathlib.Path(path).exists():
        return Data()
    return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Data)


def write(path, data):
    """Write the data file."""
    body = msgspec.json.format(msgspec.json.encode(data), indent=1)
    pathlib.Path(path).write_bytes(body + b"\n")
