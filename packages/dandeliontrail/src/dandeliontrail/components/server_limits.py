"""The component that shares the limits which backend servers name.

It learns limits from answers and from other instances
(:mod:`..coordination.server_limits`), asks the holders for permits on behalf
of the policy (:mod:`..decisions.permits`), and issues those of the servers
that this instance is the holder of (:mod:`..decisions.permit_issuer`).
"""

import collections

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import permits as permit_messages
from ..coordination import server_limits
from ..coordination import servers
from ..decisions import holders as holders_module
from ..decisions import permit_issuer
from ..decisions import permits as permits_module
from ..decisions import server_permits
from . import logged_once

# A holder whose last contact with a majority is older than this issues only
# the parts of the instances that it reaches.  It is shorter than the time
# after which the majority chooses another holder.
MAX_PROOF_SECONDS = 3.0
# How often the limits of servers that restarted or are gone are dropped.
REMOVAL_INTERVAL_SECONDS = 0.5


class ServerLimits(interfaces.Component):
    """Maintains limits, holders and permits."""

    def __init__(self, state):
        self._state = state
        self._table = state.limits
        self._permits = state.permits
        self._holders = holders_module.Holders(state.identity.instance)
        self._issuer = permit_issuer.PermitIssuer(self._rate, self._places)
        self._logged_bad = logged_once.LoggedOnce()
        self._max_instances = 1
        self._next_removal = float("-inf")

    def handlers(self):
        """Return the handlers of answers and of the instances' messages."""
        return {
            events.LimitRead: self._handle_read,
            events.SentWithoutPermit: self._handle_sent,
            events.Announced: self._handle_announced,
            servers.ServerRecords: self._handle_server_records,
            server_limits.LimitRecords: self._handle_records,
            permit_messages.PermitRequests: self._handle_requests,
            permit_messages.PermitGrants: self._handle_grants,
        }

    def tick(self, now):
        """Issue the permits that are due and drop what has expired."""
        if self._state.members.changes:
            self._update_candidates(now)
        if not self._table.held:
            return []
        if now >= self._next_removal:
            self._next_removal = now + REMOVAL_INTERVAL_SECONDS
            self._remove_restarted()
        # After a start the seeds stand for instances that are not known yet.
        self._max_instances = max(self._max_instances, 1 + self._count_seeds())
        share = permits_module.PART_SHARE / self._max_instances
        phase = self._holders.rank() / len(self._holders)
        part = server_permits.Part(share, phase)
        self._permits.tick(part, now, self._own_places)
        return self._send_grants(self._issuer.tick(now), now)

    def _update_candidates(self, now):
        members = self._state.members.members.values()
        others = [item.instance for item in members if not item.gone()]
        self._holders.set_candidates(others, now)
        self._max_instances = max(self._max_instances, len(self._holders))

    def _count_seeds(self):
        """Return how many other instances the settings name."""
        return len(self._state.members.seeds - {self._state.identity.address})

    def request_permits(self, now):
        """Return the messages to the holders, and whether permits came.

        Permits come at once from servers that this instance holds itself.
        """
        by_holder = collections.defaultdict(list)
        for server in self._permits.due(now):
            holder = self._holders.of(server).instance
            by_holder[holder].append(self._permits.ask(server, now, holder))
        out = []
        own = self._state.identity
        before = self._permits.counts.granted
        for holder, asks in by_holder.items():
            if holder == own.instance:
                asker = _asker(own)
                for ask in asks:
                    deliveries = self._issuer.ask(asker, ask, now)
                    out.extend(self._send_grants(deliveries, now))
                continue
            address = self._state.members.address_of(holder)
            message = permit_messages.PermitRequests(asks)
            out.append(effects.SendPeer(address, message))
        return out, self._permits.counts.granted > before

    # -- limits -------------------------------------------------------------

    def _handle_read(self, event, now):
        try:
            limit = server_limits.parse(event.texts)
            brittle = server_limits.parse_brittle(event.brittle_texts)
        except server_limits.BadLimit as exc:
            return self._report_bad(event, exc)
        reading = server_limits.Reading(
            event.backend_server,
            event.epoch,
            limit,
            event.sent_at,
            event.refused,
            brittle,
        )
        before = self._table.limit_of(event.backend_server)
        record = self._table.read(reading, now)
        if record is None:
            return []
        source = "refusal" if event.refused else "answer"
        out = [_log_effect(record, before, source, now - event.sent_at)]
        self._apply(record, before)
        return out + self._spread([record])

    def _handle_records(self, source, message, now):
        return self._learn(message.records, source, now)

    def _learn(self, records, source, now):
        """Merge another instance's records; forward those that are newer."""
        changed = []
        out = []
        age = self._state.members.delay(source, now)
        for record in records:
            if not self._is_known(record):
                continue
            before = self._table.limit_of(record.server)
            if self._table.learn(record, now):
                changed.append(record)
                out.append(_log_effect(record, before, source.instance, age))
                self._apply(record, before)
        return out + self._spread(changed, source.instance)

    def _apply(self, record, before):
        """Apply a record that replaces the limit ``before``."""
        self._permits.limit_changed(record.server, before)
        if record.limit is None:
            self._issuer.remove(record.server)

    def _spread(self, records, source=""):
        if not records:
            return []
        message = server_limits.LimitRecords(records)
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.spread_to(source)
        ]

    def _is_known(self, record):
        """Return whether a record is about a server in the registry."""
        server = self._state.registry.servers.get(record.server)
        return server is not None and server.announcement.epoch <= record.epoch

    def _remove_restarted(self):
        """Drop the limits of servers that have restarted or are gone."""
        for name, held in list(self._table.held.items()):
            if not self._is_known(held.record):
                self._table.remove(name)
                self._issuer.remove(name)
                self._holders.remove(name)

    def _report_bad(self, event, exc):
        """Log, once for each incarnation, a limit that cannot be read."""
        incarnation = (event.backend_server, event.epoch)
        if not self._logged_bad.is_first(incarnation):
            return []
        fields = {
            "backend_server": event.backend_server,
            "detail": str(exc),
            "important": True,
        }
        return [effects.Log("warning", "backend server limit ignored", fields)]

    def _handle_sent(self, event, now):
        self._permits.record_sent(event.backend_server)
        return []

    # -- permits ------------------------------------------------------------

    def _rate(self, server, now):
        """Return how many permits a second to issue for a server."""
        limit = self._table.limit_of(server)
        if not self._table.is_named(server):
            return 0.0
        if not self._holders.may_grant(server, now):
            return 0.0
        if limit is None:
            is_connected = self._is_connected(now)
            return permit_issuer.UNLIMITED if is_connected else 0.0
        rate = permits_module.rate_of(limit)
        if self._is_connected(now):
            return rate
        reached = 1 + len(self._state.members.alive(now))
        parts = min(1.0, reached / self._max_instances)
        return rate * permits_module.PART_SHARE * parts

    def _places(self, server):
        """Return how many places a brittle server has, else ``None``."""
        record = self._state.directory.server(server)
        if record is None or self._table.brittle_of(server) is None:
            return None
        return max(1, record.announcement.slots)

    def _own_places(self, server):
        """Return how many of its places to use without a holder."""
        return (self._places(server) or 0) // self._max_instances

    # -- servers that start ---------------------------------------------------

    def _handle_announced(self, event, now):
        self._presume_brittle([event.announcement], now)
        return []

    def _handle_server_records(self, source, message, now):
        announcements = [item.announcement for item in message.records]
        self._presume_brittle(announcements, now)
        return []

    def _presume_brittle(self, announcements, now):
        """Take servers that start for as brittle as others of their service.

        Otherwise one that is back after a fall would get a rush.
        """
        if not self._table.named:
            return
        for announcement in announcements:
            name = announcement.backend_server
            if name in self._table.held:
                continue
            brittle = self._brittle_of_service(announcement.service)
            if brittle is not None:
                self._table.presume_brittle(
                    name, announcement.epoch, brittle, now
                )

    def _brittle_of_service(self, service):
        """Return the least that a server of a service may turn away."""
        found = [
            held.record.brittle
            for name, held in self._table.held.items()
            if held.record.brittle is not None
            and (record := self._state.directory.server(name)) is not None
            and record.announcement.service == service
        ]
        return min(found, default=None)

    def _is_connected(self, now):
        """Return whether this instance is on the side of the majority."""
        log = self._state.log
        members = self._state.members
        if not log.polls_freshness:
            # It may have started in a cut: alone, it has a majority of those
            # that it knows.
            is_alone = not members.members and self._count_seeds() > 0
            return members.hears_majority(now) and not is_alone
        ago = log.proven_ago(now)
        return ago is not None and ago <= MAX_PROOF_SECONDS

    def _handle_requests(self, source, message, now):
        records = [ask.record for ask in message.asks]
        out = self._learn(records, source, now)
        deliveries = []
        asker = _asker(source)
        for ask in message.asks:
            deliveries.extend(self._issuer.ask(asker, ask, now))
        newer = [
            self._table.held[record.server].record
            for record in records
            if record.server in self._table.held
            and self._table.held[record.server].record.order() > record.order()
        ]
        return out + self._send_grants(deliveries, now, source, newer)

    def _handle_grants(self, source, message, now):
        out = self._learn(message.records, source, now)
        holder = (source.instance, source.incarnation)
        for grant in message.grants:
            self._permits.receive(grant, holder, now)
        return out

    def _send_grants(self, deliveries, now, source=None, newer=()):
        """Return the messages with grants; own ones are used here.

        ``newer`` are the records that the instance ``source`` lacks.
        """
        by_asker = collections.defaultdict(list)
        if source is not None and newer:
            by_asker[_asker(source)] = []
        for delivery in deliveries:
            by_asker[delivery.asker].append(delivery.grant)
        out = []
        own = _asker(self._state.identity)
        for asker, grants in by_asker.items():
            if asker.instance == own.instance:
                holder = (own.instance, own.incarnation)
                for grant in grants:
                    self._permits.receive(grant, holder, now)
                continue
            records = (
                list(newer)
                if source is not None and asker.instance == source.instance
                else []
            )
            message = permit_messages.PermitGrants(grants, records)
            out.append(effects.SendPeer(asker.address, message))
        return out


def _asker(instance):
    return permit_issuer.Asker(
        instance.instance, instance.incarnation, instance.address
    )


def _log_effect(record, before, source, age):
    """Return the log effect of a limit that was named, changed or lifted.

    ``source`` is ``answer``, ``refusal`` or the instance that told it; ``age``
    is an upper bound of how long ago that was said, in seconds.
    """
    fields = {
        "backend_server": record.server,
        "limit": record.limit,
        "brittle": record.brittle,
        "before": before,
        "source": source,
        "age": round(age, 3),
        "version": record.version,
        "important": True,
    }
    return effects.Log("info", "backend server limit", fields)
