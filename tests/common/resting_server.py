"""A scripted server on loopback that asks instances for rest."""

import time

import gevent

from dandeliontrail_node import connection

from tests.common import platform_world
from tests.common import rest_judge


def connects_from_its_address(entry):
    """Have an entry connect to servers from its own address."""
    (pool,) = entry.host.connection_pools
    pool.connect = lambda address, seconds: connection.connect(
        address, seconds, source=entry.ip
    )


class RestingServer:
    """Serves, or answers 503 with ``retry_after`` while that is set.

    ``arrivals`` has the time and the sending instance of each request.
    """

    def __init__(self, platform, entries, answer_seconds=0.02, **more):
        self.retry_after = None
        self.leaving = ""
        self.status = 503
        self.arrivals = []
        self.judge = rest_judge.RestJudge()
        self._answer_seconds = answer_seconds
        self.server = platform.server(self._script, **more)
        for entry in entries:
            platform.knows(entry, self.server)

    def ask_for_rest(self, retry_after, seconds):
        """Turn requests away with ``retry_after`` for some seconds."""
        self.retry_after = retry_after
        gevent.sleep(seconds)
        self.retry_after = None

    def arrivals_between(self, begin, end):
        """Return how many requests came between two times."""
        return sum(begin < at < end for at, _ in self.arrivals)

    def _script(self, server, sock, head):
        now = time.monotonic()
        instance = sock.getpeername()[0]
        self.arrivals.append((now, instance))
        self.judge.arrived(instance, now)
        request_id = platform_world.id_of(head)
        if self.retry_after is not None:
            return self._turn_away(sock, request_id, instance, now)
        gevent.sleep(self._answer_seconds)
        if platform_world.header(head, "accept") == "text/event-stream":
            return self._stream(sock, request_id)
        sock.sendall(
            platform_world.whole(200, b"whole", request_id, self.leaving)
        )
        return None

    def _stream(self, sock, request_id):
        sock.sendall(platform_world.stream_head(request_id, self.leaving))
        for number in (1, 2):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        sock.sendall(platform_world.END)

    def _turn_away(self, sock, request_id, instance, now):
        try:
            seconds = float(self.retry_after)
        except ValueError:
            seconds = 0.0
        extra = (
            f"X-Dandeliontrail-Not-Executed: 1\r\n{self.leaving}"
            f"Retry-After: {self.retry_after}\r\n"
        )
        sock.sendall(platform_world.whole(self.status, b"", request_id, extra))
        self.judge.asked(instance, seconds, now)
