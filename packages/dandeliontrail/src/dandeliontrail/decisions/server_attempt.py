"""An outstanding attempt at a server, as the shared policy tracks it."""

import msgspec

from . import server_table
from . import work as work_module


class ServerAttempt(msgspec.Struct):
    """An outstanding attempt at a server.

    ``server_state`` is the state of the incarnation that got the work, so
    that work which ends after a restart is not subtracted from the count of
    the next incarnation.  ``domain`` is the server's failure domain,
    ``placed_at`` when the work was placed, ``unread`` the prompt tokens that
    the server has yet to prefill for it.  ``peer`` is the instance through
    which the server is reached, '' for a direct path.  ``arrived`` tells that
    the server has answered, or that nothing was sent; ``is_probe`` that it is
    one of the first after a rest of the server and has no output yet.
    """

    work: work_module.Work
    server: str
    server_state: server_table.ServerState
    domain: str
    placed_at: float
    unread: float
    peer: str = ""
    arrived: bool = False
    is_probe: bool = False
