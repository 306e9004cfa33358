"""How the listeners treat the connections of those who call them."""

from gevent import pywsgi

from . import engine_client
from . import wsgi

# Failure guarded against: a caller whose connection went silent for good.
# It takes no more bytes, the buffers fill, and its stream would wait for
# ever.  A caller that is only slow takes some within this time.
STALLED_SECONDS = 60.0
PIECE = 64 * 1024


class Handler(pywsgi.WSGIHandler):
    """Shows applications the caller's connection, and bounds each write."""

    def get_environ(self):
        """Return the environment of a request, with its connection."""
        environ = super().get_environ()
        environ[wsgi.SOCKET] = self.socket
        return environ

    def _sendall(self, data):
        """Send as pywsgi does, but give up where nothing moves."""
        timeout = self.socket.gettimeout()
        self.socket.settimeout(STALLED_SECONDS)
        try:
            for start in range(0, len(data), PIECE):
                super()._sendall(data[start : start + PIECE])
        except TimeoutError:
            raise BrokenPipeError(32, "the caller takes nothing")
        finally:
            if self.socket is not None:
                self.socket.settimeout(timeout)


class Server(pywsgi.WSGIServer):
    """A server whose connections have the kernel watch their path."""

    handler_class = Handler

    def handle(self, sock, address):
        """Serve one connection."""
        try:
            engine_client.watch_path(sock)
        except OSError:
            # The caller is gone already; serving finds that out.
            pass
        super().handle(sock, address)
