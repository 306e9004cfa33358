"""What a component of one instance puts into the quorum log."""


class Proposer:
    """Proposes entries, each under an id of its own.

    A lease that is asked for again is a new request with a new start of its
    time, and an entry of a restarted instance is not one from before: no two
    of them may share an id, by which the log tells repetitions.
    """

    __slots__ = ("_log", "_prefix", "_count")

    def __init__(self, state, name):
        own = state.identity
        self._log = state.log
        self._prefix = f"{name}/{own.instance}/{own.incarnation}"
        self._count = 0

    def propose(self, entry, now, settled):
        """Put ``entry`` into the log; ``settled`` hears how it ended."""
        self._count += 1
        proposal_id = f"{self._prefix}/{self._count}"
        return self._log.propose(entry, proposal_id, now, settled)

    def renew(self, lease, holding, now, settled):
        """Ask for a lease, where it is time to and nothing was asked yet."""
        if lease.asking() or not lease.renewal_due(now):
            return []
        return self.propose(lease.ask(holding, now), now, settled)
