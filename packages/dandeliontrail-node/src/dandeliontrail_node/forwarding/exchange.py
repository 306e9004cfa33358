"""The mailbox of effects for the greenlet that serves one request."""

import gevent
from gevent import queue

from .. import wsgi


class CutOff(wsgi.Aborted):
    """The instance ends now; ``problem`` is what the caller is told."""

    def __init__(self, problem):
        super().__init__(problem.message)
        self.problem = problem


class Exchange:
    """Links one request with the reducer; see ``host.Host.attach``.

    The greenlet that serves the request owns both of its sides.
    """

    __slots__ = ("request_id", "sides", "_mailbox", "_greenlet")

    def __init__(self, request_id):
        self.request_id = request_id
        self.sides = {"forwarder"}
        self._mailbox = queue.SimpleQueue()
        self._greenlet = gevent.getcurrent()

    def put(self, effect):
        """Hand an effect to the greenlet."""
        self._mailbox.put(effect)

    def fault(self):
        """Tell the greenlet that no answer will come."""
        self._mailbox.put(None)

    def get(self):
        """Wait for the next effect; ``None`` after a fault."""
        return self._mailbox.get()

    def abandon(self):
        """The greenlet itself said so and needs no telling."""

    def end_with(self, problem):
        """Tell the caller ``problem`` now, whatever is going on."""
        self._greenlet.kill(CutOff(problem), block=False)
