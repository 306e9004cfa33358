"""HTTP calls that only the holder of a lease may make.

The receiver may execute whatever it gets, since some receivers do not check
fencing tokens.  So the lease is checked again after the connection is
established, right before the first byte is sent: if the process was paused
meanwhile, or connecting took too long, the call is not made.
"""

import contextlib
import socket

import gevent

from . import connection
from . import http_library

CONNECT_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000
FAILURES = (OSError, gevent.Timeout, http_library.HTTPParseError)


class MayNotCall(Exception):
    """The lease has expired or is held by another instance."""


class LeasedCall:
    """Makes calls under one lease, each over a new connection."""

    def __init__(self, lease, clock):
        self._lease = lease
        self._clock = clock

    def post(self, url, fencing, checks_fencing, path, body, headers):
        """Post ``body``; return the status and the body of the answer.

        Raises :class:`MayNotCall` if nothing was sent because the lease does
        not allow the call, and one of ``FAILURES`` if no answer arrived.
        """
        seconds = self._lease.terms.longest_call
        client = http_library.new_client(
            url,
            connection_timeout=min(CONNECT_SECONDS, seconds),
        )
        with contextlib.ExitStack() as stack:
            stack.callback(client.close)
            stack.enter_context(gevent.Timeout(seconds))
            # It also bounds the answer, which may come without end.
            pool = connection.SingleUsePool(
                client._connection_pool, connection.SilenceMonitor()
            )
            stack.callback(pool.sock.close)
            _limit_delivery(pool.sock, seconds)
            now = self._clock.now()
            if not self._lease.may_send(fencing, checks_fencing, now):
                raise MayNotCall()
            response = connection.send_once(
                client, pool, "POST", path, body, headers
            )
            return response.status_code, response.read()


def _limit_delivery(sock, seconds):
    """Ensure that no part of a call arrives after its deadline.

    If the process is paused while the call is in the kernel's send buffer,
    only the kernel can drop it, by its user timeout (RFC 5482).
    """
    connection.reset_on_close(sock)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(seconds * MILLISECONDS_PER_SECOND),
    )
