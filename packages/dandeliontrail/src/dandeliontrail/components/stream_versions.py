"""The component that tells other instances at which version streams began.

The holders of a stream's record follow from its key
(:mod:`..decisions.stream_holders`).  In a full mesh they are told at once;
with relays, records travel in the batches of the server loads: to the relay
of the own failure domain, and from there to those that hold them.
"""

import collections

from .. import effects
from .. import interfaces
from ..coordination import stream_records
from ..decisions import stream_holders

# For how long after its deadline a stream may still be resumed.
RETURN_SECONDS = 10.0
# How long records wait for a batch of server loads.
MAX_BATCH_WAIT_SECONDS = 0.2


class StreamVersions(interfaces.Component):
    """Records the versions of streams, and answers for those held here.

    ``lives`` maps request ids to the open requests.
    """

    def __init__(self, state, lives):
        self._state = state
        self._table = state.streams
        self._lives = lives
        self._batch = []
        self._batch_since = None

    def handlers(self):
        """Return the handlers of records and of questions about them."""
        return {
            stream_records.StreamRecords: self._handle_records,
            stream_records.StreamQueries: self._handle_queries,
        }

    def tick(self, now):
        """Send the records that are due, also to holders that are new."""
        self._table.expire(now)
        out = []
        if self._state.members.changes:
            for request in self._lives.values():
                if request.work.is_continuing:
                    out.extend(self._tell(_keys_of(request.work), now))
        return out + self._flush(now)

    def began(self, request, now):
        """Record a stream whose first event the caller is about to get."""
        work = request.work
        if not (work.routed and work.streamed and work.repeatable):
            return []
        self._state.stream_counts.record_begun(
            work.service, work.software_version
        )
        keys = _keys_of(work)
        remaining = max(0.0, work.deadline - now) + RETURN_SECONDS
        for key in keys:
            self._table.put(
                stream_records.StreamRecord(
                    key, work.service, work.software_version, 0.0, remaining
                ),
                now,
            )
        return self._tell(keys, now)

    def holders_of(self, key, now):
        """Return the addresses of the other instances that hold a record."""
        candidates = self._candidates(now)
        keepers = self._keepers_among(candidates)
        names = stream_holders.choose(key, candidates, keepers)
        members = self._state.members
        own = self._state.identity.instance
        addresses = [members.address_of(name) for name in names if name != own]
        return [address for address in addresses if address]

    def _keepers_among(self, candidates):
        """Return the voters on the log among the candidates, sorted.

        With relays there are too many streams for so few keepers.
        """
        if not self._state.members.full_mesh():
            return []
        names = {name for item in candidates.values() for name in item}
        return sorted(names & set(self._state.log.voter_names()))

    def candidate_addresses(self, now):
        """Return the addresses of all instances that may hold a record."""
        return sorted(
            self._state.members.address_of(name)
            for names in self._candidates(now).values()
            for name in names
            if name != self._state.identity.instance
        )

    def _candidates(self, now):
        """Return the instances that may hold records, by failure domain."""
        members = self._state.members
        own = self._state.identity
        found = collections.defaultdict(list)
        if members.full_mesh():
            for member in members.alive(now):
                found[member.failure_domain].append(member.instance)
            found[own.failure_domain].append(own.instance)
            return found
        for domain in members.relayed_domains():
            for member in members.relays_of(domain):
                found[domain].append(member.instance)
        if members.is_relay():
            found[own.failure_domain].append(own.instance)
        return found

    def _tell(self, keys, now):
        records = [self._table.record_of(key, now) for key in keys]
        records = [record for record in records if record is not None]
        if self._state.members.full_mesh():
            return self._to_holders(records, now)
        if self._batch_since is None:
            self._batch_since = now
        self._batch.extend(records)
        return []

    def _flush(self, now):
        """Send the batch together with the server loads of this tick."""
        if self._batch_since is None:
            return []
        shares_batch = self._state.loads.sent_to_relay_at == now
        if not shares_batch and (
            now - self._batch_since < MAX_BATCH_WAIT_SECONDS
        ):
            return []
        records, self._batch, self._batch_since = self._batch, [], None
        members = self._state.members
        if members.full_mesh() or members.is_relay():
            return self._to_holders(records, now)
        relays = members.relays_of(self._state.identity.failure_domain)
        message = stream_records.StreamRecords(records, True)
        return [effects.SendPeer(item.address, message) for item in relays[:1]]

    def _to_holders(self, records, now):
        by_address = collections.defaultdict(list)
        for record in records:
            for address in self.holders_of(record.key, now):
                by_address[address].append(record)
        return [
            effects.SendPeer(address, stream_records.StreamRecords(found))
            for address, found in by_address.items()
        ]

    def _handle_records(self, source, message, now):
        for record in message.records:
            self._table.put(record, now)
        if not message.forward:
            return []
        if self._batch_since is None:
            self._batch_since = now
        self._batch.extend(message.records)
        return []

    def _handle_queries(self, source, message, now):
        found = []
        unknown = []
        for key in message.keys:
            record = self._table.record_of(key, now)
            if record is None:
                unknown.append(key)
            else:
                found.append(record)
        answer = stream_records.StreamAnswers(found, unknown)
        return [effects.SendPeer(source.address, answer)]


def _keys_of(work):
    """Return the keys by which a caller may name the stream of ``work``."""
    ids = (
        [work.request_id, work.resumes] if work.resumes else [work.request_id]
    )
    keys = [
        stream_records.key_of(work.organisation, work.class_name, request_id)
        for request_id in ids
    ]
    return [key for key in keys if key is not None]
