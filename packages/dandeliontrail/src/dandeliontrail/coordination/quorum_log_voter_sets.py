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
# Above the seniority of every keeper that has voted.
NEVER_VOTED = 1 << 32


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
    voters whose places others have taken, the latest last.  One of them may
    vote again.  ``seniority`` are the names of all these keepers in the order
    of their first votes: a keeper succeeds none that first voted after it.

    >>> a, b, c = (Voter(name, f"folder-{name}") for name in "abc")
    >>> lent = VoterSet((a, b)).with_voters((b, c)).with_voters((b, a))
    >>> lent.seniority_of("a") < lent.seniority_of("c") < NEVER_VOTED
    True
    """

    incoming: tuple[Voter, ...] = ()
    outgoing: tuple[Voter, ...] = ()
    former: tuple[Voter, ...] = ()
    seniority: tuple[str, ...] = ()

    @property
    def members(self):
        """All that vote, incoming and outgoing."""
        if not self.outgoing:
            return self.incoming
        leaving = (item for item in self.outgoing if item not in self.incoming)
        return (*self.incoming, *leaving)

    @property
    def former_names(self):
        """The names of former voters."""
        return frozenset(item.name for item in self.former)

    def seniority_of(self, name):
        """Return a keeper's place among the first votes, or NEVER_VOTED.

        One that has lost its disk since has another folder, but is no newer.
        """
        order = self._names_by_seniority()
        return order.index(name) if name in order else NEVER_VOTED

    def _names_by_seniority(self):
        """Return the names of all known voters, the first to vote first.

        A release that kept no seniority knew who had given way before.
        """
        others = (item.name for item in (*self.former, *self.members))
        return tuple(dict.fromkeys((*self.seniority, *others)))

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

    def begin_change(self, voters):
        """Return the joint set in which ``voters`` come in."""
        return VoterSet(
            tuple(voters),
            self.incoming,
            self._former_after(voters),
            self._seniority_after(voters),
        )

    def finish_change(self):
        """Return the set after the outgoing voters have gone."""
        return VoterSet(self.incoming, (), self.former, self.seniority)

    def with_voters(self, voters):
        """Return the set of ``voters``, which remembers who has gone."""
        return VoterSet(
            tuple(voters),
            (),
            self._former_after(voters),
            self._seniority_after(voters),
        )

    def _former_after(self, voters):
        gone = [item for item in self.incoming if item not in voters]
        former = [item for item in self.former if item not in gone]
        return (*former, *gone)[-MAX_FORMER_VOTERS:]

    def _seniority_after(self, voters):
        """Return the seniority once ``voters`` have voted.

        The oldest that don't vote are forgotten first.
        """
        voting = {item.name for item in (*self.members, *voters)}
        known = self._names_by_seniority()
        names = dict.fromkeys((*known, *(item.name for item in voters)))
        most = MAX_FORMER_VOTERS + len(voting)
        for name in list(names):
            if len(names) > most and name not in voting:
                del names[name]
        return tuple(names)


def majority(voters):
    """Return the size of the smallest majority of ``voters``."""
    return len(voters) // 2 + 1
