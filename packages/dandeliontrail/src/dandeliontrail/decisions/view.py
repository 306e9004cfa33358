"""What a policy may know about the other instances.

The data comes from cluster membership and the usage ledger. Both lag by about
a second, and stop changing during a partition.
"""

import abc

import msgspec


class Usage(msgspec.Struct):
    """Requests and tokens so far."""

    requests: int = 0
    prompt: int = 0
    output: int = 0


class ClusterView(abc.ABC):
    """A read-only view of all instances."""

    @abc.abstractmethod
    def instances(self, now):
        """Return how many instances take requests, this one included."""

    def peers(self, now):
        """Return the other instances that may reach servers for this one.

        Each has ``instance``, its name, and ``failure_domain``.
        """
        return []

    def heard_from(self, failure_domain):
        """Return when an instance of a failure domain was last heard.

        It is ``None`` if this instance hears none of them directly.
        """
        return None

    def has_fallen_silent(self, failure_domain, now):
        """Return whether a domain's instances have just fallen silent."""
        return False

    def usage_elsewhere(self, organisation, class_name):
        """Return the usage counted by the other instances so far.

        An empty ``class_name`` gives the usage over all classes.
        """
        return Usage()

    def tokens_today(self, organisation):
        """Return the tokens counted by all instances on this day."""
        return 0


class FixedView(ClusterView):
    """A fixed number of instances whose usage is not shared.

    >>> FixedView(9).instances(0.0)
    9
    """

    def __init__(self, count=1):
        self._count = count

    def instances(self, now):
        """Return the fixed number of instances."""
        return self._count
