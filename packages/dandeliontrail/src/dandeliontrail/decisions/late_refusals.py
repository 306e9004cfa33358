"""Refuses queued work that would be placed too late for its deadline."""

from .. import sentinels
from . import placement_rate
from . import unplaceable_work
from . import work as work_module


def is_too_late(work, wait, now):
    """Return whether a wait of ``wait`` seconds is too long for ``work``."""
    left = work.deadline - now - unplaceable_work.MIN_SERVICE_SECONDS
    return wait > left * unplaceable_work.MAX_QUEUE_TIME_FRACTION


def refusal(work, nothing, waiting):
    """Return the refusal of work, with ``waiting`` other requests queued."""
    grounds = work_module.DecisionInputs(
        need=work.prompt_tokens, waiting=waiting
    )
    return work_module.Refusal(work, nothing, grounds)


class LateRefusals:
    """Estimates the wait from the rate at which this instance places work."""

    __slots__ = ("_rate",)

    def __init__(self):
        self._rate = placement_rate.PlacementRate()

    def record_placed(self, work, now):
        """Record that work with a long prompt was placed."""
        self._rate.record(work.service, work.prompt_tokens, now)

    def refuse_if_late(self, work, tokens_ahead, waiting, now):
        """Return a refusal if the queue is too long for the work's deadline.

        In a burst beyond what the engines can prefill, a caller that cannot
        be served in time is refused at once, with a Retry-After of half the
        expected wait, and not only at its deadline.  Returns ``None`` if the
        work may still be served in time, or waits for servers that rest: the
        pace of that time tells nothing.
        """
        if work.held_at == now:
            return None
        wait = self._rate.estimate_seconds(work.service, tokens_ahead, now)
        if not is_too_late(work, wait, now):
            return None
        nothing = sentinels.Nothing(sentinels.Reason.QUEUE_FULL, wait / 2)
        return refusal(work, nothing, waiting)
