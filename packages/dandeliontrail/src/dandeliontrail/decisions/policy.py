"""The face of a policy: what decides which work runs where, and when.

The node and the policy bench drive every policy through this class alone,
so that a baseline and the policy in use are measured on equal terms.
"""

import abc


class Policy(abc.ABC):
    """Owns the queues and the view of load; one for each instance."""

    @abc.abstractmethod
    def offer(self, work, now):
        """Queue ``work`` and return it, or refuse it with a ``Nothing``."""

    @abc.abstractmethod
    def next(self, now, directory):
        """Return the placements and refusals that are due at ``now``.

        ``directory`` tells which servers may take which work.  The policy
        counts what it places as outstanding until :meth:`ended`.
        """

    @abc.abstractmethod
    def first_output(self, request_id, now):
        """Take note that the first output of an attempt came in."""

    @abc.abstractmethod
    def ended(self, ended, now):
        """Take note of how an attempt ended.

        Work that has a hedge goes on there, where its first attempt ends.
        """

    @abc.abstractmethod
    def requeue(self, work, now):
        """Put work whose attempt did not begin back to the front."""

    def retry(self, work, now):
        """Queue work again whose attempt broke off, or return a ``Nothing``.

        The work must be repeatable, or its attempt cannot have begun.
        """
        self.requeue(work, now)
        return work

    def seek(self, work, since):
        """Look for a server beside one that has ``work`` and is silent.

        From ``since`` on :meth:`next` places it there as a hedge, without
        refusing it: the silent server may still answer.  A policy that never
        does so has no hedges.
        """

    def stop_seeking(self, request_id):
        """Look for no server any more beside a silent one."""

    @abc.abstractmethod
    def withdraw(self, request_id):
        """Forget queued work whose caller is gone; return it or ``None``."""

    @abc.abstractmethod
    def waiting(self):
        """Return how many requests of each class wait, as a dict."""

    def observe(self, server, now):
        """Take note of a server's new load report."""

    def forget_server(self, name):
        """Drop what is held about a server that is gone."""

    def own_loads(self):
        """Return this instance's work at each server, for the others."""
        return []

    def take_reads(self):
        """Return which prompt parts were sent where since the last call."""
        return []

    def heard_reads(self, reads, now):
        """Take in which prompt parts the others sent where."""

    def take_beliefs(self):
        """Return what it came to believe of servers since the last call."""
        return []
