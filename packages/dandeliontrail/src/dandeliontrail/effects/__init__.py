"""Everything that the reducer may ask of the outside, as data."""

from .config import AppendLog
from .config import ReplaceLog
from .config import VoterAnswered
from .config import WriteAnswered
from .orders import GiveOrder
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
    "AppendLog",
    "AppendUsage",
    "Cancel",
    "Dispatch",
    "Finish",
    "GiveOrder",
    "Log",
    "Measure",
    "Refuse",
    "ReplaceLog",
    "ReplaceUsage",
    "SendPeer",
    "VoterAnswered",
    "WriteAnswered",
]
