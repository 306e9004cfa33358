"""Which model engine gets a request, and whether it has room for it.

A model engine reads prompts in between the tokens of all its streams.  An
engine that always has a prompt to read makes one token in the time of
fifteen, so streams last ten times as long, run into their time limits, and
what was read for them is lost.  So a long prompt goes to an engine that has
next to nothing to read, by the parts that it may hold (:mod:`.affinity`).
"""

import collections
import msgspec

from . import affinity

# An engine gets a further long prompt once it has fewer tokens than this to
# read, itself included: two steps of reading, so that between two prompts
# its streams go on at their own pace.
UNREAD_LIMIT = 16000.0
# Prompts below this are no burden: less than half a step of reading.
SHORT_PROMPT = 2000.0


class Chosen(msgspec.Struct, frozen=True):
    """An engine and what it would have to read, in prompt tokens."""

    name: str
    need: int


class EngineChoice:
    """Weighs what engines hold against what they have to do.

    All is in prompt tokens, which stand for an engine's time.  ``table`` is
    the :class:`.server_table.ServerTable`, ``domain`` the own failure domain.
    """

    def __init__(self, table, domain):
        self._table = table
        self._domain = domain
        self._groups = collections.defaultdict(affinity.Groups)

    def choose(self, work, traits, servers, usable):
        """Return the best of the ``usable`` engines as :class:`Chosen`.

        ``servers`` are all of the service.  Long prompts have a few engines
        to choose from, the same for all that share a part.
        """
        groups = self._groups[work.service]
        names = sorted(item.announcement.backend_server for item in servers)
        groups.follow(work.service, names)
        close = _is_close(work, traits)
        key = affinity.shared_key(work.parts)
        ranked = [name for name in groups.ranked(key, close) if name in usable]
        if not ranked:
            ranked = affinity.rank(key, usable)
        own = work.parts[-1][1]
        best = None
        for place, name in enumerate(ranked):
            cache = self._table.server(name).cache
            missing = cache.missing(work.parts[:-1])
            if missing and not close and place >= affinity.HOMES:
                continue
            cost = (
                self._cost(name, usable[name].announcement)
                + own
                + missing * (1.0 + affinity.ANEW_FACTOR)
                + place * affinity.PLACE_TOKENS
            )
            if close and not groups.is_kept(name):
                cost += affinity.LEAVE_TOKENS
            if best is None or cost < best[0]:
                best = (cost, Chosen(name, own + missing))
        return best[1]

    def _cost(self, name, announcement):
        """Return how much an engine has to do, and the way to it."""
        running = self._table.running(name)
        health = self._table.server(name).health
        away = announcement.failure_domain != self._domain
        return (
            self._table.unread(name)
            + running * affinity.TOKENS_PER_RUNNING
            + affinity.full_cost(running, announcement.slots)
            + health.failure_share * affinity.TOKENS_PER_FAILURE
            + away * affinity.AWAY_TOKENS
        )

    def has_room(self, work, traits, chosen):
        """Tell whether an engine may be given so much more to read.

        Engines read what is more urgent first.  What they have to read of
        less urgent prompts does not hold up a more urgent one, which may
        therefore find more of it there.
        """
        unread = self._table.unread(chosen.name)
        if chosen.need <= SHORT_PROMPT or unread <= 0:
            return True
        steps = max(0, traits.least_urgent - work.route_priority)
        return unread + chosen.need <= UNREAD_LIMIT * (1 + steps)


def _is_close(work, traits):
    pause = (work.between_tokens_ms or 0.0) / 1000.0
    return affinity.is_close(pause, traits.shortest_pause)
