"""Derives what the requests to a service have in common."""

import msgspec

# The KV cache of an engine, in tokens, if the configuration has no value.
DEFAULT_KV_TOKENS = 500_000
# Engines honour ten priorities.  Each priority of an organisation takes this
# many of them, which the priorities of its routes divide further.
ROUTE_PRIORITIES = 3
# The largest age in seconds of what an instance knows of a server's load, as
# reports pass through relays.
MAX_LOAD_AGE_SECONDS = 0.4


class Traits(msgspec.Struct, frozen=True):
    """What the routes to a service have in common.

    ``shortest_gap_seconds`` is the shortest gap between events that a route
    asks for, 0 if none does.  ``least_urgent_step`` is the highest priority
    step among the routes.  ``queues_prefill`` is true if long prompts wait in
    the prefill queues that all instances share.
    """

    shortest_gap_seconds: float
    least_urgent_step: int
    queues_prefill: bool = False


def step_of(priority):
    """Return the priority step of a route, as it is sent to engines.

    It is below :data:`ROUTE_PRIORITIES`; 0 is the most urgent.
    """
    return min(priority, ROUTE_PRIORITIES - 1)


def read_traits(revision, service, contended=False):
    """Return the :class:`Traits` of ``service`` in a revision.

    ``contended`` enables prefill queues for all services with an engine.
    """
    routes = [
        route
        for route in revision.routes
        if any(part.service == service for part in route.split)
    ]
    gaps = [route.longest_pause for route in routes if route.longest_pause > 0]
    steps = [step_of(route.priority) for route in routes]
    queues_prefill = _has_engine(revision, service) and (
        contended or any(_needs_fresh_loads(route) for route in routes)
    )
    return Traits(
        min(gaps, default=0.0), max(steps, default=0), queues_prefill
    )


def _has_engine(revision, service):
    return any(
        item.name == service and item.engine is not None
        for item in revision.services
    )


def _needs_fresh_loads(route):
    """Return whether a target leaves time to wait, but none for errors.

    With a shorter target there is no time to wait anywhere; with a longer
    one, a wrong choice based on old reports is tolerable.
    """
    return (
        route.streamed
        and step_of(route.priority) >= 1
        and MAX_LOAD_AGE_SECONDS <= route.target <= 2 * MAX_LOAD_AGE_SECONDS
    )


def max_kv_tokens(revision):
    """Return how many tokens fit into the largest engine's KV cache."""
    services = revision.services if revision else []
    known = [item.engine.kv_tokens for item in services if item.engine]
    return max(known, default=0) or DEFAULT_KV_TOKENS


class TraitsCache:
    """The traits of services in the revision that was last asked for.

    ``allows_queues`` is false at an instance without prefill queues.
    """

    __slots__ = ("_contended", "_allows_queues", "_revision", "_by_service")

    def __init__(self, contended=False, allows_queues=True):
        self._contended = contended
        self._allows_queues = allows_queues
        self._revision = None
        self._by_service = {}

    def of(self, revision, service):
        """Return the :class:`Traits` of a service."""
        if self._revision is not revision:
            self._revision = revision
            self._by_service = {}
        traits = self._by_service.get(service)
        if traits is None:
            traits = self._by_service[service] = self._read(revision, service)
        return traits

    def _read(self, revision, service):
        traits = read_traits(revision, service, self._contended)
        if not self._allows_queues:
            traits = msgspec.structs.replace(traits, queues_prefill=False)
        return traits
