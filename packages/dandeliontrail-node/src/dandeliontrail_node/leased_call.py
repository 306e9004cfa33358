"""Makes a call that only the holder of a lease may make.

What is sent is taken by whoever listens, also by one that does not check
fencing numbers.  So the lease is asked for again when the connection stands,
right before the first byte: a process that was paused in between, or a
connection that took its time, finds that it may no longer call.
"""

import socket
import struct

import gevent
import geventhttpclient
from geventhttpclient import url as url_module

CONNECT_SECONDS = 1.0
MILLISECONDS = 1000
# Closing with a zero linger resets the connection and drops what the kernel
# has not sent, so that nothing of a call arrives after its time.
RESET = struct.pack("ii", 1, 0)
FAILURES = (OSError, gevent.Timeout, geventhttpclient.response.HTTPParseError)


class MayNotCall(Exception):
    """The lease has ended, or is another's."""


class LeasedCall:
    """Calls under one lease, each over a connection of its own."""

    def __init__(self, lease, clock):
        self._lease = lease
        self._clock = clock

    def post(self, url, fencing, checks_fencing, path, body, headers):
        """Return the status and body of the answer.

        Raises :class:`MayNotCall` where nothing was sent, and one of
        ``FAILURES`` where no answer came.
        """
        seconds = self._lease.terms.longest_call
        client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(url),
            connection_timeout=min(CONNECT_SECONDS, seconds),
        )
        pool = client._connection_pool
        try:
            with gevent.Timeout(seconds):
                sock = pool.get_socket()
                _bound(sock, seconds)
                pool.return_socket(sock)
                now = self._clock.now()
                if not self._lease.may_send(fencing, checks_fencing, now):
                    raise MayNotCall()
                response = client.post(path, body, headers)
                return response.status_code, response.read()
        finally:
            client.close()


def _bound(sock, seconds):
    """Let nothing of a call arrive after its time.

    The process may be stopped with the call in the kernel's buffer: then
    only the kernel can give it up, by its own timeout (RFC 5482).
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(seconds * MILLISECONDS),
    )
