"""One attempt at one backend server: reads the head, then the outputs.

An attempt whose server is silent has not failed: reading can be resumed
after :class:`.backend_request.Silent`.  Whether and when a hedged request goes
to another server is not decided here.
"""

import time

import msgspec

from dandeliontrail import events

from .. import http_library
from .. import server_report
from . import backend_request
from . import dialect as dialect_module
from . import events_splitter
from . import refusal_rest

EVENT_STREAM = "text/event-stream"
FIRST_SERVER_ERROR = 500
# How often an attempt that waits looks whether its path was found to be lost.
LOOK_UP_SECONDS = 0.25
# An attempt whose path was found to be lost counts as silent after this long:
# its own connection may live on.
LOST_PATH_SECONDS = 0.5
# Ids of events are short; a server may send anything.
MAX_LOGGED_ID_LENGTH = 64
# A timer may fire slightly before the clock has reached its time.
TIMER_SLACK_SECONDS = 0.005


class NotExecuted(Exception):
    """The server answered that it did not run the request.

    ``server_replaced`` is true if another server than the intended one
    answered at its address.
    """

    def __init__(self, answer, server_replaced):
        super().__init__(f"the server answered {answer.status}, not run")
        self.server_replaced = server_replaced


class ServerFailed(Exception):
    """The server answered with an error status; ``output`` is its answer."""

    def __init__(self, output):
        super().__init__(f"the server answered {output.answer.status}")
        self.output = output


class ServerRests(Exception):
    """The server asked for rest while the attempt was connecting to it."""


class Superseded(Exception):
    """The reducer ended or withdrew the attempt while it was connecting."""


class Output(msgspec.Struct):
    """Data read from a server: a whole answer, or events of a stream.

    For a whole answer ``events`` is ``None``, ``body`` holds the body and
    ``hold`` is what it holds of the instance's account.  For a stream
    ``events`` holds whole events, and ``b""`` once the stream is complete.
    """

    answer: object
    events: bytes | None = None
    body: bytes = b""
    hold: object = None


class Attempt:
    """Sends a request to the server of one dispatch and reads its answer.

    ``silence_timeout`` is how many seconds to wait for the first byte,
    ``None`` for no limit.  ``last_id`` is the id of the event after which a
    stream resumes.  ``resuming`` is true if the caller already has the head
    of the answer, from another server.

    >>> attempt = Attempt(context, dispatch, deadline)  # doctest: +SKIP
    >>> attempt.next_output().events  # doctest: +SKIP
    b'id: 1\\ndata: Hel\\n\\n'
    """

    def __init__(
        self,
        context,
        dispatch,
        deadline,
        silence_timeout=None,
        last_id="",
        resuming=False,
    ):
        self.dispatch = dispatch
        self.has_output = False
        # For how many seconds the connection is kept after the answer.
        self.idle_seconds = 0.0
        self._context = context
        self._deadline = deadline
        self._silence_timeout = silence_timeout
        self._resuming = resuming
        self._splitter = events_splitter.EventsSplitter(last_id, resuming)
        self._request = None
        self._answer = None
        self._server_report = None
        self._is_stream = False

    @property
    def number(self):
        """The number of this attempt among those of the request."""
        return self.dispatch.attempt

    @property
    def last_id(self):
        """The id of the last whole event."""
        return self._splitter.last_id

    @property
    def is_unstreamed(self):
        """Whether an answer has begun that is no stream and no error."""
        answer = self._answer
        return (
            answer is not None
            and not self._is_stream
            and answer.status < FIRST_SERVER_ERROR
        )

    def received(self):
        """Return the ``events.AnswerReceived`` of this attempt."""
        answer = self._answer
        return events.AnswerReceived(
            answer.end.value if answer is not None and answer.end else "",
            self.dispatch.peer,
            answer.body_bytes if answer is not None else 0,
            self._splitter.count,
            self._splitter.last_id[:MAX_LOGGED_ID_LENGTH],
        )

    def next_output(self):
        """Return the next :class:`Output`.

        Raises ``Silent`` if the silence timeout passes without a byte, and
        may then be called again.
        """
        if self._request is None:
            self._start()
        answer = self._answer
        if answer is None:
            answer = self._read_head()
        if self._is_stream:
            return Output(answer, self._read_events())
        return self._read_whole(answer)

    def set_silence_timeout(self, seconds):
        """Set the timeout in seconds per read or write, ``None`` for none."""
        self._silence_timeout = seconds
        if self._request is not None:
            self._request.set_silence_timeout(
                None if seconds is None else min(seconds, LOOK_UP_SECONDS)
            )

    def is_silent(self):
        """Return whether the server counts as silent.

        It does after the silence timeout, or sooner if the path to it was
        found to be lost.
        """
        context = self._context
        life = context.host.request_lifecycle(context.incoming.request_id)
        timeout = self._silence_timeout
        if life is not None and life.attempt == self.number and life.path_lost:
            timeout = min(timeout, LOST_PATH_SECONDS)
        return self._request.silent_seconds >= timeout - TIMER_SLACK_SECONDS

    def close(self):
        """End the attempt and cancel it at a server that still works on it."""
        request, self._request = self._request, None
        if request is not None:
            request.release()

    def _start(self):
        context = self._context
        dispatch = self.dispatch
        incoming = context.incoming
        request = backend_request.BackendRequest(
            context.connections,
            dispatch,
            context.dialect,
            incoming.request_id,
            context.used_connections,
        )
        request.connect()
        self._request = request
        if not context.host.is_current(dispatch):
            # The caller may have received the outcome "not run" by now, so
            # the request must not be sent.
            self.close()
            raise Superseded()
        if context.host.is_resting(dispatch):
            self.close()
            raise ServerRests("the server rests, nothing was sent")
        life = context.host.request_lifecycle(incoming.request_id)
        self._server_report = server_report.ServerReport(
            context.host,
            life.incarnation_of(dispatch.attempt),
            dispatch.peer_address,
        )
        context.host.submit(
            events.AttemptBegan(incoming.request_id, dispatch.attempt)
        )
        attempt = dialect_module.AttemptInfo(
            dispatch.backend_server,
            life.work.organisation,
            dispatch.priority,
            max(0.0, self._deadline - time.monotonic()),
            self._splitter.last_id or incoming.last_event_id,
            bool(incoming.parts),
        )
        headers = [
            *incoming.headers,
            *context.dialect.attempt_headers(attempt),
        ]
        request.note_sent()
        self.set_silence_timeout(self._silence_timeout)
        request.prepare(
            incoming.method, incoming.target, headers, context.body
        )

    def _read_head(self):
        self._request.send()
        answer = self._request.read_head()
        dialect = self._context.dialect
        is_other_server = dialect.is_other_server(answer)
        refused = dialect.not_executed(answer)
        if not is_other_server:
            self._report_server(answer, refused)
        if refused:
            self._finish_refusal(answer)
            raise NotExecuted(answer, is_other_server)
        self._check_confirmed(answer)
        self._is_stream = _is_stream(answer)
        if self._resuming and not self._is_stream:
            self._read_body()
            raise backend_request.Broken(
                f"stream not resumed: the server answered {answer.status}"
            )
        self._answer = answer
        return answer

    def _check_confirmed(self, answer):
        """Raise ``Broken`` for a success that its server did not confirm.

        A caller that resumes keeps the confirmation of the first server.
        """
        is_success = answer.status in http_library.SUCCESS_STATUSES
        if self._resuming or not is_success:
            return
        if not self._context.dialect.is_confirmed(answer):
            raise backend_request.Broken(
                f"an answer {answer.status} without its server's confirmation"
            )

    def _finish_refusal(self, answer):
        """Have the rest of a refusal read, so that its connection is kept."""
        if answer.complete or self.dispatch.peer:
            return
        request, self._request = self._request, None
        refusal_rest.read_in_background(request)

    def _release_if_complete(self, request):
        """Release the connection once the answer is complete.

        The server counts the idle time from then on, and a caller may take
        the rest of the answer slowly.
        """
        if request.answer.complete:
            self.idle_seconds = request.release() or self.idle_seconds

    def _report_server(self, answer, refused):
        """Report what an answer says of its server, not of the request."""
        report = self._server_report
        dialect = self._context.dialect
        report.submit_limit(
            dialect.limits_of(answer), refused, dialect.brittle_of(answer)
        )
        request_id = self._context.incoming.request_id
        report.submit_rest(dialect.rest_of(answer), request_id)
        report.submit_leaving(dialect.leaving_of(answer), request_id)

    def _read_events(self):
        """Return the next whole events, ``b""`` at the end of the stream."""
        request = self._request
        while True:
            data = request.read_body_part()
            self._release_if_complete(request)
            if not data:
                if self._splitter.pending:
                    raise backend_request.Broken(
                        "the stream ended in the middle of an event"
                    )
                return b""
            whole = self._splitter.feed(data)
            if whole:
                return whole

    def _read_body(self):
        """Return the whole body and what it holds; free that on failure."""
        hold = self._context.holds.open_answer()
        try:
            return self._request.read_whole_body(hold), hold
        except BaseException:
            # It is read on after a silence, with a hold of its own.
            hold.close()
            raise

    def _read_whole(self, answer):
        request = self._request
        body, hold = self._read_body()
        output = Output(answer, body=body, hold=hold)
        self._release_if_complete(request)
        if answer.status >= FIRST_SERVER_ERROR and self.dispatch.repeatable:
            raise ServerFailed(output)
        return output


class RequestContext(msgspec.Struct):
    """What all attempts of one request share.

    ``used_connections`` are those on which one of them was sent; ``holds`` is
    what the request holds of the instance's account.
    """

    host: object
    connections: object
    dialect: object
    incoming: object
    body: bytes
    holds: object
    used_connections: list = msgspec.field(default_factory=list)


def _is_stream(answer):
    return answer.status == 200 and answer.get("content-type").startswith(
        EVENT_STREAM
    )
