"""The component that maintains the membership and detects failures."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import dissemination
from ..coordination import member_records
from ..coordination import membership
from ..coordination import messages
from . import probes

# How often the address of a failed instance, or of a seed that has not been
# heard from, is retried, so that the two sides of a healed partition find
# each other.
RETRY_INTERVAL_SECONDS = 2.0
# How often an instance without any members retries its seeds.  When all
# instances start at once, a seed may begin to listen just after the first
# attempt, and the regular interval would delay the next one by 2 s.
SEED_RETRY_INTERVAL_SECONDS = 0.3
FORGET_INTERVAL_SECONDS = 10.0
# The offset between two clocks is estimated from the fastest message of the
# last one to two periods.  At one heartbeat per second, each estimate is the
# minimum of at least thirty messages.
CLOCK_OFFSET_PERIOD_SECONDS = 30.0
# Checking all of 530 members takes a third of a millisecond.
FAILURE_CHECK_INTERVAL_SECONDS = 0.3
REACHES_OTHER_DOMAINS = (
    member_records.Reach.ALL,
    member_records.Reach.MINORITY,
)
Standing = member_records.Standing


class Members(interfaces.Component):
    """Sends heartbeats, detects failures and spreads member records.

    The protocol is described in :mod:`..coordination.membership`.
    """

    def __init__(self, state):
        self._state = state
        self._members = state.members
        self._prober = probes.Probes(state)
        self._linked_members = {}
        self._next_heartbeat = 0.0
        self._next_retry = 0.0
        self._next_forget = 0.0
        self._next_offsets = 0.0
        self._next_failure_check = 0.0
        self._suspected_here = set()
        self._leaving = False
        self._last_reach = member_records.Reach.ALL
        self._logged_silent_domains = set()
        self._logged_as_relay = False

    def handlers(self):
        """Return the handlers of membership events and messages."""
        return {
            events.Started: self._handle_started,
            events.Left: self._handle_left,
            messages.Heartbeat: self._handle_heartbeat,
            member_records.MemberRecords: self._handle_records,
            dissemination.Probe: self._prober.probe,
            dissemination.ProbeAnswer: self._prober.answer,
        }

    def tick(self, now):
        """Send the messages that are due and check for failed members."""
        self._members.turn_changes()
        self._members.heartbeat_now = now >= self._next_heartbeat
        self._compensate_for_pause(now)
        self._members.note_silent(now)
        out = self._report_changes()
        if now >= self._next_failure_check:
            self._next_failure_check = now + FAILURE_CHECK_INTERVAL_SECONDS
            out.extend(self._check_for_failures(now))
            out.extend(self._report_silence(now))
            out.extend(self._report_relay())
        if self._members.heartbeat_now:
            self._next_heartbeat = now + membership.HEARTBEAT_INTERVAL_SECONDS
            self._decrease_patience(now)
            out.extend(self._report_reach(now))
            out.extend(self._send_heartbeats(now))
        if now >= self._next_retry:
            alone = not self._members.members
            interval = (
                SEED_RETRY_INTERVAL_SECONDS
                if alone
                else RETRY_INTERVAL_SECONDS
            )
            self._next_retry = now + interval
            out.extend(self._retry_unreachable())
        if now >= self._next_offsets:
            self._next_offsets = now + CLOCK_OFFSET_PERIOD_SECONDS
            self._members.turn_offsets()
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL_SECONDS
            self._members.forget(now)
        return out

    def _report_changes(self):
        return [
            effects.Log(
                "info",
                "member",
                {"member": item.instance, "change": item.change.value},
            )
            for item in self._members.changes
        ]

    def _report_reach(self, now):
        """Log a change of which failure domains this instance hears from."""
        reach = self._members.reach(now)
        if reach is self._last_reach:
            return []
        self._last_reach = reach
        level = "info" if reach is member_records.Reach.ALL else "warning"
        return [effects.Log(level, "reach", {"reach": reach.value})]

    def _report_silence(self, now):
        """Log which failure domains became silent or are heard again.

        Request placement depends on this; see
        ``decisions.domain_reachability``.
        """
        silent = self._members.silent_domains(now)
        before, self._logged_silent_domains = (
            self._logged_silent_domains,
            silent,
        )
        return [
            effects.Log(
                "info",
                "failure domain fell silent"
                if domain in silent
                else "failure domain is no longer taken for silent",
                {"server_domain": domain, "important": True},
            )
            for domain in sorted(silent ^ before)
        ]

    def _report_relay(self):
        """Log when this instance becomes or stops being a domain's relay.

        A relay forwards the messages between its failure domain and the
        others.  This log line tells an operator why one instance is busier
        than the rest.
        """
        members = self._members
        is_relay = members.is_relay()
        if is_relay is self._logged_as_relay:
            return []
        self._logged_as_relay = is_relay
        domain = self._state.identity.failure_domain
        fields = {
            "relay": is_relay,
            "failure_domain": domain,
            "others": [item.instance for item in members.relays_of(domain)],
            "silent": members.silent_relays_of(domain),
            "members": 1 + len(members.members),
        }
        return [effects.Log("info", "relay of the failure domain", fields)]

    def _compensate_for_pause(self, now):
        """Keep a pause of this process from counting as others' silence.

        After a pause, all members seem silent until the messages waiting in
        the sockets are read.  The length of the pause is therefore left out
        of the time since each member was heard, and this instance's timeouts
        are lengthened for a while.
        """
        paused = self._members.note_tick(now)
        if paused:
            self._members.shift(paused)
            self._increase_patience()

    def _increase_patience(self):
        health = self._members.health + 1
        self._members.health = min(health, membership.MAX_HEALTH_SCORE)

    def _decrease_patience(self, now):
        if self._members.health and self._members.hears_anybody(now):
            self._members.health -= 1

    def _heartbeat_message(self, last=False, ask=False):
        state = self._state
        return messages.Heartbeat(
            applied=state.store.version,
            refutations=state.identity.refutations,
            members=state.members.digest.root,
            servers=state.registry.digest.root,
            usage_version=state.usage.own_version(),
            usage_finished=state.usage.finished_root(),
            outside=self._last_reach in REACHES_OTHER_DOMAINS,
            last=last,
            ask=ask,
            ends=state.ends.digest.root,
            limits=state.limits.digest.root,
        )

    def _send_heartbeats(self, now):
        """Send a heartbeat on each link, and a last one where a link ended."""
        before = self._linked_members
        links = self._members.links()
        self._linked_members = {item.instance: item for item in links}
        message = self._heartbeat_message()
        out = []
        for member in links:
            if not member.linked:
                # Both ends choose the same links, so this member will send
                # heartbeats here too.
                member.linked = True
                member.heard = now
            out.append(effects.SendPeer(member.address, message))
        last_message = self._heartbeat_message(last=True)
        for name, member in before.items():
            if name not in self._linked_members and not member.gone():
                out.append(effects.SendPeer(member.address, last_message))
        return out

    def _retry_unreachable(self):
        """Send a heartbeat to one address without a known live instance.

        An instance that knows no live member tries all of them.
        """
        known = {
            item.address
            for item in self._members.members.values()
            if not item.gone()
        }
        failed = {
            item.address
            for item in self._members.members.values()
            if item.standing is Standing.FAILED
        }
        own = self._state.identity.address
        addresses = sorted((self._members.seeds | failed) - known - {own})
        if not addresses:
            return []
        if known:
            addresses = [self._state.rng.choice(addresses)]
        message = self._heartbeat_message(last=True, ask=True)
        return [effects.SendPeer(address, message) for address in addresses]

    def _check_for_failures(self, now):
        """Probe, suspect or declare failed the members that are silent."""
        out = []
        for member in list(self._members.members.values()):
            # Runs for every member three times a second.
            standing = member.record.standing
            if standing in member_records.GONE:
                continue
            if standing is Standing.SUSPECT:
                out.extend(self._check_suspect(member, now))
            elif member.linked:
                out.extend(self._check_linked_member(member, now))
        return out

    def _check_linked_member(self, member, now):
        silence = now - member.heard
        if silence < membership.PROBE_AFTER_SECONDS * self._members.patience():
            return []
        if member.probed_at is None:
            member.probed_at = now
            return self._prober.ask(member, now)
        waited = now - member.probed_at
        if waited < probes.PROBE_TIMEOUT_SECONDS * self._members.patience():
            return []
        if not self._members.heard_since(member.probed_at):
            # No member at all was heard since, so the fault lies with this
            # instance.  Suspecting everybody would only delay its recovery.
            return []
        return self._set_standing(member, Standing.SUSPECT, now)

    def _check_suspect(self, member, now):
        allowed = membership.SUSPICION_SECONDS * self._members.patience()
        if now - member.since < allowed:
            return []
        if not self._members.heard_since(member.since):
            return []
        return self._set_standing(member, Standing.FAILED, now)

    def _set_standing(self, member, standing, now):
        if standing is Standing.SUSPECT:
            self._suspected_here.add(member.instance)
        record = self._members.mark(member, standing, now)
        return self._spread([record])

    def _spread(self, records, source=""):
        message = member_records.MemberRecords(records)
        return [
            effects.SendPeer(item.address, message)
            for item in self._members.spread_to(source)
        ]

    def _handle_started(self, event, now):
        self._state.identity.address = event.address
        self._members.note_own()
        return []

    def _handle_left(self, event, now):
        self._leaving = True
        record = self._members.own_record(Standing.LEFT)
        return self._spread([record])

    def _handle_heartbeat(self, source, message, now):
        member = self._members.members[source.instance]
        if source.incarnation < member.incarnation:
            return self._send_record(source, member.record)
        out = []
        if member.standing is not Standing.ALIVE:
            # The record held here takes precedence over the heartbeat.  The
            # sender needs the record to refute it; its refutation then
            # spreads to all instances.
            if message.refutations <= member.record.refutations:
                return self._send_record(source, member.record)
            out.extend(
                self._apply_refutation(source, message.refutations, now)
            )
        member.applied = message.applied
        member.hears_other_domains = message.outside
        member.linked = not message.last
        if message.ask:
            answer = self._heartbeat_message(last=True)
            out.append(effects.SendPeer(source.address, answer))
        return out

    def _send_record(self, source, record):
        message = member_records.MemberRecords([record])
        return [effects.SendPeer(source.address, message)]

    def _apply_refutation(self, source, refutations, now):
        record = member_records.MemberRecord(
            source.instance,
            source.address,
            source.failure_domain,
            source.region,
            source.incarnation,
            refutations,
        )
        self._members.learn(record, now)
        return self._spread([record], source.instance)

    def _handle_records(self, source, message, now):
        changed = []
        contradicted = False
        for record in message.records:
            if self._members.contradicts(record):
                contradicted = True
            elif self._members.learn(record, now):
                changed.append(record)
                self._note_refuted_suspicion(record, now)
        out = self._spread(changed, source.instance) if changed else []
        if contradicted and not self._leaving:
            out.extend(self._refute(source, message.records))
        return out

    def _refute(self, source, records):
        for record in records:
            if self._members.contradicts(record):
                self._members.refute(record)
        own = self._members.own_record()
        return self._spread([own]) + self._send_record(source, own)

    def _note_refuted_suspicion(self, record, now):
        """Lengthen timeouts if this instance's own suspicion proved wrong."""
        if record.instance not in self._suspected_here:
            return
        self._suspected_here.discard(record.instance)
        if record.standing is Standing.ALIVE:
            self._members.members[record.instance].heard = now
            self._increase_patience()
