"""The graceful shutdown of an instance.

As soon as a drain begins, ``readyz`` returns 503.  New requests are still
served until the platform's load balancer has noticed; after that they are
refused as not run.  Accepted requests, queued or streaming, are finished and
none is interrupted before the maximum duration of a drain; nor is one whose
body is still arriving when others begin to be refused.  Then each caller
that still waits receives the actual outcome of its request.  A keeper stays
until its vote and its leadership are handed over, within the same time.
"""

import time

import gevent

from dandeliontrail import events

POLL_SECONDS = 0.05


class DrainState:
    """The progress of the shutdown of this instance."""

    def __init__(self, limits):
        self._limits = limits
        self.draining = False
        self.refuses_requests = False
        self.end_at_once = False

    def begin(self):
        """Start to drain; a second call ends the drain at once, if set so."""
        self.end_at_once = (
            self.draining and self._limits.second_signal_ends_drain
        )
        self.draining = True

    def close_connections(self, app):
        """Wrap a WSGI application to close connections while draining.

        On a persistent connection the next request would bypass the load
        balancer and arrive here.
        """

        def wrapped(environ, start_response):
            if not self.draining:
                return app(environ, start_response)

            def start(status, headers, *rest):
                headers = [*headers, ("Connection", "close")]
                return start_response(status, headers, *rest)

            return app(environ, start)

        return wrapped

    def wait(self, host, is_reading):
        """Block until no request is in flight or ``drain_seconds`` are over.

        ``is_reading(since)`` tells whether the body of a request is being read
        whose head came before ``since``, by ``time.monotonic()``.  The
        requests that are left at the end are ended.
        """
        with gevent.Timeout(self._limits.drain_seconds, False):
            self._wait_for_balancer()
            self.refuses_requests = True
            since = time.monotonic()
            while not self.end_at_once and (
                host.open_exchange_count()
                or host.open_tunnels
                or is_reading(since)
            ):
                gevent.sleep(POLL_SECONDS)
            while not self.end_at_once and _is_handing_over(host):
                gevent.sleep(POLL_SECONDS)
        self.refuses_requests = True
        self._end_remaining(host)

    def _wait_for_balancer(self):
        remaining = self._limits.drain_notice_seconds
        while remaining > 0 and not self.end_at_once:
            gevent.sleep(POLL_SECONDS)
            remaining -= POLL_SECONDS

    def _end_remaining(self, host):
        """End the remaining requests and allow time for their replies."""
        for exchange in host.exchanges():
            host.submit(events.CutShort(exchange.request_id))
        with gevent.Timeout(self._limits.last_words_seconds, False):
            while host.open_exchange_count():
                gevent.sleep(POLL_SECONDS)


def _is_handing_over(host):
    return host.state.log.is_handing_over(host.clock.now())
