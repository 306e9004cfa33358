"""How committed entries reach the instances that do not vote.

The leader's followers have the entries already.  Each keeper hands them to
the instances of its own failure domain; the leader also to one in each
domain without a keeper; and in a large domain whoever gets them hands them
on to a few more.  What that misses is found by comparing versions once a
second.  So a change crosses the border of a domain once or twice, however
many instances the domain has, and no instance sends to more than a few.
"""

from . import quorum_log_core as core_module
from . import quorum_log_messages as messages

# A keeper hands entries to so many instances of its domain at once, a
# learner to so many: 53 instances in a domain are reached in three rounds.
KEEPER_FANOUT = 8
LEARNER_FANOUT = 3
# Entries handed on unasked; whoever lacks more fetches them.
PUSH_ENTRIES = 16
PUSH_BYTES = 64 * 1024
# Versions are compared this often with a few others; with it travels the
# knowledge that there is still a quorum.
COMPARE_INTERVAL = 1.0
COMPARE_FANOUT = 2


class Spreading:
    """Decides whom to tell what."""

    def __init__(self, core, neighbours):
        self._core = core
        self._neighbours = neighbours
        self._told = 0
        self._next_compare = float("-inf")

    def due(self, progress, now):
        """Return ``(name, message)`` pairs that are to be sent now."""
        out = []
        if self._core.commit > self._told:
            out.extend(self._news(progress, now))
            self._told = self._core.commit
        if now >= self._next_compare:
            self._next_compare = now + COMPARE_INTERVAL
            for name in self._compared(now):
                out.append((name, progress))
        return out

    def _news(self, progress, now):
        """Hand on what was applied since the last time."""
        core = self._core
        count = core.commit - self._told
        pushed = None
        if count <= PUSH_ENTRIES and core.log.base <= self._told:
            found = core.log.after(self._told, count)
            if sum(entry.size for entry in found) <= PUSH_BYTES:
                pushed = messages.Committed(core.log_id, found)
        for name in self._told_first(now):
            # The entries go first: who gets both need not fetch.
            if pushed:
                yield name, pushed
            yield name, progress

    def _told_first(self, now):
        core = self._core
        voters = core.voter_names()
        others = sorted(self._neighbours.alive(now) - voters)
        near = [name for name in others if self._neighbours.same_domain(name)]
        if not core.is_voter():
            if len(near) <= KEEPER_FANOUT:
                # A keeper of the domain, or the leader, tells all of them.
                return self._relayed(near, voters)
            return core.rng.sample(near, LEARNER_FANOUT)
        chosen = self._sample(near, KEEPER_FANOUT)
        if core.role is core_module.Role.LEADER:
            chosen.extend(self._domains_without_keeper(others, voters))
        return chosen

    def _relayed(self, near, voters):
        """Hand on in a small domain only where it has no keeper."""
        if any(self._neighbours.same_domain(name) for name in voters):
            return []
        return near

    def _domains_without_keeper(self, others, voters):
        covered = {self._neighbours.domain_of(name) for name in voters}
        covered.add(self._neighbours.domain_of(self._core.name))
        by_domain = {}
        for name in others:
            domain = self._neighbours.domain_of(name)
            if domain not in covered:
                by_domain.setdefault(domain, []).append(name)
        return [self._core.rng.choice(by_domain[key]) for key in by_domain]

    def _compared(self, now):
        alive = sorted(self._neighbours.alive(now))
        if self._core.is_voter():
            near = [
                name for name in alive if self._neighbours.same_domain(name)
            ]
            chosen = self._sample(near, KEEPER_FANOUT)
        else:
            chosen = []
        return sorted({*chosen, *self._sample(alive, COMPARE_FANOUT)})

    def _sample(self, names, most):
        if len(names) <= most:
            return list(names)
        return self._core.rng.sample(names, most)
