"""A server beside one that is silent, for requests that may be repeated.

Guards against the end of an answer that its server would still have given: a
silent server is let go only once another one speaks.  Until then the request
has two attempts, of which each is counted where it is; what both have in
common, such as how many servers it may reach, is in :mod:`.life`.
"""

from .. import effects
from ..decisions import work as work_module

# A repeatable request is tried on this many servers: with one in twenty
# attempts lost, four failures in a row are one in 160,000.
MOST_ATTEMPTS = 4
# After a server turned a hedge away the next is asked so much later, and twice
# as much after each further one of the same silence.
REJECTED_PAUSE = 0.25


class Hedges:
    """Seeks, sends and lets go of the attempts beside silent ones."""

    __slots__ = ("_policy", "_ends")

    def __init__(self, policy, ends):
        self._policy = policy
        self._ends = ends

    def seek(self, held, since):
        """Look for another server, if the request may reach one more.

        ``since`` is when to begin with that.
        """
        work = held.work
        if held.seeking or held.hedge is not None:
            return
        most = work.max_attempts or MOST_ATTEMPTS
        if not work.repeatable or held.begun >= most:
            return
        if self._ends.holds(work.fingerprint, since):
            return
        work.avoid.add(held.server)
        work.turned_away.discard(held.server)
        held.seeking = True
        self._policy.seek(work, since)

    def drop(self, held, now):
        """Let go of what is beside the first attempt; return the hedge.

        ``None`` where nothing was sent: a server that was sought is no longer.
        """
        self._stop_seeking(held)
        held.hedges_rejected = 0
        hedge, held.hedge = held.hedge, None
        if hedge is not None:
            self._ended(held, hedge.server, now, wasted=True)
        return hedge

    def withdraw(self, held, now):
        """Return the effects of letting go on the reducer's own account."""
        hedge = self.drop(held, now)
        if hedge is None:
            return []
        return [effects.Withdraw(held.work.request_id, hedge.number)]

    def took_over(self, held, now):
        """Make the hedge the one attempt, since it spoke first.

        Returns the server that is let go.
        """
        silent = held.server
        held.take_over()
        self._ended(held, silent, now, failed=True)
        return silent

    def goes_on(self, held):
        """Leave a request whose first attempt ended to its hedge, if any."""
        if held.hedge is not None:
            held.take_over()
            return True
        self._stop_seeking(held)
        return False

    def not_begun(self, held, event, now):
        """Take note that the hedge did not begin, and seek on.

        Its server is asked again only once no other one is left.
        """
        if not event.gone:
            held.work.turned_away.add(held.hedge.server)
        pause = 0.0
        if event.server_said:
            doubled = 2.0**held.hedges_rejected
            pause = max(event.retry_after, REJECTED_PAUSE * doubled)
        held.unbegin_hedge()
        self._seek_on(
            held,
            now,
            pause,
            refused=event.server_said,
            unreachable=not event.server_said,
            gone=event.gone,
        )

    def failed(self, held, event, now):
        """Take note that the hedge broke off, and seek on."""
        self._ends.ended_under(held.hedge, event, now)
        self._seek_on(held, now)

    def _stop_seeking(self, held):
        if held.seeking:
            held.seeking = False
            self._policy.stop_seeking(held.work.request_id)

    def _seek_on(self, held, now, pause=0.0, **how):
        hedge, held.hedge = held.hedge, None
        held.work.avoid.add(hedge.server)
        self._ended(held, hedge.server, now, failed=True, **how)
        self.seek(held, now + pause)

    def _ended(self, held, server, now, **how):
        ended = work_module.Ended(held.work.request_id, server, **how)
        self._policy.ended(ended, now)
