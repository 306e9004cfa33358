"""Events about orders to engines and about their caches."""

import dataclasses
import enum

from ..resources import announcements


class OrderAnswer(enum.Enum):
    """What became of an order that was sent, or was not."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


@dataclasses.dataclass(slots=True)
class OrderAnswered:
    """The answer to the order ``key``, sent under ``fencing``."""

    key: str
    fencing: int
    answer: OrderAnswer
    detail: str = ""


@dataclasses.dataclass(slots=True)
class CacheChanged:
    """An engine published a batch of cache events to this instance."""

    batch: announcements.CacheEvents
