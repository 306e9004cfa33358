"""The component that replicates the usage ledger to all instances."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import links
from ..coordination import member_records
from ..coordination import membership
from ..coordination import messages
from ..coordination import usage

# How often new counts are copied to two linked instances, one of them in
# another failure domain if possible.  A crash loses at most the counts of
# this interval and of the time that one message takes.
COPY_INTERVAL_SECONDS = 0.5
# Nothing is sent earlier than this after the start.  By then, the instance
# has heard whether its incarnation, under which it publishes, is its greatest.
SEND_AFTER_START_SECONDS = 2.0
# Finished publishers are folded once all instances have agreed for this long,
# but not earlier than ``FOLD_AFTER_START_SECONDS`` after this instance's
# start, by when it knows all other instances.
AGREEMENT_SECONDS = 5.0
FOLD_AFTER_START_SECONDS = 60.0
SAVE_INTERVAL_SECONDS = 1.0
# Once the journal on disk has this many entries, a checkpoint replaces it.
MAX_JOURNAL_ENTRIES = 600
LEFT = member_records.Standing.LEFT


class Usage(interfaces.Component):
    """Sends usage rows, requests missed ones, and folds finished publishers.

    If ``keeps`` is true, the ledger is also saved to disk.
    """

    def __init__(self, state, keeps=False):
        self._state = state
        self._ledger = state.usage
        self._persists = keeps
        self._sent_versions = {}
        self._incomplete_versions = {}
        self._may_send_at = None
        self._next_copy = 0.0
        self._next_save = 0.0
        self._journal_entries = MAX_JOURNAL_ENTRIES
        self._agreed_since = None
        self._may_fold_at = 0.0

    def handlers(self):
        """Return the handlers of the ledger's events and messages."""
        return {
            events.DayBegan: self._handle_day_began,
            events.UsageLoaded: self._handle_loaded,
            messages.Heartbeat: self._handle_heartbeat,
            usage.UsageRows: self._handle_rows,
            usage.UsageHave: self._handle_have,
            usage.UsageCheckpoint: self._handle_checkpoint,
        }

    def tick(self, now):
        """Send new counts, and fold and save when that is due."""
        if self._may_send_at is None:
            self._may_send_at = now + SEND_AFTER_START_SECONDS
            self._may_fold_at = now + FOLD_AFTER_START_SECONDS
        self._follow_incarnation()
        out = self._save(now)
        if now < self._may_send_at:
            return out
        if self._state.members.heartbeat_now:
            out.extend(self._send_rows(self._row_receivers()))
            out.extend(self._send_summary())
            self._finish_superseded()
            if now >= self._may_fold_at:
                self._fold(now)
        elif now >= self._next_copy and self._state.members.full_mesh():
            out.extend(self._send_rows(self._copy_receivers()))
        else:
            return out
        self._next_copy = now + COPY_INTERVAL_SECONDS
        return out

    def _follow_incarnation(self):
        """Publish under the incarnation by which the others know this one.

        An instance that was started with its wall clock set back raises its
        incarnation when it learns of an earlier, greater one.  After a
        partition that may be long after its start.
        """
        own = self._state.identity
        folded = self._ledger.folded_through(own.instance)
        if folded >= own.incarnation:
            own.incarnation = folded + 1
            self._state.members.note_own()
        published = self._ledger.own.incarnation
        if own.incarnation == published:
            return
        if self._sent_versions and folded < published:
            self._ledger.succeed_own(own.incarnation)
        else:
            self._ledger.rename_own(own.incarnation)
        self._sent_versions.clear()

    def _row_receivers(self):
        """Return the receivers of new rows: all links, or one relay.

        The relays of a domain get each other's rows by comparing.  Half of
        the instances send to the one and half to the other, each always to
        the same: a different relay would need all rows since the last time.
        """
        members = self._state.members
        if members.full_mesh():
            return members.links()
        own = self._state.identity
        relays = members.relays_of(own.failure_domain)
        number, _ = links.hash_order_key(own.instance)
        return [relays[number % len(relays)]] if relays else []

    def _holds_all_rows(self):
        """Return whether this instance holds the rows of all others."""
        members = self._state.members
        return members.full_mesh() or members.is_relay()

    def _copy_receivers(self):
        """Return two links to hold copies, in two domains if possible."""
        linked = self._state.members.links()
        domain = self._state.identity.failure_domain
        near = [item for item in linked if item.failure_domain == domain]
        far = [item for item in linked if item.failure_domain != domain]
        return [*near[:1], *far[:1]] if near and far else linked[:2]

    def _send_rows(self, receivers):
        """Send each receiver the rows that changed since the last time."""
        version = self._ledger.own_version()
        out = []
        for member in receivers:
            key = (member.instance, member.incarnation)
            sent = self._sent_versions.get(key, 0)
            if sent == version:
                continue
            rows = self._ledger.rows_since(self._ledger.own, sent)
            self._sent_versions[key] = version
            out.append(effects.SendPeer(member.address, rows))
        return out

    def _send_summary(self):
        """Send one random link a summary of all rows stored here.

        This transfers rows that were lost, and those of instances to which
        this one has no link.  Relays receive the rows of the other domains
        this way.
        """
        members = self._state.members
        linked = members.links()
        if members.is_relay():
            linked = [item for item in linked if members.is_relay_of(item)]
        elif not members.full_mesh():
            return []
        if not linked:
            return []
        member = self._state.rng.choice(linked)
        return [effects.SendPeer(member.address, self._ledger.have())]

    def _handle_heartbeat(self, source, message, now):
        member = self._state.members.members[source.instance]
        same = message.usage_finished == self._ledger.finished_root()
        member.usage_agreed_at = now if same else float("-inf")
        publisher = usage.Publisher(source.instance, source.incarnation)
        if not self._holds_all_rows():
            return []
        if message.usage_version <= self._ledger.held_version(publisher):
            return []
        # Rows sent with this heartbeat may still be in flight.  Rows that are
        # missing at the next heartbeat were lost.
        if self._incomplete_versions.get(
            publisher
        ) != self._ledger.held_version(publisher):
            self._incomplete_versions[publisher] = self._ledger.held_version(
                publisher
            )
            return []
        want = self._ledger.want(publisher)
        return [effects.SendPeer(source.address, want)]

    def _handle_rows(self, source, message, now):
        if self._ledger.merge(message):
            return []
        want = self._ledger.want(message.publisher)
        return [effects.SendPeer(source.address, want)]

    def _handle_have(self, source, message, now):
        out = self._ledger.answer(message)
        if message.ask and self._ledger.is_behind(message):
            out.append(self._ledger.have(ask=False))
        return [effects.SendPeer(source.address, item) for item in out]

    def _handle_checkpoint(self, source, message, now):
        self._ledger.adopt(message)
        return []

    def _finish_superseded(self):
        """Mark the publishers that no longer count as finished.

        An instance that is considered failed may be partitioned and still be
        counting.  Only a later incarnation of the instance, or its own
        message that it leaves, finishes a publisher.
        """
        for instance, publishers in self._ledger.unfolded().items():
            *earlier, last = publishers
            for publisher in earlier:
                self._ledger.finish(publisher)
            member = self._state.members.members.get(instance)
            if member is None:
                continue
            if last.incarnation < member.incarnation:
                self._ledger.finish(last)
            elif member.standing is LEFT:
                self._ledger.finish(last)

    def _fold(self, now):
        """Fold finished publishers once all instances have agreed."""
        if not self._ledger.finished or not self._all_agree(now):
            self._agreed_since = None
            return
        if self._agreed_since is None:
            self._agreed_since = now
        if now - self._agreed_since >= AGREEMENT_SECONDS:
            self._ledger.fold()

    def _all_agree(self, now):
        """Return whether all other instances hold the same finished rows.

        A failed instance may hold rows that no other instance has, so it is
        waited for until it is back or has been removed from the membership.
        """
        return all(
            now - item.usage_agreed_at < membership.SILENT_AFTER_SECONDS
            for item in self._state.members.members.values()
            if item.standing is not LEFT
        )

    def _handle_day_began(self, event, now):
        self._ledger.day = event.day
        return []

    def _handle_loaded(self, event, now):
        self._ledger.restore(event.snapshot, event.journal)
        return []

    def _save(self, now):
        if not self._persists or now < self._next_save:
            return []
        self._next_save = now + SAVE_INTERVAL_SECONDS
        entries = self._ledger.unsaved()
        if not entries:
            return []
        self._journal_entries += len(entries)
        if self._journal_entries < MAX_JOURNAL_ENTRIES:
            return [effects.AppendUsage(entries)]
        self._journal_entries = 0
        return [effects.ReplaceUsage(self._ledger.snapshot())]
