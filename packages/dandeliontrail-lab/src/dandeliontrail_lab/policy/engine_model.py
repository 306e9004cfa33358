"""A model engine with continuous batching, in virtual time.

Each step yields one token for each decoding stream and processes one chunk of
the prompts that are still in prefill.  The constants are derived for an 8B
model with 8-bit weights on one 48 GB accelerator with 864 GB/s of memory
bandwidth and an effective 150 TFLOP/s; they are not fitted to any policy:

- ``base``: reading 8 GB of weights takes 9.3 ms and launching a step less than
  a millisecond;
- ``per_stream``: 16 GFLOP per token at 150 TFLOP/s;
- ``per_context``: 64 kB of keys and values are read per token of context;
- ``prefill``: 16 GFLOP per prompt token;
- ``kv_tokens``: 120,000 of the 560,000 that would fit, because adapters and
  the prefix cache need memory too.

All steps between two changes of the batch are computed at once, in closed
form, so the run time of a simulation grows with the number of requests and not
with the number of tokens.
"""

import bisect
import collections
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class EngineParameters:
    """Speed and capacity of an engine.

    Times are in seconds: ``base`` per step, ``per_stream`` per decoding stream
    and step, ``per_context`` per token of context and step, ``prefill`` per
    prompt token.  ``chunk`` is the number of prompt tokens processed per step.
    ``kv_tokens`` and ``cache_tokens`` are the sizes of the key-value memory
    and of the prefix cache.
    """

    base: float = 0.010
    per_stream: float = 0.00011
    per_context: float = 7.4e-8
    prefill: float = 1.07e-4
    chunk: int = 512
    slots: int = 32
    kv_tokens: int = 120_000
    cache_tokens: int = 40_000


@dataclasses.dataclass(slots=True)
class Stream:
    """One attempt of a request as an engine runs it."""

    attempt_id: str
    priority: int
    prompt: int
    output: int
    prefix: str = ""
    prefix_tokens: int = 0
    prefill_remaining: int = 0
    generated_tokens: int = 0
    first_token_at: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineEvent:
    """An event of a stream; ``kind`` is ``first`` (token) or ``end``."""

    when: float
    kind: str
    stream: Stream


class EngineModel:
    """One engine.

    The caller must call :meth:`advance` at each time that
    :meth:`next_change_time` returns.
    """

    def __init__(self, name, failure_domain, parameters=None, slowdown=1.0):
        self.name = name
        self.failure_domain = failure_domain
        self.parameters = parameters or EngineParameters()
        self.slowdown = slowdown
        self.running = []
        self.waiting = []
        self.generated = 0
        self.recomputed = 0
        self.crashed = False
        self._cache = collections.OrderedDict()
        self._cached_tokens = 0
        self._plan_started_at = None
        self._next_change_time = None
        self._planned_steps = 0
        self._submit_order = 0

    def submit(self, stream, now):
        """Queue a stream by priority, then by order of arrival."""
        self._submit_order += 1
        entry = (stream.priority, self._submit_order, stream)
        bisect.insort(self.waiting, entry)
        if self._plan_started_at is None:
            self._plan(now)
        elif len(self.running) < self.parameters.slots:
            self._shorten_plan(now)

    def cancel(self, attempt_id, now):
        """Remove a stream and return the tokens it had generated."""
        for entry in self.waiting:
            if entry[2].attempt_id == attempt_id:
                self.waiting.remove(entry)
                return entry[2].generated_tokens
        for stream in self.running:
            if stream.attempt_id == attempt_id:
                self.running.remove(stream)
                return stream.generated_tokens
        return 0

    def crash(self):
        """Drop all streams and return them."""
        lost = self.running + [entry[2] for entry in self.waiting]
        self.running = []
        self.waiting = []
        self.crashed = True
        self._plan_started_at = None
        self._next_change_time = None
        return lost

    def next_change_time(self):
        """Return when the batch next changes, or ``None`` when idle."""
        return self._next_change_time

    def kv_used(self):
        """Return the tokens of key-value memory that streams occupy."""
        return sum(
            item.prompt - item.prefill_remaining + item.generated_tokens
            for item in self.running
        )

    def advance(self, now):
        """Run the planned steps, which end ``now``; return their events."""
        steps = self._planned_steps
        events = []
        self.running, batch = [], self.running
        prefilled = self._process_prefill(batch)
        for stream in batch:
            self._advance_stream(stream, steps, now, prefilled, events)
        self._plan(now)
        return events

    def _advance_stream(self, stream, steps, now, prefilled, events):
        if stream.prefill_remaining > 0:
            self.running.append(stream)
            return
        # The step that completes the prefill also yields the first token.
        new_tokens = 1 if stream.attempt_id in prefilled else steps
        new_tokens = min(new_tokens, stream.output - stream.generated_tokens)
        if stream.first_token_at == 0.0:
            stream.first_token_at = now
            events.append(EngineEvent(now, "first", stream))
        stream.generated_tokens += new_tokens
        self.generated += new_tokens
        if stream.generated_tokens >= stream.output:
            events.append(EngineEvent(now, "end", stream))
        else:
            self.running.append(stream)

    def _process_prefill(self, streams):
        budget = self.parameters.chunk
        prefilled = set()
        # An engine that honours priorities also applies them to prefill.
        for stream in sorted(streams, key=_priority):
            if stream.prefill_remaining <= 0 or budget <= 0:
                continue
            chunk_tokens = min(budget, stream.prefill_remaining)
            stream.prefill_remaining -= chunk_tokens
            budget -= chunk_tokens
            if stream.prefill_remaining == 0:
                prefilled.add(stream.attempt_id)
                self._cache_prefix(stream)
        return prefilled

    def _cache_prefix(self, stream):
        if not stream.prefix:
            return
        if stream.prefix in self._cache:
            self._cache.move_to_end(stream.prefix)
            return
        self._cache[stream.prefix] = stream.prefix_tokens
        self._cached_tokens += stream.prefix_tokens
        while self._cached_tokens > self.parameters.cache_tokens:
            _, evicted_tokens = self._cache.popitem(last=False)
            self._cached_tokens -= evicted_tokens

    def _admit(self):
        used_tokens = self.kv_used()
        while self.waiting and len(self.running) < self.parameters.slots:
            stream = self.waiting[0][2]
            needed_tokens = stream.prompt + stream.generated_tokens
            if (
                self.running
                and used_tokens + needed_tokens > self.parameters.kv_tokens
            ):
                return
            self.waiting.pop(0)
            cached_tokens = 0
            if stream.prefix in self._cache:
                cached_tokens = stream.prefix_tokens
                self._cache.move_to_end(stream.prefix)
            # The last prompt token is always computed, even on a full prefix
            # hit.
            stream.prefill_remaining = max(1, needed_tokens - cached_tokens)
            used_tokens += needed_tokens
            self.running.append(stream)

    def _preempt(self):
        """Preempt streams until the next step fits into the memory.

        The victim is the most recently admitted stream of the lowest priority.
        It starts over, and its tokens so far are computed a second time, as in
        engines that run out of key-value memory.
        """
        while len(self.running) > 1:
            if self.kv_used() + len(self.running) <= self.parameters.kv_tokens:
                return
            victim = max(self.running, key=lambda item: item.priority)
            for stream in self.running:
                if stream.priority == victim.priority:
                    victim = stream
            self.running.remove(victim)
            self.recomputed += victim.prompt + victim.generated_tokens
            self._submit_order += 1
            entry = (victim.priority, -self._submit_order, victim)
            bisect.insort(self.waiting, entry)

    def _plan(self, now):
        self._preempt()
        self._admit()
        if not self.running:
            self._plan_started_at = None
            self._next_change_time = None
            return
        self._plan_started_at = now
        self._planned_steps = self._steps_to_change()
        self._next_change_time = now + self._duration(self._planned_steps)

    def _steps_to_change(self):
        if any(item.prefill_remaining > 0 for item in self.running):
            return 1
        steps = min(
            item.output - item.generated_tokens for item in self.running
        )
        free_tokens = self.parameters.kv_tokens - self.kv_used()
        return max(1, min(steps, free_tokens // len(self.running)))

    def _step_cost(self):
        """Return the seconds of the first step and the growth per step."""
        parameters = self.parameters
        decoding = [
            item for item in self.running if item.prefill_remaining <= 0
        ]
        prefill_tokens = sum(
            item.prefill_remaining
            for item in self.running
            if item.prefill_remaining > 0
        )
        context = sum(item.prompt + item.generated_tokens for item in decoding)
        first_step = (
            parameters.base
            + parameters.per_stream * len(decoding)
            + parameters.per_context * context
            + parameters.prefill * min(prefill_tokens, parameters.chunk)
        )
        return first_step * self.slowdown, parameters.per_context * len(
            decoding
        ) * self.slowdown

    def _duration(self, steps):
        first_step, growth_per_step = self._step_cost()
        return steps * first_step + growth_per_step * steps * (steps - 1) / 2.0

    def _shorten_plan(self, now):
        """End the plan after the current step, to admit a new stream."""
        if self._planned_steps <= 1:
            return
        first_step, growth_per_step = self._step_cost()
        passed = max(0.0, now - self._plan_started_at)
        linear = first_step - growth_per_step / 2.0
        if growth_per_step > 0.0:
            root = math.sqrt(linear * linear + 2.0 * growth_per_step * passed)
            steps = math.ceil((root - linear) / growth_per_step)
        else:
            steps = math.ceil(passed / first_step)
        self._planned_steps = max(1, min(self._planned_steps, steps))
        self._next_change_time = self._plan_started_at + self._duration(
            self._planned_steps
        )


def _priority(stream):
    return stream.priority


def ideal_cost(parameters, prompt, output, prefix_tokens, slowdown=1.0):
    """Return the least engine time that a request can take, in seconds.

    It assumes that the whole prefix is cached and that every step is shared by
    a full batch.
    """
    decode = parameters.base / parameters.slots + parameters.per_stream
    context = output * prompt + output * (output - 1) / 2.0
    fill = max(1, prompt - prefix_tokens)
    cost = (
        output * decode
        + parameters.per_context * context
        + parameters.prefill * fill
    )
    return cost * slowdown
