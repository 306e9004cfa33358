"""Proposes a component's entries to the quorum log."""


class Proposer:
    """Proposes entries, each under a unique id.

    The log detects repetitions by their id.  A lease renewal is a new request
    whose time starts anew, and an entry of a restarted instance is no
    repetition of an earlier one.  Ids therefore contain the component's name,
    the instance, its incarnation and a counter.
    """

    __slots__ = ("_log", "_prefix", "_count")

    def __init__(self, state, name):
        own = state.identity
        self._log = state.log
        self._prefix = f"{name}/{own.instance}/{own.incarnation}"
        self._count = 0

    def propose(self, entry, now, settled):
        """Propose ``entry``; ``settled`` is called with the outcome."""
        self._count += 1
        proposal_id = f"{self._prefix}/{self._count}"
        return self._log.propose(entry, proposal_id, now, settled)

    def renew(self, lease, holding, now, settled):
        """Request a lease if renewal is due and no request is pending."""
        if lease.asking() or not lease.renewal_due(now):
            return []
        return self.propose(lease.ask(holding, now), now, settled)
