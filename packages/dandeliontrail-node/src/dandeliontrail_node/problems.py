"""How the reducer's refusals are put to callers."""

from dandeliontrail import effects

from . import wsgi


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
