"""Holds routed requests that arrive before the instance has its state.

A starting instance listens half a second before it has the configuration, and
connections reach it as soon as it listens.  When these requests were refused
with Retry-After, most callers spent their only retry and came back a second
later, too late, although the instance had been able to serve for most of that
time.  So requests wait here for the state.  Wait and number are bounded,
because a partitioned instance may not get the state soon.
"""

# How long requests wait for the state, in seconds: well above the usual time
# from listening to serving.
MAX_WAIT_SECONDS = 1.0
# The share of its timeout that a request may wait; the rest is left for
# running it.
MAX_TIMEOUT_SHARE = 0.4
# Maximum number of held requests, many times what one instance receives in a
# second.  Further requests are refused with Retry-After.
MAX_WAITING_REQUESTS = 512


class EarlyRequests:
    """Holds request events until the state is loaded."""

    def __init__(self):
        self._held = {}

    def hold(self, event, now):
        """Hold a request that arrived at ``now``; return ``False`` if full."""
        if len(self._held) >= MAX_WAITING_REQUESTS:
            return False
        seconds = MAX_WAIT_SECONDS
        if event.timeout is not None:
            seconds = min(seconds, event.timeout * MAX_TIMEOUT_SHARE)
        self._held[event.request_id] = (event, now, now + seconds)
        return True

    def drop(self, request_id):
        """Forget a request; return whether it was held."""
        return self._held.pop(request_id, None) is not None

    def due(self, ready, now):
        """Remove and return ``(event, received)`` of requests to admit now.

        These are all held requests once the state is ``ready``, else those
        whose wait has run out.
        """
        due = [
            (event, received)
            for event, received, until in self._held.values()
            if ready or now >= until
        ]
        for event, _ in due:
            del self._held[event.request_id]
        return due
