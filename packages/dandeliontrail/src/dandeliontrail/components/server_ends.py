"""The component that blocks requests which crash their servers.

A request is identified by a fingerprint.  Which server ended while it ran
which request is reported at once on all links and forwarded by relays.
Heartbeats compare digests of the tables, so that an instance that has just
started, or was partitioned, is up to date within one or two seconds.  The
rules are in :mod:`..decisions.crash_suspects`.
"""

import collections
import enum

from .. import effects
from .. import interfaces
from ..coordination import server_ends
from ..decisions import crash_suspects

# How many fingerprints of recently served requests are kept.  They clear a
# request that many callers send alike as soon as it is suspected, before it
# is blocked for long.
MAX_SERVED_FINGERPRINTS = 4096
# A suspect with fewer ends is not reported as served: a single end blocks no
# request, and nearly all requests that ran on the ended server are then
# served by the next one.
MIN_ENDS_TO_CLEAR = 2
FORGET_INTERVAL_SECONDS = 1.0


class ForwardingScope(enum.Enum):
    """The links to which reports are sent."""

    ALL = "all"
    OWN_DOMAIN = "own_domain"


class _PendingReports:
    """Reports to send: server ends by incarnation, and served requests."""

    __slots__ = ("ends", "served")

    def __init__(self):
        self.ends = {}
        self.served = {}


class ServerEnds(interfaces.Component):
    """Maintains the table of server ends and decides what is blocked."""

    def __init__(self, state):
        self._state = state
        self._table = state.ends
        self._recently_served = collections.OrderedDict()
        self._pending_reports = {}
        self._blocked = set()
        self._newly_blocked = []
        self._pending_log_effects = []
        self._next_forget = 0.0

    def handlers(self):
        """Return the handlers of the other instances' reports."""
        return {
            server_ends.EndedServers: self._handle_ended_servers,
            server_ends.EndsRecords: self._handle_records,
        }

    def tick(self, now):
        """Send the pending reports and remove expired entries.

        Reports are batched until the next tick.  Otherwise a server that
        ends while it runs sixty requests would cause sixty messages on each
        link.
        """
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL_SECONDS
            self._blocked.difference_update(self._table.remove_expired(now))
            self._table.settle(now)
        out, self._pending_log_effects = self._pending_log_effects, []
        pending, self._pending_reports = self._pending_reports, {}
        for scope, reports in pending.items():
            out.extend(self._send_reports(scope, reports, now))
        return out

    def is_blocked(self, fingerprint, now):
        """Return whether a request is blocked now."""
        if fingerprint not in self._table.suspects:
            return False
        return crash_suspects.is_blocked(
            self._table, fingerprint, self._state.registry, now
        )

    def take_newly_blocked(self):
        """Return the fingerprints newly blocked since the last call."""
        newly_blocked, self._newly_blocked = self._newly_blocked, []
        return newly_blocked

    def record_failed_attempt(self, attempt, event, now):
        """Record that an attempt failed, possibly because its server ended.

        ``attempt`` is a ``request_lifecycle.RequestLifecycle``, whose current
        attempt is meant, or a hedge.
        """
        fingerprint = attempt.work.fingerprint
        if not fingerprint or fingerprint in self._recently_served:
            return
        if crash_suspects.is_suspect(event.closed, attempt.output_at, now):
            self._record_end(
                fingerprint, attempt.incarnation, now, ForwardingScope.ALL, now
            )

    def record_served(self, fingerprint, now):
        """Record that a server served a request to completion."""
        if not fingerprint:
            return
        self._recently_served[fingerprint] = None
        self._recently_served.move_to_end(fingerprint)
        if len(self._recently_served) > MAX_SERVED_FINGERPRINTS:
            self._recently_served.popitem(last=False)
        self._clear_if_served(fingerprint, now)

    def _clear_if_served(self, fingerprint, now):
        """Clear a suspect that was served here and has enough ends."""
        suspect = self._table.suspects.get(fingerprint)
        if (
            suspect is not None
            and len(suspect.ends) >= MIN_ENDS_TO_CLEAR
            and fingerprint in self._recently_served
        ):
            self._clear(fingerprint, now, ForwardingScope.ALL, now)

    def _record_end(self, fingerprint, incarnation, at, scope, now):
        if not self._table.record_end(fingerprint, incarnation, at, now):
            return
        if scope is not None:
            pending = self._pending_reports.setdefault(
                scope, _PendingReports()
            )
            pending.ends.setdefault(incarnation, {})[fingerprint] = at
        self._update_blocked(fingerprint, now)

    def _clear(self, fingerprint, at, scope, now):
        if not self._table.clear(fingerprint, at, now):
            return
        if scope is not None:
            pending = self._pending_reports.setdefault(
                scope, _PendingReports()
            )
            pending.served[fingerprint] = at
        self._update_blocked(fingerprint, now)

    def _forwarding_scope(self, source):
        """Return the links to forward a peer's reports to, or ``None``."""
        members = self._state.members
        own = self._state.identity.failure_domain
        if members.full_mesh():
            return None
        if members.is_relay():
            same_domain = source.failure_domain == own
            return (
                ForwardingScope.ALL
                if same_domain
                else ForwardingScope.OWN_DOMAIN
            )
        relays = [item.instance for item in members.relays_of(own)]
        return None if source.instance in relays else ForwardingScope.ALL

    def _handle_ended_servers(self, source, message, now):
        delay = self._state.members.delay(source, now)
        scope = self._forwarding_scope(source)
        for ended in message.ended:
            incarnation = (ended.server, ended.epoch)
            at = now - ended.age - delay
            for fingerprint in ended.fingerprints:
                self._record_end(fingerprint, incarnation, at, scope, now)
                self._clear_if_served(fingerprint, now)
        for fingerprint in message.served:
            self._clear(fingerprint, now - delay, scope, now)
        return []

    def _handle_records(self, source, message, now):
        """Apply records that this instance lacked; a relay forwards them."""
        delay = self._state.members.delay(source, now)
        scope = self._forwarding_scope(source)
        for record in message.records:
            fingerprint = record.fingerprint
            if self._table.is_forgotten(record, delay):
                continue
            if record.served:
                self._table.enter(fingerprint, now - record.age - delay, now)
                self._clear(fingerprint, now - record.age - delay, scope, now)
            for end in record.ends:
                at = now - end.age - delay
                incarnation = (end.server, end.epoch)
                self._record_end(fingerprint, incarnation, at, scope, now)
            self._clear_if_served(fingerprint, now)
        return []

    def _update_blocked(self, fingerprint, now):
        is_blocked = self.is_blocked(fingerprint, now)
        if is_blocked == (fingerprint in self._blocked):
            return
        if is_blocked:
            self._blocked.add(fingerprint)
            self._newly_blocked.append(fingerprint)
        else:
            self._blocked.discard(fingerprint)
        self._pending_log_effects.append(
            self._log_effect(fingerprint, is_blocked)
        )

    def _log_effect(self, fingerprint, is_blocked):
        """Return the log effect for a request blocked or released."""
        suspect = self._table.suspects[fingerprint]
        fields = {
            "fingerprint": fingerprint,
            "held": is_blocked,
            "served": suspect.served,
            "ended_servers": sorted(name for name, _ in suspect.ends),
            "important": True,
        }
        return effects.Log("warning", "request held back", fields)

    def _send_reports(self, scope, reports, now):
        ended = [
            server_ends.EndedServer(
                name,
                epoch,
                round(max(0.0, now - min(fingerprints.values())), 3),
                list(fingerprints),
            )
            for (name, epoch), fingerprints in reports.ends.items()
        ]
        message = server_ends.EndedServers(ended, list(reports.served))
        own = self._state.identity.failure_domain
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.links()
            if scope is ForwardingScope.ALL or member.failure_domain == own
        ]
