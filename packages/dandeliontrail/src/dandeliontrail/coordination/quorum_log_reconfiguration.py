"""Changes of voters on the leader: a new voter catches up, then joins.

A change that adds or removes one voter is one entry.  A replacement is two:
the first begins a joint set of voters (:mod:`.quorum_log_voter_sets`), the
second ends it as soon as the first is committed.  So the number of voters
does not change in between, and the loss of any one of them is tolerated.
"""

import typing

import msgspec

from .. import invariants
from . import quorum_log_core as core_module
from . import quorum_log_entries as entries

# A joining keeper becomes a voter once it is within this many entries of the
# end of the log.  One batch covers them, in a fraction of a second.
MAX_JOIN_LAG_ENTRIES = 64


class Joining(msgspec.Struct):
    """A keeper that catches up to become a voter.

    It takes the place of ``replaces``, if that is not ``None``.  A leader does
    not replace itself: then ``has_caught_up`` tells that the next leader can.
    ``is_wanted(now)`` tells whether the reason of the change still holds.  It
    is asked ``settle`` seconds after the keeper first replied, at
    ``replied_at``.
    """

    voter: entries.Voter
    replaces: entries.Voter | None
    started_at: float
    has_caught_up: bool = False
    is_wanted: typing.Callable = lambda now: True
    settle: float = 0.0
    replied_at: float | None = None


class Reconfiguration:
    """Appends the changes of voters, one at a time.

    ``append(body, proposal_id, now)`` appends an entry on the leader, and
    ``knows_joint(voter)`` tells whether a voter knows joint sets.
    """

    def __init__(self, core, append, knows_joint):
        self._core = core
        self._append = append
        self._knows_joint = knows_joint
        self.joining = None

    def can_change(self):
        """Return whether a change of voters may be appended now.

        Only one change may be uncommitted at a time, and an entry of the
        current term must be committed first: two concurrent changes could
        have majorities that do not overlap.
        """
        return self._is_settled() and not self._core.log.voter_set.is_joint

    def _is_settled(self):
        core = self._core
        return (
            core.role is core_module.Role.LEADER
            and core.log.voters_index <= core.commit
            and core.log.term_at(core.commit) == core.term
        )

    def change(self, voters, now):
        """Append a change that adds, removes or replaces one voter."""
        present = self._core.log.voter_set
        added = set(voters) - set(present.incoming)
        removed = set(present.incoming) - set(voters)
        invariants.check(
            self.can_change()
            and len(added) <= 1
            and len(removed) <= 1
            and added != removed,
            "one-voter-at-a-time",
            f"change of voters from {present.incoming} to {voters}",
        )
        if added and removed:
            changed = present.begin_change(voters)
        else:
            changed = present.with_voters(voters)
        self._append(entries.voter_change(changed), "", now)

    def finish(self, now):
        """End a joint set of voters that is committed; tell if there was one.

        It may have been begun by an earlier leader.
        """
        voter_set = self._core.log.voter_set
        if not (voter_set.is_joint and self._is_settled()):
            return False
        finished = entries.voter_change(voter_set.finish_change())
        self._append(finished, "", now)
        return True

    def join(self, joining):
        """Have a keeper catch up, which then becomes a voter.

        Before, it would count towards majorities for entries that it does
        not have.
        """
        self.joining = joining

    def joining_voter(self):
        """Return the voter that catches up, or ``None``."""
        return self.joining.voter if self.joining else None

    def promote(self, match_index, now):
        """Make the joining keeper a voter if it has caught up.

        ``match_index`` is the last entry that it has on its disk.
        """
        if self.joining is None or not self.can_change():
            return
        joining = self.joining
        log = self._core.log
        if joining.replied_at is None:
            joining.replied_at = now
        if now - joining.replied_at < joining.settle:
            return
        if joining.voter in log.voters or not joining.is_wanted(now):
            self.joining = None
        elif match_index and (
            match_index + MAX_JOIN_LAG_ENTRIES >= log.last_index
        ):
            if joining.replaces == self._core.own_voter:
                joining.has_caught_up = True
                return
            self.joining = None
            voters = self._next_voters(joining)
            self.change(voters, now)

    def _next_voters(self, joining):
        """Return the voters after the joining one took its place.

        While another voter may take a joint set for a plain one, this takes
        two changes: an old folder of the joining keeper is removed first, any
        other voter later, as one too many.
        """
        voters = self._core.log.voters
        stay = [item for item in voters if item != joining.replaces]
        if all(map(self._knows_joint, (*stay, joining.voter))):
            return [*stay, joining.voter]
        if joining.replaces and joining.replaces.name == joining.voter.name:
            return stay
        return [*voters, joining.voter]
