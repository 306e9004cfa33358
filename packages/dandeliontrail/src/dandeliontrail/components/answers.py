"""Refusals sent to callers, and log lines about decisions."""

import msgspec

from .. import effects
from .. import sentinels

# Ids come from callers; the log keeps this much of one.
MAX_LOGGED_ID_CHARACTERS = 64
# The log keeps this many ids of the parts of a prompt, the first ones.
MAX_LOGGED_PARTS = 8


class _RefusalText(msgspec.Struct, frozen=True):
    status: int
    code: str
    message: str
    remedy: str


_REFUSAL_TEXTS = {
    sentinels.Reason.UNKNOWN_KEY: _RefusalText(
        401,
        "unknown_key",
        "The key belongs to no organisation.",
        "send Authorization: Bearer with a key that an operator has"
        " registered",
    ),
    sentinels.Reason.UNKNOWN_CLASS: _RefusalText(
        404,
        "unknown_class",
        "The organisation has no such request class.",
        "name one of its classes in X-Request-Class",
    ),
    sentinels.Reason.UNKNOWN_TARGET: _RefusalText(
        404,
        "unknown_target",
        "No backend server of the class offers this model or service.",
        "ask GET /v1/models for the models on offer",
    ),
    sentinels.Reason.UNKNOWN_ROUTE: _RefusalText(
        404,
        "unknown_route",
        "No route has this host and path.",
        "send it to a host and path that an operator has declared",
    ),
    sentinels.Reason.NOT_PROVEN: _RefusalText(
        503,
        "state_not_proven",
        "The instance cannot prove that its keys and routes are recent.",
        "come back after Retry-After seconds, or use another instance",
    ),
    sentinels.Reason.OVER_LIMIT: _RefusalText(
        429,
        "over_limit",
        "The organisation is over its limit.",
        "come back after Retry-After seconds, or ask an operator for more",
    ),
    sentinels.Reason.NO_CONFIGURATION: _RefusalText(
        503,
        "no_configuration",
        "The instance has not yet caught up with the configuration.",
        "come back after Retry-After seconds, or use another instance",
    ),
    sentinels.Reason.SERVER_FAILED: _RefusalText(
        502,
        "backend_server_failed",
        "The backend server failed before the answer was whole.",
        "send it again if it may be repeated, else check what it did first",
    ),
    sentinels.Reason.RETRY_BUDGET: _RefusalText(
        503,
        "retry_budget_used_up",
        "A backend server rejected the request, and too many are retried.",
        "come back after Retry-After seconds",
    ),
    sentinels.Reason.SERVER_LIMIT: _RefusalText(
        503,
        "backend_server_limit",
        "The backend servers take fewer requests a second than wait for them.",
        "come back after Retry-After seconds",
    ),
    sentinels.Reason.SERVERS_REST: _RefusalText(
        503,
        "backend_servers_rest",
        "The backend servers have asked not to be sent anything for a while.",
        "come back after Retry-After seconds",
    ),
    sentinels.Reason.NO_VERSION: _RefusalText(
        503,
        "software_version_gone",
        "No backend server runs the version that began this stream.",
        "begin the stream anew",
    ),
    sentinels.Reason.UNKNOWN_STREAM: _RefusalText(
        503,
        "stream_unknown",
        "It is not known which version began this stream.",
        "name the request that brought its first event, or begin it anew",
    ),
    sentinels.Reason.ENDS_SERVERS: _RefusalText(
        503,
        "servers_end_under_it",
        "Backend servers ended each time that they ran this request.",
        "do not send it again as it is; ask an operator, who finds the"
        " servers by the line 'request held back'",
    ),
    sentinels.Reason.DEADLINE: _RefusalText(
        504,
        "deadline",
        "The deadline passed.",
        "come back after Retry-After seconds, or allow more time in"
        " X-Request-Timeout",
    ),
    sentinels.Reason.NO_QUORUM: _RefusalText(
        503,
        "no_quorum",
        "No majority could be asked whether the Idempotency-Key has run.",
        "come back after Retry-After seconds with the same key",
    ),
    sentinels.Reason.KEY_REUSED: _RefusalText(
        409,
        "idempotency_key_reused",
        "The Idempotency-Key was used for another request.",
        "use a new key for a new request, and the first body for a resend",
    ),
    sentinels.Reason.ANSWER_GONE: _RefusalText(
        409,
        "answer_gone",
        "The request has run and its answer is no longer held.",
        "look for its result where its work shows; do not send it again"
        " with another key unless it may run twice",
    ),
    sentinels.Reason.HOLDER_LOST: _RefusalText(
        502,
        "answer_lost",
        "The request may have run; what came of it is not known here.",
        "check what it did before sending it with another key",
    ),
}

_NO_CAPACITY = _RefusalText(
    503,
    "no_capacity",
    "There is no capacity for this request now.",
    "come back after Retry-After seconds",
)


def refusal(request_id, nothing, begun=False):
    """Return the effect that refuses a request, with the reason.

    ``begun`` tells whether a backend server may have begun the request; the
    reported outcome is then "unknown" instead of "not-run".
    """
    text = _REFUSAL_TEXTS.get(nothing.reason, _NO_CAPACITY)
    if begun and text.status == _NO_CAPACITY.status:
        # The request was requeued after an attempt that may have begun: a
        # 503 would promise that it did not run.
        text = _REFUSAL_TEXTS[sentinels.Reason.SERVER_FAILED]
    if nothing.reason is sentinels.Reason.ANSWER_GONE:
        outcome = "complete"
    else:
        outcome = "unknown" if begun else "not-run"
    return effects.Refuse(
        request_id,
        text.status,
        text.code,
        outcome,
        nothing,
        text.message,
        text.remedy,
    )


def decision(work, reason, server, **inputs):
    """Return the log line of one decision about a request.

    ``inputs`` are the values that the decision was based on.  Anything but a
    dispatch, a completed or a replayed answer is marked as important, so that
    it is logged even when other lines are dropped.
    """
    fields = {
        "request_id": work.request_id,
        "organisation": work.organisation,
        "class": work.class_name,
        "backend_server": server,
        "reason": reason,
        **inputs,
    }
    if reason not in _ROUTINE_REASONS:
        fields["important"] = True
    return effects.Log("info", "decision", fields)


_ROUTINE_REASONS = frozenset(("dispatched", "complete", "replayed"))


def decision_inputs(state, grounds, work, now):
    """Return the logged inputs of a decision about a routed request.

    Empty for requests that were not routed.
    """
    if not work.routed:
        return {}
    inputs = {
        "service": work.service,
        "fingerprint": work.fingerprint,
        "prompt_tokens": work.prompt_tokens,
        "max_output_tokens": work.max_output_tokens,
        "waited_ms": round((now - work.received) * 1000.0, 1),
        "left_ms": round((work.deadline - now) * 1000.0, 1),
        "revision": state.routing.number,
        "proven_ago": _rounded_seconds(state.log.proven_ago(now)),
    }
    if work.parts:
        inputs["parts"] = [
            name[:MAX_LOGGED_ID_CHARACTERS]
            for name, _ in work.parts[:MAX_LOGGED_PARTS]
        ]
    if work.resumes:
        inputs["resumes"] = work.resumes[:MAX_LOGGED_ID_CHARACTERS]
    if grounds is not None:
        inputs.update(
            (name, value)
            for name, value in msgspec.structs.asdict(grounds).items()
            if value is not None
        )
    return inputs


def _rounded_seconds(seconds):
    return None if seconds is None else round(seconds, 3)


def attempt_line(request, message, now):
    """Return a log line about the current attempt of a request."""
    hedge = request.hedge
    return effects.Log(
        "info",
        message,
        {
            "request_id": request.work.request_id,
            "attempt": request.attempt,
            "backend_server": request.server,
            "since_dispatched_ms": round(
                (now - request.dispatched) * 1000.0, 1
            ),
            "begun": request.attempts_begun,
            "seeking": request.seeking_hedge,
            "beside": hedge.server if hedge else "",
            "important": True,
        },
    )


def turned_away_line(state, event, nothing, now):
    """Return the log line of a routed request refused on arrival."""
    return effects.Log(
        "info",
        "turned away",
        {
            "important": True,
            "request_id": event.request_id,
            "reason": nothing.reason.value,
            "host": event.host,
            "path": event.path,
            "revision": state.routing.number,
            "proven_ago": _rounded_seconds(state.log.proven_ago(now)),
        },
    )


def health_lines(changes):
    """Return log lines for the policy's changed views of server health."""
    return [
        effects.Log(
            "info",
            item.text,
            {
                "backend_server": item.server,
                "failure_share": item.failure_share,
                "seconds": min(item.seconds, 3600.0),
                "server_domain": item.domain,
                "important": True,
            },
        )
        for item in changes
    ]
