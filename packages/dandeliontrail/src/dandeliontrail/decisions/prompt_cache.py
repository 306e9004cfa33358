"""What an engine probably still holds of the prompts that it has read."""

import collections

# The part of an engine's memory that finished prompts share with those of
# running requests: they yield to these, so not all of it counts.
KEPT_PART = 0.7


class PromptCache:
    """Parts in the order of their last use; the oldest yield."""

    __slots__ = ("_parts", "_tokens", "_room")

    def __init__(self, kv_tokens):
        self._parts = collections.OrderedDict()
        self._tokens = 0
        self._room = kv_tokens * KEPT_PART

    def read(self, parts):
        """Take note that the engine reads ``parts``."""
        for name, tokens in parts:
            if name in self._parts:
                self._parts.move_to_end(name)
                continue
            self._parts[name] = tokens
            self._tokens += tokens
        while self._tokens > self._room and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def missing(self, parts):
        """Return how many tokens of ``parts`` it would have to read.

        A part is of use only where all before it are held too.
        """
        for place, (name, _) in enumerate(parts):
            if name not in self._parts:
                return sum(tokens for _, tokens in parts[place:])
        return 0

    def __contains__(self, name):
        """Tell whether a part is held, whatever is held before it."""
        return name in self._parts
