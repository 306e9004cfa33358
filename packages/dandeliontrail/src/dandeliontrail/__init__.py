"""Coordination and decision parts of a router for language-model traffic.

The public API: build a reducer with :func:`new_reducer`, pass it events with
the current time, and carry out the effects that it returns.
"""

from .components.state import Identity
from .errors import DandeliontrailError
from .errors import InvariantBroken
from .errors import ResourceInvalid
from .errors import SettingsError
from .errors import StorageError
from .errors import StorageRefused
from .errors import VersionConflict
from .reducer import new_reducer
from .reducer import Reducer
from .sentinels import Nothing
from .sentinels import Reason

__version__ = "0.1.0"

__all__ = [
    "DandeliontrailError",
    "Identity",
    "InvariantBroken",
    "Nothing",
    "Reason",
    "Reducer",
    "ResourceInvalid",
    "SettingsError",
    "StorageError",
    "StorageRefused",
    "VersionConflict",
    "new_reducer",
]
