"""Admission control: when to refuse work and which retry delay to suggest.

It handles demand beyond capacity. Sheddable work that cannot meet its target
is refused at once, while its caller still has time for an alternative; this
keeps the queue short enough for admitted work to be answered in time. Work
that may not be shed is queued up to ``MAX_QUEUE_LENGTH`` requests.
"""

import collections

import msgspec

from .. import sentinels

# Classes that may not be shed keep their backlog: a closing-time backlog of
# some thousand requests, spread over nine instances, fits several times over.
# At about 2 kB per queued request this is some 20 MB, a third of a node's
# memory budget.
MAX_QUEUE_LENGTH = 10_000
# Sheddable work is admitted if its expected wait is at most this share of the
# time that its target leaves for waiting. The rest covers the error of the
# estimate.
MAX_PLANNED_WAIT_SHARE = 0.7
FRESH_WAIT_SHARE = 0.6
# The rate at which a class is served is averaged over this window.
RATE_WINDOW_SECONDS = 8.0
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 60.0


class PlacementRate:
    """The number of requests of one queue that are placed per second."""

    __slots__ = ("_placed_at",)

    def __init__(self):
        self._placed_at = collections.deque()

    def placed(self, now):
        """Count one placement."""
        self._placed_at.append(now)

    def per_second(self, now):
        """Return the rate over the last ``RATE_WINDOW_SECONDS``."""
        while (
            self._placed_at and self._placed_at[0] < now - RATE_WINDOW_SECONDS
        ):
            self._placed_at.popleft()
        return len(self._placed_at) / RATE_WINDOW_SECONDS


def latest_start(work, service_seconds):
    """Return the latest time at which work can start to meet its target.

    ``service_seconds`` is how long it is expected to run.
    """
    due = work.deadline
    if work.total_ms is not None:
        due = min(due, work.received + work.total_ms / 1000.0)
    latest = due - service_seconds
    if work.first_token_ms is not None:
        latest = min(latest, work.received + work.first_token_ms / 1000.0)
    return latest


class Backlog(msgspec.Struct):
    """The requests that are already queued in a class.

    ``total`` counts all of them and ``own`` those of the organisation that
    asks; ``organisations`` counts the organisations with queued work, the
    asking one included; ``rate`` is how many requests are placed per second.
    """

    total: int
    own: int
    organisations: int
    rate: float


def admit(work, backlog, service_seconds, now):
    """Return ``work``, or a ``Nothing`` with a retry delay.

    An organisation that uses less than its share of the queue is admitted even
    if the whole queue is too long for the target. Otherwise one large
    organisation could fill the queue and have all others refused.
    """
    wait = (
        backlog.total / backlog.rate if backlog.rate else backlog.total * 1.0
    )
    if backlog.total >= MAX_QUEUE_LENGTH:
        return _refuse(sentinels.Reason.QUEUE_FULL, wait / 2.0)
    if not work.sheddable or not backlog.own:
        return work
    slack = latest_start(work, service_seconds) - now
    if wait <= slack * MAX_PLANNED_WAIT_SHARE:
        return work
    own_wait = wait * backlog.own * backlog.organisations / backlog.total
    if own_wait <= slack * MAX_PLANNED_WAIT_SHARE:
        return work
    return _refuse(sentinels.Reason.ALL_BUSY, wait)


def cannot_meet_target(work, service_seconds, now):
    """Return whether queued sheddable work can no longer meet its target."""
    return work.sheddable and now > latest_start(work, service_seconds)


def _refuse(reason, wait):
    bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
    return sentinels.Nothing(reason, round(bounded, 1))


def all_busy(wait):
    """Return the refusal of work that would wait ``wait`` seconds."""
    return _refuse(sentinels.Reason.ALL_BUSY, wait)


def fresh_until(work, service_seconds):
    """Return until when ``work`` can start and safely meet its target.

    In a class that gets less capacity than it needs, work is served only after
    waiting until about this time. If this were the latest possible time, half
    of the requests would miss their target.
    """
    latest = latest_start(work, service_seconds)
    return work.received + (latest - work.received) * FRESH_WAIT_SHARE
