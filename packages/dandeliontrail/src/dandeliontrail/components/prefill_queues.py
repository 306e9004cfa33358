"""The component that shares the prefill queues of model engines.

It sends the asks and ends of the policy (:mod:`..decisions.prefill_asks`) to
the holders of the engines' queues, and keeps the queues of those that this
instance is the holder of (:mod:`.prefill_holder`).  Where no service queues
prefills it does nothing.
"""

import collections

from .. import effects
from .. import interfaces
from ..coordination import member_records
from ..coordination import prefill_messages
from ..decisions import holders as holders_module
from ..decisions import permit_issuer
from . import prefill_holder

# How often queues of engines that restarted or are gone are dropped, and the
# typical paces of the others are updated.
REFRESH_INTERVAL_SECONDS = 0.5
# Held queues that take their engine longer than this are logged, once in the
# interval.
LONG_QUEUE_SECONDS = 1.0
LONG_QUEUE_LOG_INTERVAL_SECONDS = 1.0
# Changes after which the prompts of an instance are of no use.  Those of the
# earlier start of one that restarted are dropped by its first ask.
_ENDED = frozenset((member_records.Change.FAILED, member_records.Change.LEFT))


class PrefillQueues(interfaces.Component):
    """Exchanges asks, ends, answers and grants."""

    def __init__(self, state, policy):
        own = state.identity
        self._state = state
        self._asks = state.prefill
        self._queues = state.held_queues
        self._holders = holders_module.DomainHolders(
            own.instance, own.failure_domain
        )
        self._holder = prefill_holder.PrefillHolder(
            state, policy, self._holders
        )
        self._has_own_answers = False
        self._next_refresh = float("-inf")
        self._next_log = float("-inf")

    def handlers(self):
        """Return the handlers of the instances' messages."""
        return {
            prefill_messages.PrefillAsks: self._handle_asks,
            prefill_messages.PrefillGrants: self._handle_grants,
        }

    def tick(self, now):
        """Issue the grants that are due, and drop what has expired."""
        if self._state.members.changes:
            self._update_members()
        out = self._silence_lines()
        if not self._queues.contents:
            return out
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_INTERVAL_SECONDS
            self._holder.refresh(now)
        out.extend(self._deliver(self._holder.issue(now), now))
        self._asks.held_paces = self._queues.known_paces(now)
        return out + self._long_queue_lines(now)

    def _update_members(self):
        members = self._state.members
        self._holders.set_domains(
            {
                item.instance: item.failure_domain
                for item in members.members.values()
                if not item.gone()
            },
            self._relays(),
        )
        for item in members.changes:
            if item.change in _ENDED:
                self._holder.forget_asker(item.instance)

    def _relays(self):
        """Return the names of the instances that are relays.

        They exchange the loads of all others, and the links of small
        instances leave little room for asks beside that.
        """
        members = self._state.members
        names = {
            item.instance
            for domain in members.relayed_domains()
            for item in members.relays_of(domain)
        }
        if members.is_relay():
            names.add(self._state.identity.instance)
        return names

    # -- asking -------------------------------------------------------------

    def exchange(self, now):
        """Return the messages that are due, and whether answers came.

        Answers come at once from queues that this instance holds itself.
        """
        self._has_own_answers = False
        by_holder = collections.defaultdict(prefill_messages.PrefillAsks)
        for server, message in self._asks.due(now).items():
            batch = by_holder[self.holder_of(server)]
            batch.asks.extend(message.asks)
            batch.ends.extend(message.ends)
        out = []
        own = self._state.identity
        for holder, batch in by_holder.items():
            if holder == own.instance:
                deliveries = self._holder.serve(_asker(own), batch, now)
                out.extend(self._deliver(deliveries, now))
                continue
            address = self._state.members.address_of(holder)
            if address:
                out.append(effects.SendPeer(address, batch))
        return out, self._has_own_answers

    def record_placed(self, placement, now):
        """Add the holder that granted a placement to its log line."""
        server = placement.server
        grounds = placement.grounds
        if grounds is None or not grounds.asked:
            return
        asks = self._asks.of(placement.work.request_id)
        is_sent = any(ask.is_used and ask.server == server for ask in asks)
        if is_sent and self._asks.is_held(server, now):
            grounds.holder = self.holder_of(server)

    def holder_of(self, server):
        """Return the holder of an engine's queue, '' for unknown engines."""
        record = self._state.directory.server(server)
        if record is None:
            return ""
        return self._holders.of(server, record.announcement.failure_domain)

    @property
    def has_own_answers(self):
        """Whether this instance has answered itself since its last asks."""
        return self._has_own_answers

    def _handle_grants(self, source, message, now):
        for grant in message.grants:
            self._asks.receive(grant, now)
        return []

    # -- holding ------------------------------------------------------------

    def _handle_asks(self, source, message, now):
        deliveries = self._holder.serve(_asker(source), message, now)
        return self._deliver(deliveries, now)

    def _deliver(self, deliveries, now):
        """Return the messages with grants; own ones are used here."""
        by_asker = collections.defaultdict(list)
        for item in deliveries:
            by_asker[item.asker].append(item.grant)
        out = []
        for asker, grants in by_asker.items():
            if asker.instance == self._state.identity.instance:
                self._receive_own(grants, now)
                continue
            message = prefill_messages.PrefillGrants(grants)
            out.append(effects.SendPeer(asker.address, message))
        return out

    def _receive_own(self, grants, now):
        self._has_own_answers |= are_decisive(grants)
        for grant in grants:
            self._asks.receive(grant, now)

    # -- log ----------------------------------------------------------------

    def _silence_lines(self):
        return [
            effects.Log(
                "warning" if item.is_silent else "info",
                "holder of a prefill queue is silent"
                if item.is_silent
                else "holder of a prefill queue answers again",
                {
                    "backend_server": item.server,
                    "holder": self.holder_of(item.server),
                    "important": True,
                },
            )
            for item in self._asks.silence.take_changes()
        ]

    def _long_queue_lines(self, now):
        """Return a line about the longest held queue, if it is long."""
        if now < self._next_log:
            return []
        server, tokens, seconds = self._queues.longest(now)
        if seconds <= LONG_QUEUE_SECONDS:
            return []
        self._next_log = now + LONG_QUEUE_LOG_INTERVAL_SECONDS
        fields = {
            "backend_server": server,
            "prompts": len(self._queues.get(server)),
            "tokens": tokens,
            "seconds": round(seconds, 3),
            "important": True,
        }
        return [effects.Log("info", "prefill queue is long", fields)]


def are_decisive(grants):
    """Return whether answers let the policy place a prompt now.

    What only says how long a prompt waits is used by the next round: a round
    for each answer would decide about all waiting prompts each time.
    """
    return any(item.granted or not item.holding for item in grants)


def _asker(instance):
    return permit_issuer.Asker(
        instance.instance, instance.incarnation, instance.address
    )
