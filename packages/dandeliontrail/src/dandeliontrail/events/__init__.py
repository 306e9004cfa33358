"""The events that an instance handles, as plain data.

Each event is one input from outside the reducer.  Events carry no time
stamp: the reducer gets the current time as an argument beside each event.
"""

from .config import InForceAsked
from .config import LogSynced
from .config import ReadSubmitted
from .config import RevisionSubmitted
from .config import StorageFailed
from .config import VoterChangeAsked
from .config import WriteSubmitted
from .duties import ClockRead
from .duties import DutyAnswer
from .duties import DutyAnswered
from .orders import CacheChanged
from .orders import OrderAnswer
from .orders import OrderAnswered
from .peers import Left
from .peers import PeerMessageReceived
from .peers import ShutdownBegan
from .peers import Started
from .requests import AnswerFinished
from .requests import AnswerReceived
from .requests import AttemptBegan
from .requests import AttemptFailed
from .requests import AttemptSilent
from .requests import AttemptSpoke
from .requests import CallerGone
from .requests import CutShort
from .requests import FirstOutput
from .requests import NotBegun
from .requests import Overdue
from .requests import RequestReceived
from .requests import RoutedRequestReceived
from .servers import Announced
from .servers import LeavingSaid
from .servers import LimitRead
from .servers import PathChecked
from .servers import RestAsked
from .servers import SentWithoutPermit
from .usage import DayBegan
from .usage import UsageLoaded

__all__ = [
    "Announced",
    "AnswerFinished",
    "AnswerReceived",
    "AttemptBegan",
    "AttemptFailed",
    "AttemptSilent",
    "AttemptSpoke",
    "CacheChanged",
    "CallerGone",
    "ClockRead",
    "DayBegan",
    "DutyAnswer",
    "DutyAnswered",
    "CutShort",
    "FirstOutput",
    "Left",
    "InForceAsked",
    "LeavingSaid",
    "LimitRead",
    "LogSynced",
    "NotBegun",
    "OrderAnswer",
    "OrderAnswered",
    "Overdue",
    "PathChecked",
    "PeerMessageReceived",
    "ReadSubmitted",
    "RequestReceived",
    "RestAsked",
    "RevisionSubmitted",
    "SentWithoutPermit",
    "ShutdownBegan",
    "Started",
    "RoutedRequestReceived",
    "StorageFailed",
    "UsageLoaded",
    "VoterChangeAsked",
    "WriteSubmitted",
]
