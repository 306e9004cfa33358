"""Dissemination of committed entries to the instances that do not vote.

The voters receive the entries from the leader.  Each keeper pushes them to
instances of its own failure domain, and the leader also to one instance in
each domain without a keeper.  In a large domain, every instance that receives
them forwards them to a few more (gossip).  What the pushes miss is repaired
by comparing progress once a second (anti-entropy).  So a change crosses the
border of a domain only once or twice, however many instances the domain has,
and every instance sends to a few others only.
"""

from . import quorum_log_core as core_module
from . import quorum_log_messages as messages

# Number of instances of its domain to which a keeper and a learner push new
# entries.  53 instances in a domain are reached in three rounds.
KEEPER_FANOUT = 8
LEARNER_FANOUT = 3
# Limits of a push.  An instance that lacks more entries fetches them.
MAX_PUSH_ENTRIES = 16
MAX_PUSH_BYTES = 64 * 1024
# How often, and with how many other instances, progress is compared.  These
# messages also spread the confirmation that there is still a quorum.
ANTI_ENTROPY_INTERVAL_SECONDS = 1.0
ANTI_ENTROPY_FANOUT = 2


class Dissemination:
    """Chooses the recipients of new entries and of progress messages."""

    def __init__(self, core, neighbours):
        self._core = core
        self._neighbours = neighbours
        self._pushed_index = 0
        self._next_anti_entropy_at = float("-inf")

    def is_due(self, now):
        """Return whether anything is to be sent now."""
        return (
            self._core.commit > self._pushed_index
            or now >= self._next_anti_entropy_at
        )

    def due(self, progress, now):
        """Return the ``(name, message)`` pairs to send now."""
        out = []
        if self._core.commit > self._pushed_index:
            out.extend(self._push_messages(progress, now))
            self._pushed_index = self._core.commit
        if now >= self._next_anti_entropy_at:
            self._next_anti_entropy_at = now + ANTI_ENTROPY_INTERVAL_SECONDS
            for name in self._anti_entropy_targets(now):
                out.append((name, progress))
        return out

    def _push_messages(self, progress, now):
        """Yield messages with the entries applied since the last push."""
        core = self._core
        count = core.commit - self._pushed_index
        push = None
        if count <= MAX_PUSH_ENTRIES and core.log.base <= self._pushed_index:
            new_entries = core.log.entries_after(self._pushed_index, count)
            if sum(entry.size for entry in new_entries) <= MAX_PUSH_BYTES:
                push = messages.Committed(core.log_id, new_entries)
        for name in self._push_targets(now):
            # The entries are sent before the progress message, so that the
            # recipient does not need to fetch them.
            if push:
                yield name, push
            yield name, progress

    def _push_targets(self, now):
        core = self._core
        alive = self._neighbours.alive(now)
        others = sorted(alive - core.voter_names())
        # A voter that is gone pushes nothing to its failure domain.
        voters = core.voter_names() & alive
        same_domain = [
            name for name in others if self._neighbours.same_domain(name)
        ]
        if not core.is_voter():
            if len(same_domain) <= KEEPER_FANOUT:
                # A keeper of the domain pushes to all of them itself.
                return self._small_domain_targets(same_domain, voters)
            return core.rng.sample(same_domain, LEARNER_FANOUT)
        chosen = self._sample(same_domain, KEEPER_FANOUT)
        if core.role is core_module.Role.LEADER:
            chosen.extend(self._domains_without_keeper(others, voters))
        return chosen

    def _small_domain_targets(self, same_domain, voters):
        """Return all local instances if the domain has no keeper."""
        if any(self._neighbours.same_domain(name) for name in voters):
            return []
        return same_domain

    def _domains_without_keeper(self, others, voters):
        covered = {self._neighbours.domain_of(name) for name in voters}
        covered.add(self._neighbours.domain_of(self._core.name))
        by_domain = {}
        for name in others:
            domain = self._neighbours.domain_of(name)
            if domain not in covered:
                by_domain.setdefault(domain, []).append(name)
        return [self._core.rng.choice(by_domain[key]) for key in by_domain]

    def _anti_entropy_targets(self, now):
        alive = sorted(self._neighbours.alive(now))
        if self._core.is_voter():
            same_domain = [
                name for name in alive if self._neighbours.same_domain(name)
            ]
            chosen = self._sample(same_domain, KEEPER_FANOUT)
        else:
            chosen = []
        return sorted({*chosen, *self._sample(alive, ANTI_ENTROPY_FANOUT)})

    def _sample(self, names, limit):
        if len(names) <= limit:
            return list(names)
        return self._core.rng.sample(names, limit)
