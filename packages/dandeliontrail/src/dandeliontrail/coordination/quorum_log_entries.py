"""Log entries, and the part of the log that is held in memory.

The body of an entry is one of the tagged structs in ``ALL``.  To add an entry
type, define a struct with a unique tag, add it to ``ALL`` and register an
applier for it (see :mod:`.quorum_log`).
"""

import typing

import msgspec

from .. import invariants
from . import downloads
from . import instance_counts
from . import leases
from . import quorum_log_voter_sets as voter_sets
from ..resources import changes
from ..resources import revisions
from . import server_counts
from . import software_versions
from . import usage_windows

Voter = voter_sets.Voter
VoterSet = voter_sets.VoterSet


class NoOp(msgspec.Struct, tag="no_op"):
    """The first entry of a term; its commit commits all earlier entries."""


class ReadMark(msgspec.Struct, tag="read_mark"):
    """An entry without effect that makes a read linearizable.

    The reader proposes one and waits until it is applied locally.  The state
    then contains every write that was committed before the read began.
    """


class VoterChange(msgspec.Struct, tag="voters"):
    """A change of the voters, as in :class:`.quorum_log_voter_sets.VoterSet`.

    ``outgoing`` is empty in a change that adds or removes one voter, and in
    the second entry of a replacement.
    """

    voters: list[Voter]
    outgoing: list[Voter] = []
    former: list[Voter] = []
    seniority: list[str] = []

    def voter_set(self):
        """Return the voters from this entry on."""
        return voter_sets.VoterSet(
            tuple(self.voters),
            tuple(self.outgoing),
            tuple(self.former),
            tuple(self.seniority),
        )


def voter_change(voter_set):
    """Return the body of the entry from which on ``voter_set`` votes."""
    return VoterChange(
        list(voter_set.incoming),
        list(voter_set.outgoing),
        list(voter_set.former),
        list(voter_set.seniority),
    )


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
    software_versions.VersionChange,
    instance_counts.InstanceCount,
)

Body = typing.Union[ALL]


class LogEntry(msgspec.Struct, tag="entry"):
    """One entry of the log.

    ``proposal_id`` is the idempotency key of the proposal: it matches the
    result to the proposer, and a repeated proposal takes effect once.
    ``size`` is the length of the encoded body in bytes; it is used to limit
    the memory and messages that entries take.
    """

    index: int
    term: int
    proposal_id: str
    body: Body
    size: int = 0


class EntryLog:
    """The entries after index ``base``; a checkpoint covers the rest."""

    __slots__ = ("base", "base_term", "size", "_entries", "_voter_sets")

    def __init__(self, base=0, base_term=0, voter_set=VoterSet()):
        self.reset(base, base_term, voter_set)

    def reset(self, base, base_term, voter_set):
        """Drop all entries and continue from a checkpoint at ``base``."""
        self.base = base
        self.base_term = base_term
        self.size = 0
        self._entries = []
        self._voter_sets = [(base, voter_set)]

    def __len__(self):
        return len(self._entries)

    @property
    def last_index(self):
        """The index of the last entry."""
        return self.base + len(self._entries)

    @property
    def last_term(self):
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def voter_set(self):
        """The latest set of voters, committed or not.

        A change takes effect as soon as it is appended (Ongaro,
        "Consensus: Bridging Theory and Practice", 2014, section 4.1).
        """
        return self._voter_sets[-1][1]

    @property
    def voters(self):
        """All that vote, also those that come in or go out."""
        return self.voter_set.members

    @property
    def voters_index(self):
        """The index of the latest change of voters."""
        return self._voter_sets[-1][0]

    def voter_set_at(self, index):
        """Return the set of voters at ``index``."""
        found = [item for start, item in self._voter_sets if start <= index]
        return found[-1]

    def term_at(self, index):
        """Return the term at ``index``, or ``None`` if not in memory."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self._entries[index - self.base - 1].term
        return None

    def get(self, index):
        """Return the entry at ``index``, which must be in memory."""
        return self._entries[index - self.base - 1]

    def entries_after(self, index, max_entries, max_bytes=None):
        """Return up to ``max_entries`` entries that follow ``index``.

        With ``max_bytes``, their total size is limited too, but the first
        entry is always returned, even if it is larger.
        """
        start = index - self.base
        found = self._entries[start : start + max_entries]
        if max_bytes is None:
            return found
        total = 0
        for position, entry in enumerate(found):
            total += entry.size
            if position and total > max_bytes:
                return found[:position]
        return found

    def bytes_between(self, after, last):
        """Return the size in bytes of entries ``after`` + 1 to ``last``."""
        found = self._entries[max(0, after - self.base) : last - self.base]
        return sum(entry.size for entry in found)

    def append(self, entry):
        """Append the next entry, which must follow the last one."""
        invariants.check(
            entry.index == self.last_index + 1,
            "log-has-no-gaps",
            f"entry {entry.index} appended after {self.last_index}",
        )
        self._entries.append(entry)
        self.size += entry.size
        if isinstance(entry.body, VoterChange):
            self._voter_sets.append((entry.index, entry.body.voter_set()))

    def truncate(self, index):
        """Drop the entries from ``index`` on."""
        start = index - self.base - 1
        self.size -= sum(item.size for item in self._entries[start:])
        del self._entries[start:]
        while self._voter_sets[-1][0] >= index:
            self._voter_sets.pop()

    def compact(self, index):
        """Drop the entries up to ``index``, covered by a checkpoint."""
        if index <= self.base:
            return
        voter_set = self.voter_set_at(index)
        term = self.term_at(index)
        dropped = self._entries[: index - self.base]
        self.size -= sum(item.size for item in dropped)
        del self._entries[: index - self.base]
        later = [item for item in self._voter_sets if item[0] > index]
        self._voter_sets = [(index, voter_set), *later]
        self.base = index
        self.base_term = term
