"""Everything that the reducer may ask of the outside, as data."""

from .config import WriteAnswered
from .peers import SendPeer
from .reports import Log
from .reports import Measure
from .requests import Cancel
from .requests import Dispatch
from .requests import Finish
from .requests import Refuse
from .usage import AppendUsage
from .usage import ReplaceUsage

__all__ = [
    "AppendUsage",
    "Cancel",
    "Dispatch",
    "Finish",
    "Log",
    "Measure",
    "Refuse",
    "ReplaceUsage",
    "SendPeer",
    "WriteAnswered",
]
