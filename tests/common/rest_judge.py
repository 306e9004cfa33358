"""Judges at a server whether instances leave it alone in its rests."""

# What was under way when the server asked, in seconds.
UNDER_WAY_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2


class RestJudge:
    """Counts for one start of a server what comes in the rests it asked for.

    ``worst`` is the greatest count of one rest.
    """

    def __init__(self):
        self._rests = {}
        self.worst = 0

    def asked(self, instance, seconds, now):
        """Record that the server asked an instance for rest."""
        self._rests.setdefault(instance, []).append([now, now + seconds, 0])

    def arrived(self, instance, now):
        """Record a request of an instance; return whether it is too many."""
        too_many = False
        for rest in self._rests.get(instance, ()):
            asked_at, until, _ = rest
            if asked_at + UNDER_WAY_SECONDS < now < until:
                rest[2] += 1
                self.worst = max(self.worst, rest[2])
                too_many = too_many or rest[2] > MAX_REQUESTS_IN_REST
        return too_many

    def excuse(self, instance):
        """Forget the rests that an instance was asked for: it restarted."""
        self._rests.pop(instance, None)
