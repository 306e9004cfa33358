"""Requests that came before this instance had its state.

An entry that starts listens half a second before it has the configuration,
and callers come at once: their connections are sent to it as soon as it
listens.  Told to come back, most of them had used the one retry that they
have, and came back a second later, late, to an instance that had been able
to serve for most of that time.  So they wait here for the state, which is
bounded: an instance that is cut off does not get it soon.
"""

# How long requests wait for the state: well above the time from listening to
# serving of a calm start.
PATIENCE = 1.0
# The part of its time that a request may spend so: it has to run as well.
PATIENCE_PART = 0.4
# So many wait at once: what callers send to one instance in a second, many
# times over.  The rest is told to come back.
MOST_WAITING = 512


class EarlyRequests:
    """Holds events of requests until their state is there."""

    def __init__(self):
        self._held = {}

    def hold(self, event, now):
        """Hold a request that came just now; tell whether it may wait."""
        if len(self._held) >= MOST_WAITING:
            return False
        seconds = PATIENCE
        if event.timeout is not None:
            seconds = min(seconds, event.timeout * PATIENCE_PART)
        self._held[event.request_id] = (event, now, now + seconds)
        return True

    def drop(self, request_id):
        """Forget a request; tell whether it was held."""
        return self._held.pop(request_id, None) is not None

    def due(self, ready, now):
        """Take out ``(event, received)`` of those that wait no longer."""
        due = [
            (event, received)
            for event, received, until in self._held.values()
            if ready or now >= until
        ]
        for event, _ in due:
            del self._held[event.request_id]
        return due
