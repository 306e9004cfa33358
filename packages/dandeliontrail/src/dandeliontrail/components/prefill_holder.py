"""Serves the prefill queues of the engines that this instance holds."""

import msgspec

from ..coordination import prefill_messages
from ..decisions import permit_issuer
from ..decisions import prefill_pace
from ..decisions import prefill_queue


class Delivery(msgspec.Struct):
    """A grant or an answer, and the :class:`.permit_issuer.Asker` for it."""

    asker: permit_issuer.Asker
    grant: prefill_messages.PrefillGrant


class PrefillHolder:
    """Applies asks and ends to the queues and issues what they grant.

    ``holders`` is a :class:`..decisions.holders.DomainHolders`.
    """

    __slots__ = ("_state", "_policy", "_holders", "_queues")

    def __init__(self, state, policy, holders):
        self._state = state
        self._policy = policy
        self._holders = holders
        self._queues = state.held_queues

    def serve(self, asker, batch, now):
        """Apply asks and ends; return the answers and what is granted."""
        changed = {}
        for end in batch.ends:
            queue = self._queues.get(end.server)
            if queue is not None:
                queue.end(asker, end.number, end.prefilled, now)
                changed[end.server] = queue
        for ask in batch.asks:
            queue = self._queue_for(ask, now)
            if queue is not None:
                queue.ask(asker, ask, now)
                changed[ask.server] = queue
        issued = self._issue(changed, now)
        answers = [
            Delivery(asker, _answer(changed.get(ask.server), asker, ask, now))
            for ask in batch.asks
        ]
        answered = {(ask.server, ask.number) for ask in batch.asks}
        return answers + [
            item
            for item in issued
            if item.asker != asker
            or (item.grant.server, item.grant.number) not in answered
        ]

    def _queue_for(self, ask, now):
        """Return the queue that an ask is for, ``None`` if not held here."""
        queue = self._queues.get(ask.server)
        if queue is None and self._may_hold(ask.server, ask.epoch):
            queue = self._open(ask, now)
        return queue

    def _open(self, ask, now):
        service = self._service_of(ask.server)
        step = self._policy.traits_of(service).least_urgent_step
        pace = self._typical_pace(service, now)
        queue = prefill_queue.PrefillQueue(ask.epoch, now, pace, step)
        self._queues.add(ask.server, queue)
        return queue

    def _service_of(self, server):
        return self._state.directory.server(server).announcement.service

    def _typical_pace(self, service, now):
        """Return the median of the known paces of a service's engines."""
        own = self._queues.known_paces(now)
        names = [
            server.announcement.backend_server
            for server in self._state.directory.of_service(service)
        ]
        paces = [
            own.get(name) or self._state.loads.pace(name) for name in names
        ]
        return prefill_pace.median_pace([pace for pace in paces if pace])

    def _may_hold(self, server, epoch):
        """Return whether to keep the queue of a start of an engine here."""
        record = self._state.directory.server(server)
        if record is None:
            return False
        announcement = record.announcement
        if announcement.leaving or epoch < announcement.epoch:
            return False
        traits = self._policy.traits_of(announcement.service)
        if traits is None or not traits.queues_prefill:
            return False
        holder = self._holders.of(server, announcement.failure_domain)
        return holder == self._state.identity.instance

    def issue(self, now):
        """Drop what was not renewed; return the grants that are due."""
        for queue in self._queues.contents.values():
            queue.remove_expired(now)
        return self._issue(self._queues.contents, now)

    def _issue(self, queues, now):
        return [
            Delivery(item.asker, queue.answer(item.asker, item.number, now))
            for queue in queues.values()
            for item in queue.issue(now)
        ]

    def refresh(self, now):
        """Drop the queues that are not held here any more, update others."""
        for server, queue in list(self._queues.contents.items()):
            if queue.is_idle(now) or not self._may_hold(server, queue.epoch):
                self._queues.drop(server)
                continue
            service = self._service_of(server)
            queue.typical_pace = self._typical_pace(service, now)
            traits = self._policy.traits_of(service)
            queue.least_urgent_step = traits.least_urgent_step

    def forget_asker(self, instance):
        """Drop the prompts of an instance that is gone."""
        for queue in self._queues.contents.values():
            queue.forget_asker(instance)


def _answer(queue, asker, ask, now):
    if queue is not None:
        return queue.answer(asker, ask.number, now)
    return prefill_messages.PrefillGrant(
        ask.server, ask.epoch, ask.number, granted=False, holding=False
    )
