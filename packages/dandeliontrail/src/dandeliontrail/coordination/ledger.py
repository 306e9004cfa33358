"""The usage ledger: what organisations used, over all instances.

Every instance counts into rows of its own, under a publisher that is new
with each start, and holds copies of the others' rows.  A publisher numbers
its changes, so that one number tells up to where somebody holds it: the
version vector of scuttlebutt and Dynamo (see the notes "scalable secure
scuttlebutt", append-only gossip).  Merging takes the greater count of each
row, which commutes, associates and is idempotent: repetition, reorder and
partitions neither lose nor double a count.

    >>> one = UsageLedger(usage.Publisher("i1", 1))
    >>> one.day = "2026-03-14"
    >>> one.count("lab", "lookup", usage.Totals(1, 10, 5, 0))
    >>> two = UsageLedger(usage.Publisher("i2", 1))
    >>> two.merge(one.rows_since(one.own, 0))
    True
    >>> two.used("lab", "lookup").output_tokens
    5

The publishers of earlier starts are folded into one checkpoint for each
instance once everybody holds them, so that an instance that restarts two
hundred times leaves the rows of one.
"""

from .. import invariants
from . import digests
from . import usage
from . import usage_rows
from . import usage_totals

Totals = usage.Totals


class UsageLedger:
    """Totals by organisation, class and day, merged over all instances.

    ``day`` is the present UTC date and set from outside.  ``late`` counts
    the checkpoints that came without rows which were held here.
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
        self._publishers = {own: usage_rows.HeldRows()}
        self._checkpoints = {}
        self._changed_checkpoints = set()

    def count(self, organisation, class_name, counted):
        """Add ``counted`` to this instance's rows."""
        held = self._publishers[self.own]
        key = usage.UsageKey(self.day, organisation, class_name)
        row = held.rows.get(key) or usage_rows.Row(0, Totals())
        held.version += 1
        row.version = held.version
        row.totals.add(counted)
        held.put_last(key, row)
        held.unsaved.add(key)
        self.totals.add(key, counted)
        self.own_totals.add(key, counted)

    def used_elsewhere(self, organisation, class_name):
        """Return the totals that other instances or starts counted.

        Without a class name they are of all classes.
        """
        if not class_name:
            own = self.own_totals.of_organisation(organisation)
            return self.totals.of_organisation(organisation).less(own)
        own = self.own_totals.of_class(organisation, class_name)
        return self.totals.of_class(organisation, class_name).less(own)

    def used(self, organisation, class_name):
        """Return the totals of an organisation in a class, all days."""
        return self.totals.of_class(organisation, class_name)

    def used_by(self, organisation):
        """Return the totals of an organisation, all classes and days."""
        return self.totals.of_organisation(organisation)

    def used_today(self, organisation):
        """Return the totals of an organisation on the present day."""
        return self.totals.of_day(organisation, self.day)

    def version(self):
        """Return a number that grows with every change held here.

        Two instances that hold the same have the same number.
        """
        live = sum(held.version for held in self._publishers.values())
        folded = sum(item.versions for item in self._checkpoints.values())
        return live + folded

    def own_version(self):
        """Return the version of this instance's own rows."""
        return self._publishers[self.own].version

    def held_version(self, publisher):
        """Return up to where a publisher is held without gaps."""
        held = self._publishers.get(publisher)
        return held.version if held else 0

    def publishers_of(self, instance):
        """Return the publishers of an instance that are not folded."""
        return sorted(
            item for item in self._publishers if item.instance == instance
        )

    def unfolded(self):
        """Return the publishers of each instance, the earliest first."""
        out = {}
        for publisher in sorted(self._publishers):
            out.setdefault(publisher.instance, []).append(publisher)
        return out

    def folded_through(self, instance):
        """Return the greatest folded incarnation of an instance, or -1."""
        held = self._checkpoints.get(instance)
        return held.through if held else -1

    def succeed_own(self, incarnation):
        """Count on as a later publisher; what is counted stays."""
        self.own = usage.Publisher(self.own.instance, incarnation)
        self._publishers[self.own] = usage_rows.HeldRows()

    def rename_own(self, incarnation):
        """Count under a greater incarnation, and take all rows along.

        Only where nobody counts the rows under the present one: nobody was
        told of them, or all will find them folded already.
        """
        before = self.own
        self.own = usage.Publisher(before.instance, incarnation)
        self._publishers[self.own] = self._publishers.pop(before)

    def rows_since(self, publisher, since):
        """Return the rows of a publisher that changed after ``since``."""
        held = self._publishers[publisher]
        rows = []
        for key, row in reversed(held.rows.items()):
            if row.version > since:
                rows.append(usage.UsageRow(key, row.version, row.totals))
            elif held.ordered:
                break
        rows.reverse()
        return usage.UsageRows(publisher, since, held.version, rows)

    def merge(self, message):
        """Take in rows; return whether nothing is missing before them."""
        publisher = message.publisher
        if publisher == self.own or self._is_folded(publisher):
            return True
        held = self._publishers.setdefault(publisher, usage_rows.HeldRows())
        for item in message.rows:
            self._merge_row(held, item)
        return held.covers(message.since, message.through)

    def _merge_row(self, held, item):
        row = held.rows.get(item.key) or usage_rows.Row(0, Totals())
        after = usage.greater(row.totals, item.totals)
        grown = after.less(row.totals)
        invariants.check(
            min(grown.counts()) >= 0,
            "usage_never_shrinks_within_a_publisher",
            item.key.organisation,
        )
        if item.version > row.version:
            row.version = item.version
            held.put_last(item.key, row)
        if any(grown.counts()):
            row.totals = after
            held.unsaved.add(item.key)
            self.totals.add(item.key, grown)

    def _is_folded(self, publisher):
        return publisher.incarnation <= self.folded_through(publisher.instance)

    def have(self, ask=True):
        """Return what is held, for another instance to compare with."""
        versions = [
            usage.PublisherVersion(publisher, held.version)
            for publisher, held in sorted(self._publishers.items())
        ]
        checkpoints = {
            name: item.through
            for name, item in sorted(self._checkpoints.items())
        }
        return usage.UsageHave(versions, checkpoints, ask)

    def want(self, publisher):
        """Return the request for what is missing of one publisher."""
        version = usage.PublisherVersion(
            publisher, self.held_version(publisher)
        )
        return usage.UsageHave([version], {}, ask=False, whole=False)

    def answer(self, have):
        """Return the messages that bring the sender of ``have`` up to here.

        Checkpoints come first, so that the rows after them count on top.
        """
        if not have.whole:
            return self._answer_wanted(have)
        out = [
            self.checkpoint_message(name)
            for name, held in sorted(self._checkpoints.items())
            if held.through > have.checkpoints.get(name, -1)
        ]
        theirs = {item.publisher: item.version for item in have.versions}
        for publisher, held in sorted(self._publishers.items()):
            folded = have.checkpoints.get(publisher.instance, -1)
            if publisher.incarnation <= folded:
                continue
            version = theirs.get(publisher, 0)
            if held.version > version:
                out.append(self.rows_since(publisher, version))
        return out

    def _answer_wanted(self, have):
        return [
            self.rows_since(item.publisher, item.version)
            for item in have.versions
            if self.held_version(item.publisher) > item.version
        ]

    def is_behind(self, have):
        """Tell whether the sender of ``have`` holds what is missing here."""
        for item in have.versions:
            if self._is_folded(item.publisher):
                continue
            if item.version > self.held_version(item.publisher):
                return True
        return any(
            through > self.folded_through(name)
            for name, through in have.checkpoints.items()
        )

    def finish(self, publisher):
        """Take note that a publisher counts no more."""
        if publisher == self.own or publisher not in self._publishers:
            return
        if self._publishers[publisher].rows:
            self.finished.add(publisher)
        else:
            # It never counted anything, and not all have heard of it.
            del self._publishers[publisher]

    def finished_root(self):
        """Return a number that stands for all finished publishers held.

        It does not change when they are folded, so instances can be
        compared by it whether or not they have folded yet.
        """
        root = 0
        for held in self._checkpoints.values():
            root ^= held.root
        for publisher in self.finished:
            root ^= _hash(publisher, self._publishers[publisher].version)
        return root

    def fold(self):
        """Fold every finished publisher; return how many.

        Only to be called while all instances hold the same of them: a row
        that were to arrive later would be dropped.  Publishers of an
        instance are folded in the order of their incarnations and without
        leaving one out, so that of two checkpoints of an instance the one
        that goes further contains the other.
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
        name = publisher.instance
        into = self._checkpoints.setdefault(name, usage_rows.Checkpoint())
        held = self._publishers.pop(publisher)
        self.finished.discard(publisher)
        for key, row in held.rows.items():
            into.rows.setdefault(key, Totals()).add(row.totals)
        into.through = publisher.incarnation
        into.root ^= _hash(publisher, held.version)
        into.versions += held.version
        self._changed_checkpoints.add(name)

    def checkpoint_message(self, instance):
        """Return the checkpoint of an instance as a message."""
        held = self._checkpoints[instance]
        rows = [
            usage.UsageRow(key, 0, totals)
            for key, totals in sorted(held.rows.items())
        ]
        return usage.UsageCheckpoint(
            instance, held.through, held.root, held.versions, rows
        )

    def adopt(self, message):
        """Take in a checkpoint in place of what it contains."""
        name = message.instance
        if message.through <= self.folded_through(name):
            return
        before = self.version()
        self._drop_folded(name, message.through)
        into = usage_rows.Checkpoint(
            message.through, message.root, message.versions
        )
        for row in message.rows:
            into.rows[row.key] = row.totals.copy()
            self.totals.add(row.key, row.totals)
        self._checkpoints[name] = into
        self._changed_checkpoints.add(name)
        if self.version() < before:
            # Held here was more than what was folded; see
            # docs/design/ledger.md for when that can be.
            self.late += 1

    def _drop_folded(self, instance, through):
        old = self._checkpoints.pop(instance, None)
        if old:
            for key, totals in old.rows.items():
                self.totals.take(key, totals)
        for publisher in self.publishers_of(instance):
            if publisher.incarnation > through or publisher == self.own:
                continue
            held = self._publishers.pop(publisher)
            self.finished.discard(publisher)
            for key, row in held.rows.items():
                self.totals.take(key, row.totals)

    def unsaved(self):
        """Return what changed since the last call, for a disk's journal."""
        out = [
            self.checkpoint_message(name)
            for name in sorted(self._changed_checkpoints)
        ]
        self._changed_checkpoints.clear()
        for publisher, held in sorted(self._publishers.items()):
            if held.unsaved:
                rows = _rows(held, sorted(held.unsaved))
                held.unsaved.clear()
                out.append(usage.UsageRows(publisher, 0, held.version, rows))
        return out

    def snapshot(self):
        """Return all that is held, for a disk."""
        return usage.LedgerSnapshot(
            [self.rows_since(item, 0) for item in sorted(self._publishers)],
            [
                self.checkpoint_message(item)
                for item in sorted(self._checkpoints)
            ],
        )

    def restore(self, snapshot, journal=()):
        """Take in what a disk held: a snapshot, and the journal since."""
        for message in (*snapshot.checkpoints, *snapshot.publishers, *journal):
            if isinstance(message, usage.UsageCheckpoint):
                self.adopt(message)
            else:
                self.merge(message)


def _rows(held, keys):
    return [
        usage.UsageRow(key, held.rows[key].version, held.rows[key].totals)
        for key in keys
    ]


def _hash(publisher, version):
    text = f"{publisher.instance}/{publisher.incarnation}/{version}"
    return digests.hash_of(text.encode())
