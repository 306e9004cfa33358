"""The effects that the reducer can request, as plain data."""

from .config import AppendLog
from .config import ReplaceLog
from .config import VoterAnswered
from .config import WriteAnswered
from .duties import PerformDuty
from .duties import ReportUsage
from .duties import SetServerCount
from .orders import GiveOrder
from .peers import SendPeer
from .reports import Log
from .reports import Measure
from .requests import Abandon
from .requests import Cancel
from .requests import CheckPath
from .requests import CutOff
from .requests import Dispatch
from .requests import DropConnections
from .requests import Refuse
from .requests import Replay
from .requests import Withdraw
from .usage import AppendUsage
from .usage import ReplaceUsage

__all__ = [
    "Abandon",
    "AppendLog",
    "AppendUsage",
    "Cancel",
    "CheckPath",
    "CutOff",
    "Dispatch",
    "DropConnections",
    "GiveOrder",
    "Log",
    "Measure",
    "PerformDuty",
    "Refuse",
    "ReplaceLog",
    "ReplaceUsage",
    "Replay",
    "ReportUsage",
    "SendPeer",
    "SetServerCount",
    "VoterAnswered",
    "Withdraw",
    "WriteAnswered",
]
