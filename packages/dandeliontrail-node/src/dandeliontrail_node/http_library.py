"""The parts of geventhttpclient that the instance uses.

The package imports ``http.cookiejar`` and, through it, ``urllib.request``.
Connections between instances and to backend servers need only the parser, so
the package is imported by the first use of its client.
"""

from . import submodules

_parser = submodules.load("geventhttpclient._parser")

# RFC 9110, section 15: the first digit is 1 to 5, of an interim answer 1.
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
SUCCESS_STATUSES = range(200, 300)

HTTPParseError = _parser.HTTPParseError
HTTPResponseParser = _parser.HTTPResponseParser


def load_client():
    """Import the client, so that the first request does not wait for it."""
    import geventhttpclient

    return geventhttpclient


def new_client(url, **options):
    """Return a new ``geventhttpclient.HTTPClient`` for ``url``."""
    library = load_client()
    return library.HTTPClient.from_url(library.URL(url), **options)
