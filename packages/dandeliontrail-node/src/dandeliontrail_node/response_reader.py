"""Reads the part of an attempt's answer that the caller does not have yet.

The first attempt of a request and later ones are read alike. A later engine is
first given the same request, and its output is dropped as long as it repeats
what the caller already has. If it differs, the engine is asked to continue
from the text so far, which goes into the prompt.
"""

from . import engine_client
from . import transcript


class BufferedAnswer:
    """An answer that is not streamed."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class ResponseReader:
    """Reads the output of one attempt that the caller does not have yet.

    ``delivered`` is the :class:`.transcript.Transcript` of what it has.
    """

    def __init__(self, host, call, response, delivered):
        self.response = response
        self.status = 0
        self._host = host
        self._call = call
        self._delivered = delivered
        self._filter = transcript.DeliveredFilter(delivered.text)
        self._on_event = None
        self._pushed_back = None

    @property
    def dispatch(self):
        """The dispatch of the attempt."""
        return self.response.dispatch

    def on_event(self, callback):
        """Set a callback for each event, including those the caller has."""
        self._on_event = callback

    def next_output(self):
        """Return a :class:`BufferedAnswer`, or the next event for the caller.

        The last event of a stream is the engine's ``[DONE]``.
        """
        pushed_back, self._pushed_back = self._pushed_back, None
        if pushed_back is not None:
            return pushed_back
        if not self.status:
            self._open(self._call.request_for(self.dispatch))
        if self._call.streamed and self.status == 200:
            return self._next_undelivered()
        return BufferedAnswer(self.status, self.response.read_body())

    def push_back(self, output):
        """Make the next call of :meth:`next_output` return ``output``."""
        self._pushed_back = output

    def close(self):
        """Close the connections, which stops an unfinished answer."""
        self.response.close()

    def _open(self, outgoing):
        if self._delivered.events and not self._delivered.plain:
            raise engine_client.Broken(
                "cannot continue a stream that holds more than text"
            )
        self.status = self.response.open(outgoing)
        if self._delivered.events:
            if self.status != 200:
                raise engine_client.Broken(
                    f"the engine answered {self.status}"
                )
            return
        is_server_failure = self.status >= 500 or self.status == 429
        if self._call.generation and is_server_failure:
            # A server error of an engine is a failed attempt and not the
            # answer. A plain service's answers are relayed unchanged: only the
            # service knows what it has done.
            raise engine_client.Broken(f"the engine answered {self.status}")

    def _next_undelivered(self):
        while True:
            event = self.response.next_event()
            if self._on_event is not None:
                self._on_event()
            try:
                part = self._filter.undelivered_part(event)
            except transcript.Diverged:
                self._continue_by_prompt()
                continue
            if part:
                return part

    def _continue_by_prompt(self):
        outgoing = self._call.continuation(
            self.dispatch, self._delivered.text, self._delivered.events
        )
        if outgoing is None:
            raise transcript.Diverged()
        self._host.logger.info(
            "continued by prompt",
            extra={"request_id": self.dispatch.request_id},
        )
        self.response.restart()
        self._filter = transcript.DeliveredFilter("")
        self._open(outgoing)
