"""A separate listener for counters and histograms."""

from .. import wsgi
from ..listeners import resource_views

PATH = "/metrics"


class MetricsApp:
    """Answers ``GET /metrics`` in the Prometheus text format."""

    def __init__(self, host):
        self._host = host

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] != PATH:
            raise wsgi.not_found(environ["PATH_INFO"])
        return resource_views.reply_metrics(self._host, start_response)
