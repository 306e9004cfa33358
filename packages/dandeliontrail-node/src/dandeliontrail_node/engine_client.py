"""Sends requests to backend servers and reads their answers.

What this module must get right is when a request *may have begun*: from
the moment before the first byte is written.  Only a failure to connect, or
the server's own ``X-Outcome: not-run``, proves that it did not.
"""

import gevent
import geventhttpclient
from geventhttpclient import url as url_module

from dandeliontrail import interfaces

CONNECTIONS_PER_SERVER = 512
NOT_RUN_STATUSES = (429, 503)
CANCEL_TIMEOUT = 2.0
FAILURES = (OSError, gevent.Timeout, geventhttpclient.response.HTTPParseError)


class NotBegun(Exception):
    """The server certainly did not begin; ``server_said`` tells how."""

    def __init__(self, server_said, retry_after=0.0):
        super().__init__("not begun")
        self.server_said = server_said
        self.retry_after = retry_after


class Broken(Exception):
    """The exchange broke off after the server may have begun."""


class Outgoing:
    """One request on its way to a server."""

    __slots__ = ("method", "path", "headers", "body")

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class PooledEngineClient(interfaces.EngineClient):
    """Keeps connections open to every server that it has talked to."""

    def __init__(self, connect_seconds, silent_seconds):
        self._connect_seconds = connect_seconds
        self._silent_seconds = silent_seconds
        self._clients = {}

    def open(self, dispatch, exchange):
        """Send ``exchange`` (an :class:`Outgoing`) and return the response.

        ``dispatch.began()`` is called before the first byte is written.
        """
        client = self._client(dispatch.url)
        self._connect(client)
        dispatch.began()
        try:
            response = client.request(
                exchange.method,
                exchange.path,
                exchange.body,
                exchange.headers,
            )
        except FAILURES as exc:
            raise Broken(f"{type(exc).__name__}: {exc}")
        _check_not_run(response)
        return response

    def _connect(self, client):
        """Make sure that a live connection waits in the pool.

        Connecting first, and apart from sending, is what lets a refused
        connection be told from a request that broke off: the library's own
        ``request`` reports both as a socket error.
        """
        pool = client._connection_pool
        try:
            pool.return_socket(pool.get_socket())
        except (OSError, gevent.Timeout):
            raise NotBegun(server_said=False)

    def _client(self, url):
        client = self._clients.get(url)
        if client is None:
            client = geventhttpclient.HTTPClient.from_url(
                url_module.URL(url),
                concurrency=CONNECTIONS_PER_SERVER,
                connection_timeout=self._connect_seconds,
                network_timeout=self._silent_seconds,
            )
            self._clients[url] = client
        return client

    def cancel(self, url, request_id):
        """Ask a server to stop; best effort, since it may be gone."""
        client = self._client(url)
        try:
            with gevent.Timeout(CANCEL_TIMEOUT):
                client.delete(f"/v1/streams/{request_id}").read()
        except FAILURES:
            return

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()


def _check_not_run(response):
    if response.status_code not in NOT_RUN_STATUSES:
        return
    if response.get("X-Outcome") != "not-run":
        return
    retry_after = response.get("Retry-After") or 0.0
    response.read()
    raise NotBegun(server_said=True, retry_after=float(retry_after))


def read_event(response):
    """Return the next event of a stream, or ``b""`` at its proper end."""
    try:
        return response.readline(b"\n\n")
    except FAILURES as exc:
        raise Broken(f"{type(exc).__name__}: {exc}")


def read_all(response):
    """Return the rest of a response's body."""
    try:
        return response.read()
    except FAILURES as exc:
        raise Broken(f"{type(exc).__name__}: {exc}")


__all__ = [
    "Broken",
    "NotBegun",
    "Outgoing",
    "PooledEngineClient",
    "read_all",
    "read_event",
]
