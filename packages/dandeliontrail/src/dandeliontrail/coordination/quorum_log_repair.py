"""Automatic replacement of voters by the leader.

Instances with a disk may be lost permanently: an instance is replaced by an
empty one at another address, or comes back without its disk.  Until the
number of voters is restored, the next failure may cost the quorum.  So the
leader performs automatically what an operator would do, one voter at a time:

* a voter that announces another data folder has lost its own: it is removed
  and added again as a new voter;
* if a spare keeper is available, a voter that has been silent for a while is
  replaced: first the spare is added, then the silent voter is removed;
* if there are fewer voters than the target, a spare is added.

A silent voter stays if there is no spare, since removing it would not make
the log any safer.
"""

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_entries as entries

# How often the voters are checked.
CHECK_INTERVAL_SECONDS = 0.25
# Longer than a restart and an election, shorter than the few seconds within
# which a replacement is expected to vote.
SILENT_AFTER_SECONDS = 2.0
# A keeper that has not joined after this long is given up: its data folder
# may no longer exist.
JOIN_TIMEOUT_SECONDS = 2.0


class Joining(msgspec.Struct):
    """A keeper that is being added as a voter."""

    voter: entries.Voter
    started_at: float


class VoterRepair:
    """Chooses the next configuration change on the leader."""

    def __init__(self, core, leadership, founding, neighbours, target_voters):
        self._core = core
        self._leadership = leadership
        self._founding = founding
        self._neighbours = neighbours
        self._target_voters = target_voters
        self._next_check_at = float("-inf")
        self._joining = None

    def tick(self, now):
        """Start the next configuration change if one is due.

        Returns the fields to log, or ``None`` if nothing was changed.
        """
        if not self._target_voters or now < self._next_check_at:
            return None
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        if self._core.role is not core_module.Role.LEADER:
            self._joining = None
            return None
        if not self._leadership.can_change_voters():
            return None
        if self._still_joining(now):
            return None
        return self._next_change(now)

    def _still_joining(self, now):
        joining = self._joining
        if joining is None or self._leadership.joining != joining.voter:
            self._joining = None
            return False
        if now - joining.started_at < JOIN_TIMEOUT_SECONDS:
            return True
        self._leadership.joining = None
        self._founding.folders.pop(joining.voter.name, None)
        self._joining = None
        return False

    def _next_change(self, now):
        voters = self._core.log.voters
        for voter in voters:
            if self._has_new_folder(voter, now):
                return self._remove(voter, "lost its data folder", now)
        silent = [
            voter
            for voter in voters
            if voter != self._core.own_voter
            and self._leadership.silent_for(voter, now) > SILENT_AFTER_SECONDS
        ]
        if len(voters) > self._target_voters:
            # A replaced voter that comes back makes one voter too many.  Four
            # voters tolerate no more failures than three, and a partition
            # can split them into halves without a majority.
            others = [
                voter for voter in voters if voter != self._core.own_voter
            ]
            surplus = (silent or others)[-1]
            return self._remove(surplus, "surplus", now)
        spares = self._spares(now)
        if spares and (silent or len(voters) < self._target_voters):
            return self._add(spares[0], now)
        return None

    def _has_new_folder(self, voter, now):
        folder = self._founding.folders.get(voter.name)
        if voter == self._core.own_voter or folder in (None, voter.folder):
            return False
        if voter.name not in self._neighbours.alive(now):
            return False
        # A keeper that still replies as this voter has not lost its folder.
        return self._leadership.silent_for(voter, now) > CHECK_INTERVAL_SECONDS

    def _spares(self, now):
        """Return the available keepers that do not vote, sorted by name."""
        names = self._core.voter_names()
        alive = self._neighbours.alive(now)
        return [
            entries.Voter(name, folder)
            for name, folder in sorted(self._founding.folders.items())
            if name in alive and name not in names
        ]

    def _add(self, voter, now):
        self._leadership.joining = voter
        self._joining = Joining(voter, now)
        return {"keeper": voter.name, "change": "joins"}

    def _remove(self, voter, reason, now):
        remaining = [item for item in self._core.log.voters if item != voter]
        if not self._leadership.hears_majority_of(remaining, now):
            return None
        self._leadership.change_voters(remaining, now)
        return {"keeper": voter.name, "change": "removed", "reason": reason}
