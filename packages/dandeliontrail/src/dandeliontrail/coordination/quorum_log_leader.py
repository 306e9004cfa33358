"""Replication, the leader's side.

An entry is committed once a majority of voters has it on its disks and it
is of the leader's own term, or precedes one that is (Ongaro and Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014, section 5.4.2).
"""

import msgspec

from .. import invariants
from . import quorum_log_core as core_module
from . import quorum_log_election as election
from . import quorum_log_entries as entries
from . import quorum_log_messages as messages

Role = core_module.Role

# Entries in one message; at a few hundred bytes each, well below the body
# limit of the peer listener.
BATCH = 256
# Large entries, whole configurations of half a megabyte and more, go out a
# few at a time.
BATCH_BYTES = 1024 * 1024
# What is on its way to a follower is sent again once it must have arrived
# over a link so slow, and at each heartbeat only below the second figure.
# Sent again at each heartbeat, large entries pile up five times a second
# before every follower that decodes slowly (``test_large_entries``).
SLOW_LINK_BYTES = 500_000.0
SMALL_BYTES = 32 * 1024
# A leader that has not heard from a majority for this long steps down, so
# that it stops taking writes that it cannot commit.
QUORUM_SILENT_AFTER = 2.0
# A new keeper may become a voter once it is this close to the end of the
# log: one batch, which is a fraction of a second.
CAUGHT_UP_WITHIN = 64


class Peer(msgspec.Struct):
    """What a leader knows of one that follows it.

    ``match`` is synced there; ``next`` is sent next; ``round`` is the
    newest heartbeat answered and ``heard`` when.  ``flying`` are the bytes of
    entries that went out to it and were not acknowledged, the last of them
    at ``sent``.
    """

    next: int
    match: int = 0
    round: int = 0
    heard: float = float("-inf")
    flying: int = 0
    sent: float = float("-inf")
    moved: bool = False


class Leadership:
    """The leader's side."""

    def __init__(self, core, freshness):
        self._core = core
        self._freshness = freshness
        self._peers = {}
        self._round = 0
        self._rounds = {}
        self._next_heartbeat = 0.0
        self._since = 0.0
        self._now = 0.0
        self.joining = None
        self._in_flight = set()

    def begin(self, now):
        """Lead the present term."""
        core = self._core
        core.role = Role.LEADER
        core.follow(core.name, now)
        self._peers = {}
        self._rounds = {}
        self._since = now
        self._in_flight = set()
        for index in range(core.commit + 1, core.log.last_index + 1):
            self._in_flight.add(core.log.get(index).proposal_id)
        self.joining = None
        self.append(entries.NoOp(), "", now)

    def append(self, body, proposal_id, now):
        """Append a new entry and send it out.

        A proposal that is under way or took effect is not appended again.
        """
        core = self._core
        if proposal_id:
            if proposal_id in self._in_flight:
                return
            if core.machine.outcome_of(type(body), proposal_id):
                return
            self._in_flight.add(proposal_id)
        size = len(msgspec.json.encode(body))
        index = core.log.last_index + 1
        entry = entries.LogEntry(index, core.term, proposal_id, body, size)
        core.append(entry)
        core.when_synced(self.advance)
        self.broadcast(now)

    def settled(self, entry):
        """Take note that an entry was applied."""
        self._in_flight.discard(entry.proposal_id)

    # -- sending ----------------------------------------------------------

    def _targets(self):
        targets = self._core.other_voters()
        if self.joining and self.joining not in targets:
            targets = [*targets, self.joining]
        return targets

    def _peer(self, voter):
        held = self._peers.get(voter)
        if held is None:
            held = Peer(self._core.log.last_index + 1)
            self._peers[voter] = held
        return held

    def broadcast(self, now):
        """Send every follower what it lacks, or a heartbeat."""
        self._now = now
        self._next_heartbeat = now + election.HEARTBEAT
        self._round += 1
        self._rounds[self._round] = now
        if len(self._rounds) > 64:
            del self._rounds[min(self._rounds)]
        for voter in self._targets():
            self._send(voter, now)
        if not self._core.other_voters():
            self._confirm(now)

    def _send(self, voter, now):
        core = self._core
        peer = self._peer(voter)
        # Below the base the follower learns of the commit here and fetches
        # a checkpoint from whoever is nearest.
        previous = max(peer.next - 1, core.log.base)
        sent = core.log.after(previous, BATCH, BATCH_BYTES)
        if sent:
            peer.sent = now
            peer.flying += sum(entry.size for entry in sent)
        request = messages.AppendRequest(
            core.log_id,
            core.term,
            previous,
            core.log.term_at(previous),
            sent,
            core.commit,
            self._round,
            self._freshness.heard.ago(now),
        )
        peer.next = previous + len(sent) + 1
        core.send(voter.name, request)

    def tick(self, now):
        """Send heartbeats, repair losses, step down without a quorum."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        if not self._hears_quorum(now):
            core.leader = ""
            core.rest()
            return
        if now >= self._next_heartbeat:
            for peer in self._peers.values():
                if not peer.moved and _is_lost(peer, now):
                    peer.flying = 0
                    peer.next = peer.match + 1
                peer.moved = False
            self.broadcast(now)
        core.leader_heard = now

    def _hears_quorum(self, now):
        if now - self._since < QUORUM_SILENT_AFTER:
            return True
        return self.hears_majority_of(self._core.log.voters, now)

    def hears_majority_of(self, voters, now):
        """Tell whether a majority of ``voters`` was heard of lately."""
        since = now - QUORUM_SILENT_AFTER
        return self._reached(lambda peer: peer.heard > since, voters)

    def silent_for(self, voter, now):
        """Return for how many seconds a voter has answered nothing.

        It counts from when this one began to lead: what came before that
        was answered to somebody else.
        """
        peer = self._peers.get(voter)
        heard = peer.heard if peer else float("-inf")
        return now - max(heard, self._since)

    def _reached(self, holds, voters=None):
        """Tell whether ``holds`` is true for a majority with this one."""
        core = self._core
        voters = core.log.voters if voters is None else voters
        count = 0
        for voter in voters:
            peer = self._peers.get(voter)
            if voter == core.me or (peer and holds(peer)):
                count += 1
        return count >= entries.majority(voters)

    # -- replies ----------------------------------------------------------

    def reply(self, source, message, now):
        """Take in what a follower acknowledged."""
        core = self._core
        if message.term > core.term:
            core.step_down(message.term)
            return
        if core.role is not Role.LEADER or message.term < core.term:
            return
        voter = entries.Voter(source.instance, message.folder)
        if voter not in self._targets():
            return
        peer = self._peer(voter)
        peer.heard = now
        peer.round = max(peer.round, message.round)
        peer.moved = True
        if message.agreed:
            peer.match = max(peer.match, message.match)
            peer.next = max(peer.next, peer.match + 1)
            peer.flying = core.log.size_of(peer.match, peer.next - 1)
        elif _is_lost(peer, now):
            # Else a heartbeat overtook what it builds on.
            peer.flying = 0
            peer.next = min(peer.next, message.match + 1)
            peer.next = max(peer.next, peer.match + 1)
        self._confirm(now)
        self.advance(now)
        if core.role is Role.LEADER and peer.next <= core.log.last_index:
            if message.agreed or peer.next > core.log.base:
                self._send(voter, now)
        self._admit(now)

    def _confirm(self, now):
        """Note when a majority last confirmed that this one leads."""
        core = self._core
        if core.log.term_at(core.commit) != core.term:
            return
        # Once the first entry of the term is committed, the commit here is
        # at or past that of every earlier leader.
        for number in sorted(self._rounds, reverse=True):
            sent = self._rounds[number]
            if self._reached(lambda peer: peer.round >= number):
                self._freshness.confirm(sent, core.commit)
                return

    def advance(self, now=None):
        """Commit what a majority has on its disks."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        synced = []
        for voter in core.log.voters:
            if voter == core.me:
                synced.append(core.durable)
            else:
                peer = self._peers.get(voter)
                synced.append(peer.match if peer else 0)
        synced.sort(reverse=True)
        reached = synced[entries.majority(core.log.voters) - 1]
        if reached <= core.commit:
            return
        if core.log.term_at(reached) != core.term:
            return
        core.advance(reached)
        # The followers are told at once, so that a change is in force
        # everywhere without waiting for the next heartbeat.  The time may
        # be that of the event before, which only makes what a majority
        # confirms to this round look older than it is.
        self.broadcast(self._now if now is None else now)
        if core.me not in core.log.voters and (
            core.log.voters_index <= core.commit
        ):
            core.leader = ""
            core.rest()

    # -- voters -----------------------------------------------------------

    def can_change_voters(self):
        """Tell whether a change of voters may be appended now.

        One at a time, and none before an entry of the own term is
        committed: two changes at once could have majorities that do not
        overlap.
        """
        core = self._core
        return (
            core.role is Role.LEADER
            and core.log.voters_index <= core.commit
            and core.log.term_at(core.commit) == core.term
        )

    def change_voters(self, voters, now):
        """Append a change of voters, by one at the most."""
        core = self._core
        changed = set(voters) ^ set(core.log.voters)
        invariants.check(
            self.can_change_voters() and len(changed) == 1,
            "one-voter-at-a-time",
            f"{core.log.voters} to {voters}",
        )
        self.append(entries.VoterChange(sorted(voters)), "", now)

    def _admit(self, now):
        """Make the joining keeper a voter once it has caught up."""
        core = self._core
        if self.joining is None or not self.can_change_voters():
            return
        if self.joining in core.log.voters:
            self.joining = None
            return
        peer = self._peer(self.joining)
        if peer.match and peer.match + CAUGHT_UP_WITHIN >= core.log.last_index:
            voters = [*core.log.voters, self.joining]
            self.joining = None
            self.change_voters(voters, now)


def _is_lost(peer, now):
    """Tell whether what a follower did not acknowledge must be lost."""
    if peer.flying <= SMALL_BYTES:
        return True
    return now - peer.sent > peer.flying / SLOW_LINK_BYTES
