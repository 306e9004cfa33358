"""Events about backend servers."""

import msgspec

from ..decisions import peer_paths
from ..resources import announcements


class Announced(msgspec.Struct):
    """A backend server sent its announcement to this instance directly.

    ``write_id`` is for the answer to a departure, '' if nobody waits for it.
    """

    announcement: announcements.Announcement
    write_id: str = ""


class LimitRead(msgspec.Struct):
    """An answer of a server arrived, and the server has or had a limit.

    ``texts`` are the values of the answer's fields that name a limit, in
    requests per second from all instances together, ``brittle_texts`` those
    that say how much the server may turn away.  ``sent_at`` is when the
    request was sent, in seconds on this instance's clock; ``refused`` is true
    if the server answered that it did not run the request.
    """

    backend_server: str
    epoch: int
    texts: list[str]
    sent_at: float
    refused: bool = False
    brittle_texts: list[str] = []


class RestAsked(msgspec.Struct):
    """A server turned a request away and asked for rest.

    ``texts`` are the values that say for how many seconds.  ``peer_address``
    is that of the instance through which the request went, '' for a direct
    path: the server asked that one.
    """

    backend_server: str
    epoch: int
    texts: list[str]
    request_id: str = ""
    peer_address: str = ""


class LeavingSaid(msgspec.Struct):
    """An answer of a server says whether it leaves, in ``texts``."""

    backend_server: str
    epoch: int
    texts: list[str]
    request_id: str = ""


class SentWithoutPermit(msgspec.Struct):
    """A request was sent to a limited server without asking the reducer.

    A stream that is resumed at its own server cannot wait for a permit.
    """

    backend_server: str


class PathChecked(msgspec.Struct):
    """The path to a server was checked, or tried for another instance.

    ``reached`` is true if a connection to the server's start ``epoch`` was
    established, ``None`` if the check was not needed.  ``peer`` is the
    instance through which it was, '' for a direct path; ``path_failure`` tells
    why it was not.
    """

    backend_server: str
    epoch: int
    reached: bool | None
    peer: str = ""
    path_failure: peer_paths.PathFailure | None = None
