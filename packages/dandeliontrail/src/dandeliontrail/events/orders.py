"""Events about orders sent to engines and about the engines' caches."""

import enum

import msgspec

from ..resources import announcements


class OrderAnswer(enum.Enum):
    """The outcome of an order, including that it could not be sent."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


class OrderAnswered(msgspec.Struct):
    """The result of order ``key``, sent with fencing token ``fencing``."""

    key: str
    fencing: int
    answer: OrderAnswer
    detail: str = ""


class CacheChanged(msgspec.Struct):
    """An engine published a batch of cache events to this instance."""

    batch: announcements.CacheEvents
