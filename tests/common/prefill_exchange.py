"""The messages between askers and the holders of prefill queues, simulated.

Messages between different instances arrive after a delay and may be lost.  An
instance that is silent as a holder neither receives nor sends as one; its own
requests go on.
"""

import dataclasses
import random

from dandeliontrail.decisions import holders
from dandeliontrail.decisions import permit_issuer
from dandeliontrail.decisions import prefill_pace
from dandeliontrail.decisions import prefill_queue


@dataclasses.dataclass(slots=True)
class ExchangeOptions:
    """How messages travel; ``silent`` are (instance name, begin, end)."""

    delay: float = 0.002
    loss: float = 0.0
    silent: tuple = ()


class PrefillExchange:
    """Delivers the messages of all instances of a ``world``."""

    def __init__(self, world, options):
        self.options = options
        self.messages = 0
        self.longest_queue = 0
        self._world = world
        # The random numbers of the world stay the same with any loss.
        self._rng = random.Random(1)
        self._holders = {
            server.announcement.backend_server: self._choose_holder(server)
            for server in world.servers
        }
        self._queues = {
            server.announcement.backend_server: prefill_queue.PrefillQueue(
                server.announcement.epoch,
                0.0,
                prefill_pace.TYPICAL_PACE,
                world.least_urgent_step,
            )
            for server in world.servers
        }
        self._by_name = {item.name: item for item in world.instances}

    def _choose_holder(self, server):
        """Return the instance that holds the queue of a server."""
        domain = server.announcement.failure_domain
        members = [
            item for item in self._world.instances if item.domain == domain
        ]
        chosen = holders.Holders(members[0].name)
        chosen.set_candidates([item.name for item in members], 0.0)
        name = chosen.of(server.announcement.backend_server).instance
        return next(item for item in members if item.name == name)

    def _is_silent(self, instance):
        return any(
            name == instance.name and begin <= self._world.now < end
            for name, begin, end in self.options.silent
        )

    def send_due(self, instance):
        """Send the asks, renewals and ends of an instance."""
        for server, message in instance.prefill.due(self._world.now).items():
            holder = self._holders[server]
            self._send(
                instance, holder, self._handle_asks, instance, server, message
            )

    def _send(self, sender, receiver, call, *args):
        delay = 0.0
        if sender is not receiver:
            self.messages += 1
            delay = self.options.delay
            if self._rng.random() < self.options.loss:
                return
        self._world.schedule(self._world.now + delay, call, *args)

    def _handle_asks(self, instance, server, message):
        if self._is_silent(self._holders[server]):
            return
        now = self._world.now
        queue = self._queues[server]
        asker = permit_issuer.Asker(instance.name, 1, "")
        for end in message.ends:
            queue.end(asker, end.number, end.prefilled, now)
        for ask in message.asks:
            queue.ask(asker, ask, now)
        issued = queue.issue(now)
        answers = [
            queue.answer(asker, ask.number, now) for ask in message.asks
        ]
        answered = {ask.number for ask in message.asks}
        self._send_grants(server, asker, answers)
        self._send_issued(
            server,
            [
                item
                for item in issued
                if item.asker != asker or item.number not in answered
            ],
        )
        self.longest_queue = max(self.longest_queue, queue.backlog())

    def _send_issued(self, server, issued):
        queue = self._queues[server]
        for item in issued:
            grant = queue.answer(item.asker, item.number, self._world.now)
            self._send_grants(server, item.asker, [grant])

    def _send_grants(self, server, asker, grants):
        if not grants:
            return
        instance = self._by_name[asker.instance]
        self._send(
            self._holders[server],
            instance,
            self._handle_grants,
            instance,
            grants,
        )

    def _handle_grants(self, instance, grants):
        for grant in grants:
            instance.prefill.receive(grant, self._world.now)
        instance.decide()

    def tick(self):
        """Drop what is not renewed, grant what is due, and tell the paces."""
        now = self._world.now
        for server, queue in self._queues.items():
            holder = self._holders[server]
            if self._is_silent(holder):
                continue
            queue.remove_expired(now)
            self._send_issued(server, queue.issue(now))
            pace = queue.known_pace(now)
            if pace:
                holder.prefill.held_paces[server] = int(pace)
        for instance in self._world.instances:
            paces = [instance.pace(name) for name in self._queues]
            typical = prefill_pace.median_pace(
                [item for item in paces if item]
            )
            for server, holder in self._holders.items():
                if holder is instance:
                    self._queues[server].typical_pace = typical
