"""Effects on the exchange of one request with its caller and servers."""

import msgspec

from .. import sentinels
from ..coordination import claims
from ..decisions import silence_timeouts


class Dispatch(msgspec.Struct):
    """Send the request to a backend server, as attempt ``attempt``.

    ``patience`` has the silence timeouts: an attempt that sends nothing
    within them counts as silent.  An attempt started beside a silent one is a
    hedge; the first of the two to send anything gets the request.

    With ``peer`` and ``peer_address`` the server is reached by a tunnel
    through that instance; ``epoch`` is the server's start.
    ``software_version`` is the version that the server announced: what the
    caller gets is bound to it, so a server with other software must refuse.
    """

    request_id: str
    attempt: int
    backend_server: str
    url: str
    priority: int
    repeatable: bool = True
    patience: silence_timeouts.SilenceTimeouts = (
        silence_timeouts.NO_SILENCE_TIMEOUTS
    )
    epoch: int = 0
    peer: str = ""
    peer_address: str = ""
    software_version: str = ""


class Replay(msgspec.Struct):
    """Send the caller the answer stored for its idempotency key."""

    request_id: str
    answer: claims.StoredAnswer


class Abandon(msgspec.Struct):
    """Stop working on a request that nobody is waiting for any more."""

    request_id: str


class Refuse(msgspec.Struct):
    """Send the caller an error answer.

    ``status`` is the HTTP status, ``code`` the error code of the API and
    ``outcome`` either ``not-run`` or ``unknown``.
    """

    request_id: str
    status: int
    code: str
    outcome: str
    nothing: sentinels.Nothing
    message: str
    remedy: str


class CutOff(msgspec.Struct):
    """Send the caller ``refusal`` now and abort the exchange."""

    refusal: Refuse


class Withdraw(msgspec.Struct):
    """Abort the hedge ``attempt``; the silent attempt continues."""

    request_id: str
    attempt: int


class Cancel(msgspec.Struct):
    """Cancel the request ``request_id`` at the server at ``url``."""

    request_id: str
    url: str


class DropConnections(msgspec.Struct):
    """Close the idle connections to ``url``, whose server is gone."""

    url: str


class CheckPath(msgspec.Struct):
    """Check whether a connection to a backend server can be opened.

    Not needed if bytes of any server have arrived in the last
    ``silent_seconds``.
    With ``peer`` and ``peer_address`` the path is one through that instance.
    """

    backend_server: str
    epoch: int
    url: str
    silent_seconds: float = 0.0
    peer: str = ""
    peer_address: str = ""
