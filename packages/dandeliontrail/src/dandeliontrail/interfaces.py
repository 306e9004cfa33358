"""The seams between the pure library and whatever carries out its effects.

An embedder supplies these.  ``dandeliond`` has the gevent kind; tests have
small fakes.
"""

import abc


class Clock(abc.ABC):
    """A monotonic clock, in seconds from an arbitrary start."""

    @abc.abstractmethod
    def now(self):
        """Return the present time in seconds; it never falls."""


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
        """Put ``checkpoint`` and ``records`` in place of all before."""

    @abc.abstractmethod
    def close(self):
        """Release the data folder."""


class PeerLink(abc.ABC):
    """Delivers messages between instances; it may lose or repeat them."""

    @abc.abstractmethod
    def send(self, address, message):
        """Queue ``message`` for ``address`` (``IP:port``); never blocks."""


class EngineClient(abc.ABC):
    """Talks to backend servers on behalf of one instance."""

    @abc.abstractmethod
    def open(self, dispatch, exchange):
        """Send the request of ``dispatch`` and return a response stream.

        Raises the client's ``NotBegun`` only where no byte was sent or the
        server said itself that it did not begin.
        """

    @abc.abstractmethod
    def cancel(self, url, request_id):
        """Ask the server at ``url`` to stop working on ``request_id``."""


class Component(abc.ABC):
    """One part of the reducer: it owns some state and some event types."""

    @abc.abstractmethod
    def handlers(self):
        """Return the map from event type to ``handler(event, now)``.

        A handler returns a list of effects, does no I/O and reads no clock.
        """

    def tick(self, now):
        """Return the effects that are due at ``now``, about ten a second."""
        return []
