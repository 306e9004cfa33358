"""A TCP proxy on loopback that injects network faults on demand."""

import contextlib
import enum
import re
import socket
import struct

import gevent
from gevent import server as gevent_server

CHUNK_BYTES = 16 * 1024
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.05
# With a linger time of zero, closing sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)
# The batches of an instance begin with its name, here its IP address.
SENDER_PATTERN = re.compile(rb"\r\n\r\n.*?(127\.\d+\.\d+\.\d+)", re.DOTALL)


class Mode(enum.Enum):
    """How the proxy treats data.

    ``SILENT`` delays all data until the mode changes; ``NO_ANSWERS`` does so
    with responses only.  ``REFUSE`` resets a connection that sends data.
    Where one side resets its connection, the other side's is reset.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to ``target`` according to a mode.

    ``modes`` has the modes of single sending instances by their names;
    ``mode`` applies to all others.  With ``by_address`` the name of a sender
    is the address that it connects from.  ``buffer_bytes`` is how much the
    sockets towards the target hold, if it is not what the system sets.
    """

    def __init__(
        self,
        target,
        listen=("127.0.0.1", 0),
        by_address=False,
        buffer_bytes=None,
    ):
        self._target = target
        self._buffer_bytes = buffer_bytes
        self._by_address = by_address
        self.mode = Mode.PASS
        self.modes = {}
        # The sending instance by the port from which the target is reached.
        self.senders = {}
        self._open = set()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes is not None:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )
        listener.bind(listen)
        listener.listen(256)
        self._server = gevent_server.StreamServer(listener, self._serve)
        self._server.start()
        host, port = self._server.server_host, self._server.server_port
        self.address = f"{host}:{port}"

    def _serve(self, client_sock, address):
        host, port = self._target.rsplit(":", 1)
        try:
            server_sock = socket.create_connection((host, int(port)), 1.0)
            server_sock.settimeout(None)
            if self._buffer_bytes is not None:
                server_sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, self._buffer_bytes
                )
        except OSError:
            self._reset(client_sock)
            return
        connection = _Connection(client_sock, server_sock)
        port = server_sock.getsockname()[1]
        if self._by_address:
            connection.sender = self.senders[port] = address[0]
        self._open.add(connection)
        jobs = [
            gevent.spawn(
                self._forward, connection, client_sock, server_sock, False
            ),
            gevent.spawn(
                self._forward, connection, server_sock, client_sock, True
            ),
        ]
        try:
            gevent.joinall(jobs, count=1)
        finally:
            gevent.killall(jobs)
            self._open.discard(connection)
            self.senders.pop(port, None)
            for sock in (client_sock, server_sock):
                sock.close()

    def _forward(self, connection, source, target, is_response):
        try:
            self._copy(connection, source, target, is_response)
        except OSError:
            # A path passes a reset on; an orderly end would say that an
            # answer without a length is complete.
            self._reset(connection.client_sock)
            self._reset(connection.server_sock)

    def _copy(self, connection, source, target, is_response):
        while True:
            data = source.recv(CHUNK_BYTES)
            if not data:
                return
            if not is_response and not connection.sender:
                connection.sender = _find_sender(data)
            if self._mode_of(connection) is Mode.DELAY:
                gevent.sleep(DELAY_SECONDS)
            while self._is_held(connection, is_response):
                gevent.sleep(POLL_SECONDS)
            if self._mode_of(connection) is Mode.REFUSE:
                self._reset(connection.client_sock)
                return
            target.sendall(data)

    def _mode_of(self, connection):
        return self.modes.get(connection.sender, self.mode)

    def _is_held(self, connection, is_response):
        mode = self._mode_of(connection)
        return mode is Mode.SILENT or (is_response and mode is Mode.NO_ANSWERS)

    def reset(self, sender=None):
        """Reset every open connection, or those of one sender."""
        for connection in list(self._open):
            if sender not in (None, connection.sender):
                continue
            self._reset(connection.client_sock)
            self._reset(connection.server_sock)

    @staticmethod
    def _reset(sock):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            # A shutdown before would end the connection in the normal way.
            sock.close()

    def close(self):
        """Stop the proxy and reset every connection."""
        self._server.stop(0)
        self.reset()


class _Connection:
    """The two sockets of a connection and the name of the sending instance."""

    __slots__ = ("client_sock", "server_sock", "sender")

    def __init__(self, client_sock, server_sock):
        self.client_sock = client_sock
        self.server_sock = server_sock
        self.sender = ""


def _find_sender(data):
    found = SENDER_PATTERN.search(data)
    return found[1].decode() if found else ""
