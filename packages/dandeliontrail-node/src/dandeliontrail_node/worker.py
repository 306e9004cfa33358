"""The engine side of a request: sends it on and reads the answer.

It runs in a greenlet of its own, so that it can outlive the caller: work
that must not be repeated runs to its end, and its answer is held.
"""

import time

import gevent
import msgspec

from dandeliontrail.coordination import claims
from dandeliontrail import effects
from dandeliontrail import events

from . import channel as channel_module
from . import engine_client
from . import hedge as hedge_module
from . import problems
from . import reading as reading_module
from . import source as source_module
from . import transcript
from . import wsgi

SAMPLED_GAPS = 64
PASSED_HEADERS = ("Content-Type",)
EVENT_STREAM = ("Content-Type", "text/event-stream")


class Usage(msgspec.Struct):
    """Token counts as an engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class WholeAnswer(msgspec.Struct):
    """The part of a whole answer that counting needs."""

    usage: Usage = msgspec.field(default_factory=Usage)


class Worker:
    """Follows the reducer's dispatches until there is an outcome."""

    def __init__(self, host, engines, limits, event, call, exchange):
        self._host = host
        self._engines = engines
        self._limits = limits
        self._event = event
        self._call = call
        self._exchange = exchange
        self._channel = exchange.channel
        self._held = transcript.Transcript()
        self._kept = bytearray()
        self._keep = bool(event.idempotency_key)
        self._reading = None
        self._hedge = None
        self._head = None
        self._gaps_ms = []
        self._last = 0.0
        self._begun_attempt = 0

    def run(self):
        """Work until the answer is whole or cannot be had."""
        try:
            self._host.submit(self._event)
            while not self._attempt():
                pass
        except wsgi.Problem as problem:
            self._channel.put(channel_module.Failure(problem))
        except gevent.GreenletExit:
            raise
        except Exception as exc:
            self._host.logger.error("request failed", exc_info=exc)
            fault = problems.internal_problem(self._event.request_id)
            self._channel.put(channel_module.Failure(fault))
        finally:
            self._let_go()
            self._host.detach(self._exchange, "worker")

    def _attempt(self):
        """Serve one dispatch; tell whether the answer is whole."""
        effect = self._next_effect()
        if isinstance(effect, effects.Replay):
            self._replay(effect.answer)
            return True
        if not isinstance(effect, effects.Dispatch):
            raise problems.problem_of(effect)
        self._let_go()
        self._take_up(self._reading_of(effect))
        while self._reading is not None:
            if self._serve():
                return True
        return False

    def _next_effect(self):
        """Return the next effect that is not about a hedge let go."""
        while True:
            effect = self._exchange.get()
            if isinstance(effect, effects.Withdraw):
                continue
            if not isinstance(effect, effects.Dispatch):
                return effect
            if self._host.is_current(effect):
                return effect

    def _reading_of(self, dispatch):
        source = source_module.Source(
            self._host, self._engines, self._call, dispatch, self._limits
        )
        source.when_silent(self._silent)
        return reading_module.Reading(
            self._host, self._call, source, self._held
        )

    def _take_up(self, reading):
        """Make a reading the one whose answer the caller gets."""
        self._reading = reading
        reading.when_heard(self._heard)

    def _let_go(self):
        if self._hedge is not None:
            self._hedge.close()
            self._hedge = None
        if self._reading is not None:
            self._reading.close()
            self._reading = None

    def _serve(self):
        """Pass on the present attempt; tell whether the answer is whole.

        Where it fails, the one beside it goes on, if there is one.
        """
        reading = self._reading
        try:
            self._pass_on_all(reading)
            return True
        except hedge_module.Overtaken as exc:
            self._overtake(exc.reading)
            return False
        except hedge_module.FAILURES as exc:
            self._reading = None
            reading.close()
            self._failed(reading, exc)
        if self._hedge is not None and self._hedge.reading is not None:
            try:
                self._hedge.result()
            except hedge_module.Overtaken as exc:
                self._take_up(exc.reading)
        self._hedge = None
        return False

    # -- a silent server ----------------------------------------------------

    def _silent(self, source):
        """Have another server sought beside the silent one of ``source``.

        Raises ``Overtaken`` once that one has something.
        """
        if self._reading is None or source is not self._reading.source:
            return
        if self._hedge is None:
            self._hedge = hedge_module.Hedge(
                self._exchange,
                self._host.is_current,
                self._reading_of,
                self._failed,
            )
            self._submit(events.AttemptSilent, self._reading)
        effect = self._hedge.look()
        if effect is not None:
            raise problems.problem_of(effect)

    def _spoke_again(self):
        """Let go of what is beside the present attempt."""
        hedge, self._hedge = self._hedge, None
        hedge.close()
        self._submit(events.AttemptSpoke, self._reading)

    def _overtake(self, reading):
        self._submit(events.AttemptSpoke, reading)
        self._let_go()
        self._take_up(reading)

    def _submit(self, kind, reading):
        dispatch = reading.dispatch
        self._host.submit(kind(dispatch.request_id, dispatch.attempt))

    # -- the answer ---------------------------------------------------------

    def _replay(self, answer):
        """Give the stored answer of the same key."""
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

    def _failed(self, reading, exc):
        """Tell the reducer how an attempt failed."""
        dispatch = reading.dispatch
        if isinstance(exc, engine_client.NotBegun):
            event = events.NotBegun(
                dispatch.request_id,
                dispatch.attempt,
                exc.server_said,
                exc.retry_after,
            )
        elif isinstance(exc, transcript.Diverged):
            event = self._broke_off(
                dispatch, "another engine's answer differs"
            )
        else:
            event = self._broke_off(dispatch, str(exc), exc.closed)
        self._host.submit(event)

    def _broke_off(self, dispatch, detail, closed=False):
        return events.AttemptFailed(
            dispatch.request_id,
            dispatch.attempt,
            self._held.events,
            detail,
            closed=closed,
        )

    def _pass_on_all(self, reading):
        output = self._next(reading)
        if isinstance(output, reading_module.Whole):
            self._whole(reading.dispatch, output)
            return
        while not output.startswith(transcript.DONE):
            self._pass_on(reading.dispatch, output)
            output = self._next(reading)
        self._end(reading.dispatch, output)

    def _next(self, reading):
        output = reading.next()
        if self._hedge is not None:
            self._spoke_again()
        if self._begun_attempt != reading.dispatch.attempt:
            # Read beside a silent one, or whole: nobody was told yet.
            self._first_output()
        return output

    def _whole(self, dispatch, whole):
        headers = self._headers(dispatch)
        headers.append(("X-Outcome", "complete"))
        if self._keep:
            self._kept += whole.body
        self._finished(dispatch, whole.status, _usage_of(whole.body))
        self._channel.put(
            channel_module.Head(whole.status, headers, whole.body)
        )

    def _headers(self, dispatch):
        headers = [
            ("X-Request-Id", dispatch.request_id),
            ("X-Backend-Server", dispatch.backend_server),
        ]
        for name in PASSED_HEADERS:
            value = self._reading.source.header(name)
            if value:
                headers.append((name, value))
        return headers

    def _end(self, dispatch, event):
        """Pass on the last event of a stream."""
        if self._keep:
            self._kept += event
        usage = Usage(self._event.prompt_tokens, self._held.tokens)
        # First this, so that whoever has the whole answer can see it
        # counted.
        self._finished(dispatch, 200, usage)
        self._begin_reply(dispatch)
        self._channel.put(event)
        self._channel.put(channel_module.END)

    def _heard(self):
        """Take note of an event, whether the caller has it already or not."""
        now = time.monotonic()
        if self._begun_attempt != self._reading.dispatch.attempt:
            self._first_output()
        if not self._last:
            self._last = now
        elif len(self._gaps_ms) < SAMPLED_GAPS:
            self._gaps_ms.append((now - self._last) * 1000.0)
        self._last = now

    def _begin_reply(self, dispatch):
        if self._head is None:
            headers = self._headers(dispatch)
            self._head = channel_module.Head(200, headers)
            self._channel.put(self._head)

    def _pass_on(self, dispatch, event):
        self._begin_reply(dispatch)
        self._held.take(event)
        if self._keep:
            self._kept += event
        self._channel.put(event)

    def _first_output(self):
        self._begun_attempt = self._reading.dispatch.attempt
        self._submit(events.FirstOutput, self._reading)

    def _finished(self, dispatch, status, usage):
        if status == 200:
            self._reading.source.learn()
        self._host.submit(
            events.AnswerFinished(
                dispatch.request_id,
                dispatch.attempt,
                usage.prompt_tokens,
                usage.completion_tokens,
                self._gaps_ms,
                self._stored(dispatch, status),
            )
        )

    def _stored(self, dispatch, status):
        if not self._keep:
            return None
        return claims.StoredAnswer(
            status,
            self._reading.source.header("Content-Type") or "",
            dispatch.backend_server,
            bytes(self._kept),
        )


def _usage_of(body):
    try:
        return msgspec.json.decode(body, type=WholeAnswer).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Usage()
