"""The component that exchanges the loads at backend servers.

In a full mesh, each instance sends its loads to all others.  In larger
systems, an instance sends them to a relay of its failure domain, which
answers with the sum over all instances; a relay sends the sum of its own
domain to the relays of the other domains.  Each instance therefore takes part
in a few exchanges per second regardless of the number of instances, and an
idle instance in hardly any.  Relays answer instead of pushing to their domain:
a relay that pushed sent 73 batches per second with 30 idle instances, and
would send 235 with 195.
"""

from .. import effects
from .. import interfaces
from ..coordination import server_loads

# Loads that changed little are sent this often, so that they do not expire
# at the receivers.  Sending them at each change took as much processor time
# as the requests themselves.
REPEAT_INTERVAL_SECONDS = 0.5
# Instances that have reported no loads of their own are sent loads only this
# often: they may have begun to serve requests, or may never do so.
ALL_INSTANCES_INTERVAL_SECONDS = 3.0
# The interval of messages through relays while there is work.  A load is at
# most two such intervals old; with older loads, many instances choose the
# same engine at once.  An instance without work sends its message every
# ``REPEAT_INTERVAL_SECONDS``.
RELAY_INTERVAL_SECONDS = 0.2


class ServerLoads(interfaces.Component):
    """Sends this instance's loads and applies those of the others."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._reporting_instances = {}
        self._sent_loads = []
        self._unsent_reads = []
        # Prompt parts to report to the instances of this failure domain,
        # filled only while this instance is the domain's first relay.
        self._sent_prompt_log = server_loads.SentPromptLog()
        self._last_sent_at = float("-inf")
        self._sent_work_outside = False
        self._next_repeat = 0.0
        self._next_to_all = 0.0

    def handlers(self):
        """Return the handler of other instances' loads."""
        return {server_loads.ServerLoads: self._handle_loads}

    def tick(self, now):
        """Send the loads that changed, at most ten times per second."""
        self._state.loads.expire(now)
        reads = self._policy.take_reads()
        self._unsent_reads.extend(reads)
        if not self._state.members.full_mesh():
            return self._send_through_relays(reads, now)
        loads = self._policy.own_loads()
        if not loads and not self._sent_loads and not self._unsent_reads:
            return []
        is_due = self._unsent_reads or server_loads.changed_significantly(
            loads, self._sent_loads
        )
        if not is_due and now < self._next_repeat:
            return []
        self._sent_loads = loads
        self._next_repeat = now + REPEAT_INTERVAL_SECONDS
        message = server_loads.ServerLoads(loads, self._take_unsent_reads())
        return [
            effects.SendPeer(member.address, message)
            for member in self._receivers(now)
        ]

    def _take_unsent_reads(self):
        reads, self._unsent_reads = self._unsent_reads, []
        return reads

    def _receivers(self, now):
        alive = self._state.members.alive(now)
        if now >= self._next_to_all:
            self._next_to_all = now + ALL_INSTANCES_INTERVAL_SECONDS
            return alive
        return [
            item
            for item in alive
            if item.instance in self._reporting_instances
        ]

    def _send_through_relays(self, reads, now):
        if self._is_aggregator():
            self._sent_prompt_log.add(
                reads, self._state.identity.instance, now
            )
            return self._send_domain_sum(now)
        if now - self._last_sent_at < RELAY_INTERVAL_SECONDS:
            # The shorter of the two intervals below.
            return []
        loads = self._policy.own_loads()
        # A pace of a server without work must only be repeated.
        has_work = (
            self._unsent_reads
            or _has_requests(loads)
            or _has_requests(self._sent_loads)
        )
        interval = (
            RELAY_INTERVAL_SECONDS if has_work else REPEAT_INTERVAL_SECONDS
        )
        if now - self._last_sent_at < interval:
            return []
        self._last_sent_at = now
        self._sent_loads = loads
        relays = self._state.members.relays_of(
            self._state.identity.failure_domain
        )
        self._state.loads.sent_to_relay_at = now
        message = server_loads.ServerLoads(loads, self._take_unsent_reads())
        return [effects.SendPeer(item.address, message) for item in relays[:1]]

    def _is_aggregator(self):
        """Return whether this instance aggregates its domain's loads.

        Only the first relay does; the second one is a standby, since with
        two sums each load would count twice.
        """
        members = self._state.members
        return not members.full_mesh() and (
            members.is_relay() and members.is_first_relay()
        )

    def _send_domain_sum(self, now):
        """Send the sum of this domain to the first relays of the others."""
        if now - self._last_sent_at < RELAY_INTERVAL_SECONDS:
            return []
        self._last_sent_at = now
        members = self._state.members
        own = self._state.identity.failure_domain
        loads = self._state.loads.sum_of(self._policy.own_loads(), own)
        message = server_loads.ServerLoads(
            loads, self._take_unsent_reads(), own
        )
        has_work = bool(loads or message.reads)
        if not has_work and not self._sent_work_outside:
            return []
        self._sent_work_outside = has_work
        return [
            effects.SendPeer(item.address, message)
            for domain in members.relayed_domains()
            if domain != own
            for item in members.relays_of(domain)[:1]
        ]

    def _handle_loads(self, source, message, now):
        loads = message.loads
        if message.of == server_loads.ALL:
            if self._is_aggregator():
                # The sender also considers itself the first relay.
                return []
            loads = server_loads.subtract_own(loads, self._sent_loads)
            self._state.members.note_told_silent(message.silent, now)
        elif message.of and not self._is_aggregator():
            # The sender takes this instance for the first relay of its
            # domain.  The sum over all domains, which the first relay sends,
            # already contains this one.
            return []
        self._reporting_instances[source.instance] = now
        name = message.of or source.instance
        self._state.loads.replace_report(
            name, source.failure_domain, loads, now
        )
        self._policy.heard_reads(message.reads, now)
        return (
            self._answer_as_relay(source, message, now)
            if self._is_aggregator()
            else []
        )

    def _answer_as_relay(self, source, message, now):
        """Record prompt parts, and answer instances of this domain."""
        self._sent_prompt_log.add(message.reads, source.instance, now)
        if source.failure_domain != self._state.identity.failure_domain:
            return []
        self._unsent_reads.extend(message.reads)
        answer = server_loads.ServerLoads(
            self._state.loads.sum_of_all(self._policy.own_loads()),
            self._sent_prompt_log.entries_since_last_query(
                source.instance, source.incarnation, now
            ),
            server_loads.ALL,
            sorted(self._state.members.silent_domains(now)),
        )
        return [effects.SendPeer(source.address, answer)]


def _has_requests(loads):
    """Return whether loads tell of any requests, and not only of paces."""
    return any(load.running or load.unread for load in loads)
