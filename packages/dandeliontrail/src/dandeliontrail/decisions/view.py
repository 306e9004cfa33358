"""What a policy may read of the other instances.

The figures come from the membership and from the usage ledger; both lag by
about a second, and stop moving in a partition.
"""

import abc

import msgspec


class Used(msgspec.Struct):
    """Requests and tokens so far."""

    requests: int = 0
    prompt: int = 0
    output: int = 0


class ClusterView(abc.ABC):
    """A read-only view of all instances."""

    @abc.abstractmethod
    def instances(self, now):
        """Return how many instances take requests, this one included."""

    def heard_from(self, failure_domain):
        """Return when an instance of a domain was last heard.

        It is ``None`` where this instance hears none of them directly.
        """
        return None

    def has_fallen_silent(self, failure_domain, now):
        """Tell whether the instances of a domain have just fallen silent."""
        return False

    def elsewhere(self, organisation, class_name):
        """Return what the other instances counted so far.

        Without a class name it is of all classes.
        """
        return Used()

    def today(self, organisation):
        """Return the tokens that all instances counted on this day."""
        return 0


class FixedView(ClusterView):
    """A known number of instances whose usage is not shared.

    >>> FixedView(9).instances(0.0)
    9
    """

    def __init__(self, count=1):
        self._count = count

    def instances(self, now):
        """Return the given number."""
        return self._count
