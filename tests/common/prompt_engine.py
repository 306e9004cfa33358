"""A simulated model engine with a prefix cache, in virtual time.

It admits requests by priority, prefills prompts in chunks between the decode
steps of its streams, and caches the prompt parts that it has read.  Cached
parts are evicted in least recently used order when running requests need the
memory.  In a simulation of 25 s with 45 engines it read 57 million tokens, 23
million of them again; the users' engines read 52 and 21 million in 34 s of
the same traffic.
"""

import collections
import dataclasses

from dandeliontrail.coordination import servers
from dandeliontrail.resources import announcements

SERVICE = "llm"
# The cost of generating a token relative to the cost of reading one.
OUTPUT_WEIGHT = 10


@dataclasses.dataclass(slots=True)
class EngineConfig:
    """The speed and the size of an engine.

    A decode step takes ``step_seconds`` and ``seconds_per_stream`` for each
    running stream, and reads up to ``chunk_tokens`` of waiting prompts.
    """

    step_seconds: float = 0.00337
    seconds_per_stream: float = 0.0000109
    read_tokens_per_second: float = 61_200.0
    chunk_tokens: int = 4096
    slots: int = 64
    kv_tokens: int = 653_994
    tokens_per_event: int = 6


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request.

    ``own_tokens`` is the number of prompt tokens that no other request shares,
    ``shared_part`` the number of the part that it shares with others.
    ``first_sent_at`` is when it was first sent, ``retries`` how often it was
    sent again after a refusal.  ``on_time`` is true once it has been answered
    without a late event.
    """

    kind: object
    first_sent_at: float
    own_tokens: int
    shared_part: int
    output_tokens: int
    retries: int = 0
    served: bool = False
    organisation: str = "acme"
    on_time: bool = False

    def size(self):
        """Return the cost of serving the request, in tokens read."""
        return (
            self.kind.shared_tokens
            + self.own_tokens
            + OUTPUT_WEIGHT * self.output_tokens
        )


@dataclasses.dataclass(slots=True)
class Stream:
    """The answer to a request while it waits and runs.

    ``unread_tokens`` is the number of prompt tokens that are still to be
    read, and ``generated`` the number of output tokens, of which the present
    engine made ``generated_here``.  ``longest_pause_seen`` is the longest
    pause between two events; the last event came at ``last_event_at``.
    ``server`` is the engine, to which the request was sent at ``sent_at``;
    ``attempts_begun`` counts the attempts.  ``closed`` is true once the
    stream has finished or was cancelled, ``hedge_sought`` once a hedge at
    another engine has been requested.
    """

    work: object
    instance: object
    request: Request
    server: str = ""
    sent_at: float = 0.0
    attempts_begun: int = 0
    unread_tokens: int = 0
    generated: int = 0
    generated_here: int = 0
    last_event_at: float = 0.0
    longest_pause_seen: float = 0.0
    closed: bool = False
    hedge_sought: bool = False

    def copy_for_hedge(self):
        """Return a copy of the stream for a hedge at another engine."""
        return dataclasses.replace(
            self,
            unread_tokens=0,
            generated_here=0,
            closed=False,
            hedge_sought=False,
        )


class Engine:
    """One engine; ``world`` is the clock and receives its events."""

    def __init__(self, name, config, world):
        self.name = name
        self.config = config
        self.world = world
        self.waiting = []
        self.active = []
        self.cached_parts = collections.OrderedDict()
        self.cached_tokens = 0
        self.busy = False

    def submit(self, stream):
        """Queue a request and start the engine if it is idle."""
        self.waiting.append(stream)
        if not self.busy:
            self.busy = True
            self.world.schedule(self.world.now, self.step)

    def _running_tokens(self):
        return sum(
            item.work.prompt_tokens + item.request.output_tokens
            for item in self.active
        )

    def _admit(self):
        self.waiting.sort(key=lambda item: item.work.start_priority)
        used = self._running_tokens()
        while self.waiting and len(self.active) < self.config.slots:
            first = self.waiting[0]
            used += first.work.prompt_tokens + first.request.output_tokens
            if used > self.config.kv_tokens and self.active:
                return
            self.waiting.pop(0)
            if first.closed:
                continue
            self._start_prompt(first)
            self.active.append(first)

    def _start_prompt(self, stream):
        """Look up the prompt in the cache; the remainder must be read."""
        missing = 0
        whole = True
        for name, tokens in stream.work.parts:
            if whole and name in self.cached_parts:
                self.cached_parts.move_to_end(name)
                self.world.record_cache_hit(stream, tokens)
                continue
            whole = False
            missing += tokens
            self.world.record_read(stream, name, tokens)
        stream.unread_tokens = missing

    def _cache_part(self, name, tokens):
        if name not in self.cached_parts:
            self.cached_parts[name] = tokens
            self.cached_tokens += tokens
        room = self.config.kv_tokens - self._running_tokens()
        while self.cached_tokens > room and len(self.cached_parts) > 1:
            _, dropped = self.cached_parts.popitem(last=False)
            self.cached_tokens -= dropped

    def step(self):
        """Read one chunk of prompts and generate a token for each stream."""
        world = self.world
        self.active = [item for item in self.active if not item.closed]
        self._admit()
        if not self.active:
            self.busy = False
            return
        took = (
            self.config.step_seconds
            + self.config.seconds_per_stream * len(self.active)
            + self._read_chunk() / self.config.read_tokens_per_second
        )
        end = world.now + took
        for item in self.active:
            if item.unread_tokens == 0:
                world.schedule(end, self._record_token, item)
        world.schedule(end, self.step)

    def _read_chunk(self):
        """Read one chunk in order of priority; return the tokens read."""
        reading = [item for item in self.active if item.unread_tokens]
        reading.sort(key=lambda item: item.work.start_priority)
        room = self.config.chunk_tokens
        for item in reading:
            part = min(room, item.unread_tokens)
            item.unread_tokens -= part
            room -= part
        return self.config.chunk_tokens - room

    def _record_token(self, item):
        """Record one generated token of a stream."""
        if item.closed:
            return
        world = self.world
        item.generated += 1
        item.generated_here += 1
        if (
            item.generated_here == 1
            or item.generated % self.config.tokens_per_event == 1
        ):
            world.handle_event(item)
        if item.generated_here == 1:
            for name, tokens in item.work.parts:
                self._cache_part(name, tokens)
        if item.generated == 1:
            item.last_event_at = world.now
            world.handle_first_token(item)
        elif item.generated % self.config.tokens_per_event == 1:
            item.longest_pause_seen = max(
                item.longest_pause_seen, world.now - item.last_event_at
            )
            item.last_event_at = world.now
        if item.generated >= item.request.output_tokens:
            item.closed = True
            world.handle_finished(item)


def server_of(number, service=SERVICE, slots=64):
    """Return a registry record of engine ``number`` that never expires."""
    announcement = announcements.Announcement(
        f"e{number}",
        0,
        1,
        "model_engine",
        f"http://10.0.0.{number}:1",
        failure_domain=f"fd{number % 3}",
        service=service,
        slots=slots,
    )
    return servers.Server(announcement, heard_at=0.0, expires=1e9)
