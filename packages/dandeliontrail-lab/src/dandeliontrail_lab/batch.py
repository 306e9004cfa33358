"""The continuous batch of a stand-in engine.

Every step yields one token for each running stream.  A step takes longer
with more streams in it, and a prompt costs time before its first token:
the two properties of a real engine that decisions have to live with.
"""

import collections
import dataclasses

import gevent
from gevent import queue


@dataclasses.dataclass(slots=True)
class Pace:
    """How fast an engine is, in seconds.

    ``prefill`` is for each thousand prompt tokens.
    """

    step: float = 0.01
    step_per_stream: float = 0.0002
    prefill: float = 0.05


class Stream:
    """One request in an engine: all its tokens so far, kept for resuming.

    It starts at token ``start`` where it continues another engine's text.
    ``mark`` is in every token of a stream that is sampled, so that no two
    runs of it are alike.
    """

    def __init__(self, request_id, priority, prompt_tokens, wanted):
        self.request_id = request_id
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.wanted = wanted
        self.start = 0
        self.mark = ""
        self.tokens = []
        self.finished = False
        self.cancelled = False
        self._readers = []

    def add(self, token):
        """Append one token and wake the readers."""
        self.tokens.append(token)
        self.finished = len(self.tokens) >= self.wanted
        self._wake()

    def next_token(self):
        """Return the token that comes next."""
        return f"{self.mark}w{self.start + len(self.tokens)} "

    def cancel(self):
        """Stop; a reader sees the stream break off."""
        self.cancelled = True
        self._wake()

    def watched(self):
        """Tell whether anyone reads the stream."""
        return bool(self._readers)

    def _wake(self):
        for reader in self._readers:
            reader.put(True)

    def read(self, start=0):
        """Yield the tokens from number ``start`` on as they come."""
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
    """Runs at most ``slots`` streams at once, by priority."""

    def __init__(self, slots, pace):
        self.slots = slots
        self.pace = pace
        self.running = []
        self.waiting = []
        self.streams = collections.OrderedDict()
        self.begun = 0

    def submit(self, stream):
        """Queue a stream."""
        self.streams[stream.request_id] = stream
        self.waiting.append(stream)
        self.waiting.sort(key=_priority)

    def cancel(self, request_id):
        """Stop a stream; tell whether it was known."""
        stream = self.streams.get(request_id)
        if stream is None:
            return False
        stream.cancel()
        return True

    def run(self):
        """Step for ever."""
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


def _priority(stream):
    return stream.priority
