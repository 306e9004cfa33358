"""One attempt's answer, from where the caller has it on.

The same for the first server of a request and for another one that goes on:
it is given the same request again, and what the caller has already is dropped
while it says the same; after that, with the text so far in the prompt.
"""

from . import engine_client
from . import transcript


class Whole:
    """An answer that is not a stream."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class Reading:
    """Reads what the caller does not have yet.

    ``held`` is the :class:`.transcript.Transcript` of what it has.
    """

    def __init__(self, host, call, source, held):
        self.source = source
        self.status = 0
        self._host = host
        self._call = call
        self._held = held
        self._splice = transcript.Splice(held.text)
        self._when_heard = None
        self._kept = None

    @property
    def dispatch(self):
        """The dispatch that this is the answer of."""
        return self.source.dispatch

    def when_heard(self, call):
        """Have ``call`` made for each event, new to the caller or not."""
        self._when_heard = call

    def next(self):
        """Return a :class:`Whole` answer, or the next event for the caller.

        The last event of a stream is the engine's ``[DONE]``.
        """
        kept, self._kept = self._kept, None
        if kept is not None:
            return kept
        if not self.status:
            self._open(self._call.outgoing(self.dispatch))
        if self._call.streamed and self.status == 200:
            return self._next_new()
        return Whole(self.status, self.source.whole())

    def keep(self, output):
        """Have :meth:`next` return ``output`` first."""
        self._kept = output

    def close(self):
        """End the exchange; where it is unfinished, the engine stops."""
        self.source.close()

    def _open(self, outgoing):
        if self._held.events and not self._held.plain:
            raise engine_client.Broken("the stream holds more than text")
        self.status = self.source.open(outgoing)
        if self._held.events:
            if self.status != 200:
                raise engine_client.Broken(
                    f"the engine answered {self.status}"
                )
            return
        failed = self.status >= 500 or self.status == 429
        if self._call.generation and failed:
            # An engine's own failure is not the answer.  A plain service's
            # answers are relayed as they are: it said what it did.
            raise engine_client.Broken(f"the engine answered {self.status}")

    def _next_new(self):
        while True:
            event = self.source.next_event()
            if self._when_heard is not None:
                self._when_heard()
            try:
                new = self._splice.pass_on(event)
            except transcript.Diverged:
                self._continue_by_prompt()
                continue
            if new:
                return new

    def _continue_by_prompt(self):
        outgoing = self._call.continuation(
            self.dispatch, self._held.text, self._held.events
        )
        if outgoing is None:
            raise transcript.Diverged()
        self._host.logger.info(
            "continued by prompt",
            extra={"request_id": self.dispatch.request_id},
        )
        self.source.restart()
        self._splice = transcript.Splice("")
        self._open(outgoing)
