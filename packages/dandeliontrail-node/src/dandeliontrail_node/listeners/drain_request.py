"""Lets operators start a drain over HTTP, with the effect of SIGTERM."""

from .. import tokens
from .. import wsgi

PATH = "/apis/v1/drain"


class DrainRequests:
    """WSGI middleware that adds :data:`PATH` to the operators' application.

    ``begin`` starts the drain.  Calling it again speeds up the drain that is
    in progress, as a second SIGTERM does.
    """

    def __init__(self, app, authenticator, begin):
        self._app = app
        self._authenticator = authenticator
        self._begin_drain = begin

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] != PATH:
            return self._app(environ, start_response)
        if not self._authenticator.name_of(tokens.bearer_token(environ)):
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
        self._begin_drain()
        return wsgi.reply_json(start_response, {"draining": True}, 202)
