"""What a whole configuration says of the requests to one service."""

import dataclasses

# Memory of an engine where the configuration does not say.
KV_TOKENS = 500_000


@dataclasses.dataclass(slots=True, frozen=True)
class Traits:
    """What the routes to a service have in common.

    ``shortest_pause`` is the shortest that one asks for, in seconds, 0 where
    none does; ``least_urgent`` the highest number among their priorities.
    """

    shortest_pause: float
    least_urgent: int


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
    priorities = [route.priority for route in routes]
    return Traits(min(pauses, default=0.0), max(priorities, default=0))


def kv_tokens(revision):
    """Return how many tokens the largest engines have memory for."""
    services = revision.services if revision else []
    return max(
        (item.engine.kv_tokens for item in services if item.engine),
        default=KV_TOKENS,
    )
