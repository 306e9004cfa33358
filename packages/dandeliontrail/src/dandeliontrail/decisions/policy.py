"""The interface of placement policies: which work runs where, and when.

The node and the policy bench use policies through this class alone, so that
baselines and the policy in use are measured on equal terms.
"""

import abc
import types

from . import tunnel_admission


class Policy(abc.ABC):
    """Owns the queues and the view of load; one for each instance.

    ``retry_budget`` is the :class:`.retry_budget.RetryBudget` that it shares
    with the other instances, if any.  ``held_for_rest`` counts by service the
    requests that had to wait, or were refused, since servers rest.
    """

    retry_budget = None
    held_for_rest = types.MappingProxyType({})

    def traits_of(self, service):
        """Return the :class:`.service_traits.Traits` of a service, if known.

        ``None`` without a revision, and from policies that need none.
        """
        return None

    @abc.abstractmethod
    def offer(self, work, now):
        """Queue ``work`` and return it, or refuse it with a ``Nothing``."""

    @abc.abstractmethod
    def next(self, now, directory):
        """Return the placements and refusals that are due at ``now``.

        ``directory`` tells which servers may run which work. The policy counts
        work that it places as outstanding until :meth:`ended`.
        """

    @abc.abstractmethod
    def first_output(self, request_id, now):
        """Record that the first output of an attempt arrived."""

    @abc.abstractmethod
    def ended(self, ended, now):
        """Record how an attempt ended.

        If the first attempt of hedged work ends, the hedge takes its place.
        """

    @abc.abstractmethod
    def requeue(self, work, now):
        """Put work whose attempt did not begin back at the front."""

    def retry(self, work, now):
        """Queue work again after a broken attempt, or return a ``Nothing``.

        The work must be repeatable, or the attempt cannot have begun.
        """
        self.requeue(work, now)
        return work

    def seek(self, work, since):
        """Start looking for a server to hedge a silent one that has ``work``.

        From ``since`` on, :meth:`next` places the work on another server as a
        hedge once one is free. It never refuses the work meanwhile, because
        the silent server may still answer. A policy that ignores this call has
        no hedges.
        """

    def stop_seeking(self, request_id):
        """Stop looking for a server to hedge a silent one."""

    @abc.abstractmethod
    def withdraw(self, request_id):
        """Remove queued work whose caller is gone; return it or ``None``."""

    @abc.abstractmethod
    def waiting(self):
        """Return how many requests of each class wait, as a dict."""

    def due_checks(self, now):
        """Return the :class:`.path_checks.Check` objects due at ``now``."""
        return []

    def path_checked(self, result, now):
        """Process the result of a check of the path to a server.

        ``result`` has ``backend_server``, ``epoch``, ``reached``, ``peer`` and
        ``path_failure``.  Returns whether the path was found to be lost.
        """
        return False

    def check_dropped(self, check):
        """Forget a due check of a server that gets no work any more."""

    def lost_servers(self):
        """Return the names of the servers that cannot be reached directly."""
        return []

    def tunnel_opened(self, peer, server, now):
        """Record that a server was reached through another instance."""

    def reach_of(self, server):
        """Return the :class:`.tunnel_admission.Reach` of this instance."""
        return tunnel_admission.Reach.SERVER

    def observe(self, server, now):
        """Process a server's new load report."""

    def rest_began(self, name):
        """Record that a server has asked this instance for rest."""

    def forget_server(self, name):
        """Drop the state of a server that is gone."""

    def own_loads(self):
        """Return this instance's load on each server, for other instances."""
        return []

    def take_reads(self):
        """Return the prompt parts sent to servers since the last call."""
        return []

    def heard_reads(self, reads, now):
        """Record which prompt parts other instances sent to which servers."""

    def take_beliefs(self):
        """Return the conclusions about servers since the last call."""
        return []
