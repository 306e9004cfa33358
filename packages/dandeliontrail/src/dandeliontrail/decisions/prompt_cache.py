"""An estimate of which prompt prefixes an engine still has cached."""

import collections

# The fraction of an engine's KV cache that counts as available for the
# prefixes of finished prompts: running requests evict them.
CACHED_FRACTION = 0.7


class PromptCache:
    """A least-recently-used model of an engine's prefix cache.

    Entries are the parts of prompts, as ``(name, tokens)``; ``kv_tokens`` is
    how many tokens the engine has memory for.
    """

    __slots__ = ("_parts", "_tokens", "_room")

    def __init__(self, kv_tokens):
        self._parts = collections.OrderedDict()
        self._tokens = 0
        self._room = kv_tokens * CACHED_FRACTION

    def record(self, parts):
        """Record that the engine prefills or reuses ``parts``."""
        for name, tokens in parts:
            if name in self._parts:
                self._parts.move_to_end(name)
                continue
            self._parts[name] = tokens
            self._tokens += tokens
        while self._tokens > self._room and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def missing_tokens(self, parts):
        """Return how many tokens of ``parts`` would have to be prefilled.

        A cached part is of use only where all parts before it are cached too.
        """
        for index, (name, _) in enumerate(parts):
            if name not in self._parts:
                return sum(tokens for _, tokens in parts[index:])
        return 0

    def __contains__(self, name):
        """Return whether a part is cached, whatever comes before it."""
        return name in self._parts
