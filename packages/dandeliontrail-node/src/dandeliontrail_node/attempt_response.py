"""Reads the answer to one attempt from the engine it was sent to.

The answer may arrive over several connections: if one breaks or falls silent,
the same engine is asked for the rest of the stream. This starts no new work,
so it is also done for requests that must not be repeated.
"""

import contextlib

import msgspec

from dandeliontrail import events

from . import connection
from . import engine_client
from . import server_report
from . import silence_monitor
from . import transcript

# Consecutive reconnections that yield no event before the attempt fails.
MAX_CONSECUTIVE_RESUMES = 3
# Without this limit, a server that breaks off after each event would be asked
# forever by a worker that nobody is waiting for. A stream of several minutes
# that loses a connection every few seconds stays below it.
MAX_TOTAL_RESUMES = 64
# The header in which a server names how many requests per second it takes
# from all instances together.
LIMIT_HEADER = "X-Max-Request-Rate"
# The status of a server that turns a request away and may ask for rest.
UNAVAILABLE = 503


class AttemptResponse:
    """The answer to one attempt, resumed over new connections as needed."""

    def __init__(self, host, engines, call, dispatch, limits):
        self._host = host
        self._engines = engines
        self._call = call
        self.dispatch = dispatch
        self.url = dispatch.url
        self.monitor = silence_monitor.StreamSilenceMonitor(
            engines, self, limits.backend_silent_seconds
        )
        self._answer = None
        self._received_events = 0
        self._consecutive_resumes = 0
        self._total_resumes = 0
        self._resumed_as_stream = False
        self._began_reported = False
        self._on_silence = None
        self._old_connections = contextlib.ExitStack()
        self._server_report = None

    def on_silence(self, callback):
        """Set the callback that receives this object during silence."""
        self._on_silence = callback

    def report_silence(self):
        """Report that the server is silent on new connections as well."""
        if self._on_silence is not None:
            self._on_silence(self)

    def began(self):
        """Report that the first byte of the request is about to be written."""
        self._note_sent(again=self._began_reported)
        if self._began_reported:
            return
        self._began_reported = True
        self._host.submit(
            events.AttemptBegan(
                self.dispatch.request_id, self.dispatch.attempt
            )
        )

    def _note_sent(self, again):
        """Prepare to report a limit; ``again`` after the first request."""
        life = self._host.request_lifecycle(self.dispatch.request_id)
        if life is None:
            return
        self._server_report = server_report.ServerReport(
            self._host, life.incarnation_of(self.dispatch.attempt)
        )
        if again:
            self._server_report.submit_sent_again()

    def head_received(self, answer, refused=False):
        """Report what the head of an answer says of its server."""
        report = self._server_report
        if report is None:
            return
        report.submit_limit(answer.values(LIMIT_HEADER), refused)
        if refused and answer.status == UNAVAILABLE:
            report.submit_rest(
                answer.values("Retry-After"), self.dispatch.request_id
            )

    def open(self, outgoing):
        """Send the request; return the status of the answer."""
        try:
            self._answer = self._engines.open(self, outgoing)
        except connection.PathLost as exc:
            self._leave_connection(exc)
        except engine_client.Broken as exc:
            self._recover(exc)
        return self._answer.status

    def restart(self):
        """Discard the answer so far; the next ``open`` sends a new request."""
        self._answer.close()
        self._answer = None
        self._received_events = 0
        self._consecutive_resumes = 0

    def _leave_connection(self, exc):
        self._old_connections.callback(exc.old_connection.close)
        self._continue_with(exc.answer)

    def _continue_with(self, answer):
        self._answer = answer
        # An unstreamed answer is resumed as the stream of events it is made
        # from.
        self._resumed_as_stream = not self._call.streamed

    def is_resumable(self):
        """Whether the engine is known to be able to resume such a stream."""
        return self._engines.is_resumable(self.url, self._call.streamed)

    def check_resumable(self):
        """Find out for later requests whether the engine resumes streams."""
        if self._call.generation:
            self._engines.check_resumable(
                self.url, self.dispatch.request_id, self._call.streamed
            )

    def try_resume(self):
        """Return the rest of the stream over a new connection, or ``None``.

        Raises ``NotHeld`` if the server does not know the stream.
        """
        if not self._call.generation:
            return None
        self._note_sent(again=True)
        try:
            answer = self._engines.resume(
                self.url,
                self.dispatch.request_id,
                self._received_events,
                self.monitor,
            )
        except engine_client.NotHeld:
            raise
        except engine_client.Broken:
            return None
        self.head_received(answer)
        return answer

    def _recover(self, exc):
        """Resume the stream after a failure, or raise ``exc`` again."""
        self._consecutive_resumes += 1
        self._total_resumes += 1
        answer = None
        if (
            self._consecutive_resumes <= MAX_CONSECUTIVE_RESUMES
            and self._total_resumes <= MAX_TOTAL_RESUMES
        ):
            answer = self.try_resume()
        if answer is None:
            raise exc
        self._continue_with(answer)

    def header(self, name):
        """Return a header of the answer, or ``None``."""
        return self._answer.get(name)

    def next_event(self):
        """Return the next event of the stream."""
        while True:
            try:
                event = self._answer.read_event()
                if event:
                    return self._record_event(event)
                raise engine_client.Broken(
                    "the stream ended without [DONE]", closed=True
                )
            except connection.PathLost as exc:
                self._leave_connection(exc)
            except engine_client.Broken as exc:
                self._recover(exc)

    def _record_event(self, event):
        self.monitor.record_output()
        self._consecutive_resumes = 0
        self._received_events += event.startswith(transcript.DATA_PREFIX)
        return event

    def read_body(self):
        """Return the complete body."""
        while True:
            if self._resumed_as_stream:
                return self._body_from_events()
            try:
                hold = self._host.hold_answer(self.dispatch.request_id)
                hold.wait_for_room(self._answer.announced_bytes())
                body = self._answer.read_all()
                hold.wait_for_room(len(body))
                self._check_complete(body)
                return body
            except connection.PathLost as exc:
                self._leave_connection(exc)
            except engine_client.Broken as exc:
                self._recover(exc)

    def _check_complete(self, body):
        """Raise ``Broken`` if an undelimited body is not valid JSON."""
        if self._answer.self_delimited:
            return
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            raise engine_client.Broken(
                "an answer of undeclared length was truncated"
            )

    def _body_from_events(self):
        """Build the body of an unstreamed answer from its stream's events."""
        received = transcript.Transcript()
        event = self.next_event()
        while not event.startswith(transcript.DONE_EVENT):
            received.append(event)
            event = self.next_event()
        if not received.plain:
            raise engine_client.Broken(
                "cannot build a body: the stream holds more than text"
            )
        return _completion_body(self._call, self.dispatch.request_id, received)

    def close(self):
        """Close the connections, which stops an unfinished answer."""
        if self._answer:
            self._answer.close()
        self._old_connections.close()


def _completion_body(call, request_id, received):
    choice = {"index": 0, "finish_reason": "stop"}
    if call.chat:
        choice["message"] = {"role": "assistant", "content": received.text}
    else:
        choice["text"] = received.text
    object_type = "chat.completion" if call.chat else "text_completion"
    usage = {"prompt_tokens": 0, "completion_tokens": received.tokens}
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": object_type,
            "choices": [choice],
            "usage": usage,
        }
    )
