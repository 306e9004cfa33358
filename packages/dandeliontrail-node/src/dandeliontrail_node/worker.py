"""Sends a caller's request to backend servers and reads the answer.

This runs in a greenlet of its own so that it can outlive the caller's
connection: a request that must not be repeated runs to completion, and its
answer is stored under its idempotency key.
"""

import time

import gevent
import msgspec

from dandeliontrail.coordination import claims
from dandeliontrail import effects
from dandeliontrail import events

from . import attempt_response
from . import channel as channel_module
from . import engine_client
from . import hedge as hedge_module
from . import problems
from . import response_reader
from . import transcript
from . import wsgi

MAX_GAP_SAMPLES = 64
FORWARDED_HEADERS = ("Content-Type",)
EVENT_STREAM = ("Content-Type", "text/event-stream")


class Usage(msgspec.Struct):
    """Token counts as an engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class CompletionBody(msgspec.Struct):
    """The part of an unstreamed completion that is needed to count tokens."""

    usage: Usage = msgspec.field(default_factory=Usage)


class Worker:
    """Carries out the reducer's dispatches of a request until it ends."""

    def __init__(self, host, engines, limits, event, call, exchange):
        self._host = host
        self._engines = engines
        self._limits = limits
        self._event = event
        self._call = call
        self._exchange = exchange
        self._channel = exchange.channel
        self._delivered = transcript.Transcript()
        self._stored_body = bytearray()
        self._stores_answer = bool(event.idempotency_key)
        self._reader = None
        self._hedge = None
        self._head = None
        self._gaps_ms = []
        self._last_event_at = 0.0
        self._attempt_with_output = 0

    def run(self):
        """Work until the answer is complete or cannot be obtained."""
        try:
            self._host.submit(self._event)
            while not self._serve_dispatch():
                pass
        except wsgi.Problem as problem:
            self._channel.put(channel_module.Failure(problem))
        except gevent.GreenletExit:
            raise
        except Exception as exc:
            self._host.logger.error("request failed", exc_info=exc)
            internal_error = problems.internal_problem(self._event.request_id)
            self._channel.put(channel_module.Failure(internal_error))
        finally:
            self._close_attempts()
            self._host.detach(self._exchange, "worker")

    def _serve_dispatch(self):
        """Carry out one dispatch; return whether the answer is complete."""
        effect = self._next_effect()
        if isinstance(effect, effects.Replay):
            self._replay(effect.answer)
            return True
        if not isinstance(effect, effects.Dispatch):
            raise problems.problem_of(effect)
        self._close_attempts()
        self._use_reader(self._new_reader(effect))
        while self._reader is not None:
            if self._relay_attempt():
                return True
        return False

    def _next_effect(self):
        """Return the next effect, skipping those of cancelled hedges."""
        while True:
            effect = self._exchange.get()
            if isinstance(effect, effects.Withdraw):
                continue
            if not isinstance(effect, effects.Dispatch):
                return effect
            if self._host.is_current(effect):
                return effect

    def _new_reader(self, dispatch):
        response = attempt_response.AttemptResponse(
            self._host, self._engines, self._call, dispatch, self._limits
        )
        response.on_silence(self._handle_silence)
        return response_reader.ResponseReader(
            self._host, self._call, response, self._delivered
        )

    def _use_reader(self, reader):
        """Relay the answer of ``reader`` to the caller from now on."""
        self._reader = reader
        reader.on_event(self._record_event)

    def _close_attempts(self):
        if self._hedge is not None:
            self._hedge.close()
            self._hedge = None
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def _relay_attempt(self):
        """Relay the current attempt; return whether the answer is complete.

        If the attempt fails while a hedge is running, the hedge takes its
        place.
        """
        reader = self._reader
        try:
            self._relay_answer(reader)
            return True
        except hedge_module.Overtaken as exc:
            self._switch_to_hedge(exc.reader)
            return False
        except hedge_module.ATTEMPT_ERRORS as exc:
            self._reader = None
            reader.close()
            self._report_failure(reader, exc)
        if self._hedge is not None and self._hedge.reader is not None:
            try:
                self._hedge.wait()
            except hedge_module.Overtaken as exc:
                self._use_reader(exc.reader)
        self._hedge = None
        return False

    # -- silent servers -----------------------------------------------------

    def _handle_silence(self, response):
        """Request a hedge while the server of ``response`` is silent.

        Raises ``Overtaken`` once the hedge has output for the caller.
        """
        if self._reader is None or response is not self._reader.response:
            return
        if self._hedge is None:
            self._hedge = hedge_module.Hedge(
                self._exchange,
                self._host.is_current,
                self._new_reader,
                self._report_failure,
            )
            self._submit_attempt_event(events.AttemptSilent, self._reader)
        effect = self._hedge.poll()
        if effect is not None:
            raise problems.problem_of(effect)

    def _cancel_hedge(self):
        """Drop the hedge: the current attempt has produced output again."""
        hedge, self._hedge = self._hedge, None
        hedge.close()
        self._submit_attempt_event(events.AttemptSpoke, self._reader)

    def _switch_to_hedge(self, reader):
        self._submit_attempt_event(events.AttemptSpoke, reader)
        self._close_attempts()
        self._use_reader(reader)

    def _submit_attempt_event(self, kind, reader):
        dispatch = reader.dispatch
        self._host.submit(kind(dispatch.request_id, dispatch.attempt))

    # -- the answer ---------------------------------------------------------

    def _replay(self, answer):
        """Send the answer that is stored under the same idempotency key."""
        headers = [
            ("X-Request-Id", self._event.request_id),
            ("X-Backend-Server", answer.backend_server),
            ("X-Outcome", "complete"),
        ]
        if answer.content_type:
            headers.append(("Content-Type", answer.content_type))
        self._channel.put(
            channel_module.Head(answer.status, headers, answer.body)
        )

    def _report_failure(self, reader, exc):
        """Report to the reducer how an attempt failed."""
        dispatch = reader.dispatch
        if isinstance(exc, engine_client.NotBegun):
            event = events.NotBegun(
                dispatch.request_id,
                dispatch.attempt,
                exc.server_said,
                exc.retry_after,
            )
        elif isinstance(exc, transcript.Diverged):
            event = self._attempt_failed_event(
                dispatch, "another engine's answer differs"
            )
        else:
            event = self._attempt_failed_event(dispatch, str(exc), exc.closed)
        self._host.submit(event)

    def _attempt_failed_event(self, dispatch, detail, closed=False):
        return events.AttemptFailed(
            dispatch.request_id,
            dispatch.attempt,
            self._delivered.events,
            detail,
            closed=closed,
        )

    def _relay_answer(self, reader):
        output = self._next_output(reader)
        if isinstance(output, response_reader.BufferedAnswer):
            self._send_buffered_answer(reader.dispatch, output)
            return
        while not output.startswith(transcript.DONE_EVENT):
            self._relay_event(reader.dispatch, output)
            output = self._next_output(reader)
        self._finish_stream(reader.dispatch, output)

    def _next_output(self, reader):
        output = reader.next_output()
        if self._hedge is not None:
            self._cancel_hedge()
        if self._attempt_with_output != reader.dispatch.attempt:
            # The output was read by a hedge or is an unstreamed answer;
            # neither has reported the attempt's first output.
            self._report_first_output()
        return output

    def _send_buffered_answer(self, dispatch, answer):
        headers = self._reply_headers(dispatch)
        headers.append(("X-Outcome", "complete"))
        if self._stores_answer:
            self._stored_body += answer.body
        self._report_finished(
            dispatch, answer.status, _parse_usage(answer.body)
        )
        self._channel.put(
            channel_module.Head(answer.status, headers, answer.body)
        )

    def _reply_headers(self, dispatch):
        headers = [
            ("X-Request-Id", dispatch.request_id),
            ("X-Backend-Server", dispatch.backend_server),
        ]
        for name in FORWARDED_HEADERS:
            value = self._reader.response.header(name)
            if value:
                headers.append((name, value))
        return headers

    def _finish_stream(self, dispatch, event):
        """Relay the last event of a stream."""
        if self._stores_answer:
            self._stored_body += event
        usage = Usage(self._event.prompt_tokens, self._delivered.tokens)
        # Report this before the caller receives the last event, so that a
        # caller that has the complete answer finds its usage counted.
        self._report_finished(dispatch, 200, usage)
        self._send_head(dispatch)
        self._channel.put(event)
        self._channel.put(channel_module.END)

    def _record_event(self):
        """Record when an event arrives, even one that the caller has."""
        now = time.monotonic()
        if self._attempt_with_output != self._reader.dispatch.attempt:
            self._report_first_output()
        if not self._last_event_at:
            self._last_event_at = now
        elif len(self._gaps_ms) < MAX_GAP_SAMPLES:
            self._gaps_ms.append((now - self._last_event_at) * 1000.0)
        self._last_event_at = now

    def _send_head(self, dispatch):
        if self._head is None:
            headers = self._reply_headers(dispatch)
            self._head = channel_module.Head(200, headers)
            self._channel.put(self._head)

    def _relay_event(self, dispatch, event):
        self._send_head(dispatch)
        self._delivered.append(event)
        if self._stores_answer:
            self._stored_body += event
        self._channel.put(event)

    def _report_first_output(self):
        dispatch = self._reader.dispatch
        self._attempt_with_output = dispatch.attempt
        life = self._host.request_lifecycle(dispatch.request_id)
        if life is not None:
            life.check_joins(dispatch.attempt)
        self._host.submit(
            events.FirstOutput(
                dispatch.request_id,
                dispatch.attempt,
                is_event=self._event.streamed,
            )
        )

    def _report_finished(self, dispatch, status, usage):
        if status == 200:
            self._reader.response.check_resumable()
        self._host.submit(
            events.AnswerFinished(
                dispatch.request_id,
                dispatch.attempt,
                usage.prompt_tokens,
                usage.completion_tokens,
                self._gaps_ms,
                self._stored_answer(dispatch, status),
            )
        )

    def _stored_answer(self, dispatch, status):
        if not self._stores_answer:
            return None
        return claims.StoredAnswer(
            status,
            self._reader.response.header("Content-Type") or "",
            dispatch.backend_server,
            bytes(self._stored_body),
        )


def _parse_usage(body):
    try:
        return msgspec.json.decode(body, type=CompletionBody).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Usage()
