"""How often each version of a model meets the targets of its requests.

The roll-out of a version stops when it does worse than the one before (see
:mod:`..decisions.model_orders`), so what counts is the recent past: older
requests weigh less and less.
"""

from ..decisions import model_orders
from ..resources import specs

# Counts are halved above this, so that a version which turned bad shows
# within some hundred requests however long it was good.
REMEMBERED = 1000
MILLISECONDS = 1000.0


def count(state, held, now):
    """Count a request that is complete, if its class has targets."""
    work = held.work
    version = _version(state, held.server, work.model)
    spec = state.store.spec(specs.Kind.REQUEST_CLASSES, work.class_name)
    if version is None or spec is None:
        return
    limits = spec.targets
    if limits.first_token_ms is None and limits.total_ms is None:
        return
    counted = state.orders.attainment.setdefault(
        (work.model, version), model_orders.Attainment()
    )
    counted.requests += 1
    counted.met += _met(limits, held, now)
    if counted.requests > REMEMBERED:
        counted.requests //= 2
        counted.met //= 2


def _met(limits, held, now):
    """Tell whether the targets were met from the dispatch on.

    The time in the queue is not the version's doing.
    """
    first = (held.first_output - held.dispatched) * MILLISECONDS
    total = (now - held.dispatched) * MILLISECONDS
    return _within(first, limits.first_token_ms) and _within(
        total, limits.total_ms
    )


def _within(value, limit):
    return limit is None or value <= limit


def _version(state, server_name, model):
    server = state.directory.server(server_name)
    if server is None or not model:
        return None
    for item in server.announcement.models:
        if model == item.name or model in item.adapters:
            return item.version
    return None
