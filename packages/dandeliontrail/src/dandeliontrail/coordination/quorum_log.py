"""The replicated log of one instance: the interface for other components.

The log is replicated in the manner of Raft (Ongaro and Ousterhout, "In
Search of an Understandable Consensus Algorithm", 2014).  A *keeper* is an
instance with a disk that votes on the log: the keepers elect a leader and
commit entries by majority.  Every other instance is a non-voting learner.
All instances apply the committed entries in log order.

To use the log, a component does the following:

* It defines its entry type as a tagged ``msgspec.Struct`` and adds it to
  ``ALL`` in :mod:`.quorum_log_entries`.
* It registers one applier when the reducer is constructed::

      state.log.register(LeaseRequest, LeaseApplier(table))

  The applier (:class:`.quorum_log_machine.Applier`) receives the entries of
  that type in log order on every instance; ``apply(version, entry)``
  returns a result.  It must be deterministic: values that depend on a clock
  or on random numbers are put into the entry by its proposer.  ``dump`` and
  ``load`` save and restore its state in checkpoints, and ``result_type`` is
  the type used to decode the kept results.
* It proposes an entry from within the reducer and receives the result in a
  callback::

      return state.log.propose(entry, proposal_id, now, self._settled)

  ``propose`` returns effects, which the handler must return.  Later
  ``self._settled(settled, now)`` is called exactly once with a
  :class:`Settled` and returns further effects.  If the proposal was
  applied, it has by then taken effect *on this instance*, so later reads
  here see it.

``proposal_id`` is an idempotency key: an id that is proposed again, on any
instance, takes effect once and yields the first result, for as long as
results are kept (:data:`.quorum_log_machine.MAX_KEPT_RESULTS` per type).

``NOT_RUN`` is reported only if the proposal was never sent to an instance
that could have appended it; every other failure is ``UNKNOWN``.

An instance whose settings name no keepers is the only voter of a log of its
own that is held in memory.  This is meant for embedding and tests.
"""

from .. import effects
from .. import errors
from . import quorum_log_addresses as addresses_module
from . import quorum_log_bootstrap as bootstrap_module
from . import quorum_log_catch_up as catch_up_module
from . import quorum_log_core as core_module
from . import quorum_log_dissemination as dissemination_module
from . import quorum_log_election as election_module
from . import quorum_log_follower as follower_module
from . import quorum_log_freshness as freshness_module
from . import quorum_log_freshness_polling as polling_module
from . import quorum_log_hand_over as hand_over_module
from . import quorum_log_leader as leader_module
from . import quorum_log_loss_report as loss_report_module
from . import quorum_log_machine as machine_module
from . import quorum_log_messages as messages
from . import quorum_log_options as options_module
from . import quorum_log_proposals as proposals_module
from . import quorum_log_readiness as readiness_module
from . import quorum_log_records as records
from . import quorum_log_repair as repair_module
from . import quorum_log_repair_wait as repair_wait_module
from . import quorum_log_report as report_module
from . import quorum_log_state_report as state_report_module
from . import quorum_log_status as status_module
from . import quorum_log_voter_health as health_module
from . import quorum_log_voters as voters_module

Settled = proposals_module.Settled
SettledKind = proposals_module.SettledKind

# A broadcast with more recipients than this goes to a random sample of this
# size and to all keepers.
BROADCAST_SAMPLE_SIZE = 32


class QuorumLog:
    """The replica of one instance.

    Register all appliers, then call :meth:`open` before anything else.
    """

    def __init__(
        self,
        name,
        rng,
        neighbours,
        keeper=None,
        bootstrap=(),
        options=options_module.DEFAULT,
    ):
        self._keeper = keeper
        self._neighbours = neighbours
        self._bootstrap = set(bootstrap)
        self._in_memory = keeper is None and not bootstrap
        folder = keeper.folder if keeper else ""
        self._machine = machine_module.StateMachine()
        core = core_module.Core(name, folder, rng, self._machine)
        self._core = core
        self._freshness = freshness_module.Freshness(self._machine)
        self._polls_freshness = options.polls_freshness
        self._leadership = leader_module.Leadership(core, self._freshness)
        self._election = election_module.Election(
            core, self._leadership.become_leader
        )
        self._follower = follower_module.Follower(
            core, self._election, self._freshness
        )
        self._founding = bootstrap_module.Founding(
            core, bootstrap if options.may_bootstrap else ()
        )
        self._addresses = addresses_module.Addresses(
            core, self._founding, neighbours
        )
        self._catch_up = catch_up_module.CatchUp(core, neighbours)
        self._proposals = proposals_module.Proposals(
            core, self._leadership, sorted(bootstrap)
        )
        self._voter_changes = voters_module.VoterChanges(
            core, self._leadership, self._founding
        )
        self._readiness = readiness_module.Readiness(
            core, self._freshness, self._catch_up, neighbours
        )
        self._polling = polling_module.FreshnessPolling(
            core, self._freshness, neighbours, options.polls_freshness
        )
        self._voter_repair = repair_module.VoterRepair(
            core,
            self._leadership,
            self._founding,
            neighbours,
            options.target_voters,
        )
        self._report = report_module.Report(core, self._election)
        self._health = health_module.VoterHealth(
            core,
            self._leadership,
            self._voter_repair,
            self._addresses,
            neighbours,
        )
        self._loss_report = loss_report_module.LossReport(core, self._health)
        self._repair_wait = repair_wait_module.RepairWait(
            core, self._leadership, self._voter_repair, self._health
        )
        self._hand_over = hand_over_module.HandOver(
            core,
            self._leadership,
            self._voter_repair,
            options.target_voters > 0,
        )
        # True if the disk held a log when this process started.
        self.resumed = False
        self._dissemination = dissemination_module.Dissemination(
            core, neighbours
        )
        self._settled_index = 0
        self._unreturned = []
        self._state_report = state_report_module.StateReport(core)

    # -- interface for components -----------------------------------------

    def register(self, kind, applier):
        """Register ``applier`` for the entries of type ``kind``."""
        self._machine.register(kind, applier)

    def propose(self, body, proposal_id, now, on_settled):
        """Propose an entry and return effects.

        ``on_settled(settled, now)`` is called exactly once, possibly before
        this method returns, and returns effects.
        """
        self._proposals.add(body, proposal_id, now, on_settled)
        applied = self._proposals.take_applied(type(body), proposal_id)
        out = _run_callbacks(applied, now) if applied else []
        return out + self._finish(now)

    def change_voter(self, action, name, request_id, now):
        """Ask the leader to add or remove a keeper; return effects.

        The leader's reply is delivered as an ``effects.VoterAnswered``.
        """
        leader = self.leader(now)
        reply = self._voter_changes.request_change(
            action, name, request_id, leader, now
        )
        out = [_voter_answered(reply)] if reply else []
        return out + self._finish(now)

    def hand_over(self, now):
        """Prepare for the end of this process; return effects.

        A keeper gives its leadership to another voter and its vote to a
        spare, see :mod:`.quorum_log_hand_over`.
        """
        if self._in_memory or not self._core.has_disk:
            return []
        out = self._hand_over.begin(now)
        if not self._core.is_voter():
            out.extend(self._broadcast(self._founding.hello_message()))
        return out + self._finish(now)

    def is_handing_over(self, now):
        """Return whether this process should go on to hand over."""
        return self._hand_over.is_pending(now)

    def _handle_voter_reply(self, source, message, now):
        return [_voter_answered(message)]

    def stored_addresses(self):
        """Return the addresses of other keepers that the disk held."""
        return set(self._core.addresses.values())

    @property
    def applied(self):
        """The index of the last entry applied on this instance."""
        return self._machine.applied

    @property
    def ready(self):
        """Whether this instance may serve requests from its state."""
        return self._readiness.ready

    def voter_names(self):
        """Return the names of the voters in the latest configuration."""
        return self._core.voter_names()

    def former_voter_names(self):
        """Return the names of keepers that gave way to other voters."""
        return self._core.log.voter_set.former_names

    def stale(self, now):
        """Return whether contact with a majority was lost for too long.

        The limit is :data:`.quorum_log_freshness.STALE_AFTER_SECONDS`.
        """
        return self._freshness.stale(now)

    @property
    def polls_freshness(self):
        """Whether this instance keeps proving how recent its state is."""
        return self._polls_freshness

    def proven_ago(self, now):
        """Return an upper bound on the age of the state, or ``None``.

        Every entry that was committed this many seconds ago or earlier is
        guaranteed to be applied here.  ``None`` means there is no bound yet.
        """
        ago = self._freshness.proven.age(now)
        return None if ago < 0 else ago

    def leader(self, now):
        """Return the name of the leader, or '' if it is not known."""
        return self._proposals.leader(now)

    def status(self, now):
        """Return the status of this replica for operators."""
        core = self._core
        leader = self.leader(now)
        answering, losses = self._voter_counts(leader, now)
        return status_module.LogStatus(
            core.role.value,
            core.term,
            leader,
            core.commit,
            round(self._freshness.heard.age(now), 3),
            self.stale(now),
            self.ready,
            self._in_memory,
            core.folder,
            core.halted,
            self._health.voters(now),
            self._health.is_settled(),
            self._founding.missing_founders(),
            self._health.spares(now),
            answering,
            losses,
            self._repair_wait.reason(leader, now),
            round(self._repair_wait.seconds(now), 3),
            self._election.begun,
            self._report.voter_changes,
        )

    def _voter_counts(self, leader, now):
        """Return how many voters answer and how many losses are survived."""
        if self._core.role is core_module.Role.LEADER:
            answering = len(self._health.answering(now))
            return answering, self._health.losses_survived(now)
        return None, None if leader else health_module.NO_MAJORITY

    # -- events -----------------------------------------------------------

    def open(self, now=0.0):
        """Restore the state from the disk and return effects.

        All appliers must be registered before.
        """
        restored = records.restore(self._keeper) if self._keeper else None
        if restored:
            self._core.restore(restored)
        self.resumed = bool(self._core.log_id)
        if self._in_memory:
            self._founding.found_alone()
            self._election.tick(now)
            self._readiness.ready = True
        return self._finish(now)

    def tick(self, now):
        """Run everything that is due by time and return effects."""
        core = self._core
        if self._in_memory:
            self._leadership.tick(now)
            return self._finish(now)
        hello = self._founding.tick(now)
        out = self._broadcast(hello) if hello else []
        query_id = self._readiness.next_query(now)
        if query_id:
            query = self._progress_message(now, asks=True, ask=query_id)
            out.extend(self._broadcast(query))
        else:
            out.extend(self._query_keepers(now))
        self._election.tick(now)
        self._leadership.tick(now)
        self._catch_up.tick(now)
        self._proposals.tick(now)
        self._addresses.tick(now)
        out.extend(self._poll_freshness(now))
        out.extend(self._voter_repair.tick(now))
        out.extend(self._hand_over.tick(now))
        for expired in self._proposals.take_expired(now):
            out.extend(_run_callbacks(expired, now))
        if self._readiness.tick(now):
            fields = {"applied": core.commit, "stale": self.stale(now)}
            out.append(effects.Log("info", "state is current", fields))
        out.extend(self._report.tick(now))
        out.extend(self._loss_report.tick(now))
        out.extend(self._repair_wait.tick(now))
        is_stale = self.ready and self.stale(now)
        out.extend(self._state_report.lines(self.leader(now), is_stale))
        out.extend(self._finish(now))
        return out

    def _query_keepers(self, now):
        """Query only the keepers for their progress, just after the start."""
        query_id = self._readiness.next_keeper_query(now)
        if not query_id:
            return []
        query = self._progress_message(now, asks=True, ask=query_id)
        names = self._core.voter_names()
        addresses = [
            self._addresses.address_of(name)
            for name in sorted(names | self._bootstrap)
        ]
        return [effects.SendPeer(item, query) for item in addresses if item]

    def _poll_freshness(self, now):
        """Poll one keeper for its progress if a poll is due."""
        target = self._polling.next_query(self.leader(now), now)
        if target is None:
            return []
        name, query_id = target
        address = self._addresses.address_of(name)
        if not address:
            return []
        query = self._progress_message(now, asks=True, ask=query_id)
        return [effects.SendPeer(address, query)]

    def synced(self, ticket, now):
        """Record that a write and all earlier ones are on the disk."""
        self._core.synced(ticket)
        return self._finish(now)

    def storage_failed(self, detail, now):
        """Stop acting as a keeper and continue as a learner."""
        self._core.halt()
        fields = {
            "error": detail,
            "remedy": "see docs/operators/keepers.md, replace a keeper",
        }
        return [
            effects.Log("error", "the disk failed: keeper stopped", fields),
            *self._finish(now),
        ]

    def handlers(self):
        """Return the handler of each message type.

        A handler is called as ``handler(source, message, now)`` and returns
        effects.
        """
        return {
            messages.VoteRequest: self._only_own_log(
                self._election.handle_vote_request
            ),
            messages.VoteReply: self._only_own_log(
                self._election.handle_vote_reply
            ),
            messages.AppendRequest: self._only_own_log(
                self._follower.handle_append
            ),
            messages.AppendReply: self._only_own_log(
                self._leadership.handle_append_reply
            ),
            messages.CampaignNow: self._only_own_log(
                self._election.handle_campaign_now
            ),
            messages.Fetch: self._only_own_log(self._catch_up.handle_fetch),
            messages.Committed: self._only_own_log(
                self._catch_up.handle_committed
            ),
            messages.CheckpointSent: self._only_own_log(
                self._catch_up.handle_checkpoint
            ),
            messages.Propose: self._only_own_log(self._handle_propose),
            voters_module.VoterRequest: self._only_own_log(
                self._voter_changes.handle_request
            ),
            voters_module.VoterReply: self._handle_voter_reply,
            messages.Progress: self._handle_progress,
            messages.KeeperHello: self._handle_keeper_hello,
        }

    def _only_own_log(self, handler):
        """Wrap ``handler`` so that it only sees messages of this log.

        If an invariant is violated, the log of this keeper contradicts that
        of another one.  It must not vote or acknowledge entries on top of
        such a log, so it stops acting as a keeper and continues as a learner
        until an operator has investigated.
        """

        def guarded(source, message, now):
            if message.log_id and message.log_id == self._core.log_id:
                try:
                    handler(source, message, now)
                except errors.InvariantBroken:
                    self._core.halt()
                    raise
            return self._finish(now)

        return guarded

    def _handle_propose(self, source, message, now):
        core = self._core
        if core.role is core_module.Role.LEADER:
            self._leadership.append(message.body, message.proposal_id, now)
        else:
            core.send(source.instance, self._progress_message(now))

    def _handle_keeper_hello(self, source, message, now):
        if not self._in_memory:
            self._founding.handle_hello(source, message, now)
            self._voter_repair.check_soon()
        return self._finish(now)

    def _handle_progress(self, source, message, now):
        core = self._core
        if self._in_memory:
            return []
        if not core.log_id and not core.has_disk:
            core.log_id = message.log_id
        name = source.instance
        if message.log_id == core.log_id:
            self._proposals.record_leader(message.leader, now)
            if not message.asks or message.applied:
                self._catch_up.record_progress(name, message.applied)
            if not message.asks:
                self._readiness.handle_answer(name, message)
                self._polling.handle_answer(message)
            self._freshness.record_heard(
                message.confirmed_ago, message.applied, now
            )
            self._catch_up.tick(now)
            if self._proposals.has_unsent():
                self._proposals.tick(now)
        if message.asks:
            core.send(name, self._progress_message(now, ask=message.ask))
        return self._finish(now)

    def question(self, now):
        """Return a message that asks an instance for its progress."""
        return self._progress_message(now, asks=True)

    def _progress_message(self, now, asks=False, ask=0):
        """Return a message with the progress of this instance.

        Only a keeper in direct contact with the leader names it.  If
        second-hand information were passed on, two partitioned instances
        could name the lost leader to each other forever, send it proposals,
        and report as unknown what never reached anyone.
        """
        core = self._core
        return messages.Progress(
            core.log_id,
            core.commit,
            self._freshness.heard.age(now),
            self._freshness.proven.age(now),
            core.leader if core.is_voter() else "",
            asks,
            ask,
        )

    # -- effects ----------------------------------------------------------

    def _finish(self, now):
        """Turn the pending output of the core into effects.

        What an exception interrupts is returned by the next call: the sync
        of a later write would count for a write that is lost.
        """
        out, self._unreturned = self._unreturned, []
        try:
            self._collect(out, now)
        except Exception:
            # A callback may have made a call of its own.
            self._unreturned = out + self._unreturned
            raise
        return out

    def _collect(self, out, now):
        core = self._core
        core.maybe_checkpoint()
        core.flush()
        while core.out:
            out.extend(self._to_effects(core.out.popleft(), now))
            core.flush()
        self._freshness.on_applied()
        if self._settled_index < core.commit:
            # An installed checkpoint carries results without their
            # entries, so no Applied item was produced for them.
            self._settled_index = core.commit
            for settled in self._proposals.take_all_applied():
                out.extend(_run_callbacks(settled, now))
        out.extend(self._disseminate(now))

    def _to_effects(self, item, now):
        if isinstance(item, core_module.Send):
            address = self._addresses.address_of(item.to)
            if not address:
                return []
            return [effects.SendPeer(address, item.message)]
        if isinstance(item, core_module.Write):
            return [effects.AppendLog(item.ticket, item.records)]
        if isinstance(item, core_module.Rewrite):
            return [
                effects.ReplaceLog(item.ticket, item.checkpoint, item.records)
            ]
        entry = item.entry
        self._leadership.entry_applied(entry)
        applied = self._proposals.take_applied(
            type(entry.body), entry.proposal_id
        )
        return _run_callbacks(applied, now) if applied else []

    def _disseminate(self, now):
        """Send new entries, and the progress of this instance if due."""
        if self._in_memory or not self._core.log_id:
            return []
        if not self._dissemination.is_due(now):
            return []
        out = []
        for name, message in self._dissemination.due(
            self._progress_message(now), now
        ):
            address = self._addresses.address_of(name)
            if address:
                out.append(effects.SendPeer(address, message))
        return out

    def _broadcast(self, message):
        """Send to all instances or, if many, to a sample and all keepers."""
        addresses = self._neighbours.addresses()
        if len(addresses) > BROADCAST_SAMPLE_SIZE:
            addresses = self._core.rng.sample(addresses, BROADCAST_SAMPLE_SIZE)
            names = self._core.voter_names()
            for name in sorted(names | self._bootstrap):
                address = self._addresses.address_of(name)
                if address and address not in addresses:
                    addresses.append(address)
        return [effects.SendPeer(item, message) for item in addresses]


def _run_callbacks(settled, now):
    callbacks, result = settled
    out = []
    for callback in callbacks:
        out.extend(callback(result, now))
    return out


def _voter_answered(reply):
    return effects.VoterAnswered(reply.request_id, reply.message, reply.remedy)
