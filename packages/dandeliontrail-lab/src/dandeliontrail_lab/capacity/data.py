"""The data file that the page's tables are made from."""

import pathlib

import msgspec

from . import fits
from . import flows


class Layer(msgspec.Struct):
    """Memory of an interpreter with all layers up to this one."""

    name: str
    bytes: float


class Data(msgspec.Struct):
    """All that was measured in one run."""

    command: str
    python: str
    cores: int
    load_average: float
    layers: list[Layer]
    fits: list[fits.Fit]
    flows: list[flows.Flow]

    def fit(self, name):
        """Return the fit called ``name``."""
        return next(item for item in self.fits if item.name == name)

    def flow(self, size, kind):
        """Return the first run of a size for a kind of node, or ``None``."""
        for item in self.flows:
            if (item.size, item.kind) == (size, kind):
                return item
        return None


def read(path):
    """Return the data in the file at ``path``."""
    return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Data)


def write(path, data):
    """Write the data file."""
    body = msgspec.json.format(msgspec.json.encode(data), indent=1)
    pathlib.Path(path).write_bytes(body + b"\n")
