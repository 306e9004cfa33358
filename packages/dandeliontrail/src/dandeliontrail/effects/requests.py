"""Effects that go to the exchange of one request."""

import dataclasses

from .. import sentinels


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Send the request to a backend server, as attempt ``attempt``.

    ``resume_from`` is the number of events that the caller already has
    from the same server; zero starts afresh.
    """

    request_id: str
    attempt: int
    backend_server: str
    url: str
    priority: int
    resume_from: int = 0


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
class Finish:
    """The caller has the whole answer; the exchange may end."""

    request_id: str


@dataclasses.dataclass(slots=True)
class Cancel:
    """Stop the work of ``request_id`` at the server at ``url``."""

    request_id: str
    url: str
