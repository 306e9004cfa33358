"""The queue of one request class for one target, with its statistics."""

from . import fairness
from . import refusal


class ClassQueue:
    """The queue of one request class for one model or service.

    ``pending`` holds the queued work, ``counters`` the tokens served by
    organisation and ``rate`` how fast work is placed. ``claims_share`` is set
    while the class claims its minimum share. ``weights`` maps organisations to
    their fairness weights.
    """

    __slots__ = (
        "key",
        "class_name",
        "priority",
        "minimum_share",
        "counters",
        "pending",
        "rate",
        "claims_share",
        "weights",
    )

    def __init__(self, work, options):
        self.key = key_of(work)
        self.class_name = work.class_name
        self.update_settings(work)
        self.counters = fairness.Counters()
        self.pending = fairness.FairQueue(
            self.counters, by_arrival=not options.fairness
        )
        self.rate = refusal.PlacementRate()
        self.claims_share = False
        self.weights = {}

    def update_settings(self, work):
        """Take over the settings of the class, which operators may change."""
        self.priority = work.priority
        self.minimum_share = work.minimum_share

    def merge(self, view):
        """Add what other instances served of this class.

        Only organisations with queued work are looked up: of 1,600, few have
        work waiting at one instance.
        """
        for name in self.pending.organisations():
            used = view.usage_elsewhere(name, self.class_name)
            total = used.prompt * fairness.PROMPT_TOKEN_WEIGHT + used.output
            self.counters.merge(name, self.weights.get(name, 1.0), total)


def key_of(work):
    """Return the key of the queue that the work belongs to."""
    return (work.class_name, work.model, work.service)


def priority_of(queue):
    """Return the sort key by which queues are served."""
    return queue.priority
