"""Effects that go to the exchange of one request."""

import msgspec

from .. import sentinels
from ..coordination import claims
from ..decisions import patience as patience_module


class Dispatch(msgspec.Struct):
    """Send the request to a backend server, as attempt ``attempt``.

    After ``patience`` without a byte the attempt counts as silent.  One that
    is sent while a silent one is waited for is a hedge: whichever speaks first
    has the request.
    """

    request_id: str
    attempt: int
    backend_server: str
    url: str
    priority: int
    repeatable: bool = True
    patience: patience_module.Patience = patience_module.ENDLESS


class Replay(msgspec.Struct):
    """Give the caller the stored answer of its idempotency key."""

    request_id: str
    answer: claims.StoredAnswer


class Abandon(msgspec.Struct):
    """Stop working on a request: nobody waits for it any more."""

    request_id: str


class Refuse(msgspec.Struct):
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


class CutOff(msgspec.Struct):
    """Tell the caller ``refusal`` now and stop, whatever is going on."""

    refusal: Refuse


class Withdraw(msgspec.Struct):
    """Let go of the hedge ``attempt``; the silent one is waited for on."""

    request_id: str
    attempt: int


class Cancel(msgspec.Struct):
    """Stop the work of ``request_id`` at the server at ``url``."""

    request_id: str
    url: str


class DropConnections(msgspec.Struct):
    """Close the idle connections to ``url``: who they led to is gone."""

    url: str
