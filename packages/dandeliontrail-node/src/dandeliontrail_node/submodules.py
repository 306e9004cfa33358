"""Imports one module of a package without the rest of the package.

The ``__init__`` module of a package may import all of its modules and what
these use, which takes processor time at each start although a program may use
a single module.
"""

from importlib import machinery
from importlib import util
import sys


def load(name):
    """Return the module ``name`` (``package.module``).

    It is registered under its name, so that a later import of the package uses
    the same module.  It must not import other modules of its package.
    """
    if name in sys.modules:
        return sys.modules[name]
    package = machinery.PathFinder.find_spec(name.partition(".")[0])
    spec = machinery.PathFinder.find_spec(
        name, package.submodule_search_locations
    )
    module = util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
    except BaseException:
        del sys.modules[name]
        raise
    return module
