"""Everything that the reducer may ask of the outside, as data."""

from .config import WriteAnswered
from .peers import SendPeer
from .reports import Log
from .reports import Measure
from .requests import Abandon
from .requests import Cancel
from .requests import Dispatch
from .requests import Refuse
from .requests import Replay

__all__ = [
    "Abandon",
    "Cancel",
    "Dispatch",
    "Log",
    "Measure",
    "Refuse",
    "Replay",
    "SendPeer",
    "WriteAnswered",
]
