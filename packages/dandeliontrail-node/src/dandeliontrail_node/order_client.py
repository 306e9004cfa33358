"""Sends orders to engines, under a lease that is looked at last of all.

An order is taken by whoever listens, also by an engine that does not check
fencing numbers.  So the lease is asked for again when the connection
stands, right before the first byte: a process that was paused in between,
or a connection that took its time, finds that it may no longer order.
"""

import socket
import struct

import gevent
import geventhttpclient
from geventhttpclient import url as url_module
import msgspec

from dandeliontrail.coordination import leases
from dandeliontrail import events

PATH = "/v1/orders"
CONNECT_SECONDS = 1.0
MILLISECONDS = 1000
# Closing with a zero linger resets the connection and drops what the kernel
# has not sent, so that nothing of an order arrives after its time.
RESET = struct.pack("ii", 1, 0)
FAILURES = (OSError, gevent.Timeout, geventhttpclient.response.HTTPParseError)


class OrderBody(msgspec.Struct, omit_defaults=True):
    """An order, as engines read it."""

    order: str
    kind: str
    fencing: int
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderClient:
    """Carries out :class:`dandeliontrail.effects.GiveOrder`."""

    def __init__(self, lease, clock, submit):
        self._lease = lease
        self._clock = clock
        self._submit = submit

    def give(self, effect):
        """Send one order and submit its answer as an event."""
        answer, detail = self._send(effect)
        self._submit(
            events.OrderAnswered(
                effect.order.key, effect.fencing, answer, detail
            )
        )

    def _send(self, effect):
        client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(effect.url), connection_timeout=CONNECT_SECONDS
        )
        pool = client._connection_pool
        try:
            with gevent.Timeout(leases.LONGEST_ORDER):
                sock = pool.get_socket()
                _bound(sock)
                pool.return_socket(sock)
                if not self._may_send(effect):
                    return events.OrderAnswer.NOT_SENT, "lease"
                return self._post(client, effect)
        except FAILURES as exc:
            kind = events.OrderAnswer.NO_ANSWER
            return kind, f"{type(exc).__name__}: {exc}"
        finally:
            client.close()

    def _may_send(self, effect):
        now = self._clock.now()
        grant = self._lease.grant
        return (
            grant is not None
            and grant.fencing == effect.fencing
            and self._lease.may_order(effect.checks_fencing, now)
        )

    def _post(self, client, effect):
        headers = {"Content-Type": "application/json"}
        response = client.post(PATH, _body(effect), headers)
        text = response.read()
        if response.status_code in (200, 202):
            return events.OrderAnswer.ACCEPTED, ""
        if response.status_code == 409 and b"stale_fencing" in text:
            return events.OrderAnswer.STALE_FENCING, ""
        if 400 <= response.status_code < 500:
            return events.OrderAnswer.REFUSED, text[:200].decode()
        return events.OrderAnswer.NO_ANSWER, str(response.status_code)


def _bound(sock):
    """Let nothing of an order arrive after its time.

    The process may be stopped with the order in the kernel's buffer: then
    only the kernel can give it up, by its own timeout (RFC 5482).
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(leases.LONGEST_ORDER * MILLISECONDS),
    )


def _body(effect):
    order = effect.order
    return msgspec.json.encode(
        OrderBody(
            order.key,
            order.kind.value,
            effect.fencing,
            order.model,
            order.version,
            order.adapter,
            order.role,
        )
    )
