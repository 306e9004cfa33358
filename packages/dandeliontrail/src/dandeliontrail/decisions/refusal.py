"""When to refuse, and what to say of when to come back.

Made for demand beyond capacity.  Sheddable work that cannot meet its target
is refused at once, while its caller can still do something else, and its
queue stays so short that what is admitted is answered in time.  Work that
may not be shed is kept up to a stated bound.
"""

import collections

import msgspec

from .. import sentinels

# Backlog classes are kept, not refused: a closing-time backlog of some
# thousands spread over nine instances fits several times over.  At about
# 2 kB each in the queue this is some 20 MB, a third of a node's budget.
LONGEST_QUEUE = 10_000
# Of the time that the target leaves for waiting, sheddable work may plan
# with this part; the rest covers the error of the estimate.
PLANNED_PART = 0.7
FRESH_PART = 0.6
# The rate at which a class is served is averaged over some seconds.
RATE_SECONDS = 8.0
SHORTEST_RETRY = 0.5
LONGEST_RETRY = 60.0


class ServedRate:
    """How many requests of a lane are placed in a second."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times = collections.deque()

    def placed(self, now):
        """Count one placement."""
        self._times.append(now)

    def per_second(self, now):
        """Return the rate over the last seconds."""
        while self._times and self._times[0] < now - RATE_SECONDS:
            self._times.popleft()
        return len(self._times) / RATE_SECONDS


def start_by(work, service_seconds):
    """Return when work has to start to meet its target.

    ``service_seconds`` is how long it is expected to run.
    """
    due = work.deadline
    if work.total_ms is not None:
        due = min(due, work.received + work.total_ms / 1000.0)
    latest = due - service_seconds
    if work.first_token_ms is not None:
        latest = min(latest, work.received + work.first_token_ms / 1000.0)
    return latest


class Ahead(msgspec.Struct):
    """What waits in the queue of a class already.

    ``own`` is the part of the work's organisation, ``organisations`` counts
    those with work waiting, this one included; ``rate`` is how many are
    served in a second.
    """

    total: int
    own: int
    organisations: int
    rate: float


def admit(work, ahead, service_seconds, now):
    """Return ``work``, or a ``Nothing`` that says when to come back.

    An organisation with less than its part of the queue is let in, or a
    large one could fill the queue and have all others refused.
    """
    wait = ahead.total / ahead.rate if ahead.rate else ahead.total * 1.0
    if ahead.total >= LONGEST_QUEUE:
        return _nothing(sentinels.Reason.QUEUE_FULL, wait / 2.0)
    if not work.sheddable or not ahead.own:
        return work
    slack = start_by(work, service_seconds) - now
    if wait <= slack * PLANNED_PART:
        return work
    part = wait * ahead.own * ahead.organisations / ahead.total
    if part <= slack * PLANNED_PART:
        return work
    return _nothing(sentinels.Reason.ALL_BUSY, wait)


def hopeless(work, service_seconds, now):
    """Tell whether queued sheddable work can no longer meet its target."""
    return work.sheddable and now > start_by(work, service_seconds)


def _nothing(reason, wait):
    bounded = min(LONGEST_RETRY, max(SHORTEST_RETRY, wait))
    return sentinels.Nothing(reason, round(bounded, 1))


def busy(wait):
    """Return the refusal of work that would wait ``wait`` seconds."""
    return _nothing(sentinels.Reason.ALL_BUSY, wait)


def fresh_until(work, service_seconds):
    """Return until when ``work`` can start and be safely within its target.

    In a class that gets less than it needs, all that is served has waited
    up to this moment; at the last possible one, half would miss.
    """
    latest = start_by(work, service_seconds)
    return work.received + (latest - work.received) * FRESH_PART
