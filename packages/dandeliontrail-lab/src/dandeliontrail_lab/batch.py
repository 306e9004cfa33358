"""Continuous batching of a simulated engine.

Each step generates one token for every running stream.  A step takes longer
the more streams run, and each prompt costs prefill time before its first
token.  These are the two properties of real engines that matter for
scheduling decisions.
"""

import collections
import dataclasses

import gevent
from gevent import queue


@dataclasses.dataclass(slots=True)
class Pace:
    """Durations that define an engine's speed, in seconds.

    ``prefill`` is the time for 1,000 prompt tokens.
    """

    step: float = 0.01
    step_per_stream: float = 0.0002
    prefill: float = 0.05


class Stream:
    """One request in an engine, with the tokens generated so far.

    The tokens are kept so that a client can resume the stream.  ``start`` is
    the number of the first token, above 0 if the request continues another
    engine's text.  ``token_prefix`` starts every token of a sampled stream,
    so that no two runs produce the same text.
    """

    def __init__(self, request_id, priority, prompt_tokens, requested_tokens):
        self.request_id = request_id
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.requested_tokens = requested_tokens
        self.start = 0
        self.token_prefix = ""
        self.tokens = []
        self.finished = False
        self.cancelled = False
        self._readers = []

    def add(self, token):
        """Append one token and notify the readers."""
        self.tokens.append(token)
        self.finished = len(self.tokens) >= self.requested_tokens
        self._wake()

    def next_token(self):
        """Return the next token."""
        return f"{self.token_prefix}w{self.start + len(self.tokens)} "

    def cancel(self):
        """Cancel the stream; its readers see it end unfinished."""
        self.cancelled = True
        self._wake()

    def has_readers(self):
        """Return whether any client is reading the stream."""
        return bool(self._readers)

    def _wake(self):
        for reader in self._readers:
            reader.put(True)

    def read(self, start=0):
        """Yield the tokens from index ``start`` on as they are generated."""
        reader = queue.SimpleQueue()
        self._readers.append(reader)
        position = start
        try:
            while True:
                while position < len(self.tokens):
                    yield self.tokens[position]
                    position += 1
                if self.finished or self.cancelled:
                    return
                reader.get()
        finally:
            self._readers.remove(reader)


class Batch:
    """Runs up to ``slots`` streams concurrently, in order of priority."""

    def __init__(self, slots, pace):
        self.slots = slots
        self.pace = pace
        self.running = []
        self.waiting = []
        self.streams = collections.OrderedDict()
        self.begun = 0

    def submit(self, stream):
        """Add a stream to the queue."""
        self.streams[stream.request_id] = stream
        self.waiting.append(stream)
        self.waiting.sort(key=_priority_of)

    def cancel(self, request_id):
        """Cancel a stream; return whether the request id was known."""
        stream = self.streams.get(request_id)
        if stream is None:
            return False
        stream.cancel()
        return True

    def run(self):
        """Run the batch loop forever."""
        while True:
            prefill = self._admit()
            count = len(self.running)
            gevent.sleep(
                self.pace.step + count * self.pace.step_per_stream + prefill
            )
            self._step()

    def _admit(self):
        seconds = 0.0
        self.waiting = [item for item in self.waiting if not item.cancelled]
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.pop(0)
            self.running.append(stream)
            self.begun += 1
            seconds += self.pace.prefill * stream.prompt_tokens / 1000.0
        return seconds

    def _step(self):
        for stream in self.running:
            if not stream.cancelled:
                stream.add(stream.next_token())
        self.running = [
            item
            for item in self.running
            if not item.finished and not item.cancelled
        ]


def _priority_of(stream):
    return stream.priority
