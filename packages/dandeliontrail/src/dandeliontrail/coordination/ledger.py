"""The usage ledger: usage by organisation, replicated to all instances.

Every instance counts into its own rows and holds copies of the rows of all
others.  Rows belong to a publisher, which is one incarnation of an instance
and so new with each start.  A publisher numbers its changes, so a single
number states how much of it a replica holds: this is the version vector of
Scuttlebutt and Dynamo (see the notes "scalable secure scuttlebutt",
append-only gossip).  A merge takes the maximum of each count, which is
commutative, associative and idempotent: duplicated and reordered messages
and partitions neither lose counts nor count twice.

    >>> one = UsageLedger(usage.Publisher("i1", 1))
    >>> one.day = "2026-03-14"
    >>> one.count("lab", "lookup", usage.Totals(1, 10, 5, 0))
    >>> two = UsageLedger(usage.Publisher("i2", 1))
    >>> two.merge(one.rows_since(one.own, 0))
    True
    >>> two.used("lab", "lookup").output_tokens
    5

The publishers of earlier starts are folded into one checkpoint per instance
as soon as all instances hold them, so an instance that restarts 200 times
needs no more rows than one that never did.
"""

from .. import errors
from .. import invariants
from . import digests
from . import usage
from . import usage_rows
from . import usage_totals

Totals = usage.Totals


class UsageLedger:
    """Totals by organisation, class and day, merged over all instances.

    ``day`` is the current UTC date, set by the caller.  ``late`` counts the
    adopted checkpoints that lacked rows which this instance had.
    ``finished`` has the publishers that count no more and can be folded.
    """

    __slots__ = (
        "own",
        "day",
        "late",
        "finished",
        "totals",
        "own_totals",
        "_publishers",
        "_checkpoints",
        "_changed_checkpoints",
    )

    def __init__(self, own):
        self.own = own
        self.day = ""
        self.late = 0
        self.finished = set()
        self.totals = usage_totals.UsageTotals()
        self.own_totals = usage_totals.UsageTotals()
        self._publishers = {own: usage_rows.PublisherRows()}
        self._checkpoints = {}
        self._changed_checkpoints = set()

    def count(self, organisation, class_name, amount):
        """Add ``amount`` to this instance's rows; nothing makes no row."""
        if not any(amount.counts()):
            return
        replica = self._publishers[self.own]
        key = usage.UsageKey(self.day, organisation, class_name)
        row = replica.rows.get(key) or usage_rows.Row(0, Totals())
        replica.version += 1
        row.version = replica.version
        row.totals.add(amount)
        replica.move_to_end(key, row)
        replica.unsaved.add(key)
        self.totals.add(key, amount)
        self.own_totals.add(key, amount)

    def used_elsewhere(self, organisation, class_name):
        """Return the totals counted by other instances or incarnations.

        An empty class name selects all classes.
        """
        if not class_name:
            own = self.own_totals.of_organisation(organisation)
            return self.totals.of_organisation(organisation).minus(own)
        own = self.own_totals.of_class(organisation, class_name)
        return self.totals.of_class(organisation, class_name).minus(own)

    def used(self, organisation, class_name):
        """Return the totals of an organisation in a class over all days."""
        return self.totals.of_class(organisation, class_name)

    def used_by(self, organisation):
        """Return the totals of an organisation over all classes and days."""
        return self.totals.of_organisation(organisation)

    def used_today(self, organisation):
        """Return the totals of an organisation on the current day."""
        return self.totals.of_day(organisation, self.day)

    def version(self):
        """Return a number that grows with every change to the ledger.

        Two instances with the same contents have the same number.
        """
        live = sum(replica.version for replica in self._publishers.values())
        folded = sum(item.versions for item in self._checkpoints.values())
        return live + folded

    def own_version(self):
        """Return the version of this instance's own rows."""
        return self._publishers[self.own].version

    def held_version(self, publisher):
        """Return the version up to which a publisher's rows are complete."""
        replica = self._publishers.get(publisher)
        return replica.version if replica else 0

    def publishers_of(self, instance):
        """Return the publishers of an instance that are not folded yet."""
        return sorted(
            item for item in self._publishers if item.instance == instance
        )

    def unfolded(self):
        """Return the publishers not folded yet by instance, oldest first."""
        by_instance = {}
        for publisher in sorted(self._publishers):
            by_instance.setdefault(publisher.instance, []).append(publisher)
        return by_instance

    def folded_through(self, instance):
        """Return the highest folded incarnation of an instance, or -1."""
        checkpoint = self._checkpoints.get(instance)
        return checkpoint.through if checkpoint else -1

    def succeed_own(self, incarnation):
        """Continue counting as a new publisher; keep the present rows."""
        self.own = usage.Publisher(self.own.instance, incarnation)
        self._publishers[self.own] = usage_rows.PublisherRows()

    def rename_own(self, incarnation):
        """Move all own rows to a publisher with a higher incarnation.

        Allowed only if no other instance counts the rows under the present
        publisher: either none has received them, or all will discard them
        because that incarnation is folded already.
        """
        before = self.own
        self.own = usage.Publisher(before.instance, incarnation)
        self._publishers[self.own] = self._publishers.pop(before)

    def rows_since(self, publisher, since):
        """Return the rows of a publisher that changed after ``since``."""
        replica = self._publishers[publisher]
        rows = []
        for key, row in reversed(replica.rows.items()):
            if row.version > since:
                rows.append(usage.UsageRow(key, row.version, row.totals))
            elif replica.ordered:
                break
        rows.reverse()
        return usage.UsageRows(publisher, since, replica.version, rows)

    def merge(self, message):
        """Merge rows; return whether the publisher's rows have no gaps."""
        publisher = message.publisher
        if publisher == self.own or self._is_folded(publisher):
            return True
        replica = self._publishers.setdefault(
            publisher, usage_rows.PublisherRows()
        )
        for item in message.rows:
            self._merge_row(replica, item)
        return replica.add_range(message.since, message.through)

    def _merge_row(self, replica, update):
        row = replica.rows.get(update.key) or usage_rows.Row(0, Totals())
        merged = usage.maximum(row.totals, update.totals)
        increase = merged.minus(row.totals)
        invariants.check(
            min(increase.counts()) >= 0,
            "usage_never_shrinks_within_a_publisher",
            update.key.organisation,
        )
        if update.version > row.version:
            row.version = update.version
            replica.move_to_end(update.key, row)
        if any(increase.counts()):
            row.totals = merged
            replica.unsaved.add(update.key)
            self.totals.add(update.key, increase)

    def _is_folded(self, publisher):
        return publisher.incarnation <= self.folded_through(publisher.instance)

    def have(self, ask=True):
        """Return the versions held, for another instance to compare.

        ``ask`` requests the same message in return.
        """
        versions = [
            usage.PublisherVersion(publisher, replica.version)
            for publisher, replica in sorted(self._publishers.items())
        ]
        checkpoints = {
            instance: item.through
            for instance, item in sorted(self._checkpoints.items())
        }
        return usage.UsageHave(versions, checkpoints, ask)

    def want(self, publisher):
        """Return a request for the missing rows of one publisher."""
        version = usage.PublisherVersion(
            publisher, self.held_version(publisher)
        )
        return usage.UsageHave([version], {}, ask=False, whole=False)

    def answer(self, have):
        """Return the messages with all that the sender of ``have`` lacks.

        Checkpoints come first, so that the rows that follow are added to
        them.
        """
        if not have.whole:
            return self._requested_rows(have)
        messages = [
            self.checkpoint_message(instance)
            for instance, checkpoint in sorted(self._checkpoints.items())
            if checkpoint.through > have.checkpoints.get(instance, -1)
        ]
        theirs = {item.publisher: item.version for item in have.versions}
        for publisher, replica in sorted(self._publishers.items()):
            folded = have.checkpoints.get(publisher.instance, -1)
            if publisher.incarnation <= folded:
                continue
            version = theirs.get(publisher, 0)
            if replica.version > version:
                messages.append(self.rows_since(publisher, version))
        return messages

    def _requested_rows(self, have):
        return [
            self.rows_since(item.publisher, item.version)
            for item in have.versions
            if item.publisher in self._publishers
            and self.held_version(item.publisher) > item.version
        ]

    def is_behind(self, have):
        """Return whether the sender of ``have`` has data missing here."""
        for item in have.versions:
            if self._is_folded(item.publisher):
                continue
            if item.version > self.held_version(item.publisher):
                return True
        return any(
            through > self.folded_through(instance)
            for instance, through in have.checkpoints.items()
        )

    def finish(self, publisher):
        """Mark a publisher that will count no more as ready for folding."""
        if publisher == self.own or publisher not in self._publishers:
            return
        if self._publishers[publisher].rows:
            self.finished.add(publisher)
        else:
            # It never counted anything, and some instances may not know it.
            del self._publishers[publisher]

    def finished_root(self):
        """Return a hash over all finished publishers and their versions.

        Folding does not change it, so it can be compared between instances
        of which only some have folded.
        """
        root = 0
        for checkpoint in self._checkpoints.values():
            root ^= checkpoint.root
        for publisher in self.finished:
            root ^= _publisher_hash(
                publisher, self._publishers[publisher].version
            )
        return root

    def fold(self):
        """Fold the finished publishers; return how many were folded.

        To be called only if all instances hold the same rows of them: a row
        that arrived later would be dropped.  The publishers of an instance
        are folded in the order of their incarnations without skipping any,
        so of two checkpoints of an instance the one with the higher
        incarnation contains the other.
        """
        count = 0
        for instance in sorted({item.instance for item in self.finished}):
            for publisher in self.publishers_of(instance):
                if publisher not in self.finished:
                    break
                self._fold(publisher)
                count += 1
        return count

    def _fold(self, publisher):
        instance = publisher.instance
        old = self._checkpoints.get(instance) or usage_rows.Checkpoint()
        replica = self._publishers[publisher]
        checkpoint = usage_rows.Checkpoint(
            publisher.incarnation,
            old.root ^ _publisher_hash(publisher, replica.version),
            old.versions + replica.version,
        )
        checkpoint.rows.update(old.rows)
        for key, row in replica.rows.items():
            before = checkpoint.rows.get(key, usage_totals.NO_USAGE)
            checkpoint.rows[key] = before.plus(row.totals)
        self._replace_checkpoint(instance, checkpoint, [publisher])

    def _replace_checkpoint(self, instance, checkpoint, covered):
        """Use a complete checkpoint in place of all that it covers.

        All that may fail has been done before, so that an exception leaves
        the ledger as it was.
        """
        for publisher in covered:
            del self._publishers[publisher]
            self.finished.discard(publisher)
        self._checkpoints[instance] = checkpoint
        self._changed_checkpoints.add(instance)

    def checkpoint_message(self, instance):
        """Return the checkpoint of an instance as a message."""
        checkpoint = self._checkpoints[instance]
        rows = [
            usage.UsageRow(key, 0, totals)
            for key, totals in sorted(checkpoint.rows.items())
        ]
        return usage.UsageCheckpoint(
            instance,
            checkpoint.through,
            checkpoint.root,
            checkpoint.versions,
            rows,
        )

    def adopt(self, message):
        """Replace all that a received checkpoint covers by its totals.

        A checkpoint that covers no more than the present one is ignored.
        """
        instance = message.instance
        if message.through <= self.folded_through(instance):
            return
        before = self.version()
        checkpoint = usage_rows.Checkpoint(
            message.through, message.root, message.versions
        )
        for row in message.rows:
            checkpoint.rows[row.key] = row.totals.copy()
        covered = [
            publisher
            for publisher in self.publishers_of(instance)
            if publisher.incarnation <= message.through
            and publisher != self.own
        ]
        self.totals.replace(
            self._rows_covered(instance, covered), checkpoint.rows.items()
        )
        self._replace_checkpoint(instance, checkpoint, covered)
        if self.version() < before:
            # This instance held rows that were not folded into the
            # checkpoint; docs/design/ledger.md says when that can happen.
            self.late += 1

    def _rows_covered(self, instance, publishers):
        """Return the pairs of key and counts that a checkpoint replaces."""
        old = self._checkpoints.get(instance)
        pairs = list(old.rows.items()) if old else []
        for publisher in publishers:
            rows = self._publishers[publisher].rows
            pairs.extend((key, row.totals) for key, row in rows.items())
        return pairs

    def unsaved(self):
        """Return the changes since the last call, for the disk's journal."""
        messages = [
            self.checkpoint_message(instance)
            for instance in sorted(self._changed_checkpoints)
        ]
        self._changed_checkpoints.clear()
        for publisher, replica in sorted(self._publishers.items()):
            if replica.unsaved:
                rows = _select_rows(replica, sorted(replica.unsaved))
                replica.unsaved.clear()
                messages.append(
                    usage.UsageRows(publisher, 0, replica.version, rows)
                )
        return messages

    def snapshot(self):
        """Return the complete contents, to be written to disk."""
        return usage.LedgerSnapshot(
            [self.rows_since(item, 0) for item in sorted(self._publishers)],
            [
                self.checkpoint_message(item)
                for item in sorted(self._checkpoints)
            ],
        )

    def restore(self, snapshot, journal=()):
        """Merge a snapshot from disk and the journal written after it.

        A record that breaks an invariant is left out.  The first error is
        raised once all others are merged: what is not merged now is gone, as
        the next snapshot replaces the one on disk.
        """
        failed = []
        for message in (*snapshot.checkpoints, *snapshot.publishers, *journal):
            try:
                self._restore(message)
            except errors.InvariantBroken as exc:
                failed.append(exc)
        if failed:
            raise failed[0]

    def _restore(self, message):
        if isinstance(message, usage.UsageCheckpoint):
            self.adopt(message)
        else:
            self.merge(message)


def _select_rows(replica, keys):
    return [
        usage.UsageRow(
            key, replica.rows[key].version, replica.rows[key].totals
        )
        for key in keys
    ]


def _publisher_hash(publisher, version):
    text = f"{publisher.instance}/{publisher.incarnation}/{version}"
    return digests.hash_of(text.encode())
