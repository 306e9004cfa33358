"""The open connections of one listener, and which of them make room.

A listener accepts a bounded number of connections.  When all are taken, one
that serves no request is closed, so that a new client is answered: first one
that has said nothing, then one whose request or answer makes no progress, then
one that waits for its next request.  A request that was read whole is cut only
if its caller takes nothing of the answer.
"""

import enum

SLOW_SECONDS = 3.0


class State(enum.Enum):
    """What a connection is used for.

    ``SILENT``: nothing has arrived.  ``HEAD`` and ``BODY``: a request is being
    read.  ``SERVED``: it was read.  ``WRITING``: its client is to take the
    answer.  ``IDLE``: the next request has not begun.
    """

    SILENT = "silent"
    HEAD = "head"
    BODY = "body"
    SERVED = "served"
    WRITING = "writing"
    IDLE = "idle"


_RANKS = {
    State.SILENT: 0,
    State.HEAD: 1,
    State.BODY: 1,
    State.IDLE: 2,
    State.WRITING: 3,
}
# No request was read whole that was not answered.
UNREAD = (State.SILENT, State.HEAD, State.BODY, State.IDLE)
_ONLY_IF_SLOW = (State.HEAD, State.BODY, State.WRITING)


class ClientConnection:
    """One connection; ``since`` is when it entered its ``state``.

    ``shut_down`` and, while its client is to take an answer,
    ``abort_writing`` are called without arguments to end it from outside.
    """

    __slots__ = ("state", "since", "abort_writing", "_shut_down")

    def __init__(self, now, shut_down):
        self.state = State.SILENT
        self.since = now
        self.abort_writing = shut_down
        self._shut_down = shut_down

    def close(self):
        """End it; a part of an answer does not look complete."""
        if self.state is State.WRITING and self.abort_writing is not None:
            self.abort_writing()
        else:
            self._shut_down()

    def enter(self, state, now):
        """Enter a state, or note progress in the present one."""
        self.state = state
        self.since = now


class ClientConnections:
    """All connections of a listener, at most ``most``."""

    def __init__(self, most):
        self.most = most
        self._open = set()
        self._closing = set()

    def __len__(self):
        return len(self._open)

    def add(self, conn):
        """Add a connection that was accepted."""
        self._open.add(conn)

    def remove(self, conn):
        """Remove a connection that has ended."""
        self._open.discard(conn)
        self._closing.discard(conn)

    def is_reading(self, since):
        """Return whether a body is being read whose head came before."""
        return any(
            item.state is State.BODY and item.since < since
            for item in self._open
        )

    def close_unread(self):
        """Close all that have no request that was read whole."""
        for item in list(self._open):
            if item.state in UNREAD:
                item.close()

    def close_all(self):
        """Close all, also in the middle of an answer."""
        for item in list(self._open):
            item.close()

    @property
    def needs_room(self):
        """Whether all are taken, also when those that end have ended."""
        return len(self._open) - len(self._closing) >= self.most

    def make_room(self, now):
        """Close one connection; return its state, ``None`` if none may be."""
        victim = self._victim(now)
        if victim is None:
            return None
        self._closing.add(victim)
        victim.close()
        return victim.state

    def _victim(self, now):
        """Return the connection to close, ``None`` if all are in use.

        Among equals it is the one whose state has lasted longest.
        """
        candidates = [
            item
            for item in self._open - self._closing
            if _may_close(item, now)
        ]
        if not candidates:
            return None
        return min(
            candidates, key=lambda item: (_RANKS[item.state], item.since)
        )


def _may_close(conn, now):
    if conn.state in _ONLY_IF_SLOW:
        return now - conn.since > SLOW_SECONDS
    return conn.state in _RANKS
