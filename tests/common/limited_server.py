"""A scripted server on loopback that names a limit in its answers."""

import time

from tests.common import platform_world

LIMIT_HEADER = "Server-Limit"


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
