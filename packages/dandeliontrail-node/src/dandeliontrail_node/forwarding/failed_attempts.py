"""What the reducer is told of an attempt that failed, by its error.

The reducer decides whether the request is retried, and what its caller is told
of whether it ran.  So the event must not say that an attempt did not begin
where it may have.
"""

from dandeliontrail import events

from . import attempt as attempt_module
from . import backend_request
from . import events_splitter

# Errors that end one attempt.
FAILURES = (
    backend_request.NotSent,
    backend_request.Broken,
    attempt_module.NotExecuted,
    attempt_module.ServerRests,
    attempt_module.ServerFailed,
    events_splitter.EventTooLong,
    events_splitter.NotResumed,
)


def event_of(exc, request_id, attempt, relayed):
    """Return the event for an attempt that ended with ``exc``.

    ``relayed`` is the number of events that the caller has of the request.
    """
    if isinstance(exc, backend_request.NotSent):
        return events.NotBegun(
            request_id,
            attempt.number,
            server_said=False,
            detail=str(exc),
            path_failure=exc.path_failure,
        )
    if isinstance(exc, attempt_module.ServerRests):
        return events.NotBegun(
            request_id,
            attempt.number,
            server_said=False,
            detail=str(exc),
            rests=True,
        )
    if isinstance(exc, attempt_module.NotExecuted):
        return events.NotBegun(
            request_id,
            attempt.number,
            server_said=True,
            detail=str(exc),
            gone=exc.server_replaced,
        )
    is_answer = isinstance(exc, attempt_module.ServerFailed)
    return events.AttemptFailed(
        request_id,
        attempt.number,
        relayed=relayed,
        detail=str(exc),
        answered=exc.output.answer.status if is_answer else 0,
        closed=getattr(exc, "closed", False),
        received=attempt.received(),
        unstreamed=attempt.is_unstreamed,
    )
