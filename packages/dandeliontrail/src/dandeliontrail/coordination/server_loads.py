"""What instances tell one another of their work at backend servers.

Servers report their load to nobody here, and each sees work from many
instances.  So every instance that has work under way says, a few times a
second, how much of it is where, and which parts of prompts it has sent
there.  The sum over all instances is a server's load, a tenth of a second
old, at some hundred bytes a message.
"""

import collections

import msgspec

# What an instance said counts for so long: some missed messages more than
# their interval, and less than a crashed instance's work takes to end.
HELD_SECONDS = 1.0


class Load(msgspec.Struct, array_like=True):
    """One instance's work at one server.

    ``running`` counts requests, ``unread`` the prompt tokens of those that
    have no output yet.
    """

    server: str
    running: int
    unread: int


class Read(msgspec.Struct, array_like=True):
    """Shared parts of a prompt that were sent to a server, in order."""

    server: str
    parts: list[tuple[str, int]]


class ServerLoads(msgspec.Struct, tag="server_loads"):
    """All work of the sender, and what it sent since its last message."""

    loads: list[Load]
    reads: list[Read] = []


class LoadTable:
    """The newest word of each other instance, and the sums by server."""

    __slots__ = ("_said", "_sums")

    def __init__(self):
        self._said = {}
        self._sums = {}

    def take(self, instance, loads, now):
        """Take in an instance's word in place of its last one."""
        self._said[instance] = (now, loads)
        self._sum()

    def expire(self, now):
        """Forget what was said too long ago."""
        old = [
            name
            for name, (at, _) in self._said.items()
            if now - at > HELD_SECONDS
        ]
        for name in old:
            del self._said[name]
        if old:
            self._sum()

    def _sum(self):
        sums = collections.defaultdict(lambda: [0, 0])
        for _, loads in self._said.values():
            for load in loads:
                held = sums[load.server]
                held[0] += load.running
                held[1] += load.unread
        self._sums = dict(sums)

    def running(self, server):
        """Return how many requests of others run at a server."""
        held = self._sums.get(server)
        return held[0] if held else 0

    def unread(self, server):
        """Return how many prompt tokens of others wait to be read there."""
        held = self._sums.get(server)
        return held[1] if held else 0
