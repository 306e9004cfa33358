"""Under load an engine is overfull, idle, or shared unfairly.

Callers, one engine and the holder of its prefill queue play in virtual time.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from dandeliontrail.coordination import prefill_messages
from dandeliontrail.decisions import permit_issuer
from dandeliontrail.decisions import prefill_outstanding
from dandeliontrail.decisions import prefill_pace
from dandeliontrail.decisions import prefill_queue
from dandeliontrail.decisions import prefill_turns

PACE = prefill_pace.TYPICAL_PACE
ROOM = prefill_outstanding.ROOM_SECONDS
ASKERS = [permit_issuer.Asker(f"i{n}", 1, f"10.0.0.{n}:1") for n in range(9)]
ORGANISATIONS = 8
DELAY_SECONDS = 0.003
RENEWAL_SECONDS = 0.5
TICK_SECONDS = 0.1
SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Kind:
    """Prompts of ``tokens``, of which ``load`` takes the engine's time.

    A load of 1.0 takes all of it.
    """

    load: float
    tokens: int = 5_000
    step: int = 0
    target: float = 2.5
    deadline: float = 8.0
    organisation: str = ""


@dataclasses.dataclass(slots=True)
class Prompt:
    """A prompt of the play; ``asker`` sends it to the engine."""

    number: int
    kind: Kind
    organisation: str
    asker: object
    asked_at: float
    sent_at: float | None = None
    done_at: float | None = None
    given_up: bool = False

    def is_on_time(self):
        return (
            self.done_at is not None
            and self.done_at - self.asked_at <= self.kind.target
        )


class Play:
    """Runs an engine that prefills by step, or only by arrival."""

    def __init__(
        self, kinds, speed=1.0, seed=1, loss=0.0, copies=0.0, by_step=True
    ):
        self.now = 0.0
        self.speed = speed
        self.loss = loss
        self.copies = copies
        self.by_step = by_step
        self.prompts = []
        self.busy_seconds = 0.0
        self.most_queued = 0.0
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._engine = []
        self._running = None
        self._last_step = max(kind.step for kind in kinds)
        self.replace_holder()
        for kind in kinds:
            self._arrive_later(kind)
        self._at(TICK_SECONDS, self._tick)

    def replace_holder(self):
        """Let another instance hold the queue, which knows nothing."""
        self.queue = prefill_queue.PrefillQueue(
            1, self.now, PACE, self._last_step
        )

    def run(self, seconds):
        """Run the play for a while."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def _at(self, seconds, action, *arguments):
        event = (self.now + seconds, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def _send(self, action, *arguments):
        """Deliver a message, which may be lost, or doubled and late."""
        if self._rng.random() >= self.loss:
            self._at(DELAY_SECONDS, action, *arguments)
        if self._rng.random() < self.copies:
            self._at(self._rng.uniform(0.0, 1.0), action, *arguments)

    def _arrive_later(self, kind):
        if kind.load:
            rate = kind.load * PACE / kind.tokens
            self._at(self._rng.expovariate(rate), self._arrive, kind)

    def _arrive(self, kind):
        organisation = kind.organisation or (
            f"o{self._rng.randrange(ORGANISATIONS)}"
        )
        prompt = Prompt(
            len(self.prompts),
            kind,
            organisation,
            self._rng.choice(ASKERS),
            self.now,
        )
        self.prompts.append(prompt)
        self._ask(prompt)
        self._at(kind.deadline, self._give_up, prompt)
        self._arrive_later(kind)

    def _give_up(self, prompt):
        if prompt.sent_at is None:
            prompt.given_up = True
            self._send(self._end, prompt, False)

    def _ask(self, prompt):
        if prompt.given_up or prompt.done_at is not None:
            return
        kind = prompt.kind
        waited = self.now - prompt.asked_at
        ask = prefill_messages.PrefillAsk(
            "e1",
            1,
            prompt.number,
            kind.tokens,
            kind.step,
            prompt.organisation,
            waited,
            kind.target - waited,
            prompt.sent_at is not None,
        )
        self._send(self._receive_ask, prompt.asker, ask)
        self._at(RENEWAL_SECONDS, self._ask, prompt)

    def _receive_ask(self, asker, ask):
        self.queue.ask(asker, ask, self.now)
        self._issue()
        if self.queue.answer(asker, ask.number, self.now).granted:
            self._send(self._grant, ask.number)

    def _end(self, prompt, prefilled):
        self.queue.end(prompt.asker, prompt.number, prefilled, self.now)
        self._issue()

    def _issue(self):
        for issued in self.queue.issue(self.now):
            self._send(self._grant, issued.number)

    def _tick(self):
        self.queue.remove_expired(self.now)
        self._issue()
        self._at(TICK_SECONDS, self._tick)

    def _grant(self, number):
        prompt = self.prompts[number]
        if prompt.given_up or prompt.done_at is not None:
            self._send(self._end, prompt, False)
        elif prompt.sent_at is None:
            prompt.sent_at = self.now
            step = prompt.kind.step if self.by_step else 0
            heapq.heappush(self._engine, (step, self.now, number))
            self.most_queued = max(self.most_queued, self._queued_seconds())
            self._prefill()

    def _queued_seconds(self):
        queued = [self.prompts[number] for _, _, number in self._engine]
        return sum(prompt.kind.tokens for prompt in queued) / PACE

    def _prefill(self):
        if self._running is not None or not self._engine:
            return
        self._running = self.prompts[heapq.heappop(self._engine)[2]]
        seconds = self._running.kind.tokens / (PACE * self.speed)
        self.busy_seconds += seconds
        self._at(seconds, self._finish)

    def _finish(self):
        prompt = self._running
        self._running = None
        prompt.done_at = self.now
        self._send(self._end, prompt, True)
        self._prefill()


def share_on_time(prompts):
    """Return which share of the prompts that are due were in time."""
    prompts = list(prompts)
    return sum(prompt.is_on_time() for prompt in prompts) / len(prompts)


def seconds_on_time(play):
    """Return the engine's time that prompts took which were in time."""
    tokens = [
        prompt.kind.tokens for prompt in play.prompts if prompt.is_on_time()
    ]
    return sum(tokens) / (PACE * play.speed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_overloaded_engine_is_busy_with_prompts_that_are_in_time(seed):
    play = Play([Kind(2.3)], seed=seed)
    play.run(SECONDS)
    assert play.busy_seconds > 0.95 * SECONDS
    assert seconds_on_time(play) > 0.95 * SECONDS
    # The engine's own queue is without the prompt that it works on.
    assert play.most_queued <= ROOM


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flooding_organisation_takes_only_what_others_leave(seed):
    flood = Kind(0.9, organisation="flood")
    play = Play([Kind(0.6), flood], seed=seed)
    play.run(SECONDS)
    others = [
        prompt
        for prompt in play.prompts
        if prompt.kind is not flood and prompt.asked_at < SECONDS - 3.0
    ]
    assert share_on_time(others) > 0.97
    assert play.busy_seconds > 0.95 * SECONDS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_organisations_share_an_overloaded_engine_evenly(seed):
    play = Play([Kind(2.4), Kind(0.7, organisation="o0")], seed=seed)
    play.run(SECONDS)
    done = collections.Counter(
        prompt.organisation
        for prompt in play.prompts
        if prompt.done_at is not None
    )
    mean = sum(done.values()) / ORGANISATIONS
    assert max(done.values()) < 1.2 * mean
    assert min(done.values()) > 0.8 * mean


@pytest.mark.parametrize("speed", [0.7, 1.0, 1.7])
def test_the_pace_of_uneven_engines_is_known(speed):
    play = Play([Kind(2.3 * speed)], speed=speed)
    play.run(SECONDS)
    pace = play.queue.known_pace(play.now)
    assert pace == pytest.approx(PACE * speed, rel=0.2)
    assert play.busy_seconds > 0.93 * SECONDS


def test_an_engine_that_is_slow_for_seconds_gets_less_meanwhile():
    play = Play([Kind(0.9)])
    play.run(4.0)
    play.speed = 0.1
    play.run(3.0)
    sent = [
        prompt
        for prompt in play.prompts
        if prompt.sent_at is not None and prompt.done_at is None
    ]
    assert len(sent) <= 2
    play.speed = 1.0
    play.run(2.0)
    before = play.busy_seconds
    play.run(3.0)
    assert play.busy_seconds - before > 0.93 * 3.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_mixed_prompts_in_a_burst_meet_their_targets_by_step(seed):
    kinds = [
        Kind(0.2, 1_500, step=0, target=1.0),
        Kind(0.4, 2_900, step=1, target=1.0),
        Kind(0.9, 3_700, step=2),
        Kind(0.5, 17_020, step=2),
    ]
    play = Play(kinds, seed=seed)
    play.run(SECONDS)
    due = [
        prompt
        for prompt in play.prompts
        if prompt.asked_at < SECONDS - prompt.kind.target
    ]
    for kind in kinds[:2]:
        assert share_on_time(p for p in due if p.kind is kind) > 0.98
    # Of the least urgent ones, the large are served beside the small.
    for kind in kinds[2:]:
        assert share_on_time(p for p in due if p.kind is kind) > 0.1
    assert play.busy_seconds > 0.93 * SECONDS


def count_by_step(prompts):
    return collections.Counter(prompt.kind.step for prompt in prompts)


def test_urgent_prompts_above_the_capacity_starve_no_other_step():
    kinds = [Kind(2.3, step=0), Kind(0.5, step=2, deadline=60.0)]
    play = Play(kinds, by_step=False)
    play.run(SECONDS)
    done = count_by_step(p for p in play.prompts if p.done_at is not None)
    assert done[2] >= done[0] // (prefill_turns.MAX_PASSED_OVER + 1) - 1


def test_prompts_that_an_engine_leaves_waiting_do_not_pile_up_there():
    kinds = [Kind(2.3, step=0), Kind(0.5, step=2, deadline=60.0)]
    play = Play(kinds)
    play.run(SECONDS)
    sent = count_by_step(p for p in play.prompts if p.sent_at is not None)
    assert sent[2] <= 1 + prefill_outstanding.ROOM_SECONDS * PACE / 5_000
    assert play.most_queued <= 3 * ROOM + 0.1 * sent[2]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("loss, busy", [(0.01, 0.85), (0.1, 0.5)])
def test_lost_and_doubled_messages_leave_nothing_behind(loss, busy, seed):
    kinds = [Kind(1.2)]
    play = Play(kinds, seed=seed, loss=loss, copies=0.3)
    play.run(SECONDS)
    assert play.busy_seconds > busy * SECONDS
    assert play.most_queued <= 2 * ROOM
    kinds[0].load = 0.0
    play.run(kinds[0].deadline + 3 * prefill_queue.ASK_TTL_SECONDS)
    assert len(play.queue) == 0
    assert play.queue.backlog() == 0
    assert all(p.given_up or p.done_at is not None for p in play.prompts)


def test_a_new_holder_goes_on_within_the_room_of_two():
    play = Play([Kind(2.3)])
    for _ in range(4):
        play.run(3.0)
        play.replace_holder()
    assert play.most_queued <= 2 * ROOM
    assert play.busy_seconds > 0.93 * 12.0
    assert seconds_on_time(play) > 0.85 * 12.0
