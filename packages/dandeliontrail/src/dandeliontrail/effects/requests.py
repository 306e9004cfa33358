"""Effects that go to the exchange of one request."""

import dataclasses

from .. import sentinels
from ..coordination import claims


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Send the request to a backend server, as attempt ``attempt``."""

    request_id: str
    attempt: int
    backend_server: str
    url: str
    priority: int
    repeatable: bool = True


@dataclasses.dataclass(slots=True)
class Replay:
    """Give the caller the stored answer of its idempotency key."""

    request_id: str
    answer: claims.StoredAnswer


@dataclasses.dataclass(slots=True)
class Abandon:
    """Stop working on a request: nobody waits for it any more."""

    request_id: str


@dataclasses.dataclass(slots=True)
class Refuse:
    """Answer the caller without a result.

    ``outcome`` is ``not-run`` or ``unknown``; ``status`` the HTTP status
    and ``code`` the error code of the contract.
    """

    request_id: str
    status: int
    code: str
    outcome: str
    nothing: sentinels.Nothing
    message: str
    remedy: str


@dataclasses.dataclass(slots=True)
class CutOff:
    """Tell the caller ``refusal`` now and stop, whatever is going on."""

    refusal: Refuse


@dataclasses.dataclass(slots=True)
class Cancel:
    """Stop the work of ``request_id`` at the server at ``url``."""

    request_id: str
    url: str


@dataclasses.dataclass(slots=True)
class DropConnections:
    """Close the idle connections to ``url``: who they led to is gone."""

    url: str
