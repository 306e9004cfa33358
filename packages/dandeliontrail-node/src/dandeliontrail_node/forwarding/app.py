"""The WSGI application for requests of declared routes."""

from .. import wsgi
from . import forwarder

# Used while no configuration revision sets a limit.
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_SECONDS = 10.0


class ForwardApp:
    """Serves each request with a new :class:`.forwarder.Forwarder`."""

    def __init__(self, host, connections, dialect, drain):
        self._host = host
        self._connections = connections
        self._dialect = dialect
        self._drain = drain

    def __call__(self, environ, start_response):
        """Serve one request."""
        incoming = self._dialect.read(environ[wsgi.HEAD])
        try:
            body = wsgi.read_body(environ, self._body_limit(), BODY_SECONDS)
            if self._drain.refuses_requests:
                raise self._draining(incoming.request_id)
        except wsgi.Problem as problem:
            headers = self._dialect.problem_headers(
                incoming.request_id, problem
            )
            text = wsgi.error_body(problem)
            return wsgi.reply(start_response, problem.status, text, headers)
        request_forwarder = forwarder.Forwarder(
            self._host,
            self._connections,
            self._dialect,
            incoming,
            body,
            environ.get(wsgi.SOCKET),
            environ[wsgi.HOLDS],
        )
        return request_forwarder.serve(start_response)

    def _body_limit(self):
        table = self._host.state.routing.table
        limit = table.revision.limits.body_bytes if table else 0
        return limit or DEFAULT_MAX_BODY_BYTES

    def _draining(self, request_id):
        return wsgi.Problem(
            503,
            "draining",
            "This instance is shutting down.",
            "send it again; the load balancer chooses another instance",
            outcome="not-run",
            request_id=request_id,
            retry_after=0.1,
        )
