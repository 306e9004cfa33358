"""What an instance knows of each backend server: its own and others' work.

Servers report nothing here.  What one instance has is the count of its own
work, the word of the others of theirs, how its own attempts went, and which
prompt parts went where.  All of that is about one incarnation of a server
and goes with it.
"""

from ..coordination import server_loads
from . import prompt_cache
from . import server_health


class Server:
    """What this instance knows of one incarnation of a server.

    ``epoch`` tells which one, ``None`` while none has announced itself.
    ``running`` counts this instance's requests there, ``unread`` the prompt
    tokens of those without output.
    """

    __slots__ = ("epoch", "running", "unread", "health", "cache")

    def __init__(self, kv_tokens, epoch=None):
        self.epoch = epoch
        self.running = 0
        self.unread = 0.0
        self.health = server_health.Health()
        self.cache = prompt_cache.PromptCache(kv_tokens)


class ServerTable:
    """The servers by name, with the others' ``loads`` beside the own work.

    ``kv_tokens()`` tells for how many tokens an engine has memory.
    """

    __slots__ = ("_loads", "_kv_tokens", "_servers")

    def __init__(self, loads, kv_tokens):
        self._loads = loads
        self._kv_tokens = kv_tokens
        self._servers = {}

    def server(self, name):
        """Return what is known of a server, nothing at first."""
        held = self._servers.get(name)
        if held is None:
            held = self._servers[name] = Server(self._kv_tokens())
        return held

    def running(self, name):
        """Return how many requests all instances have there."""
        return self.server(name).running + self._loads.running(name)

    def unread(self, name):
        """Return how many prompt tokens of all wait to be read there."""
        return self.server(name).unread + self._loads.unread(name)

    def others(self, name):
        """Return ``(running, unread)`` of the other instances."""
        return self._loads.running(name), self._loads.unread(name)

    def own_loads(self):
        """Return this instance's work at each server."""
        return [
            server_loads.Load(name, held.running, int(held.unread))
            for name, held in self._servers.items()
            if held.running
        ]

    def announced(self, name, epoch):
        """Take note of the incarnation that announced itself.

        Returns whether it took the place of an earlier one, of which
        nothing is kept then.  Failure guarded against: an engine that
        starts again under its name has read nothing and runs nothing.  Taken
        for the old one it would get no work while what died with it counts
        as running, and prompts for parts that it no longer has.
        """
        held = self.server(name)
        if held.epoch is None:
            held.epoch = epoch
        if held.epoch == epoch:
            return False
        self._servers[name] = Server(self._kv_tokens(), epoch)
        self._loads.forget(name)
        return True

    def forget(self, name):
        """Drop what is held about a server that is gone."""
        held = self._servers.get(name)
        if held is not None and not held.running:
            del self._servers[name]
