"""The anti-entropy component, which repairs differences between replicas.

Updates are broadcast and may be lost.  This component compares the digests of
the tables with those of other instances and exchanges the records that
differ.  The messages are in :mod:`..coordination.dissemination`.
"""

from .. import effects
from .. import interfaces
from ..coordination import digests
from ..coordination import dissemination
from ..coordination import member_records
from ..coordination import messages
from ..coordination import server_ends
from ..coordination import server_limits
from ..coordination import servers

Table = dissemination.Table
# The minimum time between two comparisons of a table with one instance.
COMPARE_INTERVAL_SECONDS = 0.9


class Repair(interfaces.Component):
    """Compares tables with other instances and exchanges differing records."""

    def __init__(self, state):
        self._state = state
        self._compared_at = {}

    def handlers(self):
        """Return the handlers of the anti-entropy messages."""
        return {
            messages.Heartbeat: self._handle_heartbeat,
            dissemination.SyncBuckets: self._handle_buckets,
            dissemination.SyncKeys: self._handle_keys,
            dissemination.SyncWant: self._handle_want,
        }

    def _digest(self, table):
        return {
            Table.MEMBERS: self._state.members,
            Table.SERVERS: self._state.registry,
            Table.ENDS: self._state.ends,
            Table.LIMITS: self._state.limits,
        }[table].digest

    def _handle_heartbeat(self, source, message, now):
        out = []
        roots = {
            Table.MEMBERS: message.members,
            Table.SERVERS: message.servers,
            Table.ENDS: message.ends,
            Table.LIMITS: message.limits,
        }
        for table, root in roots.items():
            if root == self._digest(table).root:
                continue
            if self._is_comparison_due(source.instance, table, now):
                out.append(self._first_message(table))
        return [effects.SendPeer(source.address, item) for item in out]

    def _is_comparison_due(self, instance, table, now):
        key = (instance, table)
        last = self._compared_at.get(key)
        if last is not None and now - last < COMPARE_INTERVAL_SECONDS:
            return False
        self._compared_at[key] = now
        return True

    def _first_message(self, table):
        digest = self._digest(table)
        if len(digest) <= dissemination.MAX_SMALL_TABLE_ENTRIES:
            return self._keys_message(table, list(range(digests.BUCKETS)))
        return dissemination.SyncBuckets(table, list(digest.buckets))

    def _keys_message(self, table, buckets):
        hashes = self._digest(table).entries(buckets)
        return dissemination.SyncKeys(table, buckets, hashes)

    def _handle_buckets(self, source, message, now):
        """Answer with the keys of the differing buckets that fit a message."""
        digest = self._digest(message.table)
        chosen = []
        count = 0
        for index in digest.differing(message.hashes):
            count += len(digest.entries([index]))
            if chosen and count > dissemination.MAX_KEYS_PER_MESSAGE:
                break
            chosen.append(index)
        if not chosen:
            return []
        answer = self._keys_message(message.table, chosen)
        return [effects.SendPeer(source.address, answer)]

    def _handle_keys(self, source, message, now):
        """Send records that the sender lacks, and request missing ones.

        If both hold a key with different contents, the hashes do not show
        which record is newer.  Both instances then send theirs, and each
        keeps the newer one.
        """
        own = self._digest(message.table).entries(message.buckets)
        theirs = message.hashes
        send = [key for key in own if own[key] != theirs.get(key)]
        want = [key for key in theirs if theirs[key] != own.get(key)]
        out = self._records(message.table, send, now)
        if want:
            want = sorted(want)[: dissemination.MAX_KEYS_PER_MESSAGE]
            out.append(dissemination.SyncWant(message.table, want))
        return [effects.SendPeer(source.address, item) for item in out]

    def _handle_want(self, source, message, now):
        records = self._records(message.table, message.keys, now)
        return [effects.SendPeer(source.address, item) for item in records]

    def _records(self, table, keys, now):
        keys = sorted(keys)[: dissemination.MAX_KEYS_PER_MESSAGE]
        if table is Table.MEMBERS:
            records = self._member_records(keys)
        elif table is Table.SERVERS:
            records = self._server_records(keys, now)
        elif table is Table.LIMITS:
            records = server_limits.LimitRecords(
                self._state.limits.records_of(keys)
            )
        else:
            records = self._end_records(keys, now)
        return [records] if records.records else []

    def _member_records(self, keys):
        records = [self._state.members.record_of(key) for key in keys]
        return member_records.MemberRecords([item for item in records if item])

    def _server_records(self, keys, now):
        registry = self._state.registry
        return servers.ServerRecords(
            [
                registry.record_of(key, now)
                for key in keys
                if key in registry.servers
            ]
        )

    def _end_records(self, keys, now):
        ends = self._state.ends
        return server_ends.EndsRecords(
            [ends.record_of(key, now) for key in keys if key in ends.suspects]
        )
