"""The component that keeps the usage ledger the same everywhere."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import links
from ..coordination import member_records
from ..coordination import membership
from ..coordination import messages
from ..coordination import usage

# Two links, one of them in another failure domain where there is any, get
# what was counted this often: the most that a crash loses is what was
# counted since, and the time of one message.
COPY_INTERVAL = 0.5
# Nothing is sent sooner after the start: by then this instance has heard
# whether its incarnation is the greatest, under which it publishes.
SETTLE_SECONDS = 2.0
# All must have agreed for so long before finished publishers are folded,
# and not before everybody has had the time to be known after a start.
AGREE_SECONDS = 5.0
FOLD_AFTER_START = 60.0
SAVE_INTERVAL = 1.0
# After so many journal entries the disk gets a checkpoint in their place.
JOURNAL_LENGTH = 600
LEFT = member_records.Standing.LEFT


class Usage(interfaces.Component):
    """Sends rows, asks for those that were missed, and folds old ones."""

    def __init__(self, state, keeps=False):
        self._state = state
        self._ledger = state.usage
        self._keeps = keeps
        self._sent = {}
        self._asked = {}
        self._settled_at = None
        self._next_copy = 0.0
        self._next_save = 0.0
        self._journal = JOURNAL_LENGTH
        self._agreed_since = None
        self._may_fold_at = 0.0

    def handlers(self):
        """Return the handlers of the ledger's messages."""
        return {
            events.DayBegan: self._day_began,
            events.UsageLoaded: self._loaded,
            messages.Heartbeat: self._heartbeat,
            usage.UsageRows: self._rows,
            usage.UsageHave: self._have,
            usage.UsageCheckpoint: self._checkpoint,
        }

    def tick(self, now):
        """Send what was counted, and fold and save when that is due."""
        if self._settled_at is None:
            self._settled_at = now + SETTLE_SECONDS
            self._may_fold_at = now + FOLD_AFTER_START
        self._follow_incarnation()
        out = self._save(now)
        if now < self._settled_at:
            return out
        if self._state.members.heartbeat_now:
            out.extend(self._send_rows(self._audience()))
            out.extend(self._compare())
            self._finish_superseded()
            if now >= self._may_fold_at:
                self._fold(now)
        elif now >= self._next_copy and self._state.members.full_mesh():
            out.extend(self._send_rows(self._copies()))
        else:
            return out
        self._next_copy = now + COPY_INTERVAL
        return out

    def _follow_incarnation(self):
        """Publish under the incarnation that the others go by.

        A start that found its wall clock set back takes a greater one once
        it is told, which may be long after, where it was cut off.
        """
        own = self._state.identity
        folded = self._ledger.folded_through(own.instance)
        if folded >= own.incarnation:
            own.incarnation = folded + 1
            self._state.members.note_own()
        present = self._ledger.own.incarnation
        if own.incarnation == present:
            return
        if self._sent and folded < present:
            self._ledger.succeed_own(own.incarnation)
        else:
            self._ledger.rename_own(own.incarnation)
        self._sent.clear()

    def _audience(self):
        """Return whom to tell of new rows: all, or one relay.

        The relays know each other's rows from comparing.  Half of the
        instances tell the one, half the other, and each always the same:
        another would need all rows since it was last told.
        """
        members = self._state.members
        if members.full_mesh():
            return members.links()
        own = self._state.identity
        relays = members.relays_of(own.failure_domain)
        number, _ = links.place(own.instance)
        return [relays[number % len(relays)]] if relays else []

    def _collects(self):
        """Tell whether this instance holds the rows of all others."""
        members = self._state.members
        return members.full_mesh() or members.is_relay()

    def _copies(self):
        """Return two links that hold copies, in two failure domains."""
        linked = self._state.members.links()
        domain = self._state.identity.failure_domain
        near = [item for item in linked if item.failure_domain == domain]
        far = [item for item in linked if item.failure_domain != domain]
        return [*near[:1], *far[:1]] if near and far else linked[:2]

    def _send_rows(self, audience):
        """Tell each member what was counted since it was last told."""
        version = self._ledger.own_version()
        out = []
        for member in audience:
            key = (member.instance, member.incarnation)
            sent = self._sent.get(key, 0)
            if sent == version:
                continue
            rows = self._ledger.rows_since(self._ledger.own, sent)
            self._sent[key] = version
            out.append(effects.SendPeer(member.address, rows))
        return out

    def _compare(self):
        """Tell one link in turn all that is held here.

        Rows that were lost, and those of instances to which this one has
        no link, come by this way; with relays, it is how these know each
        other's domains.
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

    def _heartbeat(self, source, message, now):
        member = self._state.members.members[source.instance]
        same = message.usage_finished == self._ledger.finished_root()
        member.agreed = now if same else float("-inf")
        publisher = usage.Publisher(source.instance, source.incarnation)
        if not self._collects():
            return []
        if message.usage_version <= self._ledger.held_version(publisher):
            return []
        # Rows of the same heartbeat may still be on their way; what is
        # missing at the next one was lost.
        if self._asked.get(publisher) != self._ledger.held_version(publisher):
            self._asked[publisher] = self._ledger.held_version(publisher)
            return []
        want = self._ledger.want(publisher)
        return [effects.SendPeer(source.address, want)]

    def _rows(self, source, message, now):
        if self._ledger.merge(message):
            return []
        want = self._ledger.want(message.publisher)
        return [effects.SendPeer(source.address, want)]

    def _have(self, source, message, now):
        out = self._ledger.answer(message)
        if message.ask and self._ledger.is_behind(message):
            out.append(self._ledger.have(ask=False))
        return [effects.SendPeer(source.address, item) for item in out]

    def _checkpoint(self, source, message, now):
        self._ledger.adopt(message)
        return []

    def _finish_superseded(self):
        """Mark the publishers that count no more.

        An instance that is taken for failed may only be cut off and go on
        counting, so just a later start of it, or its own word that it
        leaves, ends a publisher.
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
        """Fold once all instances have held the same for a while."""
        if not self._ledger.finished or not self._all_agree(now):
            self._agreed_since = None
            return
        if self._agreed_since is None:
            self._agreed_since = now
        if now - self._agreed_since >= AGREE_SECONDS:
            self._ledger.fold()

    def _all_agree(self, now):
        """Tell whether every other instance holds the same.

        One that is taken for failed may hold rows that nobody else has, so
        it counts until it is back or forgotten.
        """
        return all(
            now - item.agreed < membership.SILENT_AFTER
            for item in self._state.members.members.values()
            if item.standing is not LEFT
        )

    def _day_began(self, event, now):
        self._ledger.day = event.day
        return []

    def _loaded(self, event, now):
        self._ledger.restore(event.snapshot, event.journal)
        return []

    def _save(self, now):
        if not self._keeps or now < self._next_save:
            return []
        self._next_save = now + SAVE_INTERVAL
        entries = self._ledger.unsaved()
        if not entries:
            return []
        self._journal += len(entries)
        if self._journal < JOURNAL_LENGTH:
            return [effects.AppendUsage(entries)]
        self._journal = 0
        return [effects.ReplaceUsage(self._ledger.snapshot())]
