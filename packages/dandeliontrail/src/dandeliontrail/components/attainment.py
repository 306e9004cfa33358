"""Counts how often each model version meets its requests' latency targets.

The rollout of a version stops when it does worse than the previous one (see
:mod:`..decisions.model_orders`), so the recent past matters most: the weight
of older requests decays.
"""

from ..decisions import model_orders
from ..resources import specs

# Counts are halved above this number, so that a version which becomes slow is
# detected within a few hundred requests, however long it was fast.
MAX_COUNTED_REQUESTS = 1000
MS_PER_SECOND = 1000.0


def count(state, request, now):
    """Count a completed request, if its class has latency targets."""
    work = request.work
    version = _served_version(state, request.server, work.model)
    spec = state.store.spec(specs.Kind.REQUEST_CLASSES, work.class_name)
    if version is None or spec is None:
        return
    targets = spec.targets
    if targets.first_token_ms is None and targets.total_ms is None:
        return
    totals = state.orders.attainment.setdefault(
        (work.model, version), model_orders.Attainment()
    )
    totals.requests += 1
    totals.met += _met_targets(targets, request, now)
    if totals.requests > MAX_COUNTED_REQUESTS:
        totals.requests //= 2
        totals.met //= 2


def _met_targets(targets, request, now):
    """Return whether the targets were met, counted from the dispatch.

    Time in the queue does not depend on the model version.
    """
    first_token_ms = (
        request.first_output - request.dispatched
    ) * MS_PER_SECOND
    total_ms = (now - request.dispatched) * MS_PER_SECOND
    return _within(first_token_ms, targets.first_token_ms) and _within(
        total_ms, targets.total_ms
    )


def _within(value, limit):
    return limit is None or value <= limit


def _served_version(state, server_name, model):
    server = state.directory.server(server_name)
    if server is None or not model:
        return None
    for item in server.announcement.models:
        if model == item.name or model in item.adapters:
            return item.version
    return None
