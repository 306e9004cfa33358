"""A keeper that is told to stop hands over before it ends.

It says in its replies and announcements that it shuts down.  The leader then
lets a spare take its vote, and a leader asks another voter to lead, so that
its end costs neither a voter nor an election timeout.  Without a spare it
stays a voter: removing it would not make the log any safer.
"""

from .. import effects
from . import quorum_log_core as core_module
from . import quorum_log_transfer as transfer_module

# How long a voter that shuts down waits for a leader.  It covers an election;
# where all keepers shut down there is none.
NO_LEADER_SECONDS = 3.0


class HandOver:
    """Tells when a keeper that shuts down has given everything away."""

    def __init__(self, core, leadership, repair, repairs_voters):
        self._core = core
        self._leadership = leadership
        self._repair = repair
        self._repairs_voters = repairs_voters
        self._was_voter = False
        self._began_at = float("-inf")
        self._is_logged = False

    def begin(self, now):
        """Start to shut down; return effects."""
        core = self._core
        core.leaving = True
        self._was_voter = core.is_voter()
        self._began_at = now
        self._repair.check_soon()
        if not self._was_voter:
            return []
        fields = {
            "role": core.role.value,
            "spares": [item.voter.name for item in self._successors(now)],
        }
        text = "this keeper shuts down: it hands over"
        if not fields["spares"]:
            text = "this keeper shuts down: without a spare it stays a voter"
        return [effects.Log("info", text, fields)]

    def is_pending(self, now):
        """Return whether ending now would cost a voter or a leader."""
        core = self._core
        if not core.leaving or core.halted:
            return False
        if core.role is core_module.Role.LEADER:
            is_new = self._leadership.age(now) < transfer_module.HEARD_SECONDS
            return is_new or bool(self._leadership.transfer.candidates(now))
        if core.is_voter() and not core.leader:
            # Its vote may be needed to elect the leader that replaces it.
            return now - self._began_at < NO_LEADER_SECONDS
        if not core.is_voter():
            return False
        # In a change whoever comes in is no spare any more, and this keeper
        # counts until the change has ended.
        return core.log.voter_set.is_joint or bool(self._successors(now))

    def _successors(self, now):
        return self._repair.spares(now) if self._repairs_voters else []

    def tick(self, now):
        """Log once that the vote was handed over; return effects."""
        core = self._core
        if not core.leaving or not self._was_voter or self._is_logged:
            return []
        if core.is_voter():
            return []
        self._is_logged = True
        fields = {"voters": sorted(core.voter_names())}
        return [effects.Log("info", "this keeper handed over", fields)]
