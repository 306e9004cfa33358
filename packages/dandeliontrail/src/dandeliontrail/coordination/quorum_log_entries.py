"""Entries of the quorum log, and the part of the log held in memory.

An entry's body is one of the tagged structs of ``ALL``.  To add a kind of
entry, define its struct with a tag of its own, add it to ``ALL`` here and
register its applier (see :mod:`.quorum_log`).
"""

import typing

import msgspec

from .. import invariants
from . import downloads
from . import leases
from ..resources import changes
from ..resources import revisions
from . import server_counts
from . import usage_windows


class Voter(msgspec.Struct, frozen=True, order=True):
    """A keeper that votes.

    ``folder`` identifies its data folder.  A keeper that lost its disk
    comes back with another folder, and so as another voter: what the lost
    folder had acknowledged is never taken for granted again.
    """

    name: str
    folder: str


class NoOp(msgspec.Struct, tag="no_op"):
    """First entry of each leader; commits the entries before it."""


class ReadMark(msgspec.Struct, tag="read_mark"):
    """Changes nothing; who has applied it has all that came before.

    A read that must not be stale proposes one and waits for it: the state
    is then at least as new as at any moment before the read began.
    """


class VoterChange(msgspec.Struct, tag="voters"):
    """Replaces the set of voters, by one voter more or one less."""

    voters: list[Voter]


ALL = (
    NoOp,
    ReadMark,
    VoterChange,
    changes.Change,
    revisions.Revision,
    downloads.DownloadEntry,
    leases.LeaseRequest,
    usage_windows.WindowDecision,
    server_counts.CountOrder,
)

Body = typing.Union[ALL]


class LogEntry(msgspec.Struct, tag="entry"):
    """One position of the log.

    ``proposal_id`` names the proposal, so that the instance that made it
    knows the result and a repeated proposal takes effect once.  ``size``
    is the length of the encoded body in bytes, which bounds memory.
    """

    index: int
    term: int
    proposal_id: str
    body: Body
    size: int = 0


class EntryLog:
    """The entries after ``base``; all up to ``base`` is in a checkpoint."""

    __slots__ = ("base", "base_term", "size", "_entries", "_voters")

    def __init__(self, base=0, base_term=0, voters=()):
        self.reset(base, base_term, voters)

    def reset(self, base, base_term, voters):
        """Drop every entry; a checkpoint at ``base`` stands for them."""
        self.base = base
        self.base_term = base_term
        self.size = 0
        self._entries = []
        self._voters = [(base, tuple(voters))]

    def __len__(self):
        return len(self._entries)

    @property
    def last_index(self):
        """Return the position of the last entry."""
        return self.base + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def voters(self):
        """Return the voters of the newest voter change, committed or not.

        A change of voters is obeyed from the moment it is appended
        (Ongaro, "Consensus", 2014, section 4.1).
        """
        return self._voters[-1][1]

    @property
    def voters_index(self):
        """Return the position of the newest voter change."""
        return self._voters[-1][0]

    def voters_at(self, index):
        """Return the voters in force at ``index``."""
        return [held for at, held in self._voters if at <= index][-1]

    def term_at(self, index):
        """Return the term at ``index``, or ``None`` where not held."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self._entries[index - self.base - 1].term
        return None

    def get(self, index):
        """Return the entry at ``index``, which must be held."""
        return self._entries[index - self.base - 1]

    def after(self, index, most, most_bytes=None):
        """Return up to ``most`` entries that follow ``index``.

        They come to ``most_bytes`` or less, but for a single larger one.
        """
        start = index - self.base
        found = self._entries[start : start + most]
        if most_bytes is None:
            return found
        total = 0
        for place, entry in enumerate(found):
            total += entry.size
            if place and total > most_bytes:
                return found[:place]
        return found

    def size_of(self, after, last):
        """Return the bytes of the entries from ``after`` + 1 to ``last``."""
        held = self._entries[max(0, after - self.base) : last - self.base]
        return sum(entry.size for entry in held)

    def append(self, entry):
        """Add the next entry."""
        invariants.check(
            entry.index == self.last_index + 1,
            "log-has-no-gaps",
            f"{entry.index} after {self.last_index}",
        )
        self._entries.append(entry)
        self.size += entry.size
        if isinstance(entry.body, VoterChange):
            self._voters.append((entry.index, tuple(entry.body.voters)))

    def truncate(self, index):
        """Drop the entries from ``index`` on."""
        start = index - self.base - 1
        self.size -= sum(item.size for item in self._entries[start:])
        del self._entries[start:]
        while self._voters[-1][0] >= index:
            self._voters.pop()

    def compact(self, index):
        """Drop the entries up to ``index``, which a checkpoint covers."""
        if index <= self.base:
            return
        voters = self.voters_at(index)
        term = self.term_at(index)
        dropped = self._entries[: index - self.base]
        self.size -= sum(item.size for item in dropped)
        del self._entries[: index - self.base]
        later = [item for item in self._voters if item[0] > index]
        self._voters = [(index, voters), *later]
        self.base = index
        self.base_term = term


def majority(voters):
    """Return how many of ``voters`` make a majority."""
    return len(voters) // 2 + 1
