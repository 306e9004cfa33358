"""The Raft state of one replica, shared by the classes of the log.

A replica performs no I/O.  It responds to each message and each tick by
appending :class:`Send`, :class:`Write`, :class:`Rewrite` and
:class:`Applied` items to ``out``, and :meth:`Core.synced` tells it when a
write is on the disk.  A message that promises something which must survive
a crash (a vote, an acknowledgement) is not sent until then.
"""

import collections
import enum
import typing

import msgspec

from .. import invariants
from . import quorum_log_entries as entries
from . import quorum_log_machine as machine_module
from . import quorum_log_records as records

# A checkpoint is taken after this many entries or bytes of entries.  This
# bounds both the log file and the replay at a restart.
CHECKPOINT_ENTRIES = 2048
CHECKPOINT_BYTES = 4 * 1024 * 1024
# Entries before a checkpoint that stay in memory, to serve fetches of
# instances that are slightly behind.
TAIL_ENTRIES = 512
TAIL_BYTES = 2 * 1024 * 1024


class Role(enum.Enum):
    """The current Raft role of a replica."""

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
    """Append ``records`` to the log file, sync it, then report ``ticket``."""

    ticket: int
    records: list


class Rewrite(msgspec.Struct):
    """Replace the whole log file, sync it, then report ``ticket``.

    Its new content is ``checkpoint`` followed by ``records``.
    """

    ticket: int
    checkpoint: bytes
    records: list


class Applied(msgspec.Struct):
    """An entry was applied on this instance, with ``outcome``."""

    entry: entries.LogEntry
    outcome: machine_module.Outcome


class Core:
    """Log, term, vote and pending disk writes of one replica.

    ``has_disk`` is false on learners and on a replica that is kept in
    memory; their writes count as synced immediately.
    """

    def __init__(self, name, folder, rng, machine):
        self.name = name
        self.folder = folder
        # The identity under which this replica votes.
        self.own_voter = entries.Voter(name, folder)
        self.has_disk = bool(folder)
        self.rng = rng
        self.machine = machine
        self.log = entries.EntryLog()
        self.log_id = ""
        self.founders = []
        # Of the keepers, by name; they are on the disk, see ``Addresses``.
        self.addresses = {}
        self.term = 0
        self.voted_for = ""
        self.voted_folder = ""
        self.role = Role.LEARNER
        self.leader = ""
        self.last_leader = ""
        self.leader_heard_at = float("-inf")
        self.commit = 0
        self.halted = False
        # True once this process is told to stop.
        self.leaving = False
        # Index up to which the local log is synced to the disk.
        self.durable_index = 0
        self.checkpoint_index = 0
        self.out = collections.deque()
        self._pending_records = []
        self._ticket = 0
        self._synced_ticket = 0
        self._waiting_for_sync = collections.deque()
        self._writes_in_flight = collections.deque()
        self._leader_by_term = {}

    # -- identity and role ------------------------------------------------

    def is_voter(self):
        """Return whether this replica is currently a voter."""
        return not self.halted and self.own_voter in self.log.voters

    def may_campaign(self):
        """Return whether this replica may have to lead.

        A voter that goes out may hold the only copy of the entry that says
        so; the others then elect nobody else until it is committed.
        """
        if self.halted:
            return False
        committed = self.log.voter_set_at(self.commit).members
        return self.own_voter in committed or self.is_voter()

    def other_voters(self):
        """Return all voters except this replica."""
        return [item for item in self.log.voters if item != self.own_voter]

    def voter_names(self):
        """Return the names of the voters in the latest configuration."""
        return {item.name for item in self.log.voters}

    def reset_role(self):
        """Become a follower, or a learner if this replica does not vote."""
        voter = self.is_voter()
        self.role = Role.FOLLOWER if voter else Role.LEARNER

    def enter_term(self, term, voted_for="", folder=""):
        """Enter a later term, or cast the vote of the current one.

        ``folder`` is the data folder of the candidate ``voted_for``.
        Raises :exc:`InvariantBroken` for an earlier term or a second vote.
        """
        invariants.check(
            term > self.term or (term == self.term and not self.voted_for),
            "one-vote-a-term",
            f"{self.name} in term {term}",
        )
        self.term = term
        self.voted_for = voted_for
        self.voted_folder = folder
        self._pending_records.append(self._term_record())

    def _term_record(self):
        return records.TermRecord(self.term, self.voted_for, self.voted_folder)

    def step_down(self, term):
        """Enter ``term`` if it is later, and stop leading or campaigning."""
        if term > self.term:
            self.enter_term(term)
            self.leader = ""
        self.reset_role()

    def accept_leader(self, leader, now):
        """Record ``leader`` as the leader of the current term.

        Raises :exc:`InvariantBroken` if the term has another leader.
        """
        known = self._leader_by_term.setdefault(self.term, leader)
        invariants.check(
            known == leader,
            "one-leader-a-term",
            f"{known} and {leader} in term {self.term}",
        )
        if len(self._leader_by_term) > 16:
            del self._leader_by_term[min(self._leader_by_term)]
        self.leader = leader
        self.last_leader = leader
        self.leader_heard_at = now

    # -- messages and disk writes -----------------------------------------

    def send(self, to, message):
        """Send a message that does not depend on pending writes."""
        self.out.append(Send(to, message))

    def send_synced(self, to, message):
        """Send a message once all writes so far are on the disk."""
        self._waiting_for_sync.append(
            (self._covering_ticket(), Send(to, message))
        )

    def when_synced(self, callback):
        """Call ``callback()`` once all writes so far are on the disk."""
        self._waiting_for_sync.append((self._covering_ticket(), callback))

    def _covering_ticket(self):
        return self._ticket + (1 if self._pending_records else 0)

    def flush(self):
        """Submit the pending records as one write.

        This is called at the end of each event.
        """
        if self._pending_records:
            data = [records.encode(item) for item in self._pending_records]
            self._pending_records = []
            self._ticket += 1
            self._submit(Write(self._ticket, data))
        self._release_synced()

    def _submit(self, write):
        self._writes_in_flight.append([write.ticket, self.log.last_index])
        if self.has_disk and not self.halted:
            self.out.append(write)
        elif not self.has_disk:
            self.synced(write.ticket)

    def synced(self, ticket):
        """Record that the write ``ticket`` and all earlier are synced."""
        self._synced_ticket = max(self._synced_ticket, ticket)
        while (
            self._writes_in_flight and self._writes_in_flight[0][0] <= ticket
        ):
            self.durable_index = self._writes_in_flight.popleft()[1]
        self._release_synced()

    def _release_synced(self):
        while (
            self._waiting_for_sync
            and self._waiting_for_sync[0][0] <= self._synced_ticket
        ):
            _, item = self._waiting_for_sync.popleft()
            if isinstance(item, Send):
                self.out.append(item)
            else:
                item()

    def halt(self):
        """Stop acting as a keeper, because the disk or the log is unsafe.

        After a failed sync, the content of the disk is unknown, and a second
        sync may report success without having written the data (Rebello et
        al., "Can Applications Recover from fsync Failures?", 2020).  So
        messages that were waiting for a sync are dropped.
        """
        self.halted = True
        self._waiting_for_sync.clear()
        self._writes_in_flight.clear()
        self._pending_records = []
        self.leader = ""
        self.reset_role()

    # -- the log ----------------------------------------------------------

    def append(self, entry):
        """Append an entry, truncating conflicting uncommitted entries.

        Raises :exc:`InvariantBroken` if a committed entry is in the way.
        """
        log = self.log
        if entry.index <= log.last_index:
            invariants.check(
                entry.index > self.commit,
                "committed-never-lost",
                f"{self.name} would truncate at {entry.index}, below its"
                f" commit index {self.commit}",
            )
            log.truncate(entry.index)
            self.durable_index = min(self.durable_index, entry.index - 1)
            for writing in self._writes_in_flight:
                writing[1] = min(writing[1], entry.index - 1)
        log.append(entry)
        if self.role in (Role.LEARNER, Role.FOLLOWER):
            # The entry may be a change of voters.
            self.reset_role()
        if self.has_disk:
            self._pending_records.append(entry)
        else:
            self.durable_index = entry.index

    def check_committed(self, index, term):
        """Check that a committed entry has the term another replica reports.

        If two different entries were committed at the same index, a majority
        has lost entries that it had acknowledged.
        """
        known = self.log.term_at(index)
        invariants.check(
            index > self.commit or known in (None, term),
            "committed-never-changed",
            f"{self.name} has {index} of term {known}, not {term}",
        )

    def advance_commit(self, commit):
        """Advance the commit index to ``commit`` and apply the entries."""
        while self.commit < commit:
            entry = self.log.get(self.commit + 1)
            self.commit += 1
            outcome = self.machine.apply(entry)
            self.out.append(Applied(entry, outcome))

    def restore(self, restored):
        """Start from the state that was read from the disk."""
        checkpoint = restored.checkpoint
        self.log_id = checkpoint.log_id
        self.founders = checkpoint.founders
        self.addresses = dict(checkpoint.addresses)
        self.machine.load(checkpoint)
        self.commit = checkpoint.index
        self.checkpoint_index = checkpoint.index
        self.log = restored.log
        self.durable_index = self.log.last_index
        self.term = max(restored.term, self.log.last_term)
        self.voted_for = ""
        if self.term == restored.term:
            self.voted_for = restored.voted_for
            self.voted_folder = restored.voted_folder
        self.reset_role()

    # -- checkpoints ------------------------------------------------------

    def make_checkpoint(self):
        """Return a checkpoint of the state at the commit index."""
        voter_set = self.log.voter_set_at(self.commit)
        invariants.check(
            voter_set.incoming,
            "checkpoint-names-voters",
            f"{self.name} at {self.commit}",
        )
        return machine_module.Checkpoint(
            self.log_id,
            self.founders,
            self.commit,
            self.log.term_at(self.commit),
            list(voter_set.incoming),
            self.machine.parts(),
            list(voter_set.outgoing),
            list(voter_set.former),
            dict(self.addresses),
            list(voter_set.seniority),
        )

    def maybe_checkpoint(self):
        """Take a checkpoint if enough was committed since the last one."""
        log = self.log
        many = self.commit - self.checkpoint_index >= CHECKPOINT_ENTRIES
        large = log.size >= CHECKPOINT_BYTES and (
            self.commit > self.checkpoint_index
        )
        if not (many or large):
            return
        if self.has_disk:
            self.rewrite_log()
        self.checkpoint_index = self.commit
        self._compact()

    def rewrite_log(self):
        """Replace the log file by a checkpoint and the entries after it."""
        self.flush()
        data = records.encode(self.make_checkpoint())
        term = self._term_record()
        later = self.log.entries_after(self.commit, len(self.log))
        kept = [records.encode(item) for item in (term, *later)]
        self._ticket += 1
        self._submit(Rewrite(self._ticket, data, kept))

    def _compact(self):
        log = self.log
        keep = TAIL_ENTRIES
        log.compact(self.commit - keep)
        while log.size > TAIL_BYTES and log.base < self.commit:
            keep //= 2
            log.compact(self.commit - keep)

    def install_checkpoint(self, checkpoint):
        """Install a checkpoint that is ahead of this replica."""
        log = self.log
        agrees = log.term_at(checkpoint.index) == checkpoint.term
        self.machine.load(checkpoint)
        self.founders = checkpoint.founders
        self.commit = checkpoint.index
        self.checkpoint_index = checkpoint.index
        if agrees:
            # Entries after the checkpoint are kept: this replica may have
            # acknowledged them.
            log.compact(checkpoint.index)
        else:
            log.reset(
                checkpoint.index, checkpoint.term, checkpoint.voter_set()
            )
        if checkpoint.term > self.term:
            self.enter_term(checkpoint.term)
        if self.has_disk:
            self.rewrite_log()
        self.durable_index = min(self.durable_index, log.last_index)
        if self.role in (Role.LEARNER, Role.FOLLOWER):
            self.reset_role()
