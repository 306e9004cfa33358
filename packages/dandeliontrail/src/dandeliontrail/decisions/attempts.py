"""The attempts under way, of which a request may have two.

A request whose server is silent has a hedge beside its first attempt.  The
policies keep attempts of their own kinds here, each with a ``server``.
"""


class Attempts:
    """Attempts by request; iterates over those that have one.

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

    def add(self, request_id, attempt, hedge=False):
        """Take in an attempt, beside the first one where it is a hedge."""
        held = self.hedges if hedge else self._first
        held[request_id] = attempt

    def take(self, ended):
        """Take off the attempt that ended (``work.Ended``); return it.

        Where the first one ended its hedge takes its place.  ``None`` where
        the request has none.
        """
        request_id = ended.request_id
        hedge = self.hedges.get(request_id)
        if hedge is not None and hedge.server == ended.server:
            return self.hedges.pop(request_id)
        attempt = self._first.pop(request_id, None)
        if hedge is not None:
            self._first[request_id] = self.hedges.pop(request_id)
        return attempt
