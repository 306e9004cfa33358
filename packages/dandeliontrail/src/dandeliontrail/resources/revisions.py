"""A whole routing configuration, as one revision.

An operator who keeps the configuration elsewhere sends all of it at once,
under a number of its own choosing.  The highest number is in force.  A
revision takes effect as a whole or not at all, so no caller is ever routed
by half of one.  ``document`` is what was sent, byte for byte, for whoever
reads it back.
"""

import msgspec

from .. import errors


class Split(msgspec.Struct):
    """One service among which a route divides its requests, by weight."""

    service: str
    weight: int = 1


class Route(msgspec.Struct):
    """Which requests go where, and what holds for them.

    ``timeout``, ``target`` and ``longest_pause`` are in seconds: how long a
    caller may be kept waiting, until when the answer (of a stream, its first
    event) is of full worth, and the longest pause between two events of a
    stream for which it still is.  ``priority`` 0 is the highest.  A request
    may be sent to ``max_attempts`` backend servers.  ``repeatable`` tells
    that it may run more than once, ``resumable`` that a stream may go on at
    another server after the last event that came.
    """

    name: str
    host: str
    path_prefix: str
    split: list[Split]
    timeout: float
    target: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    repeatable: bool = False
    streamed: bool = False
    resumable: bool = False
    public: bool = False
    longest_pause: float = 0.0


class Engine(msgspec.Struct):
    """What is known of the model engines of a service."""

    slots: int = 0
    kv_tokens: int = 0
    tokens_per_event: int = 1


class Scaling(msgspec.Struct):
    """Servers of a service that can be ordered, by failure domain.

    ``fewest`` and ``most`` bound those of both kinds together in a domain.
    A new server serves ``boot_seconds`` after its order; a spot server costs
    ``spot_price`` of a regular one and may be taken away at any time.
    """

    fewest: int
    most: int
    boot_seconds: float = 0.0
    spot_price: float = 1.0


class Service(msgspec.Struct):
    """One service; ``max_connections`` is over all instances.

    Without ``scaling`` the number of its servers is not ours to choose.
    """

    name: str
    max_connections: int = 0
    engine: Engine | None = None
    scaling: Scaling | None = None


class Organisation(msgspec.Struct):
    """Who may send requests, by the hashes of its keys."""

    name: str
    keys: list[str] = []
    priority: int = 0


class CallerLimits(msgspec.Struct):
    """What a caller may cost, in bytes and seconds; 0 is no limit."""

    header_bytes: int = 0
    body_bytes: int = 0
    header_seconds: float = 0.0
    idle_seconds: float = 0.0


class Revision(msgspec.Struct, tag="revision"):
    """All routes, services and organisations under one number."""

    number: int
    document: str
    routes: list[Route] = []
    services: list[Service] = []
    organisations: list[Organisation] = []
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


def check(revision):
    """Raise ``ResourceInvalid`` unless the revision makes sense."""
    services = {item.name for item in revision.services}
    places = set()
    for route in revision.routes:
        _check_route(route, services)
        place = (route.host, route.path_prefix)
        _require(
            place not in places,
            f"routes.{route.name}",
            f"another route has host {route.host} and {route.path_prefix}",
            "give each route a place of its own",
        )
        places.add(place)
    _check_keys(revision.organisations)


def _check_route(route, services):
    where = f"routes.{route.name}"
    for part in route.split:
        _require(
            part.service in services,
            where,
            f"service {part.service!r} is not declared",
            "declare it or name another",
        )
        _require(
            part.weight >= 0,
            where,
            f"weight {part.weight} is below 0",
            "give weights of 0 and above",
        )
    _require(
        sum(part.weight for part in route.split) > 0,
        where,
        "the weights add up to 0",
        "give at least one service a weight above 0",
    )
    _require(
        route.timeout > 0,
        where,
        f"the timeout is {route.timeout:g} s",
        "give a timeout above 0",
    )


def _check_keys(organisations):
    owners = {}
    for organisation in organisations:
        for key in organisation.keys:
            owner = owners.setdefault(key, organisation.name)
            _require(
                owner == organisation.name,
                f"organisations.{organisation.name}",
                f"it shares a key with {owner}",
                "give each organisation keys of its own",
            )


def _require(holds, field, message, remedy):
    if not holds:
        raise errors.ResourceInvalid(field, f"{message}.", remedy)
