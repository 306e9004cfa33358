"""Log lines about the voters: who they are, and what an election lacks.

They tell an operator why no change is accepted.  Their number is bounded: one
for each change of voters, and one every few seconds of an election that finds
no majority.
"""

from .. import effects
from . import quorum_log_core as core_module
from . import quorum_log_entries as entries

# An ordinary election is over by then.
LACKS_VOTES_AFTER_SECONDS = 1.0
LACKS_VOTES_INTERVAL_SECONDS = 5.0
# Enough of a folder's identity to tell two of them apart.
FOLDER_CHARACTERS = 8
CAMPAIGNS = (core_module.Role.PRE_CANDIDATE, core_module.Role.CANDIDATE)


class Report:
    """Logs what one replica believes about the voters."""

    def __init__(self, core, election):
        self._core = core
        self._election = election
        self._logged_voters = entries.VoterSet()
        # Changes of voters seen since the start of this process.
        self.voter_changes = 0
        self._campaigns_since = None
        self._next_lacks_votes_at = 0.0

    def tick(self, now):
        """Return the log lines that are due."""
        return self._voters() + self._lacks_votes(now)

    def _voters(self):
        log = self._core.log
        if log.voter_set == self._logged_voters:
            return []
        self._count_change(log.voter_set)
        self._logged_voters = log.voter_set
        fields = {
            "voters": [label(item) for item in log.voter_set.incoming],
            "outgoing": [label(item) for item in log.voter_set.outgoing],
            "index": log.voters_index,
            "committed": log.voters_index <= self._core.commit,
            "own": self._own_label(),
            "important": True,
        }
        return [effects.Log("info", "voters of the log", fields)]

    def _own_label(self):
        """Return this keeper as a voter, '' for an instance without a disk."""
        core = self._core
        return label(core.own_voter) if core.has_disk else ""

    def _count_change(self, voter_set):
        """Count a change once, also if it takes a joint set of voters."""
        before = self._logged_voters.incoming
        if before and set(before) != set(voter_set.incoming):
            self.voter_changes += 1

    def _lacks_votes(self, now):
        if self._core.role not in CAMPAIGNS:
            self._campaigns_since = None
            return []
        if self._campaigns_since is None:
            self._campaigns_since = now
            self._next_lacks_votes_at = now + LACKS_VOTES_AFTER_SECONDS
        if now < self._next_lacks_votes_at:
            return []
        self._next_lacks_votes_at = now + LACKS_VOTES_INTERVAL_SECONDS
        votes = self._election.votes
        voters = self._core.log.voters
        fields = {
            "term": self._core.term,
            "votes": [label(item) for item in voters if item in votes],
            "missing": [label(item) for item in voters if item not in votes],
            "for_seconds": round(now - self._campaigns_since, 3),
        }
        return [effects.Log("warning", "election lacks votes", fields)]


def label(voter):
    """Return the name of a voter with the start of its folder's identity."""
    return f"{voter.name}/{voter.folder[:FOLDER_CHARACTERS]}"
