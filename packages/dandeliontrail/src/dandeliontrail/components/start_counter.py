"""Counts requests in the usage window in which they began at a server.

The start is estimated by the instance that forwards the request.  A stream
begins with its first event.  For a plain request only the complete answer is
visible: it began when it was sent, unless it queued at the server, which shows
as a longer response time than is typical.
"""

# The typical response time of a service follows its fastest recent answers: it
# drops at once to that of a faster answer, and otherwise grows by this
# fraction with each answer.
TYPICAL_TIME_GROWTH = 0.02


class StartCounter:
    """Counts each request once, in the usage window in which it began."""

    __slots__ = ("_duties", "_quickest")

    def __init__(self, duties):
        self._duties = duties
        self._quickest = {}

    def first_output(self, request, now):
        """Count a request at its first output."""
        if request.work.streamed:
            self._count(request, now)
            return
        elapsed = now - request.dispatched
        typical = self._update_typical(request.work.service, elapsed)
        self._count(request, now - min(elapsed, typical))

    def attempt_failed(self, request):
        """Count a plain request whose attempt failed or was overtaken.

        A stream that fails before its first event was still queued at its
        engine, so it is not counted.
        """
        if not request.work.streamed:
            self._count(request, request.dispatched)

    def _update_typical(self, service, elapsed):
        typical = self._quickest.get(service, elapsed)
        typical = min(elapsed, typical * (1.0 + TYPICAL_TIME_GROWTH))
        self._quickest[service] = typical
        return typical

    def _count(self, request, started_at):
        clock = self._duties.clock
        if not self._duties.options.reports_usage or not clock.known:
            return
        if request.work.organisation and not request.usage_counted:
            request.usage_counted = True
            began = clock.at(started_at)
            self._duties.counter.count(request.work.organisation, began)
