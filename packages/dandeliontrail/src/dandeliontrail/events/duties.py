"""Events about the clock and about calls to the platform."""

import enum
import typing

import msgspec


class ClockRead(msgspec.Struct):
    """The clock on the wall shows ``wall``, in seconds since 1970."""

    wall: float


class DutyAnswer(enum.Enum):
    """How the platform answered a call, if it did."""

    TAKEN = "taken"
    REFUSED = "refused"
    BUSY = "busy"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


class DutyAnswered(msgspec.Struct):
    """What became of a call to the platform (``effects.PerformDuty``).

    ``call`` is the call itself; ``detail`` says more for the log.
    """

    call: typing.Any
    fencing: int
    answer: DutyAnswer
    detail: str = ""
