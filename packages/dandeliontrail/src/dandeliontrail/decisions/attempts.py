"""The outstanding attempts of requests.

A request whose server is silent may have a second attempt, a hedge, beside
its first one.  Each policy stores its own type of attempt here; all types have
a ``server``.
"""


class Attempts:
    """Outstanding attempts; iterates over the ids of their requests.

    Its length counts hedges too.

    >>> attempts = Attempts()
    >>> len(attempts)
    0
    """

    __slots__ = ("_first", "hedges")

    def __init__(self):
        self._first = {}
        self.hedges = {}

    def __len__(self):
        return len(self._first) + len(self.hedges)

    def __iter__(self):
        return iter(self._first)

    def __contains__(self, request_id):
        return request_id in self._first

    def get(self, request_id):
        """Return the first attempt of a request, or ``None``."""
        return self._first.get(request_id)

    def of(self, request_id):
        """Return the outstanding attempts of a request, its hedge last."""
        found = (self._first.get(request_id), self.hedges.get(request_id))
        return [attempt for attempt in found if attempt is not None]

    def outstanding(self):
        """Return the first attempts and the hedges of all requests."""
        return [*self._first.values(), *self.hedges.values()]

    def add(self, request_id, attempt, hedge=False):
        """Add the first attempt of a request, or its hedge."""
        by_request = self.hedges if hedge else self._first
        by_request[request_id] = attempt

    def take(self, ended):
        """Remove and return the attempt of a :class:`.work.AttemptEnd`.

        If it was the first attempt, the hedge takes its place.  Returns
        ``None`` if the request has no attempt.
        """
        request_id = ended.request_id
        hedge = self.hedges.get(request_id)
        if hedge is not None and hedge.server == ended.server:
            return self.hedges.pop(request_id)
        attempt = self._first.pop(request_id, None)
        if hedge is not None:
            self._first[request_id] = self.hedges.pop(request_id)
        return attempt
