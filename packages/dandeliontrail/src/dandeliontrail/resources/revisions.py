"""Revisions: complete routing configurations.

An operator who manages the configuration elsewhere sends all of it at once,
with a revision number that the operator chooses.  The revision with the
highest number is in force.  A revision takes effect atomically, so no
request is ever routed by only a part of one.  ``document`` is what was sent,
byte for byte, and is returned when the configuration is read back.
"""

import msgspec

from .. import errors


class Split(msgspec.Struct):
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: int = 1


class Route(msgspec.Struct):
    """Where requests for a host and path prefix go, and how.

    Times are in seconds.  ``timeout`` is how long a caller may be kept
    waiting.  The answer has its full value if it arrives within ``target``
    (for a stream, its first event) and if no pause between two events of a
    stream exceeds ``longest_pause``.  ``priority`` 0 is the highest.  A
    request may be sent to up to ``max_attempts`` backend servers.
    ``repeatable`` means that it may run more than once, ``resumable`` that a
    stream may be continued at another server after the last event received;
    of a route that is not ``streamed`` it says nothing.
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

    @property
    def allows_repeats(self):
        """Whether a request may be sent again after it may have run."""
        return self.repeatable or (self.streamed and self.resumable)


class Engine(msgspec.Struct):
    """The declared properties of the model engines of a service."""

    slots: int = 0
    kv_tokens: int = 0
    tokens_per_event: int = 1


class Scaling(msgspec.Struct):
    """Limits for ordering servers of a service, per failure domain.

    ``fewest`` and ``most`` bound the number of regular and spot servers
    together.  A new server is ready ``boot_seconds`` after its order.  A
    spot server costs ``spot_price`` times as much as a regular one and may
    be withdrawn at any time.
    """

    fewest: int
    most: int
    boot_seconds: float = 0.0
    spot_price: float = 1.0


class Service(msgspec.Struct):
    """One service; ``max_connections`` is the limit over all instances.

    Without ``scaling`` no servers are ordered for it.
    """

    name: str
    max_connections: int = 0
    engine: Engine | None = None
    scaling: Scaling | None = None


class Organisation(msgspec.Struct):
    """An organisation that may send requests, with the hashes of its keys."""

    name: str
    keys: list[str] = []
    priority: int = 0


class CallerLimits(msgspec.Struct):
    """Limits on a caller's request, in bytes and seconds; 0 is no limit."""

    header_bytes: int = 0
    body_bytes: int = 0
    header_seconds: float = 0.0
    idle_seconds: float = 0.0


class Revision(msgspec.Struct, tag="revision"):
    """All routes, services and organisations of one revision number.

    ``needs_key`` tells whether requests need a key where their route is not
    public; without organisations nobody has one.  It is ``None`` in a
    revision of a release that did not tell an empty list from none.
    """

    number: int
    document: str
    routes: list[Route] = []
    services: list[Service] = []
    organisations: list[Organisation] = []
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
    needs_key: bool | None = None


def check(revision):
    """Raise ``ResourceInvalid`` unless the revision is consistent."""
    for problem in find_errors(revision):
        raise problem


def find_errors(revision):
    """Yield a ``ResourceInvalid`` for each inconsistency of the revision."""
    services = {item.name for item in revision.services}
    addresses = set()
    for route in revision.routes:
        yield from _route_errors(route, services)
        # Hosts are compared without regard to case (RFC 9110, section 4.2.3).
        address = (route.host.lower(), route.path_prefix)
        if address in addresses:
            yield _error(
                f"routes.{route.name}",
                f"another route has host {route.host} and path prefix"
                f" {route.path_prefix}",
                "give each route a different host or path prefix",
            )
        addresses.add(address)
    yield from _key_errors(revision.organisations)


def _route_errors(route, services):
    field = f"routes.{route.name}"
    yield from find_split_errors(field, route.split, services)
    if not route.timeout > 0:
        yield _error(
            field,
            f"the timeout is {route.timeout:g} s",
            "give a timeout above 0",
        )


def find_split_errors(field, split, services):
    """Yield a ``ResourceInvalid`` for each error of a split.

    ``services`` are the names of those declared.
    """
    for share in split:
        if share.service not in services:
            yield _error(
                field,
                f"service {share.service!r} is not declared",
                "declare the service or name another one",
            )
        if share.weight < 0:
            yield _error(
                field,
                f"weight {share.weight} is below 0",
                "give weights of 0 and above",
            )
    # With a weight below 0 the sum means nothing.
    if all(share.weight == 0 for share in split):
        yield _error(
            field,
            "the weights add up to 0",
            "give at least one service a weight above 0",
        )


def _key_errors(organisations):
    owners = {}
    for organisation in organisations:
        for key in organisation.keys:
            owner = owners.setdefault(key, organisation)
            if owner is not organisation:
                yield _error(
                    f"organisations.{organisation.name}",
                    f"it shares a key with {owner.name}",
                    "give each organisation keys of its own",
                )


def _error(field, message, remedy):
    return errors.ResourceInvalid(field, f"{message}.", remedy)
