"""Derives what the requests to a service have in common."""

import msgspec

# The KV cache of an engine, in tokens, if the configuration has no value.
DEFAULT_KV_TOKENS = 500_000
# Engines honour ten priorities.  Each priority of an organisation takes this
# many of them, which the priorities of its routes divide further.
ROUTE_PRIORITIES = 3


class Traits(msgspec.Struct, frozen=True):
    """What the routes to a service have in common.

    ``shortest_gap_seconds`` is the shortest gap between events that a route
    asks for, 0 if none does.  ``least_urgent_step`` is the highest priority
    step among the routes.
    """

    shortest_gap_seconds: float
    least_urgent_step: int


def step_of(priority):
    """Return the priority step of a route, as it is sent to engines.

    It is below :data:`ROUTE_PRIORITIES`; 0 is the most urgent.
    """
    return min(priority, ROUTE_PRIORITIES - 1)


def read_traits(revision, service):
    """Return the :class:`Traits` of ``service`` in a revision."""
    routes = [
        route
        for route in revision.routes
        if any(part.service == service for part in route.split)
    ]
    gaps = [route.longest_pause for route in routes if route.longest_pause > 0]
    steps = [step_of(route.priority) for route in routes]
    return Traits(min(gaps, default=0.0), max(steps, default=0))


def max_kv_tokens(revision):
    """Return how many tokens fit into the largest engine's KV cache."""
    services = revision.services if revision else []
    known = [item.engine.kv_tokens for item in services if item.engine]
    return max(known, default=0) or DEFAULT_KV_TOKENS
