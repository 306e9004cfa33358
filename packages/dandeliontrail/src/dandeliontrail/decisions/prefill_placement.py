"""Places long prompts through the prefill queues of their engines.

A prompt is asked for at the engine that :mod:`.engine_choice` chooses, and at
further ones if it waits there and another engine would prefill it sooner.  It
goes to the engine that is granted first.  About an engine whose holder is
silent the instance decides on its own.
"""

import msgspec

from .. import sentinels
from . import engine_choice
from . import late_refusals
from . import unplaceable_work

# A prompt that is expected to wait longer than this asks for a further engine.
MIN_WAIT_SECONDS = 0.1
MAX_ASKED_ENGINES = 3
# How often a prompt that waits looks for a further engine: rounds come much
# more often than reports and answers.
SEARCH_INTERVAL_SECONDS = 0.05
# The random part of a Retry-After, so that callers do not all return at once.
MAX_JITTER_FRACTION = 0.25


class EngineSearch(msgspec.Struct):
    """Work and the engines that may take it.

    ``servers`` are all engines of the service, ``usable`` maps the names of
    those that may take the work to them, and ``through_peers`` has the names
    of those that are reached through peers.  ``connected`` names those to
    which this instance has idle connections.
    """

    work: object
    traits: object
    servers: list
    usable: dict
    through_peers: object
    now: float
    connected: object = ()


class PrefillPlacement:
    """Chooses engines for work that may have to wait for a grant.

    ``asks`` are the :class:`.prefill_asks.PrefillAsks` of the instance, or
    ``None`` if it does not take part; ``engines`` is its
    :class:`.engine_choice.EngineChoice`.
    """

    __slots__ = ("_asks", "_engines", "_permits", "_rng")

    def __init__(self, asks, engines, permits, rng):
        self._asks = asks
        self._engines = engines
        self._permits = permits
        self._rng = rng

    def begin_round(self, now):
        """Withdraw what waits for holders that do not answer."""
        if self._asks is not None:
            self._asks.check_silence(now)

    def choose(self, search, hedge):
        """Return the engine for work, or ``None`` while it waits."""
        if not self._queues(search, hedge):
            self.withdraw(search.work.request_id)
            return self._choose_engine(search)
        self._withdraw_unusable(search)
        work = search.work
        granted = self._granted_engine(work)
        if granted is not None:
            return granted
        if self._asks.of(work.request_id):
            self._ask_further(search)
            return None
        return self._ask_first(search)

    def _queues(self, search, hedge):
        """Return whether work takes part in the queues.

        Streams that continue and hedges have no time to wait, and
        low-latency streams have engines of their own.
        """
        work = search.work
        return (
            self._asks is not None
            and search.traits.queues_prefill
            and not hedge
            and not self._permits.active
            and work.software_version is None
            and not work.is_continuing
            and not engine_choice.is_low_latency(work, search.traits)
        )

    def _choose_engine(self, search):
        return self._engines.choose(
            search.work,
            search.traits,
            search.servers,
            search.usable,
            search.now,
            search.through_peers,
            search.connected,
        )

    def _withdraw_unusable(self, search):
        request_id = search.work.request_id
        for ask in list(self._asks.of(request_id)):
            if ask.server not in search.usable:
                self._asks.withdraw_at(request_id, ask.server)

    def _granted_engine(self, work):
        server = self._asks.granted(work.request_id)
        for ask in self._asks.of(work.request_id):
            if ask.server == server:
                return engine_choice.ChosenEngine(server, ask.tokens)
        return None

    def _ask_first(self, search):
        """Ask for the best engine; return it if nobody is to be asked."""
        chosen = self._choose_engine(search)
        if chosen.need <= engine_choice.SHORT_PROMPT_TOKENS:
            return chosen
        if not self._asks.is_held(chosen.name, search.now):
            return chosen
        self._ask(search, chosen)
        return None

    def _ask(self, search, chosen):
        epoch = search.usable[chosen.name].announcement.epoch
        self._asks.begin(
            search.work, chosen.name, epoch, chosen.need, search.now
        )
        self._engines.note_placed(chosen.name)

    def _ask_further(self, search):
        """Ask for one more engine if it would prefill the prompt sooner."""
        asks = self._asks.of(search.work.request_id)
        if len(asks) >= MAX_ASKED_ENGINES:
            return
        wait = _shortest_wait(asks)
        if wait is None or wait <= MIN_WAIT_SECONDS:
            return
        if search.now < asks[-1].next_search:
            return
        asks[-1].next_search = search.now + SEARCH_INTERVAL_SECONDS
        chosen = self._engines.find_sooner(search, asks, self._asks.is_held)
        if chosen is not None:
            self._ask(search, chosen)

    def waits(self, work):
        """Return whether work waits for a grant."""
        return self._asks is not None and bool(self._asks.of(work.request_id))

    def has_grant(self, work, server):
        """Return whether work may be sent to a server now."""
        return (
            self._asks is not None
            and self._asks.granted(work.request_id) == server
        )

    def refuse_if_late(self, work, waiting, now):
        """Return a refusal if all grants would come too late for the work.

        The less urgent come back later.  The most urgent are not refused.
        """
        wait = _joint_wait(self._asks.of(work.request_id))
        if wait is None or work.route_priority == 0:
            return None
        if not late_refusals.is_too_late(work, wait, now):
            return None
        retry = wait / 2
        retry += work.route_priority * unplaceable_work.RETURN_STEP_SECONDS
        retry += retry * MAX_JITTER_FRACTION * self._rng.random()
        nothing = sentinels.Nothing(sentinels.Reason.QUEUE_FULL, retry)
        return late_refusals.refusal(work, nothing, waiting)

    def withdraw(self, request_id):
        """End the asks of a request that no longer waits."""
        if self._asks is not None:
            self._asks.withdraw(request_id)

    def record_placed(self, work, announcement, grounds, now):
        """Use the grant of a server, if work waited for one."""
        if self._asks is None:
            return
        server = announcement.backend_server
        self._use_grant(work, server, grounds, now)
        is_long = grounds.need > engine_choice.SHORT_PROMPT_TOKENS
        if is_long and not self._asks.is_held(server, now):
            self._record_unheld(work, announcement, grounds.need, now)

    def _record_unheld(self, work, announcement, need, now):
        if not self._asks.of(work.request_id):
            self._asks.record_unheld(
                work,
                announcement.backend_server,
                announcement.epoch,
                need,
                now,
            )

    def _use_grant(self, work, server, grounds, now):
        if not self.waits(work):
            return
        asks = self._asks.of(work.request_id)
        grounds.asked = len(asks)
        queued = now - min(ask.made_at for ask in asks)
        grounds.queued_ms = round(queued * 1000.0, 1)
        if self.has_grant(work, server):
            self._asks.take(work.request_id, server, now)
        else:
            self.withdraw(work.request_id)

    def prefilled(self, attempt, now):
        """Record that an attempt has output."""
        if self._asks is not None:
            request_id = attempt.work.request_id
            self._asks.prefilled(request_id, attempt.server, now)

    def ended(self, attempt, now):
        """Record that an attempt has ended."""
        if self._asks is not None:
            request_id = attempt.work.request_id
            self._asks.ended(request_id, attempt.server, now)


def _joint_wait(asks):
    """Return the expected wait at all asked engines together, or ``None``.

    Prompts that wait long are asked for at several engines, so each queue
    contains prompts that another engine will take.
    """
    waits = [ask.wait_seconds() for ask in asks]
    if not waits or None in waits:
        return None
    if min(waits) <= 0.0:
        return 0.0
    return 1.0 / sum(1.0 / wait for wait in waits)


def _shortest_wait(asks):
    """Return the shortest expected wait, ``None`` before all are answered."""
    waits = [ask.wait_seconds() for ask in asks]
    if not waits or None in waits:
        return None
    return min(waits)
