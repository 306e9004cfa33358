"""What callers are told when a request ends without a whole answer."""

import dataclasses

from .. import effects
from .. import sentinels


@dataclasses.dataclass(slots=True, frozen=True)
class _Text:
    status: int
    code: str
    message: str
    remedy: str


_TEXTS = {
    sentinels.Reason.UNKNOWN_KEY: _Text(
        401,
        "unknown_key",
        "The key belongs to no organisation.",
        "send Authorization: Bearer with a key that an operator has"
        " registered",
    ),
    sentinels.Reason.UNKNOWN_CLASS: _Text(
        404,
        "unknown_class",
        "The organisation has no such request class.",
        "name one of its classes in X-Request-Class",
    ),
    sentinels.Reason.UNKNOWN_TARGET: _Text(
        404,
        "unknown_target",
        "No backend server of the class offers this model or service.",
        "ask GET /v1/models for the models on offer",
    ),
    sentinels.Reason.OVER_LIMIT: _Text(
        429,
        "over_limit",
        "The organisation is over its limit.",
        "come back after Retry-After seconds, or ask an operator for more",
    ),
    sentinels.Reason.NO_CONFIGURATION: _Text(
        503,
        "no_configuration",
        "The instance has not yet caught up with the configuration.",
        "come back after Retry-After seconds, or use another instance",
    ),
    sentinels.Reason.SERVER_FAILED: _Text(
        502,
        "backend_server_failed",
        "The backend server failed before the answer was whole.",
        "send it again if it may be repeated, else check what it did first",
    ),
    sentinels.Reason.DEADLINE: _Text(
        504,
        "deadline",
        "The deadline passed.",
        "come back after Retry-After seconds, or allow more time in"
        " X-Request-Timeout",
    ),
}

_NO_CAPACITY = _Text(
    503,
    "no_capacity",
    "There is no capacity for this request now.",
    "come back after Retry-After seconds",
)


def refusal(request_id, nothing, begun=False):
    """Return the effect that tells a caller why there is no answer."""
    text = _TEXTS.get(nothing.reason, _NO_CAPACITY)
    return effects.Refuse(
        request_id,
        text.status,
        text.code,
        "unknown" if begun else "not-run",
        nothing,
        text.message,
        text.remedy,
    )


def decision(work, reason, server):
    """Return the log line of one decision about a request."""
    return effects.Log(
        "info",
        "decision",
        {
            "request_id": work.request_id,
            "organisation": work.organisation,
            "class": work.class_name,
            "backend_server": server,
            "reason": reason,
        },
    )
