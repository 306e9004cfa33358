"""A scripted server on loopback that names a limit in its answers."""

import time

from tests.common import platform_world

LIMIT_HEADER = "Server-Limit"
STREAM_EVENTS = 4


def limit_header(limit):
    """Return the header line that names ``limit``, '' if it is ``None``."""
    return "" if limit is None else f"{LIMIT_HEADER}: {limit:g}\r\n"


class LimitedServer:
    """Answers at once and records when requests arrive.

    ``limits`` are the texts that its answers name, normally one or none.  It
    cuts each stream after ``cut_after`` events, if that is not ``None``, and
    turns requests away while ``refuses`` is true.
    """

    def __init__(self, platform, entries, *limits):
        self.limits = limits
        self.arrivals = []
        self.cut_after = None
        self.refuses = False
        self.server = platform.server(self._script)
        for entry in entries:
            platform.knows(entry, self.server)

    def _extra(self):
        return "".join(f"{LIMIT_HEADER}: {item}\r\n" for item in self.limits)

    def _script(self, server, sock, head):
        self.arrivals.append(time.monotonic())
        request_id = platform_world.id_of(head)
        if self.refuses:
            extra = f"X-Dandeliontrail-Not-Executed: 1\r\n{self._extra()}"
            reply = platform_world.whole(503, b"", request_id, extra)
        elif " /chat/" in head.split("\r\n")[0]:
            return self._stream(sock, head, request_id)
        else:
            reply = platform_world.whole(
                200, b"whole", request_id, self._extra()
            )
        sock.sendall(reply)
        return None

    def _stream(self, sock, head, request_id):
        sock.sendall(platform_world.stream_head(request_id, self._extra()))
        first = int(platform_world.header(head, "last-event-id") or 0) + 1
        for count, number in enumerate(range(first, STREAM_EVENTS + 1)):
            if count == self.cut_after:
                return "close"
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        sock.sendall(platform_world.END)
        return None
