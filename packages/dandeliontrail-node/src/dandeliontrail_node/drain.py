"""The graceful end of an instance.

From the first moment of a drain ``readyz`` says 503.  New requests are
still served until the platform's balancer has noticed; after that they are
refused as not run.  What was taken in is finished, queued or streaming, and
nothing of it is cut before the longest drain is over.  Then each caller
that still waits is told what is true of its request.
"""

import gevent

from dandeliontrail import events

POLL_SECONDS = 0.05


class Drain:
    """Whether, and how far, this instance is on its way out."""

    def __init__(self, limits):
        self._limits = limits
        self.draining = False
        self.refusing = False
        self.hurried = False

    def begin(self):
        """Start to drain; a second call ends it at once."""
        self.hurried = self.draining
        self.draining = True

    def closing(self, app):
        """Wrap a WSGI application: while draining, each reply is the last.

        A kept connection would bring its next request here, past the
        balancer.
        """

        def wrapped(environ, start_response):
            if not self.draining:
                return app(environ, start_response)

            def start(status, headers, *rest):
                headers = [*headers, ("Connection", "close")]
                return start_response(status, headers, *rest)

            return app(environ, start)

        return wrapped

    def wait(self, host):
        """Return when nothing is left in flight or the limit is reached."""
        with gevent.Timeout(self._limits.drain_seconds, False):
            self._notice()
            self.refusing = True
            while host.open_exchanges() and not self.hurried:
                gevent.sleep(POLL_SECONDS)
        self.refusing = True
        self._cut_short(host)

    def _notice(self):
        left = self._limits.drain_notice_seconds
        while left > 0 and not self.hurried:
            gevent.sleep(POLL_SECONDS)
            left -= POLL_SECONDS

    def _cut_short(self, host):
        """End what is left, and give the callers time to be told."""
        for exchange in host.exchanges():
            host.submit(events.CutShort(exchange.request_id))
        with gevent.Timeout(self._limits.last_words_seconds, False):
            while host.open_exchanges():
                gevent.sleep(POLL_SECONDS)
