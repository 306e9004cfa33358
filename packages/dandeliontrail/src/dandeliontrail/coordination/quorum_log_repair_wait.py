"""Why a voter that should be replaced is not replaced yet.

Only the leader knows.  It looks twice a second, and warns of a repair that
waits for long, at most once in ``WARNING_INTERVAL_SECONDS``.
"""

from .. import effects
from . import quorum_log_core as core_module
from . import quorum_log_voter_choice as voter_choice
from . import quorum_log_voter_health as health_module

CHECK_INTERVAL_SECONDS = 0.5
WARN_AFTER_SECONDS = 5.0
WARNING_INTERVAL_SECONDS = 30.0
# A keeper that does not join is given up after 2 s and known again with its
# next announcement, within 2 s.  It is the same wait for that long.
WAIT_ENDS_AFTER_SECONDS = 5.0

NO_LEADER = "no leader is known here"
NO_MAJORITY = "no majority of the voters answers"
NOT_COMMITTED = "an earlier change is not committed yet"
NOT_AUTOMATIC = "voters are not replaced automatically here"
NO_SPARE = "there is no spare keeper"
DUE = "the change is about to begin"


class RepairWait:
    """Knows for how long a repair has been waiting, and for what."""

    def __init__(self, core, leadership, repair, health):
        self._core = core
        self._reconfiguration = leadership.reconfiguration
        self._leadership = leadership
        self._repair = repair
        self._health = health
        self._next_check_at = float("-inf")
        self._next_warning_at = float("-inf")
        self._since = None
        self._wanted_at = float("-inf")
        self._joining = None
        self._joining_at = float("-inf")

    def tick(self, now):
        """Look whether a repair waits; return the warning if one is due."""
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        if not self._leads():
            self._since = None
            return []
        self._note_joining(now)
        if not self._is_wanted(now):
            if now - self._wanted_at > WAIT_ENDS_AFTER_SECONDS:
                self._since = None
            return []
        self._wanted_at = now
        if self._since is None:
            self._since = now
        return self._warning(now)

    def _warning(self, now):
        waiting = now - self._since
        if waiting < WARN_AFTER_SECONDS or now < self._next_warning_at:
            return []
        self._next_warning_at = now + WARNING_INTERVAL_SECONDS
        fields = {
            "reason": self.reason(self._core.name, now),
            "voters": [
                state.voter.name
                for state in self._repair.voter_states(now)
                if self._should_go(state)
            ],
            "spares": [item.voter.name for item in self._repair.spares(now)],
            "for_seconds": round(waiting, 3),
            "important": True,
            "remedy": "see docs/operators/keepers.md, a repair that waits",
        }
        return [effects.Log("warning", "repair of keepers waits", fields)]

    def seconds(self, now):
        """Return for how long a repair has waited, 0 if none does."""
        if self._since is None or not self._is_wanted(now):
            return 0.0
        return now - self._since

    def reason(self, leader, now):
        """Return why a repair waits, or '' if none does.

        ``leader`` is the leader that is known here, or ''.
        """
        if not self._leads():
            return "" if leader else NO_LEADER
        if not self._is_wanted(now):
            return ""
        if self._health.losses_survived(now) == health_module.NO_MAJORITY:
            return NO_MAJORITY
        if not self._reconfiguration.can_change():
            return NOT_COMMITTED
        joining = self._recently_joining(now)
        if joining:
            return f"the joining keeper {joining.name} has not caught up"
        return self._reason_without_change(now)

    def _reason_without_change(self, now):
        target = self._repair.target_voters
        if not target:
            return NOT_AUTOMATIC
        change = voter_choice.next_change(
            self._repair.voter_states(now), self._repair.spares(now), target
        )
        if change is None:
            return NO_SPARE
        voters = self._core.log.voter_set.incoming
        remaining = [item for item in voters if item != change.remove]
        if not self._leadership.hears_majority_of(remaining, now):
            return NO_MAJORITY
        return DUE

    def _leads(self):
        return self._core.role is core_module.Role.LEADER

    def _is_wanted(self, now):
        states = self._repair.voter_states(now)
        return (
            any(self._should_go(state) for state in states)
            or len(states) < self._repair.target_voters
            or self._reconfiguration.joining is not None
            or self._core.log.voter_set.is_joint
        )

    def _should_go(self, state):
        """Return whether a voter should be replaced.

        Without automatic repair, one that shuts down is to come back.
        """
        leaves = state.is_leaving and self._repair.target_voters > 0
        return state.is_lost or leaves or bool(state.new_folder)

    def _note_joining(self, now):
        joining = self._reconfiguration.joining_voter()
        if joining is not None:
            self._joining = joining
            self._joining_at = now

    def _recently_joining(self, now):
        """Return the voter that joins, or was given up a moment ago."""
        joining = self._reconfiguration.joining_voter()
        if joining is not None or self._joining in self._core.log.voters:
            return joining
        if now - self._joining_at < WAIT_ENDS_AFTER_SECONDS:
            return self._joining
        return None
