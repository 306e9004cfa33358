"""Interfaces between the pure library and the embedder that does its I/O.

The embedder implements these: ``dandeliond`` with gevent, tests with small
fakes.
"""

import abc


class Clock(abc.ABC):
    """A monotonic clock, in seconds from an arbitrary start."""

    @abc.abstractmethod
    def now(self):
        """Return the current time in seconds; it never decreases."""


class Storage(abc.ABC):
    """An append-only record file with checkpoints, for one keeper."""

    @abc.abstractmethod
    def load(self):
        """Return ``(checkpoint, records)`` as bytes and list of bytes."""

    @abc.abstractmethod
    def append(self, records):
        """Write ``records`` and return only once they are synced."""

    @abc.abstractmethod
    def replace(self, checkpoint, records):
        """Replace all stored data by ``checkpoint`` and ``records``."""

    @abc.abstractmethod
    def close(self):
        """Release the data folder."""


class PeerLink(abc.ABC):
    """Delivers messages between instances; may lose or duplicate them."""

    @abc.abstractmethod
    def send(self, address, message):
        """Queue ``message`` for ``address`` (``IP:port``); never blocks."""


class EngineClient(abc.ABC):
    """Talks to backend servers on behalf of one instance."""

    @abc.abstractmethod
    def open(self, dispatch, exchange):
        """Send the request of ``dispatch`` and return a response stream.

        Raises the client's ``NotBegun`` only if no byte was sent, or if the
        server itself reported that it did not begin.
        """

    @abc.abstractmethod
    def cancel(self, url, request_id):
        """Ask the server at ``url`` to stop working on ``request_id``."""


class Component(abc.ABC):
    """A part of the reducer that owns some state and handles some events."""

    @abc.abstractmethod
    def handlers(self):
        """Return the map from event type to ``handler(event, now)``.

        A handler returns a list of effects, does no I/O and reads no clock.
        """

    def tick(self, now):
        """Return the effects due at ``now``; called about every 0.1 s."""
        return []
