"""Which holders of prefill queues do not answer.

A holder that is killed, frozen or cut off must not stop the engines whose
queues it keeps: after a short silence, an instance decides about such an
engine on its own for a while, and then asks again.
"""

import msgspec

# An ask without an answer for this long makes its holder silent: several round
# trips between failure domains.
MAX_ANSWER_SECONDS = 0.15
# How long an instance decides on its own before it asks again: about the time
# in which the membership agrees on another holder.
SILENCE_SECONDS = 1.0
# Doubled while the holder stays silent, up to this: each try costs the prompts
# of that moment ``MAX_ANSWER_SECONDS``.
MAX_SILENCE_SECONDS = 8.0


class SilenceChange(msgspec.Struct):
    """The holder of a server's prefill queue became silent or answers."""

    server: str
    is_silent: bool


class HolderSilence:
    """The servers whose holder is silent, until when each.

    >>> silence = HolderSilence()
    >>> silence.begin("e1", 5.0)
    >>> silence.is_silent("e1", 5.9), silence.is_silent("e1", 6.0)
    (True, False)
    >>> silence.record_answer("e1", 6.1)
    >>> [change.is_silent for change in silence.take_changes()]
    [True, False]
    """

    __slots__ = ("_until", "_seconds", "_changes")

    def __init__(self):
        self._until = {}
        # How long the present silence of a server's holder is taken to last.
        self._seconds = {}
        self._changes = []

    def begin(self, server, now):
        """Record that the holder of a server's queue did not answer."""
        seconds = SILENCE_SECONDS
        if server not in self._until:
            self._changes.append(SilenceChange(server, True))
        elif self.is_silent(server, now):
            seconds = self._seconds[server]
        else:
            seconds = min(MAX_SILENCE_SECONDS, 2 * self._seconds[server])
        self._seconds[server] = seconds
        self._until[server] = now + seconds

    def is_silent(self, server, now):
        """Return whether this instance decides on its own about a server."""
        return now < self._until.get(server, now)

    def record_answer(self, server, now):
        """Record an answer of the holder; one within the silence is late."""
        if server in self._until and not self.is_silent(server, now):
            del self._until[server]
            del self._seconds[server]
            self._changes.append(SilenceChange(server, False))

    def forget(self, server):
        """Drop what is known of a server that is gone or has restarted."""
        self._until.pop(server, None)
        self._seconds.pop(server, None)

    def take_changes(self):
        """Return the :class:`SilenceChange` objects since the last call."""
        changes, self._changes = self._changes, []
        return changes
