"""A scripted server on loopback that names a limit in its answers."""

import time

from tests.common import platform_world

LIMIT_HEADER = "Server-Limit"


def limit_header(limit):
    """Return the header line that names ``limit``, '' if it is ``None``."""
    return "" if limit is None else f"{LIMIT_HEADER}: {limit:g}\r\n"


class LimitedServer:
    """Answers at once and records when requests arrive.

    ``limit`` is the text that its answers name, empty for none.
    """

    def __init__(self, platform, entries, limit="", service="app"):
        self.limit = limit
        self.arrivals = []
        self.server = platform.server(self._script, service)
        for entry in entries:
            platform.knows(entry, self.server)

    def _script(self, server, sock, head):
        self.arrivals.append(time.monotonic())
        extra = f"{LIMIT_HEADER}: {self.limit}\r\n" if self.limit else ""
        request_id = platform_world.id_of(head)
        sock.sendall(platform_world.whole(200, b"whole", request_id, extra))
