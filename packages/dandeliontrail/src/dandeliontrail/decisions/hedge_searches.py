"""Pending searches for a second server beside one that is silent."""

import msgspec

# How often a search is tried again.  Rounds of placement come several times
# in this interval, with each answer that begins or ends.
SEARCH_INTERVAL_SECONDS = 0.1


class HedgeSearch(msgspec.Struct):
    """One search; ``due`` is when it is tried next."""

    work: object
    due: float


class HedgeSearches:
    """The pending searches of one instance, by request.

    >>> bool(HedgeSearches())
    False
    """

    __slots__ = ("_held",)

    def __init__(self):
        self._held = {}

    def __bool__(self):
        return bool(self._held)

    def begin(self, work, since):
        """Search for a server for a hedge of ``work``, from ``since`` on."""
        self._held[work.request_id] = HedgeSearch(work, since)

    def end(self, request_id):
        """End the search of a request, if it has one."""
        self._held.pop(request_id, None)

    def due(self, now):
        """Return the searches that are due, and reschedule them."""
        found = [item for item in self._held.values() if now >= item.due]
        for search in found:
            search.due = now + SEARCH_INTERVAL_SECONDS
        return found
