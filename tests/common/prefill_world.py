"""Instances as pure reducers that share the prefill queues of engines.

The engines prefill one prompt after another, each of ``PROMPT_TOKENS``, and
answer with the first event.
"""

from dandeliontrail.components import prefill_queues
from dandeliontrail.coordination import prefill_messages
from dandeliontrail import effects
from dandeliontrail.resources import revisions

from tests.common import limit_world

# In tokens per second.
PACE = 50_000.0
PROMPT_TOKENS = 10_000
PREFILL_SECONDS = PROMPT_TOKENS / PACE
# The path of the least urgent route.
PATH = "/later/"
JOIN_SECONDS = 5.0


class Engine(limit_world.Server):
    """An engine; ``backlogs`` has ``(time, seconds)`` at each arrival.

    That is how long the engine needs for what it has got then.
    """

    slots = 64

    def __init__(self, name, failure_domain):
        super().__init__(name)
        self.failure_domain = failure_domain
        self.backlogs = []
        self._free_at = 0.0

    def arrived(self, now):
        """Record a prompt and the time at which it will be prefilled."""
        super().arrived(now)
        self._free_at = max(now, self._free_at) + PREFILL_SECONDS
        self.backlogs.append((now, self._free_at - now))

    @property
    def service_seconds(self):
        """The time from the last arrival to the end of its prefill."""
        return self.backlogs[-1][1]

    def worst_backlog(self, since=0.0):
        """Return the longest backlog in seconds after a point in time."""
        return max(
            (seconds for at, seconds in self.backlogs if at >= since),
            default=0.0,
        )


class PrefillWorld(limit_world.LimitWorld):
    """Instances before engines whose long prompts wait in prefill queues.

    ``dropped`` is called with each message of prefill queues, its sender and
    its receiver; the message is lost if it returns true.  ``sent_kinds`` has
    the types of all that were sent and ``logs`` the lines that were logged.
    """

    target_seconds = 0.6

    def __init__(self, count=6, engines=("e0",), seed=0, **options):
        self.dropped = lambda message, sender, receiver: False
        self.sent_kinds = set()
        self.logs = []
        super().__init__(count, seed, **options)
        self.run(JOIN_SECONDS)
        for number, name in enumerate(engines):
            domain = limit_world.DOMAINS[number % len(limit_world.DOMAINS)]
            self.start_server(Engine(name, domain))
        self.run(0.5)

    def routes(self):
        """Return the routes; the target of the least urgent enables it."""
        routes = super().routes()
        for route in routes:
            route.streamed = True
            route.target = self.target_seconds if route.priority else 0.0
        return routes

    def service(self):
        """Return the service of the engines."""
        engine = revisions.Engine(Engine.slots)
        return revisions.Service(limit_world.SERVICE, 0, engine)

    def request(self, request_id, demand):
        """Return the event of a request with a prompt of its own."""
        event = super().request(request_id, demand)
        event.parts = ((request_id, PROMPT_TOKENS),)
        event.prompt_tokens = PROMPT_TOKENS
        event.max_output_tokens = 10
        return event

    def call(self, instance, path=PATH, organisation="large"):
        """Have a caller ask an instance once; return the request's id."""
        demand = limit_world.Demand(instance, path, 0.0, organisation)
        self._call(demand)
        return list(self.open)[-1]

    def component(self, name):
        """Return the component of an instance."""
        return next(
            item
            for item in self.nodes[name].reducer.components
            if isinstance(item, prefill_queues.PrefillQueues)
        )

    def holder_of(self, server):
        """Return the name of the holder, as the first running one sees it."""
        names = [
            name
            for name in self.names
            if self.nodes[name].up and name not in self.frozen
        ]
        return self.component(names[0]).holder_of(server)

    def queue(self, server, holder=None):
        """Return the queue of an engine at its holder, or ``None``."""
        holder = self.holder_of(server) if holder is None else holder
        return self.nodes[holder].state.held_queues.get(server)

    def askers(self):
        """Return the names of the instances that hold no engine's queue."""
        holders = {self.holder_of(name) for name in self.servers}
        return [name for name in self.names if name not in holders]

    def backlog(self, server, holder=None):
        """Return the tokens in the queue of an engine at its holder."""
        queue = self.queue(server, holder)
        return queue.backlog() if queue else 0

    def logged(self, text):
        """Return the lines with a text."""
        return [line for line in self.logs if line.message == text]

    def asks(self, name):
        """Return the asks of an instance."""
        return self.nodes[name].state.prefill

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        self.logs.extend(item for item in out if isinstance(item, effects.Log))

    def _send(self, node, address, batch):
        kept = []
        for message in batch:
            self.sent_kinds.add(type(message))
            if isinstance(message, prefill_messages.MESSAGES):
                if self.dropped(message, node.name, address):
                    continue
            kept.append(message)
        if kept:
            super()._send(node, address, kept)
