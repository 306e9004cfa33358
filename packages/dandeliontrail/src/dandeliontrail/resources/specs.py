"""Schemas of the specs of all kinds of objects.

Field names are those of the resource API.  Unknown fields are rejected, so
that a misspelt limit is an error and not a limit that is never applied.
"""

import enum

import msgspec


class Kind(enum.Enum):
    """The kinds of object that operators declare."""

    ORGANISATIONS = "organisations"
    REQUEST_CLASSES = "requestclasses"
    BACKEND_POOLS = "backendpools"
    MODEL_PLACEMENTS = "modelplacements"


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """Rate limits and a daily quota; ``None`` means unlimited."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    tokens_per_day: float | None = None


class OrganisationSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A team that is charged for its usage.

    ``keys`` has hashes of API keys only (``sha256:HEX``).  ``weight`` is its
    weight in fair sharing with other organisations of the same class.
    """

    keys: list[str] = []
    weight: float = 1.0
    limits: Limits = msgspec.field(default_factory=Limits)
    classes: list[str] = []
    default_class: str = ""


class Targets(msgspec.Struct, forbid_unknown_fields=True):
    """Latency targets of a class, in milliseconds; ``None`` is no target."""

    first_token_ms: float | None = None
    between_tokens_ms: float | None = None
    total_ms: float | None = None


class RequestClassSpec(msgspec.Struct, forbid_unknown_fields=True):
    """How the requests of one class are treated.

    ``priority`` 0 is the highest.  ``minimum_share`` is the fraction of the
    capacity, from 0 to below 1, that is guaranteed to the class whatever the
    load of the classes with a higher priority.
    """

    priority: int = 1
    targets: Targets = msgspec.field(default_factory=Targets)
    repeatable: bool = True
    sheddable: bool = False
    minimum_share: float = 0.0
    pools: list[str] = []
    limits: Limits = msgspec.field(default_factory=Limits)


class Select(msgspec.Struct, forbid_unknown_fields=True):
    """The backend servers of a pool; all non-empty fields must match."""

    kind: str = ""
    model: str = ""
    service: str = ""
    failure_domain: str = ""
    backend_servers: list[str] = []


class BackendPoolSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A named set of backend servers.

    ``checks_fencing`` overrides the value that its servers announce, unless
    it is ``None``.
    """

    select: Select = msgspec.field(default_factory=Select)
    checks_fencing: bool | None = None


class ModelPlacementSpec(msgspec.Struct, forbid_unknown_fields=True):
    """How many copies of a model to run in each failure domain."""

    model: str = ""
    version: str = ""
    adapters: list[str] = []
    pool: str = ""
    minimum_copies: int = 1
    maximum_copies: int = 1
    role: str = ""


SPEC_TYPES = {
    Kind.ORGANISATIONS: OrganisationSpec,
    Kind.REQUEST_CLASSES: RequestClassSpec,
    Kind.BACKEND_POOLS: BackendPoolSpec,
    Kind.MODEL_PLACEMENTS: ModelPlacementSpec,
}
