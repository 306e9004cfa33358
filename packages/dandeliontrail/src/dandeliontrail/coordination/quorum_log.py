"""One replica of the quorum log, as the rest of an instance sees it.

The keepers agree on one ordered log; every instance applies its entries in
order.  How a component uses it:

* It defines its kind of entry as a tagged ``msgspec.Struct`` and adds it to
  ``ALL`` in :mod:`.quorum_log_entries`.
* It registers an applier, once, when the reducer is put together::

      state.log.register(LeaseRequest, LeaseApplier(table))

  The applier (:class:`.quorum_log_machine.Applier`) is handed the entries of
  that kind in log order, on every instance alike: ``apply(version, entry)``
  returns a result.  It uses no clock and no chance; what depends on either
  is put into the entry by its proposer.  ``dump`` and ``load`` make its
  state part of the checkpoints, and ``result_type`` lets kept results be
  read back.
* It proposes an entry from inside the reducer and gets the result back
  there::

      return state.log.propose(entry, proposal_id, now, self._settled)

  ``propose`` returns effects, to be returned from the handler.  Later
  ``self._settled(settled, now)`` is called exactly once with a
  :class:`Settled` and returns effects in turn.  The entry has then taken
  effect *on this instance*, so what is read here afterwards shows it.

``proposal_id`` is unique to the proposal: the same id proposed again, on
any instance, takes effect once and gives the first result, for as long as
results are kept (:data:`.quorum_log_machine.KEPT_RESULTS` of each kind).

``NOT_RUN`` is said only where the proposal was never sent to anyone who
could have appended it; everything else that fails is ``UNKNOWN``.

An instance whose settings name no keepers at all is the one voter of a log
of its own, in memory: for embedding and tests.
"""

from .. import effects
from .. import errors
from . import quorum_log_catch_up as catch_up_module
from . import quorum_log_core as core_module
from . import quorum_log_election as election_module
from . import quorum_log_follower as follower_module
from . import quorum_log_founding as founding_module
from . import quorum_log_freshness as freshness_module
from . import quorum_log_leader as leader_module
from . import quorum_log_machine as machine_module
from . import quorum_log_messages as messages
from . import quorum_log_options as options_module
from . import quorum_log_proposals as proposals_module
from . import quorum_log_proving as proving_module
from . import quorum_log_records as records
from . import quorum_log_repair as repair_module
from . import quorum_log_spreading as spreading_module
from . import quorum_log_start as start_module
from . import quorum_log_status as status_module
from . import quorum_log_voters as voters_module

Settled = proposals_module.Settled
SettledKind = proposals_module.SettledKind

# A starting instance asks so many others at once how far they are.
ASKED_AT_ONCE = 32


class QuorumLog:
    """The replica of one instance.  ``open`` it before all else."""

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
        self._machine = machine_module.Machine()
        core = core_module.Core(name, folder, rng, self._machine)
        self._core = core
        self._freshness = freshness_module.Freshness(self._machine)
        self._leadership = leader_module.Leadership(core, self._freshness)
        self._election = election_module.Election(core, self._leadership.begin)
        self._following = follower_module.Following(
            core, self._election, self._freshness
        )
        self._founding = founding_module.Founding(
            core, bootstrap if options.may_found else ()
        )
        self._catch_up = catch_up_module.CatchUp(core, neighbours)
        self._proposals = proposals_module.Proposals(
            core, self._leadership, sorted(bootstrap)
        )
        self._voters = voters_module.VoterChanges(
            core, self._leadership, self._founding
        )
        self._start = start_module.Start(
            core, self._freshness, self._catch_up, neighbours
        )
        self._proving = proving_module.Proving(
            core, self._freshness, neighbours, options.proves_often
        )
        self._repair = repair_module.VoterRepair(
            core,
            self._leadership,
            self._founding,
            neighbours,
            options.wanted_voters,
        )
        # Whether the disk held a log when this process started.
        self.resumed = False
        self._spreading = spreading_module.Spreading(core, neighbours)
        self._settled = 0
        self._was_stale = False
        self._was_leader = ""

    # -- the seam ---------------------------------------------------------

    def register(self, kind, applier):
        """Have ``applier`` apply the entries of type ``kind``."""
        self._machine.register(kind, applier)

    def propose(self, body, proposal_id, now, on_settled):
        """Propose an entry; return effects.

        ``on_settled(settled, now)`` is called once and returns effects.
        """
        self._proposals.add(body, proposal_id, now, on_settled)
        known = self._proposals.take_applied(type(body), proposal_id)
        out = _call(known, now) if known else []
        return out + self._finish(now)

    def change_voter(self, action, name, request_id, now):
        """Ask for a keeper more or less; return effects.

        The leader's answer comes as an ``effects.VoterAnswered``.
        """
        leader = self.leader(now)
        reply = self._voters.ask(action, name, request_id, leader, now)
        out = [_answered(reply)] if reply else []
        return out + self._finish(now)

    def _voter_answered(self, source, message, now):
        return [_answered(message)]

    @property
    def applied(self):
        """Return the position of the last entry applied here."""
        return self._machine.applied

    @property
    def ready(self):
        """Tell whether the state here may be served from."""
        return self._start.ready

    def voter_names(self):
        """Return the names of the keepers that vote, as the log has them."""
        return self._core.voter_names()

    def stale(self, now):
        """Tell whether a majority has not been heard of for a while."""
        return self._freshness.stale(now)

    def proven_ago(self, now):
        """Return the proven age of the state in seconds, or ``None``.

        All that was committed so many seconds ago is certainly applied here.
        """
        ago = self._freshness.proven.ago(now)
        return None if ago < 0 else ago

    def leader(self, now):
        """Return the name of the leader where it is known, or ''."""
        return self._proposals.leader(now)

    def status(self, now):
        """Return how this replica stands."""
        core = self._core
        return status_module.LogStatus(
            core.role.value,
            core.term,
            self.leader(now),
            core.commit,
            round(self._freshness.heard.ago(now), 3),
            self.stale(now),
            self.ready,
            self._in_memory,
            core.halted,
            list(core.log.voters),
            self._founding.missing(),
        )

    # -- events -----------------------------------------------------------

    def open(self, now=0.0):
        """Start from the disk, after all appliers are registered."""
        restored = records.restore(self._keeper) if self._keeper else None
        if restored:
            self._core.restore(restored)
        self.resumed = bool(self._core.log_id)
        if self._in_memory:
            self._founding.alone()
            self._election.tick(now)
            self._start.ready = True
        return self._finish(now)

    def tick(self, now):
        """Return the effects that are due."""
        core = self._core
        if self._in_memory:
            self._leadership.tick(now)
            return self._finish(now)
        greeting = self._founding.tick(now)
        out = self._broadcast(greeting) if greeting else []
        ask = self._start.asks(now)
        if ask:
            question = self._progress(now, asks=True, ask=ask)
            out.extend(self._broadcast(question))
        else:
            out.extend(self._ask_keepers(now))
        self._election.tick(now)
        self._leadership.tick(now)
        self._catch_up.tick(now)
        self._proposals.tick(now)
        out.extend(self._prove(now))
        changed = self._repair.tick(now)
        if changed:
            out.append(effects.Log("info", "keepers repaired", changed))
        for expired in self._proposals.take_expired(now):
            out.extend(_call(expired, now))
        if self._start.tick(now):
            fields = {"applied": core.commit, "stale": self.stale(now)}
            out.append(effects.Log("info", "state is current", fields))
        out.extend(self._tell_stale(now))
        out.extend(self._tell_leader(now))
        out.extend(self._finish(now))
        return out

    def _ask_keepers(self, now):
        """Ask the keepers alone how far they are, right after a start."""
        ask = self._start.asks_keepers(now)
        if not ask:
            return []
        question = self._progress(now, asks=True, ask=ask)
        names = self._core.voter_names()
        found = [
            self._neighbours.address_of(name)
            for name in sorted(names | self._bootstrap)
        ]
        return [effects.SendPeer(item, question) for item in found if item]

    def _prove(self, now):
        """Ask a keeper how far it is, where that is due."""
        asked = self._proving.question(self.leader(now), now)
        if asked is None:
            return []
        name, number = asked
        address = self._neighbours.address_of(name)
        if not address:
            return []
        question = self._progress(now, asks=True, ask=number)
        return [effects.SendPeer(address, question)]

    def synced(self, ticket, now):
        """Take note that a write and all before are on the disk."""
        self._core.synced(ticket)
        return self._finish(now)

    def storage_failed(self, detail, now):
        """Stop being a keeper; go on serving as a learner."""
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
        """Return the map from message type to ``handler``."""
        return {
            messages.VoteRequest: self._guard(self._election.request),
            messages.VoteReply: self._guard(self._election.reply),
            messages.AppendRequest: self._guard(self._following.request),
            messages.AppendReply: self._guard(self._leadership.reply),
            messages.Fetch: self._guard(self._catch_up.fetch),
            messages.Committed: self._guard(self._catch_up.committed),
            messages.CheckpointSent: self._guard(self._catch_up.checkpoint),
            messages.Propose: self._guard(self._proposed),
            voters_module.VoterRequest: self._guard(self._voters.requested),
            voters_module.VoterReply: self._voter_answered,
            messages.Progress: self._progress_heard,
            messages.KeeperHello: self._keeper_hello,
        }

    def _guard(self, handler):
        """Hand on only messages of the own log.

        A keeper whose log is found to contradict another's must not go on
        voting and acknowledging on top of it: it stops, and serves on as a
        learner until somebody has looked.
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

    def _proposed(self, source, message, now):
        core = self._core
        if core.role is core_module.Role.LEADER:
            self._leadership.append(message.body, message.proposal_id, now)
        else:
            core.send(source.instance, self._progress(now))

    def _keeper_hello(self, source, message, now):
        if not self._in_memory:
            self._founding.hello(source, message, now)
        return self._finish(now)

    def _progress_heard(self, source, message, now):
        core = self._core
        if self._in_memory:
            return []
        if not core.log_id and not core.disk:
            core.log_id = message.log_id
        name = source.instance
        if message.log_id == core.log_id:
            self._proposals.hear_leader(message.leader, now)
            if not message.asks or message.applied:
                self._catch_up.hear(name, message.applied)
            if not message.asks:
                self._start.hear(name, message)
                self._proving.hear(message)
            self._freshness.hear(message.confirmed_ago, message.applied, now)
            self._catch_up.tick(now)
            if self._proposals.wants_leader():
                self._proposals.tick(now)
        if message.asks:
            core.send(name, self._progress(now, ask=message.ask))
        return self._finish(now)

    def question(self, now):
        """Return the message that asks an instance how far it is."""
        return self._progress(now, asks=True)

    def _progress(self, now, asks=False, ask=0):
        """Return how far this instance is.

        Only a keeper that hears the leader itself names it.  Were hearsay
        passed on, two instances that are cut off would tell each other of
        the lost leader for good, send it writes, and call them unknown
        that were never sent.
        """
        core = self._core
        return messages.Progress(
            core.log_id,
            core.commit,
            self._freshness.heard.ago(now),
            self._freshness.proven.ago(now),
            core.leader if core.is_voter() else "",
            asks,
            ask,
        )

    # -- effects ----------------------------------------------------------

    def _finish(self, now):
        """Turn what the parts put out into effects."""
        core = self._core
        out = []
        core.maybe_checkpoint()
        core.flush()
        while core.out:
            out.extend(self._carry(core.out.popleft(), now))
            core.flush()
        self._freshness.applied()
        if self._settled < core.commit:
            # A checkpoint brings results without the entries themselves.
            self._settled = core.commit
            for settled in self._proposals.take_known():
                out.extend(_call(settled, now))
        out.extend(self._notify(now))
        return out

    def _carry(self, item, now):
        if isinstance(item, core_module.Send):
            address = self._neighbours.address_of(item.to)
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
        self._leadership.settled(entry)
        known = self._proposals.take_applied(
            type(entry.body), entry.proposal_id
        )
        return _call(known, now) if known else []

    def _notify(self, now):
        """Pass on what is new here, or how far it is where that is due."""
        if self._in_memory or not self._core.log_id:
            return []
        out = []
        for name, message in self._spreading.due(self._progress(now), now):
            address = self._neighbours.address_of(name)
            if address:
                out.append(effects.SendPeer(address, message))
        return out

    def _broadcast(self, message):
        """Send to everyone or, of many, to the keepers and some others."""
        addresses = self._neighbours.addresses()
        if len(addresses) > ASKED_AT_ONCE:
            addresses = self._core.rng.sample(addresses, ASKED_AT_ONCE)
            names = self._core.voter_names()
            for name in sorted(names | self._bootstrap):
                address = self._neighbours.address_of(name)
                if address and address not in addresses:
                    addresses.append(address)
        return [effects.SendPeer(item, message) for item in addresses]

    def _tell_leader(self, now):
        leader = self.leader(now)
        if leader == self._was_leader:
            return []
        fields = {
            "leader": leader,
            "before": self._was_leader,
            "term": self._core.term,
        }
        self._was_leader = leader
        return [effects.Log("info", "leader of the keepers", fields)]

    def _tell_stale(self, now):
        stale = self.ready and self.stale(now)
        if stale == self._was_stale:
            return []
        self._was_stale = stale
        if not stale:
            return [effects.Log("info", "state is fresh again")]
        fields = {"applied": self._core.commit}
        text = "state is stale: no majority of keepers is heard"
        return [effects.Log("warning", text, fields)]


def _call(settled, now):
    calls, result = settled
    out = []
    for call in calls:
        out.extend(call(result, now))
    return out


def _answered(reply):
    return effects.VoterAnswered(reply.request_id, reply.message, reply.remedy)
