"""Delivers the reducer's effects to the greenlet that serves a request."""

import gevent
from gevent import queue

from .. import wsgi


class CutOff(wsgi.Aborted):
    """The instance ends the request now; the caller gets ``problem``."""

    def __init__(self, problem):
        super().__init__(problem.message)
        self.problem = problem


class Exchange:
    """The mailbox of one request; see ``host.Host.attach``.

    A single greenlet both works on the request and writes to the caller, so
    the exchange has only one side, ``forwarder``.
    """

    __slots__ = ("request_id", "sides", "_mailbox", "_greenlet")

    def __init__(self, request_id):
        self.request_id = request_id
        self.sides = {"forwarder"}
        self._mailbox = queue.SimpleQueue()
        self._greenlet = gevent.getcurrent()

    def close(self):
        """Do nothing: what answers hold ends with the response."""

    def put(self, effect):
        """Put an effect into the mailbox."""
        self._mailbox.put(effect)

    def report_reducer_failure(self):
        """Tell the greenlet that the reducer failed on this request."""
        self._mailbox.put(None)

    def get(self):
        """Wait for the next effect; ``None`` if the reducer failed."""
        return self._mailbox.get()

    def abandon(self):
        """Do nothing: the greenlet itself reported that the caller left."""

    def fail(self, problem):
        """Interrupt the greenlet so that the caller gets ``problem``."""
        self._greenlet.kill(CutOff(problem), block=False)
