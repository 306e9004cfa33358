"""How the leader keeps as many voters as the deployment asks for.

Instances with a disk come and go for good: a machine is replaced by an
empty one at another address, or comes back without its disk.  Until the
voters are as many as wanted again, the next loss may be one too many.  So
the leader does by itself what an operator would do by hand, one voter at a
time:

* a voter that shows itself with another data folder has lost its own: it is
  removed and added again as the new voter that it is;
* with a spare keeper at hand, a voter that has been silent for a while is
  replaced: first the spare becomes a voter, then the silent one goes;
* with fewer voters than wanted, a spare is added.

A voter that is silent while no spare is there stays: removing it would make
nothing safer.
"""

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_entries as entries

# One look at the voters in so many seconds.
INTERVAL = 0.25
# Longer than an election with its restart, shorter than the time after
# which a replacement is expected to count (a few seconds).
SILENT_AFTER = 2.0
# A joining keeper that answers nothing for so long is given up: it may be a
# folder that is gone.
JOIN_PATIENCE = 2.0


class Joining(msgspec.Struct):
    """A keeper on its way to become a voter."""

    voter: entries.Voter
    since: float


class VoterRepair:
    """Decides on the leader which change of voters is due."""

    def __init__(self, core, leadership, founding, neighbours, wanted):
        self._core = core
        self._leadership = leadership
        self._founding = founding
        self._neighbours = neighbours
        self._wanted = wanted
        self._next = float("-inf")
        self._joining = None

    def tick(self, now):
        """Start the next change where one is due; return what to log."""
        if not self._wanted or now < self._next:
            return None
        self._next = now + INTERVAL
        if self._core.role is not core_module.Role.LEADER:
            self._joining = None
            return None
        if not self._leadership.can_change_voters():
            return None
        if self._still_joining(now):
            return None
        return self._repair(now)

    def _still_joining(self, now):
        held = self._joining
        if held is None or self._leadership.joining != held.voter:
            self._joining = None
            return False
        if now - held.since < JOIN_PATIENCE:
            return True
        self._leadership.joining = None
        self._founding.folders.pop(held.voter.name, None)
        self._joining = None
        return False

    def _repair(self, now):
        voters = self._core.log.voters
        for voter in voters:
            if self._lost_its_folder(voter, now):
                return self._remove(voter, "lost its data folder", now)
        silent = [
            voter
            for voter in voters
            if voter != self._core.me
            and self._leadership.silent_for(voter, now) > SILENT_AFTER
        ]
        if len(voters) > self._wanted:
            # One that was replaced and came back makes the voters too many:
            # a majority of four is lost with two, as that of three, and four
            # can be cut in halves of which neither is a majority.
            others = [voter for voter in voters if voter != self._core.me]
            surplus = (silent or others)[-1]
            return self._remove(surplus, "surplus", now)
        spares = self._spares(now)
        if spares and (silent or len(voters) < self._wanted):
            return self._add(spares[0], now)
        return None

    def _lost_its_folder(self, voter, now):
        shown = self._founding.folders.get(voter.name)
        if voter == self._core.me or shown in (None, voter.folder):
            return False
        if voter.name not in self._neighbours.alive(now):
            return False
        # A keeper that still answers as this voter has not lost it.
        return self._leadership.silent_for(voter, now) > INTERVAL

    def _spares(self, now):
        """Return the keepers that could become voters, by name."""
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
        left = [item for item in self._core.log.voters if item != voter]
        if not self._leadership.hears_majority_of(left, now):
            return None
        self._leadership.change_voters(left, now)
        return {"keeper": voter.name, "change": "removed", "reason": reason}
