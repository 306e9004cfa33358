"""Serves one caller's request: sends it on and relays the answer.

The greenlet of the caller does the work itself, from the first effect to
the last byte.  It reads the next event from the backend server only when
the caller has taken the one before, so that a slow caller slows its own
engine stream and nothing is buffered here.
"""

import time

import msgspec

from dandeliontrail import effects
from dandeliontrail import events

from . import engine_client
from . import exchange as exchange_module
from . import wsgi

DONE = b"data: [DONE]"
DATA = b"data:"
SAMPLED_GAPS = 64
PASSED_HEADERS = ("Content-Type",)


class Usage(msgspec.Struct):
    """Token counts as an engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class WholeAnswer(msgspec.Struct):
    """The part of a whole answer that counting needs."""

    usage: Usage = msgspec.field(default_factory=Usage)


class GenerationCall:
    """A generation request and how to send it on."""

    def __init__(self, path, raw, streamed):
        self._path = path
        self._raw = raw
        self.streamed = streamed

    def outgoing(self, dispatch):
        """Return what is sent, with the priority in the body."""
        self._raw["priority"] = msgspec.Raw(b"%d" % dispatch.priority)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": dispatch.request_id,
        }
        body = msgspec.json.encode(self._raw)
        return engine_client.Outgoing("POST", self._path, headers, body)


class ServiceCall:
    """A plain service's call, which is relayed as it is."""

    streamed = False

    def __init__(self, method, target, content_type, body):
        self._method = method
        self._target = target
        self._content_type = content_type
        self._body = body

    def outgoing(self, dispatch):
        """Return what is sent."""
        headers = {"X-Request-Id": dispatch.request_id}
        if self._content_type:
            headers["Content-Type"] = self._content_type
        return engine_client.Outgoing(
            self._method, self._target, headers, self._body
        )


class _Attempt:
    """One dispatch: what the engine client needs to know of it."""

    def __init__(self, host, dispatch):
        self._host = host
        self.dispatch = dispatch
        self.url = dispatch.url

    def began(self):
        """Say that the first byte is about to be written."""
        self._host.submit(
            events.AttemptBegan(
                self.dispatch.request_id, self.dispatch.attempt
            )
        )


class Relay:
    """Carries one request from its receipt to its answer."""

    def __init__(self, host, engines, event, call):
        self._host = host
        self._engines = engines
        self._event = event
        self._call = call
        self._exchange = exchange_module.Exchange(event.request_id)
        self._relayed = 0
        self._gaps_ms = []
        self._ended = False

    def run(self, start_response):
        """Return the reply's iterable."""
        self._host.attach(self._exchange)
        try:
            self._host.submit(self._event)
            dispatch, response = self._open()
            if self._is_stream(response):
                return self._start_stream(start_response, dispatch, response)
            return self._whole(start_response, dispatch, response)
        except wsgi.Problem:
            self._host.detach(self._exchange)
            raise
        except BaseException:
            self._leave()
            raise

    def _is_stream(self, response):
        return self._call.streamed and response.status_code == 200

    def _open(self):
        """Follow the reducer's dispatches until a server answers."""
        while True:
            dispatch = self._next_dispatch()
            attempt = _Attempt(self._host, dispatch)
            outgoing = self._call.outgoing(dispatch)
            try:
                return dispatch, self._engines.open(attempt, outgoing)
            except engine_client.NotBegun as exc:
                self._host.submit(
                    events.NotBegun(
                        dispatch.request_id,
                        dispatch.attempt,
                        exc.server_said,
                        exc.retry_after,
                    )
                )
            except engine_client.Broken as exc:
                self._failed(dispatch, str(exc))

    def _next_dispatch(self):
        """Wait for a dispatch; a refusal becomes the answer."""
        effect = self._exchange.get()
        if isinstance(effect, effects.Dispatch):
            return effect
        self._ended = True
        raise _problem_of(effect)

    def _failed(self, dispatch, detail):
        self._host.submit(
            events.AttemptFailed(
                dispatch.request_id, dispatch.attempt, self._relayed, detail
            )
        )

    def _whole(self, start_response, dispatch, response):
        """Relay an answer that comes in one piece."""
        while True:
            try:
                body = engine_client.read_all(response)
                break
            except engine_client.Broken as exc:
                self._failed(dispatch, str(exc))
                dispatch, response = self._open()
        self._first_output(dispatch)
        self._finished(dispatch, _usage_of(body))
        headers = self._headers(dispatch, response)
        headers.append(("X-Outcome", "complete"))
        status = response.status_code
        return wsgi.reply(start_response, status, body, headers)

    def _headers(self, dispatch, response):
        headers = [
            ("X-Request-Id", dispatch.request_id),
            ("X-Backend-Server", dispatch.backend_server),
        ]
        for name in PASSED_HEADERS:
            value = response.get(name)
            if value:
                headers.append((name, value))
        return headers

    def _start_stream(self, start_response, dispatch, response):
        """Wait for the first event, then start the reply.

        A failure before the first event can still be tried elsewhere, or
        answered with a status of its own.
        """
        while True:
            try:
                event = self._read(response)
                break
            except engine_client.Broken as exc:
                self._failed(dispatch, str(exc))
                dispatch, response = self._open()
        self._first_output(dispatch)
        headers = self._headers(dispatch, response)
        start_response(wsgi.status_line(200), headers)
        return self._stream(dispatch, response, event)

    def _read(self, response):
        event = engine_client.read_event(response)
        if not event:
            raise engine_client.Broken("the stream ended without [DONE]")
        return event

    def _stream(self, dispatch, response, event):
        last = time.monotonic()
        try:
            while not event.startswith(DONE):
                self._relayed += event.startswith(DATA)
                yield event
                event = self._read(response)
                last = self._sample_gap(last)
            usage = Usage(0, self._relayed)
            usage.prompt_tokens = self._event.prompt_tokens
            self._finished(dispatch, usage)
            yield event
        except engine_client.Broken as exc:
            self._failed(dispatch, str(exc))
            yield self._stream_error()
        finally:
            self._leave()

    def _sample_gap(self, last):
        now = time.monotonic()
        if len(self._gaps_ms) < SAMPLED_GAPS:
            self._gaps_ms.append((now - last) * 1000.0)
        return now

    def _stream_error(self):
        """Return the event that ends a stream that cannot be completed."""
        effect = self._exchange.get()
        self._ended = True
        body = wsgi.error_body(_problem_of(effect))
        return b"data: " + body + b"\n\n"

    def _first_output(self, dispatch):
        self._host.submit(
            events.FirstOutput(dispatch.request_id, dispatch.attempt)
        )

    def _finished(self, dispatch, usage):
        self._ended = True
        self._host.submit(
            events.AnswerFinished(
                dispatch.request_id,
                dispatch.attempt,
                usage.prompt_tokens,
                usage.completion_tokens,
                self._gaps_ms,
            )
        )
        self._host.detach(self._exchange)

    def _leave(self):
        """End the exchange; an unfinished one lost its caller."""
        if not self._ended:
            self._ended = True
            self._host.submit(events.CallerGone(self._event.request_id))
        self._host.detach(self._exchange)


def _usage_of(body):
    try:
        return msgspec.json.decode(body, type=WholeAnswer).usage
    except msgspec.DecodeError:
        return Usage()


def _problem_of(effect):
    if isinstance(effect, effects.Refuse):
        return wsgi.Problem(
            effect.status,
            effect.code,
            effect.message,
            effect.remedy,
            outcome=effect.outcome,
            request_id=effect.request_id,
            retry_after=effect.nothing.retry_after,
        )
    return wsgi.Problem(
        500,
        "internal",
        "The instance failed on this request.",
        "send it again if it may be repeated; see the instance's log",
        outcome="unknown",
        request_id=effect.request_id,
    )
