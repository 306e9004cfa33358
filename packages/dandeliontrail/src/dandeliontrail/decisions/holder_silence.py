"""Which holders of prefill queues do not answer.

A holder that is killed, frozen or cut off must not stop the engines whose
queues it keeps: after a short silence, an instance decides about such an
engine on its own for a while, and then asks again.  An instance that nobody
answers, as in a network partition, decides about all engines on its own.
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
# After this many silences in a row without any answer, all holders count as
# silent.  An instance rarely asks the same holder twice within its silence, so
# each prompt would else wait in vain once.
MAX_SILENCES_IN_ROW = 3


class SilenceChange(msgspec.Struct):
    """The holder of a server's prefill queue became silent or answers."""

    server: str
    is_silent: bool


class _Silence:
    """A silence that is taken to last longer each time it begins again."""

    __slots__ = ("until", "_seconds")

    def __init__(self, now):
        self._seconds = SILENCE_SECONDS
        self.until = now + SILENCE_SECONDS

    def extend(self, now):
        if now >= self.until:
            self._seconds = min(MAX_SILENCE_SECONDS, 2 * self._seconds)
        self.until = now + self._seconds


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

    __slots__ = ("_by_server", "_of_all", "_in_row", "_changes")

    def __init__(self):
        self._by_server = {}
        self._of_all = None
        # The silences since the last answer of any holder.
        self._in_row = 0
        self._changes = []

    def begin(self, server, now, answered=False):
        """Record that the holder of a server's queue did not answer.

        ``answered`` is true if it answered that it does not keep the queue.
        """
        silence = self._by_server.get(server)
        if silence is None:
            self._by_server[server] = _Silence(now)
            self._changes.append(SilenceChange(server, True))
        else:
            silence.extend(now)
        if answered:
            return
        self._in_row += 1
        if self._in_row < MAX_SILENCES_IN_ROW:
            return
        if self._of_all is None:
            self._of_all = _Silence(now)
        else:
            self._of_all.extend(now)

    def is_silent(self, server, now):
        """Return whether this instance decides on its own about a server."""
        if self._of_all is not None and now < self._of_all.until:
            return True
        silence = self._by_server.get(server)
        return silence is not None and now < silence.until

    def record_answer(self, server, now):
        """Record an answer of the holder; one within the silence is late."""
        self._in_row = 0
        self._of_all = None
        if server in self._by_server and not self.is_silent(server, now):
            del self._by_server[server]
            self._changes.append(SilenceChange(server, False))

    def forget(self, server):
        """Drop what is known of a server that is gone or has restarted."""
        self._by_server.pop(server, None)

    def take_changes(self):
        """Return the :class:`SilenceChange` objects since the last call."""
        changes, self._changes = self._changes, []
        return changes
