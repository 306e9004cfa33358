"""A minimal gevent proxy, the baseline for the cost of an instance.

It forwards each request to one engine and relays the events, without state
or routing decisions.  HTTP server, client and settings are those of an
instance.

Run by ``bench/relay.py``: ``python -m bench.bare_proxy ENGINE_URL``.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from gevent import pywsgi  # noqa: E402
import geventhttpclient  # noqa: E402
from geventhttpclient import url as url_module  # noqa: E402

MAX_CONNECTIONS = 512


class BareProxy:
    """A WSGI application that forwards every request to one engine."""

    def __init__(self, engine_url):
        self._client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(engine_url), concurrency=MAX_CONNECTIONS
        )

    def __call__(self, environ, start_response):
        """Relay one request."""
        body = environ["wsgi.input"].read()
        response = self._client.request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body,
            {"Content-Type": environ["CONTENT_TYPE"]},
        )
        start_response(
            "200 OK", [("Content-Type", response.get("Content-Type"))]
        )
        return self._stream_events(response)

    def _stream_events(self, response):
        while True:
            event = response.readline(b"\n\n")
            if not event:
                return
            yield event


def main(engine_url):
    """Print the port, then serve forever."""
    server = pywsgi.WSGIServer(
        ("127.0.0.1", 0), BareProxy(engine_url), log=None
    )
    server.start()
    print(server.server_port, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1])
