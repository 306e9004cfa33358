"""The queue of one class for one target, with what is known about it."""

from . import fairness
from . import refusal


class Lane:
    """The queue of one class for one target, with its rates."""

    __slots__ = (
        "key",
        "class_name",
        "priority",
        "minimum_share",
        "counters",
        "queue",
        "rate",
        "claims",
        "weights",
    )

    def __init__(self, work, options):
        self.key = key_of(work)
        self.class_name = work.class_name
        self.declare(work)
        self.counters = fairness.Counters()
        self.queue = fairness.Lane(
            self.counters, by_arrival=not options.fairness
        )
        self.rate = refusal.ServedRate()
        self.claims = False
        self.weights = {}

    def declare(self, work):
        """Follow what operators changed in the class."""
        self.priority = work.priority
        self.minimum_share = work.minimum_share

    def merge(self, view):
        """Take in what other instances served of this class.

        Only of organisations that wait: of 1,600 few do at an instance.
        """
        for name in self.queue.organisations():
            used = view.elsewhere(name, self.class_name)
            total = used.prompt * fairness.PROMPT_PART + used.output
            self.counters.merge(name, self.weights.get(name, 1.0), total)


def key_of(work):
    """Return what tells the lanes apart."""
    return (work.class_name, work.model, work.service)


def rank(lane):
    """Return the order in which lanes are served."""
    return lane.priority
