"""Dispatches a request to the backend server that the policy chose."""

from .. import effects
from .. import invariants
from . import answers
from ..decisions import silence_timeouts
from ..effects import reports
from . import measures


def dispatch(state, request, placement, now):
    """Record the chosen server in ``request``; return the effects."""
    server = placement.server
    record = state.directory.server(server)
    work = request.work
    # The policy checks this too, but on cached lists, which may still contain
    # a server that has left or gone silent since.
    invariants.check(
        record is not None and record.serves(now),
        "no-new-work-for-a-leaving-server",
        f"{work.request_id} to {server}",
    )
    state.permits.confirm(work.request_id, server)
    invariants.check(
        not record.rests(now),
        "no-new-work-for-a-resting-server",
        f"{work.request_id} to {server}",
    )
    announcement = record.announcement
    incarnation = (server, announcement.epoch)
    peer_address = state.members.address_of(placement.peer)
    invariants.check(
        bool(placement.peer) == bool(peer_address),
        "a-tunnel-leads-through-a-known-peer",
        f"{work.request_id} through {placement.peer}",
    )
    version = announcement.software_version
    inputs = answers.decision_inputs(state, placement.grounds, work, now)
    if work.routed:
        inputs["software_version"] = version
    queue_waits = []
    if placement.hedge:
        request.dispatch_hedge(
            server, incarnation, now, placement.peer, version
        )
        inputs["hedge"] = True
    else:
        request.dispatch(server, incarnation, now, placement.peer, version)
        queue_waits.append(
            measures.since_received(work, reports.Metric.QUEUE_WAIT, now)
        )
    timeouts = silence_timeouts.NO_SILENCE_TIMEOUTS
    if work.routed:
        timeouts = silence_timeouts.of_attempt(work, request.attempts_begun)
    return [
        effects.Dispatch(
            work.request_id,
            request.dispatches,
            server,
            announcement.url,
            work.start_priority if work.routed else work.priority,
            work.repeatable,
            timeouts,
            announcement.epoch,
            placement.peer,
            peer_address,
            version,
        ),
        answers.decision(work, "dispatched", server, **inputs),
        *queue_waits,
    ]
