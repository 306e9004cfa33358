"""The least that a proxy on gevent can do, to measure others against.

Takes a request, sends it to one engine, passes each event on, keeps no
state and decides nothing.  Same server, client and settings as an instance.

Run by ``bench/relay.py``: ``python -m bench.bare_proxy ENGINE_URL``.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from gevent import pywsgi  # noqa: E402
import geventhttpclient  # noqa: E402
from geventhttpclient import url as url_module  # noqa: E402

CONNECTIONS = 512


class BareProxy:
    """A WSGI application that passes everything on."""

    def __init__(self, engine_url):
        self._client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(engine_url), concurrency=CONNECTIONS
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
        return self._events(response)

    def _events(self, response):
        while True:
            event = response.readline(b"\n\n")
            if not event:
                return
            yield event


def main(engine_url):
    """Serve until ended."""
    server = pywsgi.WSGIServer(
        ("127.0.0.1", 0), BareProxy(engine_url), log=None
    )
    server.start()
    print(server.server_port, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1])
