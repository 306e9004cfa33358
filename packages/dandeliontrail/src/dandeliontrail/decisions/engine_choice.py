"""Chooses a model engine for a request and checks whether it has room.

A model engine prefills prompts in between the decoding steps of its streams.
An engine that always has a prompt to prefill makes one token in the time of
fifteen, so its streams last ten times as long and exceed their deadlines, and
the prefill work spent on them is wasted.  So a long prompt waits for an engine
that has next to nothing left to prefill, chosen by the prefixes that it
probably has cached (:mod:`.affinity`).
"""

import collections

import msgspec

from . import affinity
from . import engine_paces
from . import idle_connections

# An engine gets a further long prompt while it has fewer tokens than this to
# prefill, the new prompt included: two prefill steps, so that its streams
# decode at their usual rate between two prompts.
MAX_UNREAD_TOKENS = 16000.0
# A prompt with more tokens of its own than the first figure is large.  While
# one waits, smaller prompts of the same urgency may go only to engines that
# have at most the second figure to prefill, as the large one must.  Under the
# limit above, small prompts would fill each engine again before it becomes
# idle enough for the large one.
LARGE_PROMPT_TOKENS = 6000.0
MAX_UNREAD_TOKENS_LARGE = 1000.0
# With a large prompt waiting, the limit rises by this for each priority step
# that a prompt is more urgent.
UNREAD_TOKENS_PER_STEP = 24_000.0
# Prompts up to this length are no burden: less than half a prefill step.
SHORT_PROMPT_TOKENS = 2000.0
# A prompt that waits asks for an engine that has less of it cached only if
# that engine would be done sooner with this many times the tokens: to prefill
# a shared part twice is wasted work.
REREAD_FACTOR = 8.0
# The cost of each further position in rendezvous order for such an engine, so
# that prompts with one new prefix which wait at the same time ask for the same
# engines.
FURTHER_RANK_TOKENS = 3000.0
# What an idle connection to an engine is worth to a low-latency stream: a
# handshake, two round trips and a connection slot.
CONNECTION_TOKENS = 1000.0


class ChosenEngine(msgspec.Struct, frozen=True):
    """An engine, and the prompt tokens that it would have to prefill."""

    name: str
    need: int


class _RoundCache:
    """The engines of one scheduling round, with their cached costs.

    A round decides about all queued work against the same engines, so what
    does not depend on the request is computed once.  Together with skipping
    the engines that cannot win, this saves a third of the 1 ms of processor
    time that a decision among 56 engines takes.
    """

    __slots__ = (
        "usable",
        "through_peers",
        "groups",
        "paces",
        "costs",
        "waits",
    )

    def __init__(self, usable, through_peers, groups, paces):
        self.usable = usable
        self.through_peers = through_peers
        self.groups = groups
        self.paces = paces
        self.costs = {}
        # The seconds until an engine has prefilled what it has, by name.
        self.waits = {}


class EngineChoice:
    """Weighs cached prefixes against load, both in prompt tokens.

    Prompt tokens stand for an engine's time.  ``table`` is the
    :class:`.server_table.ServerTable`, ``domain`` the failure domain of this
    instance.  ``rng`` draws engines where prefill queues are enabled.
    """

    def __init__(self, table, domain, rng=None):
        self._table = table
        self._domain = domain
        self._rng = rng
        self._groups = collections.defaultdict(affinity.EngineGroups)
        self._round = _RoundCache(None, (), None, engine_paces.SAME)
        self._large_waiting = frozenset()

    def note_queue(self, queued):
        """Record for which services and priorities large prompts wait."""
        self._large_waiting = {
            (work.service, work.route_priority)
            for work in queued
            if work.parts and work.parts[-1][1] > LARGE_PROMPT_TOKENS
        }

    def note_placed(self, name):
        """Drop the cached cost of an engine that has got another request."""
        self._round.costs.pop(name, None)
        self._round.waits.pop(name, None)

    def choose(
        self,
        work,
        traits,
        servers,
        usable,
        now,
        through_peers=(),
        connected=(),
    ):
        """Return the cheapest of the ``usable`` engines.

        ``servers`` are all servers of the service, ``usable`` maps the names
        of those that may take the work, ``through_peers`` has the names of
        those that are reached through peers.  Long prompts have a few
        candidates, the same for all prompts with the same shared prefix; an
        engine further back is taken only where it has the whole prefix cached.
        Low-latency streams prefer engines to which this instance has idle
        connections (``connected``).
        """
        cached_round = self._round_for(
            work.service, traits, servers, usable, now, through_peers
        )
        groups = cached_round.groups
        paces = cached_round.paces
        low_latency = is_low_latency(work, traits)
        key = affinity.affinity_key(work.parts)
        ranked = [
            name for name in groups.ranked(key, low_latency) if name in usable
        ]
        if not ranked:
            ranked = affinity.rendezvous_order(key, usable)
        if low_latency and traits.queues_prefill:
            ranked = self._without_most_reserved(ranked, groups, connected)
        shared = work.parts[:-1]
        own = work.parts[-1][1]
        margin = CONNECTION_TOKENS if low_latency and connected else 0.0
        best = None
        for position, name in enumerate(ranked):
            min_cost = own + position * affinity.RANK_STEP_TOKENS
            reach = min_cost - own * paces.bonus - margin
            if best is not None and best[0] <= reach:
                # No engine from here on can be cheaper.
                break
            cache = self._table.server(name).cache
            must_hold = (
                not low_latency and position >= affinity.CANDIDATES_PER_PREFIX
            )
            if must_hold and shared and shared[-1][0] not in cache:
                # Checked first because the fewest engines have the last part.
                continue
            missing = cache.missing_tokens(shared)
            if must_hold and missing:
                continue
            cost = (
                self._cached_cost(cached_round, name)
                + min_cost
                + missing * (1.0 + affinity.MISSING_PREFIX_FACTOR)
                + (own + missing) * (paces.token_cost(name) - 1.0)
            )
            if low_latency:
                cost += paces.slow_cost(name)
                if not groups.is_reserved(name):
                    cost += affinity.UNRESERVED_TOKENS
            if low_latency and name in connected:
                need = own + missing
                cost -= self._connection_value(cached_round, name, need)
            if best is None or cost < best[0]:
                best = (cost, ChosenEngine(name, own + missing))
        return best[1]

    def _without_most_reserved(self, ranked, groups, connected):
        """Return ``ranked`` with two of the reserved engines.

        Those in ``connected`` are left in besides.

        With a free choice, all instances place low-latency streams at the
        reserved engine that was idle in the last report.
        """
        reserved = [name for name in ranked if groups.is_reserved(name)]
        if len(reserved) < 2:
            return ranked
        drawn = self._rng.sample(reserved, 2)
        return [
            name
            for name in ranked
            if name in drawn
            or name in connected
            or not groups.is_reserved(name)
        ]

    def find_sooner(self, search, asks, is_held):
        """Return an engine that would prefill a prompt sooner, or ``None``.

        ``search`` is a :class:`.prefill_placement.EngineSearch`, ``asks`` are
        those that were made for its work, and ``is_held(name, now)`` returns
        whether an engine's queue has a holder.
        """
        cached_round = self._round_for(
            search.work.service,
            search.traits,
            search.servers,
            search.usable,
            search.now,
            search.through_peers,
        )
        parts = search.work.parts
        own = parts[-1][1]
        asked = {ask.server for ask in asks}
        fewest_tokens = min(ask.tokens for ask in asks)
        soonest = min((ask.ahead + ask.tokens) / ask.pace for ask in asks)
        paces = cached_round.paces
        ranked = cached_round.groups.ranked(
            affinity.affinity_key(parts), low_latency=False
        )
        best = float("inf")
        found = None
        for position, name in enumerate(ranked):
            if name not in search.usable or name in asked:
                continue
            pace = paces.of(name)
            wait = self._cached_wait(cached_round, name)
            rank_cost = position * FURTHER_RANK_TOKENS / paces.typical
            seconds = wait + own / pace
            if seconds >= soonest or seconds + rank_cost >= best:
                # It is checked first because it is computed fastest.
                continue
            cache = self._table.server(name).cache
            tokens = own + cache.missing_tokens(parts[:-1])
            factor = 1.0 if tokens <= fewest_tokens else REREAD_FACTOR
            seconds = wait + factor * tokens / pace
            if (
                seconds < soonest
                and seconds + rank_cost < best
                and is_held(name, search.now)
            ):
                best = seconds + rank_cost
                found = ChosenEngine(name, tokens)
        return found

    @staticmethod
    def _slots_of(cached_round, name):
        return cached_round.usable[name].announcement.slots

    def _cached_wait(self, cached_round, name):
        """Return the seconds until an engine begins with a new prompt."""
        wait = cached_round.waits.get(name)
        if wait is None:
            tokens = self._table.unread(name) + affinity.slot_wait_cost(
                self._table.running(name), self._slots_of(cached_round, name)
            )
            wait = tokens / cached_round.paces.of(name)
            cached_round.waits[name] = wait
        return wait

    def _round_for(self, service, traits, servers, usable, now, through_peers):
        """Return the cache of the round, which has one ``usable`` object."""
        if self._round.usable is not usable:
            groups = self._groups[service]
            names = sorted(
                server.announcement.backend_server for server in servers
            )
            has_low_latency = traits.shortest_gap_seconds > 0
            groups.set_engines(service, names, has_low_latency)
            slots = servers[0].announcement.slots
            table = self._table
            groups.resize(table.running, table.unread, slots, now)
            paces = engine_paces.SAME
            if traits.queues_prefill:
                paces = engine_paces.EnginePaces(table.pace, names)
            self._round = _RoundCache(usable, through_peers, groups, paces)
        return self._round

    def _connection_value(self, cached_round, name, need):
        """Return what an idle connection to an engine is worth, in tokens.

        It is worth nothing to a prompt of which the engine has to prefill
        much, since a cached prefix counts more.
        """
        announcement = cached_round.usable[name].announcement
        if (
            need > SHORT_PROMPT_TOKENS
            or name in cached_round.through_peers
            or not idle_connections.may_be_preferred(
                name, announcement, self._table
            )
        ):
            return 0.0
        return CONNECTION_TOKENS

    def _cached_cost(self, cached_round, name):
        cost = cached_round.costs.get(name)
        if cost is None:
            cost = self._cost(
                name,
                cached_round.usable[name].announcement,
                cached_round.paces.token_cost(name),
            )
            if name in cached_round.through_peers:
                cost += affinity.REMOTE_DOMAIN_TOKENS
            cached_round.costs[name] = cost
        return cost

    def _cost(self, name, announcement, token_cost):
        """Return the cost of an engine that holds for any request.

        It covers load, the wait for a slot, failures and the distance.
        ``token_cost`` is the time of a token there relative to other engines.
        """
        running = self._table.running(name)
        health = self._table.server(name).health
        is_remote = announcement.failure_domain != self._domain
        return (
            self._table.unread(name) * token_cost
            + running * affinity.TOKENS_PER_RUNNING * token_cost
            + affinity.slot_wait_cost(running, announcement.slots)
            + health.failure_share * affinity.TOKENS_PER_FAILURE
            + is_remote * affinity.REMOTE_DOMAIN_TOKENS
        )

    def has_room(self, work, traits, chosen):
        """Return whether an engine may be given this much more to prefill.

        Guards against starvation in bursts in which prompts of very different
        sizes wait for the same engines.  Engines prefill more urgent prompts
        first, so what they have left to prefill of less urgent ones does not
        delay a more urgent one, and the limit rises with its urgency.
        """
        unread = self._table.unread(chosen.name)
        if chosen.need <= SHORT_PROMPT_TOKENS or unread <= 0:
            return True
        steps = max(0, traits.least_urgent_step - work.route_priority)
        if (work.service, work.route_priority) in self._large_waiting:
            return unread <= (
                MAX_UNREAD_TOKENS_LARGE + steps * UNREAD_TOKENS_PER_STEP
            )
        return unread + chosen.need <= MAX_UNREAD_TOKENS * (1 + steps)


def is_low_latency(work, traits):
    """Return whether work is a low-latency stream of its service."""
    gap = (work.between_tokens_ms or 0.0) / 1000.0
    return affinity.is_low_latency(gap, traits.shortest_gap_seconds)
