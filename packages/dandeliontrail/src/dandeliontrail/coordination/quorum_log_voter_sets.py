"""The voters of the log, and what counts as a quorum of them.

Voters are replaced by joint consensus (Ongaro and Ousterhout, "In Search of
an Understandable Consensus Algorithm", 2014, section 6).  While a change is
in progress, a quorum is a majority of the incoming voters *and* one of the
outgoing voters.  Any two quorums before, during and after the change have a
voter in common, so no two leaders are elected and no committed entry is lost.

>>> a, b, c, d = (Voter(name, f"folder-{name}") for name in "abcd")
>>> joint = VoterSet((b, c, d), outgoing=(a, b, c))
>>> joint.has_quorum(lambda voter: voter in (b, c))
True
>>> joint.has_quorum(lambda voter: voter in (a, b))
False
"""

import msgspec

# Former voters that are remembered; a deployment replaces a few a day.
MAX_FORMER_VOTERS = 32


class Voter(msgspec.Struct, frozen=True, order=True):
    """A voting member of the log: a keeper with a certain data folder.

    ``folder`` is the identity of the data folder.  A keeper that lost its
    disk comes back with a new folder and therefore as a different voter, so
    acknowledgements of the lost folder do not count for the new one.
    """

    name: str
    folder: str


class VoterSet(msgspec.Struct, frozen=True):
    """The voters from one log entry on.

    ``outgoing`` is empty unless a change is in progress.  ``former`` are
    voters that gave way to another one, the latest last: they do not take
    their places back.  One that stands in for a lost voter may vote again.
    """

    incoming: tuple[Voter, ...] = ()
    outgoing: tuple[Voter, ...] = ()
    former: tuple[Voter, ...] = ()

    @property
    def members(self):
        """All that vote, incoming and outgoing."""
        if not self.outgoing:
            return self.incoming
        leaving = (item for item in self.outgoing if item not in self.incoming)
        return (*self.incoming, *leaving)

    @property
    def former_names(self):
        """The names of former voters.

        One that has lost its disk since has another folder, but is no newer.
        """
        return frozenset(item.name for item in self.former)

    @property
    def is_joint(self):
        """Whether a change is in progress."""
        return bool(self.outgoing)

    def has_quorum(self, predicate):
        """Return whether ``predicate`` holds for a quorum."""
        return all(
            sum(1 for item in voters if predicate(item)) >= majority(voters)
            for voters in self._majorities()
        )

    def quorum_index(self, index_of):
        """Return the highest index that a quorum has reached.

        ``index_of(voter)`` is the index that one voter has reached.
        """
        reached = []
        for voters in self._majorities():
            indexes = sorted(map(index_of, voters), reverse=True)
            reached.append(indexes[majority(voters) - 1])
        return min(reached)

    def _majorities(self):
        """Return the groups of voters that each need a majority."""
        groups = (self.incoming, self.outgoing)
        return [item for item in groups if item] or [()]

    def begin_change(self, voters, gives_way=True):
        """Return the joint set in which ``voters`` come in.

        Unless ``gives_way`` is false, the voter that goes out is a former one
        from then on.
        """
        former = self._former_after(voters) if gives_way else self.former
        return VoterSet(tuple(voters), self.incoming, former)

    def finish_change(self):
        """Return the set after the outgoing voters have gone."""
        return VoterSet(self.incoming, (), self.former)

    def with_voters(self, voters):
        """Return the set of ``voters``, which remembers who has gone."""
        return VoterSet(tuple(voters), (), self._former_after(voters))

    def _former_after(self, voters):
        gone = [item for item in self.incoming if item not in voters]
        former = [item for item in self.former if item not in gone]
        return (*former, *gone)[-MAX_FORMER_VOTERS:]


def majority(voters):
    """Return the size of the smallest majority of ``voters``."""
    return len(voters) // 2 + 1
