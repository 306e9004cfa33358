"""Opens tunnels to backend servers for other instances.

The instance that asks has lost its own path to a server.  It decides and
counts everything; here bytes are only copied, those of the server in frames.
"""

import contextlib
import socket

import gevent

from dandeliontrail.decisions import tunnel_admission
from dandeliontrail import events

from .. import tunnel_frames
from .. import tunnel_messages
from .. import wsgi
from ..forwarding import connections
from . import peers

# What is held of each tunnel and direction at a time.
CHUNK_BYTES = 16 * 1024
MAX_REQUEST_BYTES = 16 * 1024
REQUEST_SECONDS = 1.0
# How long the instance may take to read the rest of an answer.
LINGER_SECONDS = 2.0
UPGRADE_ENVIRON_KEY = "HTTP_UPGRADE"
SWITCHING = (
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
    f"Upgrade: {tunnel_messages.PROTOCOL}\r\n\r\n"
).encode()


class TunnelApp:
    """Serves the requests of other instances for tunnels.

    ``pool`` opens the connections to servers; it is ``None`` on an instance
    that serves no routes.
    """

    def __init__(self, host, key, pool, drain):
        self._host = host
        self._key = key
        self._pool = pool
        self._drain = drain

    def __call__(self, environ, start_response):
        """Serve one request."""
        body = wsgi.read_body(environ, MAX_REQUEST_BYTES, REQUEST_SECONDS)
        signature = environ.get(peers.SIGNATURE_ENVIRON_KEY, "")
        if not self._key.verify(body, signature):
            raise peers.not_signed()
        request = wsgi.decode(
            body,
            tunnel_messages.TunnelRequest,
            "run the same release on every instance",
        )
        refusal = self._refusal_of(request)
        if refusal is None and not _speaks_frames(environ):
            refusal = tunnel_admission.Refusal.NOT_SERVING
        if refusal is not None:
            return self._refuse(start_response, request, refusal)
        server_sock = self._connect(request)
        if server_sock is None:
            refusal = self._refusal_of(request) or (
                tunnel_admission.Refusal.SERVER
            )
            return self._refuse(start_response, request, refusal)
        with contextlib.closing(server_sock):
            self._run(request, server_sock, environ[wsgi.SOCKET])
        # The connection cannot be used for another request.
        raise wsgi.Aborted()

    def _refusal_of(self, request):
        if self._pool is None:
            return tunnel_admission.Refusal.NOT_SERVING
        if self._drain.draining:
            return tunnel_admission.Refusal.DRAINING
        host = self._host
        return tunnel_admission.refusal_of(
            host.state.directory.server(request.backend_server),
            request.epoch,
            request.url,
            host.reducer.policy.reach_of(request.backend_server),
            host.open_tunnels,
            host.clock.now(),
            host.most_tunnels,
        )

    def _connect(self, request):
        """Return a connection to the server, or ``None``.

        The result also tells this instance about its own path.
        """
        sock = None
        try:
            sock = self._pool.connect_new(connections.address_of(request.url))
        except connections.FAILURES as exc:
            self._host.logger.info(
                "tunnel not opened",
                extra={**_fields(request), "detail": str(exc)},
            )
        self._host.submit(
            events.PathChecked(
                request.backend_server, request.epoch, sock is not None
            )
        )
        return sock

    def _refuse(self, start_response, request, refusal):
        reason = refusal.value
        counters = self._host.metrics.counters
        counters[f'tunnels_refused_total{{reason="{reason}"}}'] += 1
        fields = {**_fields(request), "reason": reason, "important": True}
        self._host.logger.info("tunnel refused", extra=fields)
        return wsgi.reply_json(
            start_response,
            tunnel_messages.refused(refusal),
            tunnel_messages.REFUSED_STATUS,
        )

    def _run(self, request, server_sock, origin_sock):
        """Copy bytes both ways until one side has ended."""
        began = self._host.clock.now()
        origin_sock.settimeout(None)
        tunnel = _Tunnel(origin_sock, server_sock)
        with self._host.counted_tunnel():
            tunnel.run()
        self._host.metrics.counters["tunnel_bytes_total"] += tunnel.bytes
        fields = {
            **_fields(request),
            "ended_by": tunnel.ended_by,
            "bytes": tunnel.bytes,
            "seconds": round(self._host.clock.now() - began, 3),
        }
        self._host.logger.info("tunnel ended", extra=fields)


class _Tunnel:
    """Copies bytes between an instance and a server.

    ``bytes`` counts those of the server, ``ended_by`` names the side that
    ended the tunnel.
    """

    def __init__(self, origin_sock, server_sock):
        self._origin_sock = origin_sock
        self._server_sock = server_sock
        self.bytes = 0
        self.ended_by = ""

    def run(self):
        """Copy until one side has ended.

        An answer without a length ends with its connection, so the server's
        end is passed on as a frame.  After a reset of the server, or if this
        process ends, the tunnel ends without one.

        The instance ends the tunnel once it has the answer.  A close before
        that, with bytes of its request unread, would drop what of the answer
        is still on its way to it.
        """
        try:
            self._origin_sock.sendall(SWITCHING)
        except OSError:
            # The instance has left while the server was being connected to.
            self.ended_by = "origin"
            return
        to_server = gevent.spawn(self._copy_to_server)
        try:
            if self._copy_to_origin():
                to_server.join(LINGER_SECONDS)
        finally:
            to_server.kill()

    def _copy_to_origin(self):
        """Copy until one side has ended; return whether the server has."""
        while True:
            try:
                data = self._server_sock.recv(CHUNK_BYTES)
            except OSError:
                if self.ended_by:
                    return False
                self.ended_by = "server reset"
                self._end_without_frame()
                return True
            frame = tunnel_frames.encode(data)
            self.bytes += len(data)
            try:
                self._origin_sock.sendall(frame)
            except OSError:
                self.ended_by = "origin"
                return False
            if not data:
                self.ended_by = "server"
                return True

    def _copy_to_server(self):
        has_failed = False
        while True:
            try:
                data = self._origin_sock.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                # The instance has given the request up: the server stops.
                self.ended_by = self.ended_by or "origin"
                with contextlib.suppress(OSError):
                    self._server_sock.shutdown(socket.SHUT_RDWR)
                return
            if has_failed:
                continue
            try:
                self._server_sock.sendall(data)
            except OSError:
                # The server may have answered before it had read everything;
                # the other direction learns how its connection ended.  The
                # rest is read and dropped: the instance may read the answer
                # only once it has sent its request.
                has_failed = True

    def _end_without_frame(self):
        """End the sending side; TLS goes on for what the instance sends."""
        with contextlib.suppress(OSError):
            raw_sock = socket.socket(fileno=self._origin_sock.fileno())
            try:
                raw_sock.shutdown(socket.SHUT_WR)
            finally:
                raw_sock.detach()


def _speaks_frames(environ):
    """Return whether the instance that asks knows the frames."""
    return environ.get(UPGRADE_ENVIRON_KEY) == tunnel_messages.PROTOCOL


def _fields(request):
    return {
        "request_id": request.request_id,
        "origin": request.origin,
        "backend_server": request.backend_server,
    }
