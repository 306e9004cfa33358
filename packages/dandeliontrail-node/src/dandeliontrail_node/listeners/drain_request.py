"""Operators' way to a drain: the same as SIGTERM, over HTTP."""

from .. import tokens
from .. import wsgi

PATH = "/apis/v1/drain"


class DrainRequests:
    """Stands before the operators' application and serves one path more.

    ``begin`` starts the drain; calling it again hurries the drain that is
    under way, as a second SIGTERM does.
    """

    def __init__(self, app, door, begin):
        self._app = app
        self._door = door
        self._begin = begin

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] != PATH:
            return self._app(environ, start_response)
        if not self._door.name_of(tokens.bearer(environ)):
            raise wsgi.Problem(
                401,
                "unknown_token",
                "The token is not in operator_tokens_file.",
                "send Authorization: Bearer with a registered token",
            )
        if environ["REQUEST_METHOD"] != "POST":
            raise wsgi.Problem(
                405, "method", "Only POST is served here.", "use POST"
            )
        self._begin()
        return wsgi.reply_json(start_response, {"draining": True}, 202)
