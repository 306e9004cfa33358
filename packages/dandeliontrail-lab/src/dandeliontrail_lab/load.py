"""A load generator: many callers in one gevent loop.

Requests start at a steady pace whatever becomes of those before them (an
open loop), so that a slow system cannot lower the load that it is measured
under.
"""

import dataclasses
import time

import gevent
import geventhttpclient

from . import client

CONNECTIONS = 1024


@dataclasses.dataclass(slots=True)
class Result:
    """What came of a load; times in seconds."""

    sent: int = 0
    complete: int = 0
    events: int = 0
    bytes: int = 0
    seconds: float = 0.0
    first_s: list = dataclasses.field(default_factory=list)
    total_s: list = dataclasses.field(default_factory=list)


class Load:
    """Sends one kind of request to one address again and again.

    ``ask`` is a :class:`.client.Ask`.  Connections are kept open, as those
    of applications are.
    """

    def __init__(self, ask):
        host, port = ask.address.rsplit(":", 1)
        self._client = geventhttpclient.HTTPClient(
            host,
            int(port),
            concurrency=CONNECTIONS,
            network_timeout=client.NETWORK_SECONDS,
        )
        self._body = client.body_of(ask)
        self._headers = client.headers_of(ask)
        self.result = Result()

    def run(self, per_second, seconds):
        """Send at a steady pace, wait for all answers, return the result."""
        began = time.monotonic()
        jobs = []
        for number in range(round(per_second * seconds)):
            due = began + number / per_second
            gevent.sleep(max(0.0, due - time.monotonic()))
            jobs.append(gevent.spawn(self._send_one))
        gevent.joinall(jobs)
        self.result.seconds = time.monotonic() - began
        self._client.close()
        return self.result

    def _send_one(self):
        began = time.monotonic()
        result = self.result
        result.sent += 1
        try:
            response = self._client.post(
                "/v1/chat/completions", self._body, self._headers
            )
            self._read(response, began)
        except (OSError, geventhttpclient.response.HTTPParseError):
            return

    def _read(self, response, began):
        result = self.result
        first = True
        while True:
            part = response.readline(b"\n\n")
            if first:
                result.first_s.append(time.monotonic() - began)
                first = False
            if not part:
                return
            result.bytes += len(part)
            if part.startswith(client.DONE):
                break
            result.events += 1
        response.read()
        result.complete += 1
        result.total_s.append(time.monotonic() - began)
