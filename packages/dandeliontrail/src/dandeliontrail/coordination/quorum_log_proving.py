"""How an instance keeps proving that its state is recent.

An age that came with a message is too young by the time the message took,
and a message that waited through a partition in a socket may have taken
seconds.  An instance that must refuse to act on old state (a key that was
taken away must stop working, also where the instance is cut off) therefore
asks, again and again, and counts from when it asked.

The leader answers from what a majority confirmed to it, and the other keepers
ask the leader.  Everyone else asks a keeper of the own failure domain, which
tells of a moment that is older by its own question, never of a wrong one; with
two hundred instances the leader would have four hundred questions a second.
Where that keeper is slow, cut off or gone the leader is asked, and where the
leader does not answer any other keeper.
"""

from . import quorum_log_core as core_module

# A proof is to be younger than the shortest bound on it, 1.5 s or so, after
# one lost question.
ASK_INTERVAL = 0.5
# Questions that may still be answered; older ones prove nothing useful.
MOST_OPEN = 16
# A near keeper asks twice a second itself, so that its proof is older than
# this only after a lost question, or where it does not reach the leader.
NEAR_AGE = 1.0
# So long is a near keeper not asked that did not answer, or whose proof was
# old: a cut between failure domains lasts for some seconds.
NEAR_PAUSE = 3.0


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
        self._near = ""
        self._next_near = float("-inf")

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
        """Ask a near keeper, the leader, or any, whoever answers."""
        core = self._core
        names = [
            item.name for item in core.log.voters if item.name != core.name
        ]
        if self._near and not self._answered:
            self._leave_near(now)
            self._answered = True
        self._near = "" if core.is_voter() else self._near_keeper(names, now)
        if self._near:
            return self._near
        if leader in names and self._answered:
            return leader
        reachable = self._neighbours.alive(now)
        pool = [name for name in names if name in reachable] or names
        return self._core.rng.choice(pool) if pool else ""

    def _near_keeper(self, names, now):
        """Return a keeper of the own domain that may be asked, or ''."""
        if now < self._next_near:
            return ""
        near = [name for name in names if self._neighbours.same_domain(name)]
        return self._core.rng.choice(near) if near else ""

    def _leave_near(self, now):
        self._next_near = now + NEAR_PAUSE

    def hear(self, message):
        """Take in an answer to one of the open questions."""
        asked_at = self._open.pop(message.ask, None)
        if asked_at is None:
            return
        self._answered = True
        if self._near and not 0.0 <= message.proven_ago <= NEAR_AGE:
            self._leave_near(asked_at)
        self._freshness.prove(message.proven_ago, message.applied, asked_at)
