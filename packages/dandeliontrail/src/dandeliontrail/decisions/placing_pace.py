"""How fast an instance gets work placed, to tell how long a queue takes."""

import collections

# Placements of so many seconds count: long enough for a few at the pace of
# a busy instance, short enough to follow a burst.
WINDOW = 3.0
# A queue that has just begun has shown no pace yet; for so long none is
# concluded from a lack of placements.
LEAST_WATCHED = 1.0


class PlacingPace:
    """Counts the prompt tokens placed at each service.

    >>> pace = PlacingPace()
    >>> for at in range(4):
    ...     pace.placed("s", 300, float(at))
    >>> pace.seconds("s", 900, 3.0)
    3.0
    """

    def __init__(self):
        self._placed = collections.defaultdict(collections.deque)

    def placed(self, service, tokens, now):
        """Take note that work of so many tokens was placed."""
        self._placed[service].append((now, tokens))

    def seconds(self, service, tokens, now):
        """Return how long it takes to place so many tokens, or 0.

        Without a few placements lately nothing is known, and nothing is
        refused for it.
        """
        held = self._placed[service]
        while held and held[0][0] < now - WINDOW:
            held.popleft()
        if len(held) < 2 or now - held[0][0] < LEAST_WATCHED:
            return 0.0
        total = sum(count for _, count in held)
        return tokens * (now - held[0][0]) / total
