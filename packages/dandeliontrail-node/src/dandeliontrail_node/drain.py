"""The graceful end of an instance.

From the first moment of a drain ``readyz`` says 503.  New connections are
still served until the platform's balancer has noticed, and nothing in
flight is cut before the longest drain is over.
"""

import gevent

POLL_SECONDS = 0.05


class Drain:
    """Whether, and how far, this instance is on its way out."""

    def __init__(self, limits):
        self._limits = limits
        self.draining = False
        self.hurried = False

    def begin(self):
        """Start to drain; a second call ends it at once."""
        self.hurried = self.draining
        self.draining = True

    def wait(self, host):
        """Return when nothing is left in flight or the limit is reached."""
        with gevent.Timeout(self._limits.drain_seconds, False):
            self._notice()
            while host.open_exchanges() and not self.hurried:
                gevent.sleep(POLL_SECONDS)

    def _notice(self):
        left = self._limits.drain_notice_seconds
        while left > 0 and not self.hurried:
            gevent.sleep(POLL_SECONDS)
            left -= POLL_SECONDS
