"""A TCP proxy that simulates network faults."""

import gevent
from gevent import event
from gevent import server
from gevent import socket

BLOCK_BYTES = 65536


class Path:
    """Forwards TCP connections to ``url``; use it as a context manager.

    :meth:`pause` stops all forwarding, also on new connections, until
    :meth:`go_on`.  :meth:`refuse` rejects new connections.  :meth:`lose`
    silently and permanently stops forwarding on the connections open at that
    moment, like a NAT or firewall that has lost their state: neither end is
    notified, and new connections work.  :meth:`cut` closes the open ones.
    """

    def __init__(self, url):
        host, port = url.removeprefix("http://").rsplit(":", 1)
        self._target = (host, int(port))
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._silenced = set()
        self._open_connections = set()
        self._unpaused = event.Event()
        self._unpaused.set()
        self.connections = 0

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(0.1)

    @property
    def url(self):
        """The URL that the proxy listens on."""
        return f"http://127.0.0.1:{self._server.server_port}"

    def lose(self):
        """Silently stop forwarding on every connection that is open now."""
        self._silenced |= self._open_connections

    def pause(self):
        """Stop forwarding, as if the target were frozen."""
        self._unpaused.clear()

    def go_on(self):
        """Resume forwarding, including the data received meanwhile."""
        self._unpaused.set()

    def refuse(self):
        """Refuse new connections; open ones continue."""
        self._server.close()

    def cut(self):
        """Close both sockets of every open connection."""
        for number, client_sock, server_sock in self._open_connections:
            client_sock.close()
            server_sock.close()

    def _serve(self, sock, address):
        self.connections += 1
        target_sock = socket.create_connection(self._target)
        connection = (self.connections, sock, target_sock)
        self._open_connections.add(connection)
        greenlets = [
            gevent.spawn(self._copy, connection, sock, target_sock),
            gevent.spawn(self._copy, connection, target_sock, sock),
        ]
        gevent.joinall(greenlets)
        self._open_connections.discard(connection)
        sock.close()
        target_sock.close()

    def _copy(self, connection, source, target):
        try:
            while True:
                data = source.recv(BLOCK_BYTES)
                self._unpaused.wait()
                while connection in self._silenced:
                    gevent.sleep(1000.0)
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
        except OSError:
            return
