"""Voters that stand in for a lost one give way first."""

from dandeliontrail.coordination import quorum_log_voter_choice as choice
from dandeliontrail.coordination import quorum_log_voter_sets as voter_sets


def voter(name):
    return voter_sets.Voter(name, f"{name}-0")


def test_stand_in_goes_when_the_lost_voter_is_back():
    # Guards against a predecessor that gets its vote back from its successor.
    voters = [
        choice.VoterState(voter("b"), "fd2", seniority=1),
        choice.VoterState(voter("new"), "fd1", seniority=3),
        choice.VoterState(voter("old"), "fd1", seniority=0),
    ]
    spares = [choice.Spare(voter("c"), "fd3", seniority=2)]
    change = choice.next_change(voters, spares, 3)
    assert change.remove == voter("old")
    assert change.add == voter("c")


def test_successor_that_stands_in_still_takes_its_predecessors_vote():
    # Guards against a successor that counts as one that gave way.
    voters = [
        choice.VoterState(voter("old"), "fd1", seniority=0),
        choice.VoterState(voter("b"), "fd2", seniority=1),
        choice.VoterState(voter("new"), "fd1", seniority=2),
    ]
    spares = [choice.Spare(voter("c"), "fd3")]
    change = choice.next_change(voters, spares, 3)
    assert change.remove == voter("old")
    spares = [choice.Spare(voter("old"), "fd1", seniority=0)]
    voters = [*voters[1:], choice.VoterState(voter("c"), "fd3", seniority=3)]
    assert choice.next_change(voters, spares, 3) is None
