"""The component that blocks requests which crash their servers.

A request is identified by a fingerprint, and so are the parts of its prompt.
Which server ended while it ran which request is reported at once on all links
and forwarded by relays.  Heartbeats compare digests of the tables, so that an
instance that has just started, or was partitioned, is up to date within one
or two seconds.  The rules are in :mod:`..decisions.crash_suspects` and
:mod:`..decisions.crash_parts`.
"""

import collections
import enum

import msgspec

from .. import effects
from .. import interfaces
from ..coordination import fingerprints as fingerprints_module
from ..coordination import server_ends
from ..decisions import crash_parts
from ..decisions import crash_suspects
from . import part_blocks

# How many fingerprints of recently served requests are kept.  They clear a
# request that many callers send alike as soon as it is suspected, before it
# is blocked for long.
MAX_SERVED_FINGERPRINTS = 4096
# How many parts of prompts that servers answered on are remembered.
MAX_SOUND_PARTS = 4096
# A suspect with fewer ends is not reported as served: a single end blocks no
# request, and nearly all requests that ran on the ended server are then
# served by the next one.
MIN_ENDS_TO_CLEAR = 2
FORGET_INTERVAL_SECONDS = 1.0
# A request stays a suspect this long after it was withdrawn from its server.
WITHDRAWN_SECONDS = 1.0


class ForwardingScope(enum.Enum):
    """The links to which reports are sent."""

    ALL = "all"
    OWN_DOMAIN = "own_domain"


class _PendingReports:
    """Reports to send: server ends by incarnation, and what is sound.

    ``sound`` maps a part and a software version to the time of the answer.
    """

    __slots__ = ("ends", "versions", "served", "sound")

    def __init__(self):
        self.ends = {}
        self.versions = {}
        self.served = {}
        self.sound = {}


class _End(msgspec.Struct):
    """The end of a server incarnation at the time ``at``."""

    incarnation: tuple
    at: float
    software_version: str


class _Withdrawn(msgspec.Struct):
    """A request withdrawn from a server; a suspect if it ends ``until``."""

    until: float
    fingerprints: list


class ServerEnds(interfaces.Component):
    """Maintains the table of server ends and decides what is blocked."""

    def __init__(self, state):
        self._state = state
        self._table = state.ends
        self._recently_served = collections.OrderedDict()
        self._recently_sound = collections.OrderedDict()
        self._parts = part_blocks.PartBlocks(state)
        # What was withdrawn from servers lately, by incarnation.
        self._withdrawn = {}
        self._pending_reports = {}
        self._blocked = set()
        self._has_changed = False
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
            self._forget_withdrawn(now)
        self._pending_log_effects.extend(self._parts.update(now))
        if self._parts.take_changed():
            self._has_changed = True
            for fingerprint in list(self._blocked):
                self._update_blocked(fingerprint, now)
        out, self._pending_log_effects = self._pending_log_effects, []
        pending, self._pending_reports = self._pending_reports, {}
        for scope, reports in pending.items():
            out.extend(self._send_reports(scope, reports, now))
        return out

    def is_blocked(self, work, now):
        """Return whether a request is blocked now, by itself or by a part."""
        own_parts = crash_parts.fingerprints_of(work)
        return self._is_request_blocked(
            work.fingerprint, now, own_parts
        ) or self._parts.blocks(work, now)

    def _is_request_blocked(self, fingerprint, now, own_parts=frozenset()):
        if fingerprint not in self._table.suspects:
            return False
        others = [
            verdict
            for part, verdict in self._parts.verdicts(now).items()
            if part not in own_parts
        ]
        return crash_suspects.is_blocked(
            self._table, fingerprint, self._state.registry, now, others
        )

    def take_changed(self):
        """Return whether more may be blocked than at the last call."""
        has_changed, self._has_changed = self._has_changed, False
        return has_changed

    def record_failed_attempt(self, attempt, event, now):
        """Record that an attempt failed, possibly because its server ended.

        ``attempt`` is a ``request_lifecycle.RequestLifecycle``, whose current
        attempt is meant, or a hedge.
        """
        work = attempt.work
        if not crash_suspects.is_suspect(event.closed, attempt.output_at, now):
            return
        self._parts.note_names(work)
        suspects = list(work.part_fingerprints)
        if work.fingerprint and work.fingerprint not in self._recently_served:
            suspects.append(work.fingerprint)
        end = _End(attempt.incarnation, now, attempt.software_version)
        for fingerprint in suspects:
            self._record_end(fingerprint, end, ForwardingScope.ALL, now)
            self._clear_if_served(fingerprint, now)

    def record_withdrawn(self, attempt, now):
        """Record that a request is withdrawn from its server.

        The server may have begun it, so it stays a suspect for a moment: else
        those beside it would seem to end one server more than it does.
        """
        suspects = [*attempt.work.part_fingerprints, attempt.work.fingerprint]
        withdrawn = _Withdrawn(now + WITHDRAWN_SECONDS, suspects)
        self._withdrawn.setdefault(attempt.incarnation, []).append(withdrawn)

    def _record_ends_of_withdrawn(self, end, now):
        for withdrawn in self._withdrawn.pop(end.incarnation, ()):
            if end.at > withdrawn.until:
                continue
            for fingerprint in withdrawn.fingerprints:
                self._record_end(fingerprint, end, ForwardingScope.ALL, now)

    def record_served(self, work, software_version, now):
        """Record that a server served a request to completion."""
        self.record_sound(work, software_version, now)
        fingerprint = work.fingerprint
        if not fingerprint:
            return
        self._recently_served[fingerprint] = None
        self._recently_served.move_to_end(fingerprint)
        if len(self._recently_served) > MAX_SERVED_FINGERPRINTS:
            self._recently_served.popitem(last=False)
        self._clear_if_served(fingerprint, now)

    def record_sound(self, work, software_version, now):
        """Record that a server answered on the parts of a request."""
        recent = self._recently_sound
        for fingerprint in work.part_fingerprints:
            recent[fingerprint] = (software_version, now)
            recent.move_to_end(fingerprint)
            if len(recent) > MAX_SOUND_PARTS:
                recent.popitem(last=False)
            self._clear_if_served(fingerprint, now)

    def _clear_if_served(self, fingerprint, now):
        """Clear a suspect that was served here and has enough ends."""
        suspect = self._table.suspects.get(fingerprint)
        if suspect is None or len(suspect.ends) < MIN_ENDS_TO_CLEAR:
            return
        if fingerprints_module.is_part(fingerprint):
            self._clear_part(fingerprint, suspect, now)
        elif fingerprint in self._recently_served:
            self._clear(fingerprint, now, ForwardingScope.ALL, now)

    def _clear_part(self, fingerprint, suspect, now):
        """Report that a part is sound if that clears it of an end."""
        answer = self._recently_sound.get(fingerprint)
        if answer is None:
            return
        counted = crash_parts.counted_ends(suspect)
        if len(counted) < MIN_ENDS_TO_CLEAR:
            return
        version, at = answer
        if any(
            crash_parts.is_cleared_by(suspect, incarnation, version, at)
            for incarnation in counted
        ):
            self._record_sound(
                fingerprint, version, at, ForwardingScope.ALL, now
            )

    def _record_sound(self, fingerprint, version, at, scope, now):
        if not self._table.record_sound(fingerprint, version, at, now):
            return
        if scope is not None:
            self._pending(scope).sound[(fingerprint, version)] = at
        self._parts.note_change()

    def _forget_withdrawn(self, now):
        self._withdrawn = {
            incarnation: kept
            for incarnation, items in self._withdrawn.items()
            if (kept := [item for item in items if item.until >= now])
        }

    def _pending(self, scope):
        return self._pending_reports.setdefault(scope, _PendingReports())

    def _record_end(self, fingerprint, end, scope, now):
        if not self._table.record_end(
            fingerprint, end.incarnation, end.at, now, end.software_version
        ):
            return
        if scope is not None:
            pending = self._pending(scope)
            pending.ends.setdefault(end.incarnation, {})[fingerprint] = end.at
            pending.versions[end.incarnation] = end.software_version
        if fingerprints_module.is_part(fingerprint):
            self._parts.note_change()
        else:
            self._update_blocked(fingerprint, now)
        if end.incarnation in self._withdrawn:
            self._record_ends_of_withdrawn(end, now)

    def _clear(self, fingerprint, at, scope, now):
        if not self._table.clear(fingerprint, at, now):
            return
        if scope is not None:
            self._pending(scope).served[fingerprint] = at
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
            end = _End(
                (ended.server, ended.epoch),
                now - ended.age - delay,
                ended.software_version,
            )
            for fingerprint in ended.fingerprints:
                self._record_end(fingerprint, end, scope, now)
                self._clear_if_served(fingerprint, now)
        for fingerprint in message.served:
            self._clear(fingerprint, now - delay, scope, now)
        for sound in message.sound:
            at = now - sound.age - delay
            self._record_sound(
                sound.fingerprint, sound.software_version, at, scope, now
            )
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
            for item in record.ends:
                end = _End(
                    (item.server, item.epoch),
                    now - item.age - delay,
                    item.software_version,
                )
                self._record_end(fingerprint, end, scope, now)
            for sound in record.sound:
                self._table.enter(fingerprint, now - record.age - delay, now)
                at = now - sound.age - delay
                self._record_sound(
                    fingerprint, sound.software_version, at, scope, now
                )
            self._clear_if_served(fingerprint, now)
        return []

    def _update_blocked(self, fingerprint, now):
        is_blocked = self._is_request_blocked(fingerprint, now)
        if is_blocked == (fingerprint in self._blocked):
            return
        if is_blocked:
            self._blocked.add(fingerprint)
            self._has_changed = True
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
                _age(min(fingerprints.values()), now),
                list(fingerprints),
                reports.versions[(name, epoch)],
            )
            for (name, epoch), fingerprints in reports.ends.items()
        ]
        sound = [
            server_ends.SoundPart(fingerprint, version, _age(at, now))
            for (fingerprint, version), at in reports.sound.items()
        ]
        message = server_ends.EndedServers(ended, list(reports.served), sound)
        own = self._state.identity.failure_domain
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.links()
            if scope is ForwardingScope.ALL or member.failure_domain == own
        ]


def _age(at, now):
    return round(max(0.0, now - at), 3)
