"""Log replication on the leader.

An entry is committed once a majority of the voters has it on disk and it
is of the leader's current term, or precedes such an entry (Ongaro and
Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
section 5.4.2).
"""

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_election as election
from . import quorum_log_entries as entries
from . import quorum_log_messages as messages
from . import quorum_log_reconfiguration as reconfiguration_module
from . import quorum_log_transfer as transfer_module

Role = core_module.Role

# Entries in one append request.  At a few hundred bytes each, they stay well
# below the body limit of the peer listener.
MAX_BATCH_ENTRIES = 256
# Limits the number of large entries (whole configurations of half a megabyte
# and more) in one append request.
MAX_BATCH_BYTES = 1024 * 1024
# Unacknowledged entries are sent again once they would have arrived even over
# a link of this speed, in bytes per second.  Only up to
# SMALL_IN_FLIGHT_BYTES are sent again at each heartbeat: large entries would
# queue up five times a second at every follower that decodes slowly
# (``test_large_entries``).
SLOW_LINK_BYTES_PER_SECOND = 500_000.0
SMALL_IN_FLIGHT_BYTES = 32 * 1024
# A leader that has not heard from a majority for this long steps down, so
# that it stops accepting writes that it cannot commit.
QUORUM_TIMEOUT_SECONDS = 2.0


class FollowerProgress(msgspec.Struct):
    """Replication progress of one follower, as the leader sees it.

    ``match_index`` is the highest index known to be synced there and
    ``next_index`` the next one to send.  ``acked_round`` is the latest
    broadcast that it answered, and ``heard_at`` the time of its last reply.
    ``in_flight_bytes`` is the size of the entries that were sent and not
    acknowledged, and ``in_flight_since`` the time since when it has
    acknowledged none.  ``replied`` is true if it
    has replied since the last heartbeat, ``leaving`` if it shuts down,
    ``knows_joint`` unless it has replied that it knows no joint sets.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    heard_at: float = float("-inf")
    in_flight_bytes: int = 0
    in_flight_since: float = float("-inf")
    replied: bool = False
    leaving: bool = False
    knows_joint: bool = True


class Leadership:
    """Appends, replicates and commits entries while this replica leads."""

    def __init__(self, core, freshness):
        self._core = core
        self._freshness = freshness
        self._progress_by_voter = {}
        self._round = 0
        self._round_sent_at = {}
        self._next_heartbeat = 0.0
        self._leader_since = 0.0
        self._last_event_at = 0.0
        self._previous_leader = ""
        self._previous_heard_at = float("-inf")
        self.reconfiguration = reconfiguration_module.Reconfiguration(
            core, self.append, self._knows_joint
        )
        self.transfer = transfer_module.Transfer(
            core, lambda voter: self._progress_by_voter.get(voter)
        )
        self._in_flight = set()

    def become_leader(self, now):
        """Become the leader of the current term."""
        core = self._core
        core.role = Role.LEADER
        self._previous_leader = core.last_leader
        self._previous_heard_at = core.leader_heard_at
        core.accept_leader(core.name, now)
        self._progress_by_voter = {}
        self._round_sent_at = {}
        self._leader_since = now
        self._in_flight = set()
        for index in range(core.commit + 1, core.log.last_index + 1):
            self._in_flight.add(core.log.get(index).proposal_id)
        self.reconfiguration.joining = None
        self.transfer.reset()
        self.append(entries.NoOp(), "", now)

    def age(self, now):
        """Return for how many seconds this replica has led."""
        return now - self._leader_since

    def append(self, body, proposal_id, now):
        """Append an entry and replicate it.

        A proposal that is in progress or was already applied is ignored.
        """
        core = self._core
        if proposal_id:
            if self.transfer.hold(body, proposal_id, now):
                return
            if not self._hears_quorum(now):
                # After a pause this replica steps down at its next tick.  An
                # append would only delay the election of another leader.
                return
            if proposal_id in self._in_flight:
                return
            if core.machine.outcome_of(type(body), proposal_id):
                return
            self._in_flight.add(proposal_id)
        size = len(msgspec.json.encode(body))
        index = core.log.last_index + 1
        entry = entries.LogEntry(index, core.term, proposal_id, body, size)
        core.append(entry)
        core.when_synced(self.advance_commit)
        self.broadcast(now)

    def entry_applied(self, entry):
        """Record that ``entry`` was applied."""
        self._in_flight.discard(entry.proposal_id)

    # -- sending ----------------------------------------------------------

    def _replication_targets(self):
        targets = self._core.other_voters()
        joining = self.reconfiguration.joining_voter()
        if joining and joining not in targets:
            targets = [*targets, joining]
        return targets

    def _progress_of(self, voter):
        peer = self._progress_by_voter.get(voter)
        if peer is None:
            peer = FollowerProgress(self._core.log.last_index + 1)
            self._progress_by_voter[voter] = peer
        return peer

    def broadcast(self, now):
        """Send every follower the entries it lacks, or a heartbeat."""
        self._last_event_at = now
        self._next_heartbeat = now + election.HEARTBEAT_INTERVAL_SECONDS
        self._round += 1
        self._round_sent_at[self._round] = now
        if len(self._round_sent_at) > 64:
            del self._round_sent_at[min(self._round_sent_at)]
        for voter in self._replication_targets():
            self._send_append(voter, now)
        if not self._core.other_voters():
            self._confirm_leadership(now)

    def _send_append(self, voter, now):
        core = self._core
        peer = self._progress_of(voter)
        # Entries up to the base are no longer in the log.  A follower that
        # lacks them learns the commit index from this request and fetches a
        # checkpoint from the nearest instance.
        previous = max(peer.next_index - 1, core.log.base)
        sent = core.log.entries_after(
            previous, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
        )
        if sent:
            if not peer.in_flight_bytes:
                peer.in_flight_since = now
            peer.in_flight_bytes += sum(entry.size for entry in sent)
        request = messages.AppendRequest(
            core.log_id,
            core.term,
            previous,
            core.log.term_at(previous),
            sent,
            core.commit,
            self._round,
            self._freshness.heard.age(now),
        )
        peer.next_index = previous + len(sent) + 1
        core.send(voter.name, request)

    def tick(self, now):
        """Send heartbeats, resend lost entries, step down without a quorum."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        for held in self.transfer.take_held(now):
            self.append(held.body, held.proposal_id, now)
        if not self._hears_quorum(now):
            core.leader = ""
            core.reset_role()
            return
        if now >= self._next_heartbeat:
            for peer in self._progress_by_voter.values():
                if not peer.replied and _presumed_lost(peer, now):
                    peer.in_flight_bytes = 0
                    peer.next_index = peer.match_index + 1
                peer.replied = False
            self.broadcast(now)
        core.leader_heard_at = now

    def _hears_quorum(self, now):
        if now - self._leader_since < QUORUM_TIMEOUT_SECONDS:
            return True
        since = now - QUORUM_TIMEOUT_SECONDS
        return self._quorum_satisfies(lambda peer: peer.heard_at > since)

    def hears_majority_of(self, voters, now, joining=None):
        """Return whether a majority of ``voters`` has replied recently.

        The ``joining`` one counts as one that has.
        """
        since = now - QUORUM_TIMEOUT_SECONDS
        return entries.VoterSet(tuple(voters)).has_quorum(
            lambda voter: (
                voter in (self._core.own_voter, joining)
                or self._heard_at(voter) > since
            )
        )

    def _heard_at(self, voter):
        peer = self._progress_by_voter.get(voter)
        return peer.heard_at if peer else float("-inf")

    def silent_for(self, voter, now):
        """Return for how many seconds a voter has not replied.

        The time counts from the start of this leadership at the earliest,
        since earlier replies went to another leader.  Of that leader itself,
        this replica knows when it was heard last.
        """
        since = self._leader_since
        if voter.name == self._previous_leader:
            since = self._previous_heard_at
        return now - max(self._heard_at(voter), since)

    def heard_ago(self, voter, now):
        """Return how many seconds ago a voter replied, -1 if never."""
        if voter == self._core.own_voter:
            return 0.0
        heard = self._heard_at(voter)
        return now - heard if heard != float("-inf") else -1.0

    def is_leaving(self, voter):
        """Return whether a voter has replied that it shuts down."""
        if voter == self._core.own_voter:
            return self._core.leaving
        peer = self._progress_by_voter.get(voter)
        return peer is not None and peer.leaving

    def _knows_joint(self, voter):
        """Return whether a voter may be sent a joint set of voters.

        One that is lost has not replied, and must not hold up a replacement.
        """
        peer = self._progress_by_voter.get(voter)
        return peer is None or peer.knows_joint

    def _quorum_satisfies(self, predicate):
        """Return whether ``predicate`` holds for a quorum of voters.

        This replica counts as one for which it holds.
        """
        core = self._core

        def satisfies(voter):
            peer = self._progress_by_voter.get(voter)
            return voter == core.own_voter or bool(peer and predicate(peer))

        return core.log.voter_set.has_quorum(satisfies)

    # -- replies ----------------------------------------------------------

    def handle_append_reply(self, source, message, now):
        """Process a follower's reply to an append request."""
        core = self._core
        if message.term > core.term:
            core.step_down(message.term)
            return
        if core.role is not Role.LEADER or message.term < core.term:
            return
        voter = entries.Voter(source.instance, message.folder)
        if voter not in self._replication_targets():
            return
        peer = self._progress_of(voter)
        peer.heard_at = now
        peer.acked_round = max(peer.acked_round, message.round)
        peer.replied = True
        peer.leaving = message.leaving
        peer.knows_joint = message.joint
        if message.agreed:
            if message.match > peer.match_index:
                peer.in_flight_since = now
            peer.match_index = max(peer.match_index, message.match)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.in_flight_bytes = core.log.bytes_between(
                peer.match_index, peer.next_index - 1
            )
        elif _presumed_lost(peer, now):
            # Otherwise the heartbeat merely overtook entries that are still
            # on their way.
            peer.in_flight_bytes = 0
            peer.next_index = min(peer.next_index, message.match + 1)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._confirm_leadership(now)
        self.advance_commit(now)
        if core.role is Role.LEADER and peer.next_index <= core.log.last_index:
            if message.agreed or peer.next_index > core.log.base:
                self._send_append(voter, now)
        if voter == self.reconfiguration.joining_voter():
            self.reconfiguration.promote(peer.match_index, now)
        self.transfer.advance(now)

    def _confirm_leadership(self, now):
        """Record when a majority last confirmed this leadership."""
        core = self._core
        if core.log.term_at(core.commit) != core.term:
            return
        # Once the first entry of the term is committed, the commit index
        # here is at least that of every earlier leader.
        for round_number in sorted(self._round_sent_at, reverse=True):
            sent = self._round_sent_at[round_number]
            if self._quorum_satisfies(
                lambda peer: peer.acked_round >= round_number
            ):
                self._freshness.confirm(sent, core.commit)
                return

    def advance_commit(self, now=None):
        """Commit the entries that a quorum has on disk."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        quorum_index = core.log.voter_set.quorum_index(self._durable_index)
        if quorum_index <= core.commit:
            return
        if core.log.term_at(quorum_index) != core.term:
            return
        core.advance_commit(quorum_index)
        # Followers learn the commit index immediately, so that a change takes
        # effect everywhere without waiting for the next heartbeat.  The time
        # may be that of the previous event, which only makes the majority's
        # confirmation of this round look older than it is.
        now = self._last_event_at if now is None else now
        if not self.reconfiguration.finish(now):
            self.broadcast(now)
        if core.own_voter not in core.log.voters and (
            core.log.voters_index <= core.commit
        ):
            self.transfer.begin(now)
            core.leader = ""
            core.reset_role()

    def _durable_index(self, voter):
        """Return the last entry that a voter is known to have on its disk."""
        if voter == self._core.own_voter:
            return self._core.durable_index
        peer = self._progress_by_voter.get(voter)
        return peer.match_index if peer else 0


def _presumed_lost(peer, now):
    """Return whether a follower's unacknowledged entries count as lost."""
    if peer.in_flight_bytes <= SMALL_IN_FLIGHT_BYTES:
        return True
    waited = now - peer.in_flight_since
    return waited > peer.in_flight_bytes / SLOW_LINK_BYTES_PER_SECOND
