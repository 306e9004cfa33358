"""Gives a request to the backend server that the policy chose."""

from .. import effects
from .. import invariants
from . import answers
from ..decisions import patience
from ..effects import reports
from . import measures


def dispatch(state, held, placement, now):
    """Take note of the server in the life ``held``; return the effects."""
    server = placement.server
    known = state.directory.server(server)
    work = held.work
    # The policy looks at this too, on lists that it keeps; a server that left
    # or fell silent since must not slip through one of them.
    invariants.check(
        known is not None and known.serves(now),
        "no-new-work-for-a-leaving-server",
        f"{work.request_id} to {server}",
    )
    announcement = known.announcement
    incarnation = (server, announcement.epoch)
    inputs = answers.inputs_of(state, placement.grounds, work, now)
    measured = []
    if placement.hedge:
        held.dispatch_hedge(server, incarnation, now)
        inputs["hedge"] = True
    else:
        held.dispatch(server, incarnation, now)
        measured.append(
            measures.since_received(work, reports.Metric.QUEUE_WAIT, now)
        )
    patient = patience.ENDLESS
    if work.routed:
        patient = patience.of_attempt(work, held.begun)
    return [
        effects.Dispatch(
            work.request_id,
            held.dispatches,
            server,
            announcement.url,
            work.start_priority if work.routed else work.priority,
            work.repeatable,
            patient,
        ),
        answers.decision(work, "dispatched", server, **inputs),
        *measured,
    ]
