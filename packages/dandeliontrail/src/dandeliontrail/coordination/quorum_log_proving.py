"""How an instance keeps proving that its state is recent.

An age that came with a message is too young by the time the message took,
and a message that waited through a partition in a socket may have taken
seconds.  An instance that must refuse to act on old state (a key that was
taken away must stop working, also where the instance is cut off) therefore
asks, again and again, and counts from when it asked.

The leader answers from what a majority confirmed to it.  Other keepers ask
the leader like everyone else, so that whoever cannot reach the leader asks
them and learns only of an older moment, never of a wrong one.
"""

from . import quorum_log_core as core_module

# A proof is to be younger than the shortest bound on it, 1.5 s or so, after
# one lost question.
ASK_INTERVAL = 0.5
# Questions that may still be answered; older ones prove nothing useful.
MOST_OPEN = 16


class Proving:
    """Asks keepers how far they are, and takes their answers as proof."""

    def __init__(self, core, freshness, neighbours, enabled):
        self._core = core
        self._freshness = freshness
        self._neighbours = neighbours
        self._enabled = enabled
        self._open = {}
        self._next_ask = float("-inf")
        self._answered = True

    def question(self, leader, now):
        """Return ``(name, number)`` of the keeper to ask now, or ``None``."""
        core = self._core
        if not self._enabled or now < self._next_ask:
            return None
        if core.role is core_module.Role.LEADER or not core.log_id:
            return None
        self._next_ask = now + ASK_INTERVAL
        name = self._choose(leader, now)
        if not name:
            return None
        number = core.rng.getrandbits(48) + 1
        self._open[number] = now
        while len(self._open) > MOST_OPEN:
            del self._open[next(iter(self._open))]
        self._answered = False
        return name, number

    def _choose(self, leader, now):
        """Ask the leader, and some other keeper where it did not answer."""
        names = [
            item.name
            for item in self._core.log.voters
            if item.name != self._core.name
        ]
        if leader in names and self._answered:
            return leader
        alive = [name for name in names if name in self._neighbours.alive(now)]
        pool = alive or names
        return self._core.rng.choice(pool) if pool else ""

    def hear(self, message):
        """Take in an answer to one of the open questions."""
        asked_at = self._open.pop(message.ask, None)
        if asked_at is None:
            return
        self._answered = True
        self._freshness.prove(message.proven_ago, message.applied, asked_at)
