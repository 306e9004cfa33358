"""The connection between one caller's request and the reducer."""

from gevent import queue
import msgspec

from . import channel as channel_module


class ReducerFault(msgspec.Struct):
    """An entry in the mailbox: the reducer failed on this request."""

    request_id: str


class Exchange:
    """A mailbox of effects for the greenlet that works on one request.

    ``worker`` is that greenlet; ``channel`` passes its output to the caller.
    The exchange is open until both of its ``sides`` have detached.  ``holds``
    are those of its answers (:class:`.client_holds.AnswerHold`).
    """

    __slots__ = (
        "request_id",
        "channel",
        "worker",
        "sides",
        "holds",
        "_mailbox",
    )

    def __init__(self, request_id):
        self.request_id = request_id
        self.channel = channel_module.Channel()
        self.worker = None
        self.sides = {"worker", "caller"}
        self.holds = []
        self._mailbox = queue.SimpleQueue()

    def put(self, effect):
        """Put an effect into the mailbox."""
        self._mailbox.put(effect)

    def report_reducer_failure(self):
        """Tell the worker that the reducer failed and sends nothing more."""
        self._mailbox.put(ReducerFault(self.request_id))

    def get(self):
        """Wait for the next effect."""
        return self._mailbox.get()

    def poll(self):
        """Return the next effect if there is one, else ``None``."""
        return None if self._mailbox.empty() else self._mailbox.get()

    def close(self):
        """Give back what its answers hold."""
        for hold in self.holds:
            hold.close()

    def abandon(self):
        """Kill the worker: nobody waits for its answer any more."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def fail(self, problem):
        """Send ``problem`` to the caller now and kill the worker."""
        self.channel.fail(channel_module.Failure(problem))
        self.abandon()
