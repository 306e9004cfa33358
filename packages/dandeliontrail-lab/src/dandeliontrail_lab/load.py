"""An open-loop load generator: many callers in one gevent loop.

Requests start at a constant rate regardless of earlier responses, so that a
slow system does not reduce the load that it is measured under.
"""

import dataclasses
import time

import gevent
import geventhttpclient

from . import client

MAX_CONNECTIONS = 1024


@dataclasses.dataclass(slots=True)
class Result:
    """The measurements of one load run; times in seconds."""

    sent: int = 0
    complete: int = 0
    events: int = 0
    bytes: int = 0
    seconds: float = 0.0
    first_s: list = dataclasses.field(default_factory=list)
    total_s: list = dataclasses.field(default_factory=list)


class Load:
    """Sends the same request to one address repeatedly.

    ``ask`` is a :class:`.client.Ask`.  Connections are kept alive and
    reused, as applications do.
    """

    def __init__(self, ask):
        host, port = ask.address.rsplit(":", 1)
        self._client = geventhttpclient.HTTPClient(
            host,
            int(port),
            concurrency=MAX_CONNECTIONS,
            network_timeout=client.NETWORK_TIMEOUT_SECONDS,
        )
        self._body = client.body_of(ask)
        self._headers = client.headers_of(ask)
        self.result = Result()

    def run(self, per_second, seconds):
        """Send at a constant rate, wait for all answers, return the result."""
        started_at = time.monotonic()
        greenlets = []
        for number in range(round(per_second * seconds)):
            scheduled_at = started_at + number / per_second
            gevent.sleep(max(0.0, scheduled_at - time.monotonic()))
            greenlets.append(gevent.spawn(self._send_one))
        gevent.joinall(greenlets)
        self.result.seconds = time.monotonic() - started_at
        self._client.close()
        return self.result

    def _send_one(self):
        started_at = time.monotonic()
        result = self.result
        result.sent += 1
        try:
            response = self._client.post(
                "/v1/chat/completions", self._body, self._headers
            )
            self._read(response, started_at)
        except (OSError, geventhttpclient.response.HTTPParseError):
            return

    def _read(self, response, started_at):
        result = self.result
        first = True
        while True:
            event = response.readline(b"\n\n")
            if first:
                result.first_s.append(time.monotonic() - started_at)
                first = False
            if not event:
                return
            result.bytes += len(event)
            if event.startswith(client.DONE_EVENT):
                break
            result.events += 1
        response.read()
        result.complete += 1
        result.total_s.append(time.monotonic() - started_at)
