"""Remembers prompts that have ended, for late copies of their asks.

An ask that arrives after the end of its prompt would else wait for a grant
that nobody uses, or count as outstanding until it expires.
"""

import msgspec

# Messages arrive within this time, or hardly ever.
TTL_SECONDS = 3.0
# An ask that an end overtook is ignored for this long.  A prompt that is asked
# for anew enters with its renewal after that.
OVERTAKEN_SECONDS = 0.5


class _Ended(msgspec.Struct):
    """An ended prompt; ``arrived_at`` is ``None`` if it was not known."""

    arrived_at: float | None
    ended_at: float


class EndedPrompts:
    """Ended prompts by instance and number."""

    __slots__ = ("_ended",)

    def __init__(self):
        # In the order of the ends.
        self._ended = {}

    def add(self, key, arrived_at, now):
        """Enter the end of a prompt; ``arrived_at`` is of its request."""
        self._ended.pop(key, None)
        self._ended[key] = _Ended(arrived_at, now)

    def add_unknown(self, key, now):
        """Enter an end whose ask has not arrived, or a copy of an end."""
        if key not in self._ended:
            self._ended[key] = _Ended(None, now)

    def is_outdated(self, key, waited, now):
        """Return whether an ask was sent before the end of its prompt.

        ``waited`` is for how long its request had then been waiting, in
        seconds.  A withdrawn prompt may be asked for anew.
        """
        ended = self._ended.get(key)
        if ended is None:
            return False
        if ended.arrived_at is None:
            return now - ended.ended_at < OVERTAKEN_SECONDS
        return ended.arrived_at + waited < ended.ended_at

    def remove_expired(self, now):
        """Forget prompts that ended long ago."""
        while self._ended:
            key = next(iter(self._ended))
            if now - self._ended[key].ended_at < TTL_SECONDS:
                break
            del self._ended[key]

    def forget_asker(self, instance):
        """Forget the prompts of an instance."""
        for key in [key for key in self._ended if key[0] == instance]:
            del self._ended[key]
