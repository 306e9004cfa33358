"""What an instance knows of each backend server.

Servers report nothing here.  An instance has the count of its own outstanding
work, the loads that the other instances announced, how its own attempts went,
and which prompt prefixes went to which server.  All of it is about one
incarnation of a server and is dropped when the server restarts.
"""

from ..coordination import server_loads
from . import prompt_cache
from . import server_health


class ServerState:
    """What this instance knows of one incarnation of a server.

    ``epoch`` and ``software_version`` identify the incarnation; ``epoch`` is
    ``None`` until the server has announced itself.  ``running`` counts this
    instance's outstanding requests
    there, ``unread`` the prompt tokens of those that have no output yet.
    """

    __slots__ = (
        "epoch",
        "software_version",
        "running",
        "unread",
        "health",
        "cache",
    )

    def __init__(self, kv_tokens, epoch=None, software_version=""):
        self.epoch = epoch
        self.software_version = software_version
        self.running = 0
        self.unread = 0.0
        self.health = server_health.Health()
        self.cache = prompt_cache.PromptCache(kv_tokens)


class ServerTable:
    """The state of all servers by name, combined with the others' ``loads``.

    ``kv_tokens()`` returns how many tokens fit into an engine's KV cache.
    ``asks`` are the :class:`.prefill_asks.PrefillAsks` of this instance, or
    ``None``; ``now`` is the time of the round, for the age of their answers.
    """

    __slots__ = ("now", "_loads", "_kv_tokens", "_asks", "_servers")

    def __init__(self, loads, kv_tokens, asks=None):
        self.now = 0.0
        self._loads = loads
        self._kv_tokens = kv_tokens
        self._asks = asks
        self._servers = {}

    def server(self, name):
        """Return the state of a server; create an empty one if needed."""
        state = self._servers.get(name)
        if state is None:
            state = self._servers[name] = ServerState(self._kv_tokens())
        return state

    def names(self):
        """Return the names of the servers with a state here."""
        return list(self._servers)

    def running(self, name):
        """Return how many requests all instances have at a server."""
        return self.server(name).running + self._loads.running(name)

    def unread(self, name):
        """Return the prompt tokens of all instances yet to be prefilled.

        Those in its prefill queue are included.
        """
        reported = self.server(name).unread + self._loads.unread(name)
        if self._asks is None:
            return reported
        backlog = self._asks.backlog(name, self.now)
        if backlog is not None:
            return backlog
        return reported + self._asks.asked_tokens(name)

    def pace(self, name):
        """Return the prompt tokens per second of an engine, 0 if unknown."""
        pace = self._asks.pace(name, self.now) if self._asks else 0
        return pace or self._loads.pace(name)

    def remote_load(self, name):
        """Return ``(running, unread)`` of the other instances."""
        return self._loads.running(name), self._loads.unread(name)

    def own_loads(self):
        """Return this instance's work at each server that has some.

        Tokens that it has asked a holder for count as unread, and the paces
        of the queues that it holds are added.
        """
        loads = {
            name: server_loads.Load(name, state.running, int(state.unread))
            for name, state in self._servers.items()
            if state.running
        }
        if self._asks is not None:
            self._add_asked(loads)
        return list(loads.values())

    def _add_asked(self, loads):
        for name, tokens in self._asks.all_asked_tokens().items():
            load = loads.setdefault(name, server_loads.Load(name, 0, 0))
            load.unread += tokens
        for name, pace in self._asks.held_paces.items():
            load = loads.setdefault(name, server_loads.Load(name, 0, 0))
            load.pace = int(pace)

    def record_announcement(self, name, epoch, software_version=""):
        """Record the epoch and the version that a server announced.

        Returns whether the server has restarted since; its state is empty
        then.  A restarted engine has nothing cached and runs nothing.  With
        the state of the earlier incarnation it would get no work while
        requests that ended with the restart count as running, and it would
        get prompts for prefixes that it no longer has.
        """
        state = self.server(name)
        if state.epoch is None:
            state.epoch = epoch
            state.software_version = software_version
        if (state.epoch, state.software_version) == (epoch, software_version):
            return False
        self._servers[name] = ServerState(
            self._kv_tokens(), epoch, software_version
        )
        self._loads.forget(name)
        self._forget_asks(name)
        return True

    def _forget_asks(self, name):
        if self._asks is not None:
            self._asks.forget_server(name)

    def forget(self, name):
        """Drop the state of a server that is gone, unless it has own work."""
        self._forget_asks(name)
        state = self._servers.get(name)
        if state is not None and not state.running:
            del self._servers[name]
