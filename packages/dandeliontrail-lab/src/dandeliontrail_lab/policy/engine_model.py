"""A model engine in virtual time.

It batches continuously: each step yields one token for each stream that
decodes and works off a chunk of the prompts of those that do not yet.  Its
constants are worked out for an 8B model in 8-bit weights on one 48 GB
accelerator with 864 GB/s and an effective 150 TFLOP/s, not fitted to any
policy:

- ``base``: reading 8 GB of weights takes 9.3 ms, the launch of a step under
  a millisecond;
- ``per_stream``: 16 GFLOP for each token at 150 TFLOP/s;
- ``per_context``: 64 kB of keys and values read for each token of context;
- ``prefill``: 16 GFLOP for each prompt token;
- ``kv_tokens``: 120,000, of the 560,000 that fit, since adapters and the
  prefix cache want their part.

Between two changes of the batch all steps are taken in one go, in closed
form, so that a run costs time by requests and not by tokens.
"""

import bisect
import collections
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Pace:
    """Constants of an engine, in seconds; ``chunk`` in tokens a step."""

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
    """One attempt inside an engine."""

    attempt: str
    priority: int
    prompt: int
    output: int
    prefix: str = ""
    prefix_tokens: int = 0
    left_to_fill: int = 0
    tokens: int = 0
    first: float = 0.0


@dataclasses.dataclass(slots=True)
class Happened:
    """What came out of an engine: ``first`` output or ``end``."""

    when: float
    kind: str
    stream: Stream


class EngineModel:
    """One engine; :meth:`advance` is to be called at each of its bounds."""

    def __init__(self, name, domain, pace=None, slow=1.0):
        self.name = name
        self.domain = domain
        self.pace = pace or Pace()
        self.slow = slow
        self.running = []
        self.waiting = []
        self.generated = 0
        self.recomputed = 0
        self.crashed = False
        self._cache = collections.OrderedDict()
        self._cached = 0
        self._start = None
        self._bound = None
        self._steps = 0
        self._order = 0

    def submit(self, stream, now):
        """Queue a stream by priority."""
        self._order += 1
        entry = (stream.priority, self._order, stream)
        bisect.insort(self.waiting, entry)
        if self._start is None:
            self._plan(now)
        elif len(self.running) < self.pace.slots:
            self._cut_short(now)

    def cancel(self, attempt, now):
        """Drop a stream; return the tokens it had made."""
        for entry in self.waiting:
            if entry[2].attempt == attempt:
                self.waiting.remove(entry)
                return entry[2].tokens
        for stream in self.running:
            if stream.attempt == attempt:
                self.running.remove(stream)
                return stream.tokens
        return 0

    def crash(self):
        """Lose all; return the streams that were lost."""
        lost = self.running + [entry[2] for entry in self.waiting]
        self.running = []
        self.waiting = []
        self.crashed = True
        self._start = None
        self._bound = None
        return lost

    def next_bound(self):
        """Return when the batch changes next, or ``None`` when idle."""
        return self._bound

    def kv_used(self):
        """Return the tokens held by running streams."""
        return sum(
            item.prompt - item.left_to_fill + item.tokens
            for item in self.running
        )

    def advance(self, now):
        """Take the planned steps, which end now; return what happened."""
        steps = self._steps
        out = []
        self.running, ready = [], self.running
        filled = self._fill(ready)
        for stream in ready:
            self._step(stream, steps, now, filled, out)
        self._plan(now)
        return out

    def _step(self, stream, steps, now, filled, out):
        if stream.left_to_fill > 0:
            self.running.append(stream)
            return
        # The step that ends the prefill yields the first token.
        made = 1 if stream.attempt in filled else steps
        made = min(made, stream.output - stream.tokens)
        if stream.first == 0.0:
            stream.first = now
            out.append(Happened(now, "first", stream))
        stream.tokens += made
        self.generated += made
        if stream.tokens >= stream.output:
            out.append(Happened(now, "end", stream))
        else:
            self.running.append(stream)

    def _fill(self, streams):
        budget = self.pace.chunk
        filled = set()
        # Engines that honour priorities do so for the prompts too.
        for stream in sorted(streams, key=_priority):
            if stream.left_to_fill <= 0 or budget <= 0:
                continue
            part = min(budget, stream.left_to_fill)
            stream.left_to_fill -= part
            budget -= part
            if stream.left_to_fill == 0:
                filled.add(stream.attempt)
                self._store(stream)
        return filled

    def _store(self, stream):
        if not stream.prefix:
            return
        if stream.prefix in self._cache:
            self._cache.move_to_end(stream.prefix)
            return
        self._cache[stream.prefix] = stream.prefix_tokens
        self._cached += stream.prefix_tokens
        while self._cached > self.pace.cache_tokens:
            _, gone = self._cache.popitem(last=False)
            self._cached -= gone

    def _admit(self):
        used = self.kv_used()
        while self.waiting and len(self.running) < self.pace.slots:
            stream = self.waiting[0][2]
            need = stream.prompt + stream.tokens
            if self.running and used + need > self.pace.kv_tokens:
                return
            self.waiting.pop(0)
            held = 0
            if stream.prefix in self._cache:
                held = stream.prefix_tokens
                self._cache.move_to_end(stream.prefix)
            # At least the last prompt token is computed.
            stream.left_to_fill = max(1, need - held)
            used += need
            self.running.append(stream)

    def _preempt(self):
        """Put the last stream of the lowest priority back, to start over.

        Its tokens so far are computed a second time, as engines do that
        run out of memory.
        """
        while len(self.running) > 1:
            if self.kv_used() + len(self.running) <= self.pace.kv_tokens:
                return
            worst = max(self.running, key=lambda item: item.priority)
            for stream in self.running:
                if stream.priority == worst.priority:
                    worst = stream
            self.running.remove(worst)
            self.recomputed += worst.prompt + worst.tokens
            self._order += 1
            entry = (worst.priority, -self._order, worst)
            bisect.insort(self.waiting, entry)

    def _plan(self, now):
        self._preempt()
        self._admit()
        if not self.running:
            self._start = None
            self._bound = None
            return
        self._start = now
        self._steps = self._steps_to_change()
        self._bound = now + self._duration(self._steps)

    def _steps_to_change(self):
        if any(item.left_to_fill > 0 for item in self.running):
            return 1
        steps = min(item.output - item.tokens for item in self.running)
        room = self.pace.kv_tokens - self.kv_used()
        return max(1, min(steps, room // len(self.running)))

    def _cost(self):
        """Return the time of the first step and its growth by step."""
        pace = self.pace
        decoding = [item for item in self.running if item.left_to_fill <= 0]
        filling = sum(
            item.left_to_fill for item in self.running if item.left_to_fill > 0
        )
        context = sum(item.prompt + item.tokens for item in decoding)
        first = (
            pace.base
            + pace.per_stream * len(decoding)
            + pace.per_context * context
            + pace.prefill * min(filling, pace.chunk)
        )
        return first * self.slow, pace.per_context * len(decoding) * self.slow

    def _duration(self, steps):
        first, growth = self._cost()
        return steps * first + growth * steps * (steps - 1) / 2.0

    def _cut_short(self, now):
        """End the plan with the present step, to admit a new stream."""
        if self._steps <= 1:
            return
        first, growth = self._cost()
        passed = max(0.0, now - self._start)
        linear = first - growth / 2.0
        if growth > 0.0:
            root = math.sqrt(linear * linear + 2.0 * growth * passed)
            steps = math.ceil((root - linear) / growth)
        else:
            steps = math.ceil(passed / first)
        self._steps = max(1, min(self._steps, steps))
        self._bound = self._start + self._duration(self._steps)


def _priority(stream):
    return stream.priority


def ideal_cost(pace, prompt, output, prefix_tokens, slow=1.0):
    """Return the least engine time that a request can take, in seconds.

    All of its prefix held, and every step shared by a full batch.
    """
    decode = pace.base / pace.slots + pace.per_stream
    context = output * prompt + output * (output - 1) / 2.0
    fill = max(1, prompt - prefix_tokens)
    cost = output * decode + pace.per_context * context + pace.prefill * fill
    return cost * slow
