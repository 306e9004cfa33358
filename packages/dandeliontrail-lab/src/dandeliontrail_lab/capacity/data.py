"""The data file from which the tables of the page are generated."""

import pathlib

import msgspec

from . import fits as fits_module
from . import flows as flows_module


class Layer(msgspec.Struct):
    """Memory of an interpreter with all layers up to this one loaded."""

    name: str
    bytes: float


class Data(msgspec.Struct):
    """All measurements; each part can be measured again on its own."""

    command: str = ""
    python: str = ""
    cores: int = 0
    load_average: float = 0.0
    layers: list[Layer] = []
    fits: list[fits_module.Fit] = []
    flows: list[flows_module.Flow] = []
    worst: list[flows_module.WorstCase] = []

    def replace_fits(self, measured):
        """Replace the fits of the same names by newly measured ones."""
        names = {item.name for item in measured}
        others = [item for item in self.fits if item.name not in names]
        self.fits = others + measured

    def replace_flows(self, measured):
        """Replace the flows of the same sizes by newly measured ones."""
        sizes = {item.size for item in measured}
        others = [item for item in self.flows if item.size not in sizes]
        self.flows = sorted(others + measured, key=_flow_order)

    def fit(self, name):
        """Return the fit called ``name``."""
        return next(item for item in self.fits if item.name == name)

    def flow(self, size, kind):
        """Return the first flow of a size for a role, or ``None``."""
        for item in self.flows:
            if (item.size, item.kind) == (size, kind):
                return item
        return None


def _flow_order(item):
    return (item.nodes, item.kind, item.seed)


def read(path):
    """Return the data in the file at ``path``, empty if it is missing."""
    if not pathlib.Path(path).exists():
        return Data()
    return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Data)


def write(path, data):
    """Write the data file."""
    body = msgspec.json.format(msgspec.json.encode(data), indent=1)
    pathlib.Path(path).write_bytes(body + b"\n")
