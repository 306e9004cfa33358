"""Events about the clock and about calls to the platform."""

import enum
import typing

import msgspec


class ClockRead(msgspec.Struct):
    """A reading of the wall clock, in seconds since the Unix epoch."""

    wall: float


class DutyAnswer(enum.Enum):
    """The outcome of a call to the platform."""

    TAKEN = "taken"
    REFUSED = "refused"
    BUSY = "busy"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


class DutyAnswered(msgspec.Struct):
    """The result of a call to the platform (``effects.PerformDuty``).

    ``call`` is the call itself and ``fencing`` the fencing token that it was
    made with; ``detail`` is further information for the log.
    """

    call: typing.Any
    fencing: int
    answer: DutyAnswer
    detail: str = ""
