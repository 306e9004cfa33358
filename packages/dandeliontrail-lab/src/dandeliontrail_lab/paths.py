"""A path between two ends that can lose track of its connections."""

import gevent
from gevent import event
from gevent import server
from gevent import socket

BLOCK = 65536


class Path:
    """Forwards connections to ``url``; use it as a context manager.

    Between :meth:`pause` and :meth:`go_on` nothing passes, on new connections
    either; after :meth:`refuse` there are no new ones.
    After :meth:`lose` nothing passes on the connections of that moment, for
    good and without a word to either end, while new ones work.
    """

    def __init__(self, url):
        host, port = url.removeprefix("http://").rsplit(":", 1)
        self._target = (host, int(port))
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._lost = set()
        self._open = set()
        self._passes = event.Event()
        self._passes.set()
        self.connections = 0

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(0.1)

    @property
    def url(self):
        """Where the path begins."""
        return f"http://127.0.0.1:{self._server.server_port}"

    def lose(self):
        """Lose track of every connection that is open now."""
        self._lost |= self._open

    def pause(self):
        """Let nothing pass, as while the far end is frozen."""
        self._passes.clear()

    def go_on(self):
        """Let all pass again that has come meanwhile."""
        self._passes.set()

    def refuse(self):
        """Take no new connections; those that are open go on."""
        self._server.close()

    def cut(self):
        """Reset every connection that is open now."""
        for number, one, other in self._open:
            one.close()
            other.close()

    def _serve(self, sock, address):
        self.connections += 1
        far = socket.create_connection(self._target)
        pair = (self.connections, sock, far)
        self._open.add(pair)
        copies = [
            gevent.spawn(self._copy, pair, sock, far),
            gevent.spawn(self._copy, pair, far, sock),
        ]
        gevent.joinall(copies)
        self._open.discard(pair)
        sock.close()
        far.close()

    def _copy(self, pair, source, target):
        try:
            while True:
                data = source.recv(BLOCK)
                self._passes.wait()
                while pair in self._lost:
                    gevent.sleep(1000.0)
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
        except OSError:
            return
