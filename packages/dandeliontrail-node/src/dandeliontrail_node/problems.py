"""How the reducer's refusals are put to callers."""

from dandeliontrail.components import answers
from dandeliontrail import effects
from dandeliontrail import sentinels

from . import wsgi

# A request that got its time and was not served may be tried again soon:
# what took the room ends within about a second.
RETRY_AFTER = 1.0


def internal_problem(request_id):
    """Return what a caller is told when this instance itself failed."""
    return wsgi.Problem(
        500,
        "internal",
        "The instance failed on this request.",
        "send it again if it may be repeated; see the instance's log",
        outcome="unknown",
        request_id=request_id,
    )


def caller_gone(request_id):
    """Return what would be told a caller that left, if it still listened."""
    return wsgi.Problem(
        503,
        "caller_gone",
        "The caller closed its connection.",
        "send it again with the same Idempotency-Key",
        outcome="unknown",
        request_id=request_id,
    )


def deadline(request_id, begun):
    """Return what a caller is told when the time of its request is up."""
    nothing = sentinels.Nothing(sentinels.Reason.DEADLINE, RETRY_AFTER)
    if not begun:
        # Nothing ran, so this instance had no room for it in time.
        nothing = sentinels.Nothing(sentinels.Reason.ALL_BUSY, RETRY_AFTER)
    return problem_of(answers.refusal(request_id, nothing, begun=begun))


def problem_of(effect):
    """Return the problem that a refusal tells its caller."""
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
