"""Events about orders to engines and about their caches."""

import enum

import msgspec

from ..resources import announcements


class OrderAnswer(enum.Enum):
    """What became of an order that was sent, or was not."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


class OrderAnswered(msgspec.Struct):
    """The answer to the order ``key``, sent under ``fencing``."""

    key: str
    fencing: int
    answer: OrderAnswer
    detail: str = ""


class CacheChanged(msgspec.Struct):
    """An engine published a batch of cache events to this instance."""

    batch: announcements.CacheEvents
