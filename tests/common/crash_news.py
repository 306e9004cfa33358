"""A simulated network of instances that share which servers ended."""

import types

from dandeliontrail.components import server_ends
from dandeliontrail import events
from dandeliontrail_lab import simulated_nodes


class CrashNews:
    """``count`` instances in three failure domains, all discovered."""

    def __init__(self, count, seed=1, **options):
        self.net = simulated_nodes.Network(seed, **options)
        for number in range(count):
            self.net.add(f"i{number:03}", f"fd{number % 3}")
        self.nodes = list(self.net.nodes.values())
        records = [node.state.members.own_record() for node in self.nodes]
        for node in self.nodes:
            for record in records:
                node.state.members.learn(record, 0.0)
        self.net.run(3.0)

    def component_of(self, node):
        """Return the ``ServerEnds`` component of an instance."""
        (component,) = [
            item
            for item in node.reducer.components
            if isinstance(item, server_ends.ServerEnds)
        ]
        return component

    def ended(self, node, fingerprint, server):
        """Let ``server`` end while it runs a request sent by ``node``."""
        request = types.SimpleNamespace(
            work=types.SimpleNamespace(fingerprint=fingerprint),
            incarnation=(server, 0),
            output_at=0.0,
        )
        event = events.AttemptFailed("r", 1, 0, "", closed=True)
        self.component_of(node).record_failed_attempt(
            request, event, self.net.now
        )

    def served(self, node, fingerprint):
        """Let a server complete a request of ``node``."""
        self.component_of(node).record_served(fingerprint, self.net.now)

    def blocking_instances(self, fingerprint):
        """Return the names of the instances that block a request."""
        return {
            node.name
            for node in self.net.nodes.values()
            if node.up
            and self.component_of(node).is_blocked(fingerprint, self.net.now)
        }
