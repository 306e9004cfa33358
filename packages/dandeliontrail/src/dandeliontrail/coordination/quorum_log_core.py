"""The state that the parts of one replica share.

A replica has no I/O.  It answers each message and each tick by filling
``out`` with :class:`Send`, :class:`Write` and :class:`Rewrite`, and learns
through :meth:`Core.synced` that a write is on the disk.  Whatever promises
something that the disk must remember (a vote, an acknowledgement) is held
back until then.
"""

import collections
import enum
import typing

import msgspec

from .. import invariants
from . import quorum_log_entries as entries
from . import quorum_log_machine as machine_module
from . import quorum_log_records as records

# A checkpoint follows so many entries or bytes of entries, which bounds
# both the log file and the replay at a restart.
CHECKPOINT_ENTRIES = 2048
CHECKPOINT_BYTES = 4 * 1024 * 1024
# Entries that stay in memory behind a checkpoint, for those who fetch.
TAIL_ENTRIES = 512
TAIL_BYTES = 2 * 1024 * 1024


class Role(enum.Enum):
    """What a replica is at present."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Send(msgspec.Struct):
    """Send ``message`` to the instance called ``to``."""

    to: str
    message: typing.Any


class Write(msgspec.Struct):
    """Append ``records`` to the disk and sync; then report ``ticket``."""

    ticket: int
    records: list


class Rewrite(msgspec.Struct):
    """Put ``checkpoint`` and ``records`` in place of all; then report."""

    ticket: int
    checkpoint: bytes
    records: list


class Applied(msgspec.Struct):
    """An entry took effect here, with ``outcome``."""

    entry: entries.LogEntry
    outcome: machine_module.Outcome


class Core:
    """Log, term, vote and disk of one replica.

    ``disk`` tells whether writes go to a disk; without one they count as
    synced at once, which suits learners and a lone replica in memory.
    """

    def __init__(self, name, folder, rng, machine):
        self.name = name
        self.folder = folder
        self.disk = bool(folder)
        self.rng = rng
        self.machine = machine
        self.log = entries.EntryLog()
        self.log_id = ""
        self.founders = []
        self.term = 0
        self.voted_for = ""
        self.role = Role.LEARNER
        self.leader = ""
        self.leader_heard = float("-inf")
        self.commit = 0
        self.halted = False
        # Up to where the own log is on the disk.
        self.durable = 0
        self.checkpoint_index = 0
        self.out = collections.deque()
        self._unwritten = []
        self._ticket = 0
        self._synced = 0
        self._held = collections.deque()
        self._writing = collections.deque()
        self._leaders = {}

    # -- identity and role ------------------------------------------------

    @property
    def me(self):
        """Return this replica as a voter."""
        return entries.Voter(self.name, self.folder)

    def is_voter(self):
        """Tell whether this replica may vote at present."""
        return not self.halted and self.me in self.log.voters

    def other_voters(self):
        """Return the voters beside this one."""
        return [item for item in self.log.voters if item != self.me]

    def voter_names(self):
        """Return the names of the keepers that vote, as the log has them."""
        return {item.name for item in self.log.voters}

    def rest(self):
        """Return to the role of one that neither leads nor stands."""
        voter = self.is_voter()
        self.role = Role.FOLLOWER if voter else Role.LEARNER

    def enter_term(self, term, voted_for=""):
        """Move to a later term, or cast the one vote of this one."""
        invariants.check(
            term > self.term or (term == self.term and not self.voted_for),
            "one-vote-a-term",
            f"{self.name} in term {term}",
        )
        self.term = term
        self.voted_for = voted_for
        self._unwritten.append(records.TermRecord(term, voted_for))

    def step_down(self, term):
        """Take note of a later term."""
        if term > self.term:
            self.enter_term(term)
            self.leader = ""
        self.rest()

    def follow(self, leader, now):
        """Take note that ``leader`` leads the present term."""
        held = self._leaders.setdefault(self.term, leader)
        invariants.check(
            held == leader,
            "one-leader-a-term",
            f"{held} and {leader} in term {self.term}",
        )
        if len(self._leaders) > 16:
            del self._leaders[min(self._leaders)]
        self.leader = leader
        self.leader_heard = now

    # -- sending and the disk ---------------------------------------------

    def send(self, to, message):
        """Send at once."""
        self.out.append(Send(to, message))

    def send_synced(self, to, message):
        """Send once all that was written so far is on the disk."""
        self._held.append((self._needed(), Send(to, message)))

    def when_synced(self, call):
        """Call ``call()`` once all written so far is on the disk."""
        self._held.append((self._needed(), call))

    def _needed(self):
        return self._ticket + (1 if self._unwritten else 0)

    def flush(self):
        """Hand what is unwritten to the disk; ends each event."""
        if self._unwritten:
            data = [records.encode(item) for item in self._unwritten]
            self._unwritten = []
            self._ticket += 1
            self._hand(Write(self._ticket, data))
        self._release()

    def _hand(self, write):
        self._writing.append([write.ticket, self.log.last_index])
        if self.disk and not self.halted:
            self.out.append(write)
        elif not self.disk:
            self.synced(write.ticket)

    def synced(self, ticket):
        """Take note that the write ``ticket`` and all before are synced."""
        self._synced = max(self._synced, ticket)
        while self._writing and self._writing[0][0] <= ticket:
            self.durable = self._writing.popleft()[1]
        self._release()

    def _release(self):
        while self._held and self._held[0][0] <= self._synced:
            _, item = self._held.popleft()
            if isinstance(item, Send):
                self.out.append(item)
            else:
                item()

    def halt(self):
        """Stop being a keeper after the disk failed.

        What a failed sync left on the disk is unknown, and a second sync
        may report success without having written it (Rebello et al.,
        "Can Applications Recover from fsync Failures?", 2020).  So nothing
        that was waiting for it is ever sent.
        """
        self.halted = True
        self._held.clear()
        self._writing.clear()
        self._unwritten = []
        self.leader = ""
        self.rest()

    # -- the log ----------------------------------------------------------

    def append(self, entry):
        """Add an entry, in place of whatever stood there uncommitted."""
        log = self.log
        if entry.index <= log.last_index:
            invariants.check(
                entry.index > self.commit,
                "committed-never-lost",
                f"{self.name} would cut {entry.index}, {self.commit} done",
            )
            log.truncate(entry.index)
            self.durable = min(self.durable, entry.index - 1)
            for writing in self._writing:
                writing[1] = min(writing[1], entry.index - 1)
        log.append(entry)
        if self.disk:
            self._unwritten.append(entry)
        else:
            self.durable = entry.index

    def check_committed(self, index, term):
        """Check that what others say of a committed position agrees.

        A position that was committed twice, with different entries, means
        that a majority forgot what it had acknowledged.
        """
        held = self.log.term_at(index)
        invariants.check(
            index > self.commit or held in (None, term),
            "committed-never-changed",
            f"{self.name} has {index} of term {held}, not {term}",
        )

    def advance(self, commit):
        """Apply the entries up to ``commit``."""
        while self.commit < commit:
            entry = self.log.get(self.commit + 1)
            self.commit += 1
            outcome = self.machine.apply(entry)
            self.out.append(Applied(entry, outcome))

    def restore(self, restored):
        """Start from what the disk had."""
        checkpoint = restored.checkpoint
        self.log_id = checkpoint.log_id
        self.founders = checkpoint.founders
        self.machine.load(checkpoint)
        self.commit = checkpoint.index
        self.checkpoint_index = checkpoint.index
        self.log = restored.log
        self.durable = self.log.last_index
        self.term = max(restored.term, self.log.last_term)
        self.voted_for = ""
        if self.term == restored.term:
            self.voted_for = restored.voted_for
        self.rest()

    # -- checkpoints ------------------------------------------------------

    def checkpoint(self):
        """Return the state at the present commit."""
        invariants.check(
            self.log.voters_at(self.commit),
            "checkpoint-names-voters",
            f"{self.name} at {self.commit}",
        )
        return machine_module.Checkpoint(
            self.log_id,
            self.founders,
            self.commit,
            self.log.term_at(self.commit),
            list(self.log.voters_at(self.commit)),
            self.machine.parts(),
        )

    def maybe_checkpoint(self):
        """Write a checkpoint where enough has gathered behind the last."""
        log = self.log
        many = self.commit - self.checkpoint_index >= CHECKPOINT_ENTRIES
        large = log.size >= CHECKPOINT_BYTES and (
            self.commit > self.checkpoint_index
        )
        if not (many or large):
            return
        if self.disk:
            self.rewrite()
        self.checkpoint_index = self.commit
        self._compact()

    def rewrite(self):
        """Have the disk hold a checkpoint and what follows it only."""
        self.flush()
        data = records.encode(self.checkpoint())
        term = records.TermRecord(self.term, self.voted_for)
        later = self.log.after(self.commit, len(self.log))
        kept = [records.encode(item) for item in (term, *later)]
        self._ticket += 1
        self._hand(Rewrite(self._ticket, data, kept))

    def _compact(self):
        log = self.log
        keep = TAIL_ENTRIES
        log.compact(self.commit - keep)
        while log.size > TAIL_BYTES and log.base < self.commit:
            keep //= 2
            log.compact(self.commit - keep)

    def install(self, checkpoint):
        """Take over a checkpoint that is ahead of this replica."""
        log = self.log
        agrees = log.term_at(checkpoint.index) == checkpoint.term
        self.machine.load(checkpoint)
        self.founders = checkpoint.founders
        self.commit = checkpoint.index
        self.checkpoint_index = checkpoint.index
        if agrees:
            # What follows in the own log may have been acknowledged.
            log.compact(checkpoint.index)
        else:
            log.reset(checkpoint.index, checkpoint.term, checkpoint.voters)
        if checkpoint.term > self.term:
            self.enter_term(checkpoint.term)
        if self.disk:
            self.rewrite()
        self.durable = min(self.durable, log.last_index)
        if self.role in (Role.LEARNER, Role.FOLLOWER):
            self.rest()
