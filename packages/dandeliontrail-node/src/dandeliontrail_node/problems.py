"""Builds the error responses for requests that fail or are refused."""

from dandeliontrail.components import answers
from dandeliontrail import effects
from dandeliontrail import sentinels

from . import wsgi

# A request that was not served within its time may be retried soon: the
# requests that occupied the capacity end within about a second.
RETRY_AFTER_SECONDS = 1.0


def internal_problem(request_id):
    """Return the error for a failure of this instance itself."""
    return wsgi.Problem(
        500,
        "internal",
        "The instance failed on this request.",
        "send it again if it may be repeated; see the instance's log",
        outcome="unknown",
        request_id=request_id,
    )


def caller_gone(request_id, begun):
    """Return the error of a caller that left.

    One that has only shut down its sending side receives it, so it must not
    promise "not run" where an attempt may have ``begun``.
    """
    return wsgi.Problem(
        502 if begun else 503,
        "caller_gone",
        "The caller closed its connection.",
        "send it again with the same Idempotency-Key",
        outcome="unknown" if begun else "not-run",
        request_id=request_id,
    )


def deadline(request_id, begun):
    """Return the error for a request whose deadline has passed."""
    sentinel = sentinels.Nothing(
        sentinels.Reason.DEADLINE, RETRY_AFTER_SECONDS
    )
    if not begun:
        # The request did not run, so no capacity became free in time.
        sentinel = sentinels.Nothing(
            sentinels.Reason.ALL_BUSY, RETRY_AFTER_SECONDS
        )
    return problem_of(answers.refusal(request_id, sentinel, begun=begun))


def problem_of(effect):
    """Return the error response for a refusal."""
    if not isinstance(effect, effects.Refuse):
        return internal_problem(effect.request_id)
    return wsgi.Problem(
        effect.status,
        effect.code,
        effect.message,
        effect.remedy,
        outcome=effect.outcome,
        request_id=effect.request_id,
        retry_after=effect.nothing.retry_after,
    )
