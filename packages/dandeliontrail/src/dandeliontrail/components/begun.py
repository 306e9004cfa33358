"""When a request began at its server, as its caller's instance can tell.

A stream begins with its first event.  Of a plain request only the end of
its answer is seen: it began when it was sent, unless it waited at the server
for others, which a longer answer than usual tells.
"""

# The usual time of an answer is that of the quickest lately: it is taken at
# once when a quicker one comes, and grows by this part with each other one.
GROWTH = 0.02


class Begun:
    """Counts each request once, in the window in which it began."""

    __slots__ = ("_duties", "_quickest")

    def __init__(self, duties):
        self._duties = duties
        self._quickest = {}

    def first_output(self, held, now):
        """Count a request whose server has answered."""
        if held.work.streamed:
            self._count(held, now)
            return
        took = now - held.dispatched
        usual = self._learn(held.work.service, took)
        self._count(held, now - min(took, usual))

    def broke_off(self, held):
        """Count a plain request whose answer did not come.

        A stream that broke off before its first event waited for its engine.
        """
        if not held.work.streamed:
            self._count(held, held.dispatched)

    def _learn(self, service, took):
        usual = self._quickest.get(service, took)
        usual = min(took, usual * (1.0 + GROWTH))
        self._quickest[service] = usual
        return usual

    def _count(self, held, moment):
        clock = self._duties.clock
        if not self._duties.options.reports_usage or not clock.known:
            return
        if held.work.organisation and not held.counted:
            held.counted = True
            began = clock.at(moment)
            self._duties.counter.count(held.work.organisation, began)
