"""Automatic replacement of voters by the leader.

Instances with a disk may be lost permanently: an instance is replaced by an
empty one at another address, or comes back without its disk.  Until the lost
voter no longer counts, the next failure may cost the quorum.  So the leader
performs automatically what an operator would do, one voter at a time, as
:mod:`.quorum_log_voter_choice` says.  A leader that is to be replaced itself
hands its role over first.
"""

from .. import effects
from . import quorum_log_core as core_module
from . import quorum_log_entries as entries
from . import quorum_log_reconfiguration as reconfiguration_module
from . import quorum_log_voter_choice as voter_choice

# How often the voters are checked.
CHECK_INTERVAL_SECONDS = 0.25
# Six heartbeats.  A voter that only restarted is a spare afterwards, at the
# price of two log entries; one that is gone must not count longer than needed.
SILENT_AFTER_SECONDS = 1.2
# A voter that the membership knows to be gone is silent after this long.
GONE_AFTER_SECONDS = 0.5
# A keeper that has not joined after this long is given up: its data folder
# may no longer exist.
JOIN_TIMEOUT_SECONDS = 2.0
# One that has not even replied is given up sooner, since no other voter is
# replaced meanwhile.
JOIN_REPLY_SECONDS = 0.5
# A keeper that was given up, or replaced because it was silent, is not tried
# again for this long.  The time doubles for one that replies and does not
# catch up; one that froze is tried again soon after it goes on.
AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 16.0
# Every keeper that a cut has joined again has replied by then.
REPLY_AFTER_CUT_SECONDS = 0.25
# Beyond this number, what is known of earlier attempts is forgotten.
MAX_AVOIDED = 32


class VoterRepair:
    """Makes the next change of voters on the leader."""

    def __init__(self, core, leadership, founding, neighbours, target_voters):
        self._core = core
        self._leadership = leadership
        self._reconfiguration = leadership.reconfiguration
        self._founding = founding
        self._neighbours = neighbours
        self._target_voters = target_voters
        self._next_check_at = float("-inf")
        self._is_urgent = False
        self._avoid_until = {}
        self._avoid_seconds = {}

    @property
    def target_voters(self):
        """The number of voters to maintain, 0 for no automatic repair."""
        return self._target_voters

    def check_soon(self):
        """Check the voters at the next tick."""
        self._next_check_at = float("-inf")

    def tick(self, now):
        """Start the next change of voters if one is due; return effects."""
        core = self._core
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        if core.role is not core_module.Role.LEADER:
            return []
        if core.leaving:
            return self._hand_over("this leader shuts down", now)
        is_joining = self._still_joining(now)
        if is_joining and self._reconfiguration.joining.has_caught_up:
            return self._hand_over("this leader is to be replaced", now)
        if not self._target_voters or not self._reconfiguration.can_change():
            return []
        change = self._next_change(now)
        if change is None or (
            is_joining and (self._is_urgent or not change.is_urgent)
        ):
            return []
        return self._begin(change, now)

    def _still_joining(self, now):
        joining = self._reconfiguration.joining
        if joining is None:
            return False
        waited = now - joining.started_at
        replied = self._leadership.silent_for(joining.voter, now) < waited
        if waited < (JOIN_TIMEOUT_SECONDS if replied else JOIN_REPLY_SECONDS):
            return True
        self._reconfiguration.joining = None
        self._avoid(joining.voter, replied, now)
        return False

    def _avoid(self, voter, doubles, now):
        """Choose others than ``voter`` for a while."""
        if len(self._avoid_until) > MAX_AVOIDED:
            self._avoid_until.clear()
            self._avoid_seconds.clear()
        seconds = self._avoid_seconds.get(voter, AVOID_SECONDS)
        self._avoid_until[voter] = now + seconds
        if doubles:
            longer = min(2.0 * seconds, MAX_AVOID_SECONDS)
            self._avoid_seconds[voter] = longer

    def _next_change(self, now):
        states = self.voter_states(now)
        spares = self.spares(now)
        return voter_choice.next_change(states, spares, self._target_voters)

    def voter_states(self, now):
        """Return what is known of each voter, the longest-serving first."""
        alive = self._neighbours.alive(now)
        return [
            self._state_of(voter, alive, now)
            for voter in self._core.log.voter_set.incoming
        ]

    def _state_of(self, voter, alive, now):
        return voter_choice.VoterState(
            voter,
            self._neighbours.domain_of(voter.name),
            self._is_lost(voter, alive, now),
            self._leadership.is_leaving(voter),
            self._new_folder(voter, alive, now),
            voter == self._core.own_voter,
            self._core.log.voter_set.seniority_of(voter.name),
        )

    def _is_lost(self, voter, alive, now):
        if voter == self._core.own_voter:
            return False
        silence = self._leadership.silent_for(voter, now)
        if voter.name not in alive and silence > GONE_AFTER_SECONDS:
            return True
        return silence > SILENT_AFTER_SECONDS

    def _new_folder(self, voter, alive, now):
        """Return the new data folder of a voter that lost its own, or ''."""
        folder = self._founding.folders.get(voter.name)
        if voter == self._core.own_voter or folder in (None, voter.folder):
            return ""
        if voter.name not in alive:
            return ""
        if self._is_avoided(entries.Voter(voter.name, folder), now):
            # It may have gone after it had lost its folder.
            return ""
        # A keeper that still replies as this voter has not lost its folder.
        silence = self._leadership.silent_for(voter, now)
        return folder if silence > CHECK_INTERVAL_SECONDS else ""

    def _is_avoided(self, voter, now):
        return now < self._avoid_until.get(voter, now)

    def spares(self, now):
        """Return the available keepers that do not vote, sorted by name."""
        names = self._core.voter_names()
        alive = self._neighbours.alive(now)
        voter_set = self._core.log.voter_set
        found = []
        for name, folder in sorted(self._founding.folders.items()):
            voter = entries.Voter(name, folder)
            is_avoided = self._is_avoided(voter, now)
            if name in alive and name not in names and not is_avoided:
                domain = self._neighbours.domain_of(name)
                seniority = voter_set.seniority_of(name)
                found.append(voter_choice.Spare(voter, domain, seniority))
        return found

    def _begin(self, change, now):
        voters = self._core.log.voter_set.incoming
        remaining = [item for item in voters if item != change.remove]
        voters_after = [*remaining, change.add] if change.add else remaining
        if not self._leadership.hears_majority_of(
            voters_after, now, change.add
        ):
            return []
        self._is_urgent = change.is_urgent
        if change.remove and change.remove != self._core.own_voter:
            silence = self._leadership.silent_for(change.remove, now)
            if silence > CHECK_INTERVAL_SECONDS:
                self._avoid(change.remove, False, now)
        if change.add:
            self._join(change, now)
        else:
            self._reconfiguration.change(remaining, now)
        if change.remove == self._core.own_voter:
            # The next leader makes the change, and logs it.
            return []
        fields = {
            "add": change.add.name if change.add else "",
            "remove": change.remove.name if change.remove else "",
            "reason": change.reason,
        }
        return [effects.Log("info", "keepers repaired", fields)]

    def _join(self, change, now):
        joining = reconfiguration_module.Joining(
            change.add, change.remove, now
        )
        if change.reason == voter_choice.SILENT:
            # After a cut, the voter's first reply may come after that of the
            # spare, which was cut off with it.
            joining.settle = REPLY_AFTER_CUT_SECONDS
            joining.is_wanted = lambda later: self._is_lost(
                change.remove, self._neighbours.alive(later), later
            )
        self._reconfiguration.join(joining)

    def _hand_over(self, reason, now):
        successor = self._leadership.transfer.begin(now)
        if successor is None:
            return []
        fields = {"to": successor.name, "reason": reason}
        return [effects.Log("info", "leadership handed over", fields)]
