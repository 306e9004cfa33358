"""Work that looks for a server beside one that has it and is silent."""

import msgspec

# A round is due several times in this, with each answer that begins or ends.
LOOK_INTERVAL = 0.1


class Search(msgspec.Struct):
    """One search; ``due`` is when it looks again."""

    work: object
    due: float


class Searches:
    """The searches of one instance.

    >>> bool(Searches())
    False
    """

    __slots__ = ("_held",)

    def __init__(self):
        self._held = {}

    def __bool__(self):
        return bool(self._held)

    def begin(self, work, since):
        """Look for a server from then on."""
        self._held[work.request_id] = Search(work, since)

    def end(self, request_id):
        """Look no more."""
        self._held.pop(request_id, None)

    def due(self, now):
        """Return the searches that look now; each looks again a while on."""
        found = [item for item in self._held.values() if now >= item.due]
        for search in found:
            search.due = now + LOOK_INTERVAL
        return found
