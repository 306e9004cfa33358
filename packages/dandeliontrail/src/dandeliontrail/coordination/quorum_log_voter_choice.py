"""Who should vote: the next change of voters, chosen from what is known.

The choice is a pure function, so that each situation can be tested by itself.
It answers losses of keepers, whether announced or not.  In order:

* a voter that lost its data folder is replaced by itself with its new one;
* a voter that shuts down or is silent is replaced if there is a spare;
* a voter too many is removed, and one too few is added;
* a failure domain with two voters more than another one, which has a spare,
  gives one up;
* a spare that is newer than a voter of its failure domain takes the place of
  the oldest voter there.  It is probably the successor of a keeper that is
  about to go, which then may go at any moment;
* a voter beside a newer keeper in its failure domain, which may be its
  successor although it took another one's vote, gives its own to a spare of
  another failure domain where no keeper is as new.

Which keeper is newer is told by the order of their first votes.  That doesn't
change when a voter is lost for a while and another keeper votes in its place,
so the vote comes back to its owner and not to the keeper that it succeeds.

A voter that is lost stays one if there is no spare, since removing it would
not make the log any safer.
"""

import collections

import msgspec

from . import quorum_log_voter_sets as voter_sets

SILENT = "silent"
# Below the rank of every keeper.
NO_SUCCESSOR = -1


class VoterState(msgspec.Struct, frozen=True):
    """What the leader knows of one voter.

    ``new_folder`` is the data folder that it has now if it lost the one under
    which it votes, else empty.
    """

    voter: voter_sets.Voter
    domain: str
    is_lost: bool = False
    is_leaving: bool = False
    new_folder: str = ""
    is_leader: bool = False
    seniority: int = voter_sets.NEVER_VOTED


class Spare(msgspec.Struct, frozen=True):
    """A keeper that is alive and does not vote."""

    voter: voter_sets.Voter
    domain: str
    seniority: int = voter_sets.NEVER_VOTED


class Change(msgspec.Struct, frozen=True):
    """A change of voters; ``remove`` or ``add`` may be ``None``.

    One that is urgent answers a loss, and goes before one that is not.
    """

    remove: voter_sets.Voter | None
    add: voter_sets.Voter | None
    reason: str
    is_urgent: bool = False


def next_change(voters, spares, target):
    """Return the next :class:`Change`, or ``None`` if all is well.

    ``voters`` are the :class:`VoterState` of all voters, ``spares`` the
    available :class:`Spare`, and ``target`` is the number of voters to
    maintain.
    """
    return (
        _replace_folder(voters)
        or _replace_leaver(voters, spares)
        or _replace_lost(voters, spares)
        or _correct_number(voters, spares, target)
        or _spread(voters, spares)
        or _let_successor_vote(voters, spares)
        or _relieve_predecessor(voters, spares)
    )


def _replace_folder(voters):
    for item in voters:
        if item.new_folder:
            renewed = voter_sets.Voter(item.voter.name, item.new_folder)
            reason = "lost its data folder"
            return Change(item.voter, renewed, reason, True)
    return None


def _replace_leaver(voters, spares):
    leavers = [item for item in voters if item.is_leaving]
    return _replace(leavers, voters, spares, "shuts down")


def _replace_lost(voters, spares):
    lost = [item for item in voters if item.is_lost]
    return _replace(lost, voters, spares, SILENT)


def _replace(candidates, voters, spares, reason):
    if not candidates or not spares:
        return None
    old = candidates[0]
    others = [item for item in voters if item is not old]
    new = _best_spare(others, spares, old.domain)
    return Change(old.voter, new.voter, reason, True)


def _best_spare(voters, spares, domain=""):
    """Return the spare whose failure domain has the fewest voters.

    Of several, one in ``domain`` is preferred, then the newest.
    """
    counts = _voters_by_domain(voters)
    return min(
        spares,
        key=lambda item: (
            counts[item.domain],
            item.domain != domain,
            -item.seniority,
            item.voter,
        ),
    )


def _correct_number(voters, spares, target):
    if len(voters) > target:
        return Change(_surplus_voter(voters).voter, None, "surplus")
    if len(voters) < target and spares:
        new = _best_spare(voters, spares)
        return Change(None, new.voter, "too few voters")
    return None


def _surplus_voter(voters):
    counts = _voters_by_domain(voters)
    return max(
        voters,
        key=lambda item: (
            item.is_lost,
            item.is_leaving,
            not item.is_leader,
            counts[item.domain],
            -item.seniority,
        ),
    )


def _spread(voters, spares):
    counts = _voters_by_domain(voters)
    if not voters or not spares:
        return None
    new = _best_spare(voters, spares)
    # The oldest may only stand in for another domain's voter.
    old = max(voters, key=lambda item: (counts[item.domain], -item.seniority))
    if counts[old.domain] < counts[new.domain] + 2:
        return None
    return Change(old.voter, new.voter, "uneven over failure domains")


def _let_successor_vote(voters, spares):
    newcomers = _newcomers_by_domain(spares)
    for new in sorted(spares, key=lambda item: (-item.seniority, item.voter)):
        if _is_newcomer(new) and newcomers[new.domain] > 1:
            # Several stand by there; which one is a successor is unknown.
            continue
        older = [
            item
            for item in voters
            if item.domain == new.domain and item.seniority < new.seniority
        ]
        if older:
            old = min(older, key=lambda item: item.seniority)
            return Change(old.voter, new.voter, "has a successor")
    return None


def _relieve_predecessor(voters, spares):
    """Move a vote from a keeper that a newer one may succeed.

    Which keeper a successor replaces is not known.  Where two vote in its
    failure domain it takes the vote of one, and the other one may be the one
    that goes.  Each such change goes to a keeper beside an older newcomer, and
    no change alters who is the newest, so that the voters come to rest.
    """
    ages = _Ages(voters, spares)
    counts = _voters_by_domain(voters)
    by_need = sorted(
        voters, key=lambda item: (-ages.successor_rank(item), item.seniority)
    )
    for old in by_need:
        fitting = [
            item
            for item in spares
            if counts[item.domain] < counts[old.domain]
            and ages.successor_rank(item) < ages.successor_rank(old)
        ]
        if fitting:
            new = _best_spare(voters, fitting)
            return Change(old.voter, new.voter, "may have a successor")
    return None


class _Ages:
    """Which keepers came after others of their failure domains."""

    def __init__(self, voters, spares):
        self._newcomers = _newcomers_by_domain(spares)
        self._newest = collections.defaultdict(lambda: NO_SUCCESSOR)
        for item in (*voters, *spares):
            newest = max(self._newest[item.domain], item.seniority)
            self._newest[item.domain] = newest

    def successor_rank(self, keeper):
        """Return the seniority of the newest that may succeed ``keeper``.

        ``NO_SUCCESSOR`` if it is the newest one in its failure domain itself.
        """
        newest = self._newest[keeper.domain]
        if keeper.seniority == newest and self._newcomers[keeper.domain] <= 1:
            return NO_SUCCESSOR
        return newest


def _is_newcomer(keeper):
    return keeper.seniority == voter_sets.NEVER_VOTED


def _newcomers_by_domain(spares):
    return collections.Counter(
        item.domain for item in spares if _is_newcomer(item)
    )


def _voters_by_domain(voters):
    return collections.Counter(item.domain for item in voters)
