"""One attempt at one backend server: its head, then its outputs.

An attempt whose server is silent is not lost: reading may go on after
:class:`.upstream.Silent` as if nothing had been.  Whether and when another
server is asked meanwhile is not decided here.
"""

import time

import msgspec

from dandeliontrail import events

from . import connections as connections_module
from . import dialect as dialect_module
from . import events_splitter
from . import upstream as upstream_module

EVENT_STREAM = "text/event-stream"


class NotExecuted(Exception):
    """The server says that it did not run the request.

    ``gone`` tells that it is another server than the one that was meant.
    """

    def __init__(self, answer, gone):
        super().__init__(f"the server answered {answer.status}, not run")
        self.gone = gone


class ServerFailed(Exception):
    """The server answered with a failure of its own, ``output``."""

    def __init__(self, output):
        super().__init__(f"the server answered {output.answer.status}")
        self.output = output


class Superseded(Exception):
    """The reducer ended or withdrew the attempt while it was connecting."""


class Output(msgspec.Struct):
    """What came of a server: a whole answer, or events of a stream.

    ``events`` is ``None`` for a whole answer, whose body is ``body``, and
    ``b""`` at the proper end of a stream.
    """

    answer: object
    events: bytes | None = None
    body: bytes = b""


class Attempt:
    """Sends a request to the server of one dispatch and reads its answer.

    ``patience`` is how long its first byte is waited for.  ``last_id`` names
    the event after which a stream goes on; ``resuming`` tells that the caller
    has the head of the answer from another server.

    >>> attempt = Attempt(sending, dispatch, deadline)  # doctest: +SKIP
    >>> attempt.next().events  # doctest: +SKIP
    b'id: 1\\ndata: Hel\\n\\n'
    """

    def __init__(
        self,
        sending,
        dispatch,
        deadline,
        patience=None,
        last_id="",
        resuming=False,
    ):
        self.dispatch = dispatch
        self.spoke = False
        self._sending = sending
        self._deadline = deadline
        self._patience = patience
        self._resuming = resuming
        self._splitter = events_splitter.EventsSplitter(last_id)
        self._upstream = None
        self._answer = None
        self._is_stream = False

    @property
    def number(self):
        """The number of the attempt in the life of the request."""
        return self.dispatch.attempt

    @property
    def last_id(self):
        """The id of the last whole event."""
        return self._splitter.last_id

    def next(self):
        """Return the next :class:`Output`.

        Raises ``Silent`` where none came for as long as the server's
        patience lasts, and may then be called again.
        """
        if self._upstream is None:
            self._begin()
        answer = self._answer
        if answer is None:
            answer = self._head()
        if self._is_stream:
            return Output(answer, self._events())
        return self._whole(answer)

    def be_patient(self, seconds):
        """Wait so long for each byte from now on, ``None`` without a bound."""
        if self._upstream is not None:
            self._upstream.wait_at_most(seconds)

    def close(self):
        """End the attempt; a server that is at work on it is to stop."""
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            upstream.release()

    def _begin(self):
        sending = self._sending
        dispatch = self.dispatch
        incoming = sending.incoming
        upstream = upstream_module.Upstream(
            sending.connections,
            connections_module.address_of(dispatch.url),
            sending.dialect,
            incoming.request_id,
        )
        upstream.connect()
        self._upstream = upstream
        if not sending.host.is_current(dispatch):
            # Its caller may have been told by now that nothing ran.
            self.close()
            raise Superseded()
        life = sending.host.life(incoming.request_id)
        sending.host.submit(
            events.AttemptBegan(incoming.request_id, dispatch.attempt)
        )
        attempt = dialect_module.Attempt(
            dispatch.backend_server,
            life.work.organisation,
            dispatch.priority,
            max(0.0, self._deadline - time.monotonic()),
            self._splitter.last_id or incoming.last_event_id,
            bool(incoming.parts),
        )
        headers = [
            *incoming.headers,
            *sending.dialect.attempt_headers(attempt),
        ]
        upstream.wait_at_most(self._patience)
        upstream.prepare(
            incoming.method, incoming.target, headers, sending.body
        )

    def _head(self):
        self._upstream.send()
        answer = self._upstream.head()
        dialect = self._sending.dialect
        if dialect.not_executed(answer):
            raise NotExecuted(answer, dialect.is_other_server(answer))
        self._is_stream = _is_stream(answer)
        if self._resuming and not self._is_stream:
            self._upstream.whole_body()
            raise upstream_module.Broken(
                f"not resumed: the server answered {answer.status}"
            )
        self._answer = answer
        return answer

    def _events(self):
        """Return the next whole events, ``b""`` at the stream's end."""
        upstream = self._upstream
        while True:
            data = upstream.more()
            if not data:
                if self._splitter.pending:
                    raise upstream_module.Broken("it ended within an event")
                return b""
            whole = self._splitter.feed(data)
            if whole:
                return whole

    def _whole(self, answer):
        output = Output(answer, body=self._upstream.whole_body())
        if answer.status >= 500 and self.dispatch.repeatable:
            raise ServerFailed(output)
        return output


class Sending(msgspec.Struct):
    """What all attempts at one request send, and with what."""

    host: object
    connections: object
    dialect: object
    incoming: object
    body: bytes


def _is_stream(answer):
    return answer.status == 200 and answer.get("content-type").startswith(
        EVENT_STREAM
    )
