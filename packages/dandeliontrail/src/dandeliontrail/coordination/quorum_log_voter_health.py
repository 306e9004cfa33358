"""Which voters answer, and how many losses of voters writes survive.

Only the leader hears from all voters.  Any other replica knows who the voters
are and where, and whether there is a leader.
"""

from . import quorum_log_core as core_module
from . import quorum_log_status as status_module
from . import quorum_log_voter_sets as voter_sets

# Five heartbeats, and the shortest time after which a follower that hears
# nothing starts an election.
ANSWERS_WITHIN_SECONDS = 1.0
# An age that is not known.
UNKNOWN_SECONDS = -1.0
# The result of :func:`losses_survived` without a majority.
NO_MAJORITY = -1


def losses_survived(voter_set, answers):
    """Return how many further losses of voters leave a quorum.

    ``answers(voter)`` tells whether a voter answers.  The result is 0 if one
    more loss could stop writes, and ``NO_MAJORITY`` if they have stopped.

    >>> a, b, c = (voter_sets.Voter(name, "folder") for name in "abc")
    >>> losses_survived(voter_sets.VoterSet((a, b, c)), lambda voter: True)
    1
    >>> losses_survived(voter_sets.VoterSet((a, b, c)), lambda v: v != c)
    0
    """
    groups = [
        item for item in (voter_set.incoming, voter_set.outgoing) if item
    ]
    if not groups:
        return NO_MAJORITY
    beyond = [
        sum(1 for item in voters if answers(item))
        - voter_sets.majority(voters)
        for voters in groups
    ]
    return max(NO_MAJORITY, min(beyond))


class VoterHealth:
    """Answers questions about the voters and spares, at one replica."""

    def __init__(self, core, leadership, repair, addresses, neighbours):
        self._core = core
        self._leadership = leadership
        self._repair = repair
        self._addresses = addresses
        self._neighbours = neighbours

    def answers(self, voter, now):
        """Return whether a voter has answered this leader recently.

        One that was not heard yet since the election counts as answering for
        ``ANSWERS_WITHIN_SECONDS``.
        """
        if voter == self._core.own_voter:
            return True
        silence = self._leadership.silent_for(voter, now)
        return silence <= ANSWERS_WITHIN_SECONDS

    def answering(self, now):
        """Return the voters that answer this leader."""
        voters = self._core.log.voters
        return [item for item in voters if self.answers(item, now)]

    def losses_survived(self, now):
        """Return how many further losses writes survive, on the leader."""
        return losses_survived(
            self._core.log.voter_set, lambda voter: self.answers(voter, now)
        )

    def voters(self, now):
        """Return the :class:`.quorum_log_status.VoterStatus` of all voters."""
        return [
            self._voter(item, now) for item in sorted(self._core.log.voters)
        ]

    def is_settled(self):
        """Return whether no change of voters is in progress."""
        log = self._core.log
        is_committed = log.voters_index <= self._core.commit
        return is_committed and not log.voter_set.is_joint

    def _voter(self, voter, now):
        answered_ago = UNKNOWN_SECONDS
        if self._core.role is core_module.Role.LEADER:
            answered_ago = self._leadership.heard_ago(voter, now)
        return status_module.VoterStatus(
            voter.name,
            voter.folder,
            self._neighbours.domain_of(voter.name),
            self._address_of(voter.name),
            self._state_of(voter),
            round(answered_ago, 3),
        )

    def _state_of(self, voter):
        voter_set = self._core.log.voter_set
        if not voter_set.is_joint:
            return status_module.VoterState.VOTES
        if voter not in voter_set.outgoing:
            return status_module.VoterState.COMES_IN
        if voter not in voter_set.incoming:
            return status_module.VoterState.GOES_OUT
        return status_module.VoterState.VOTES

    def _address_of(self, name):
        if name == self._core.name:
            return self._neighbours.own_address()
        return self._addresses.address_of(name)

    def spares(self, now):
        """Return the :class:`.quorum_log_status.SpareStatus` of all spares."""
        return [
            status_module.SpareStatus(
                item.voter.name,
                item.voter.folder,
                item.domain,
                self._address_of(item.voter.name),
            )
            for item in self._repair.spares(now)
        ]
