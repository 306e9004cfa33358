"""What a whole configuration says of the requests to one service."""

import msgspec

# Memory of an engine where the configuration does not say.
KV_TOKENS = 500_000
# Engines honour ten priorities; of these an organisation's priority takes so
# many steps each, within which the routes' own count.
ROUTE_PRIORITIES = 3


class Traits(msgspec.Struct, frozen=True):
    """What the routes to a service have in common.

    ``shortest_pause`` is the shortest that one asks for, in seconds, 0 where
    none does; ``least_urgent`` the highest step among their priorities.
    """

    shortest_pause: float
    least_urgent: int


def step_of(priority):
    """Return the step that a route's priority is to an engine."""
    return min(priority, ROUTE_PRIORITIES - 1)


def read(revision, service):
    """Return the :class:`Traits` of ``service``."""
    routes = [
        route
        for route in revision.routes
        if any(part.service == service for part in route.split)
    ]
    pauses = [
        route.longest_pause for route in routes if route.longest_pause > 0
    ]
    steps = [step_of(route.priority) for route in routes]
    return Traits(min(pauses, default=0.0), max(steps, default=0))


def kv_tokens(revision):
    """Return how many tokens the largest engines have memory for."""
    services = revision.services if revision else []
    told = [item.engine.kv_tokens for item in services if item.engine]
    return max(told, default=0) or KV_TOKENS
