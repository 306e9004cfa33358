"""Writes the log lines by which one request can be followed.

Each line has the ``request_id``. The reducer logs its own decisions
(``decision``). This module adds the lines before and after them: the arrival,
each failed attempt, and one line at the end with outcome, tokens and times. No
line contains a key, a prompt or an answer.
"""

import msgspec

from dandeliontrail import effects
from dandeliontrail import events

DECISION_MESSAGE = "decision"
DISPATCHED_REASON = "dispatched"
SUCCESS_REASONS = frozenset(("complete", "replayed"))
# Far more than the requests that one instance can have open. Entries that a
# fault leaves behind are dropped, oldest first.
MAX_OPEN_REQUESTS = 50_000


class _OpenRequest(msgspec.Struct):
    """A request that has not ended; times are on the instance's clock."""

    received: float
    attempts: int = 0
    first_output: float | None = None
    output_tokens: int = 0
    organisation: str = ""
    class_name: str = ""
    backend_server: str = ""
    answered: int = 0
    answer: events.AnswerReceived | None = None


class RequestLog:
    """Writes log lines about the events and effects of requests."""

    def __init__(self, logger, counters):
        self._logger = logger
        self._counters = counters
        self._open_requests = {}
        self._handlers = {
            events.RequestReceived: self._on_request,
            events.RoutedRequestReceived: self._on_routed_request,
            events.AttemptBegan: self._on_attempt_began,
            events.NotBegun: self._on_not_begun,
            events.AttemptFailed: self._on_attempt_failed,
            events.FirstOutput: self._on_first_output,
            events.AnswerFinished: self._on_answer_finished,
            events.CallerGone: self._on_caller_gone,
        }

    def event(self, event, now):
        """Record an event, before the reducer handles it."""
        handler = self._handlers.get(type(event))
        if handler:
            handler(event, now)

    def effects(self, emitted, now):
        """Record the effects of one event."""
        for effect in emitted:
            if isinstance(effect, effects.Log):
                self._record_decision(effect)
        for effect in emitted:
            if isinstance(effect, effects.Refuse):
                self._log_end(
                    effect.request_id,
                    now,
                    outcome=effect.outcome,
                    status=effect.status,
                    reason=effect.nothing.reason.value,
                )
            elif _ends_request(effect):
                self._log_end(
                    effect.fields["request_id"],
                    now,
                    reason=effect.fields["reason"],
                )

    def _line(self, message, request_id, **fields):
        fields["request_id"] = request_id
        self._logger.info(message, extra=fields)

    def _add_open_request(self, event, now):
        while len(self._open_requests) >= MAX_OPEN_REQUESTS:
            del self._open_requests[next(iter(self._open_requests))]
        self._open_requests[event.request_id] = _OpenRequest(now)

    def _on_routed_request(self, event, now):
        """Write no line: the decision that follows has all of its data."""
        self._add_open_request(event, now)

    def _on_request(self, event, now):
        self._add_open_request(event, now)
        self._line(
            "request",
            event.request_id,
            model=event.model,
            service=event.service,
            asked_class=event.class_name,
            streamed=event.streamed,
            prompt_tokens=event.prompt_tokens,
            idempotent=bool(event.idempotency_key),
        )

    def _on_attempt_began(self, event, now):
        self._counters["attempts_total"] += 1
        request = self._open_requests.get(event.request_id)
        if request:
            request.attempts += 1

    def _on_not_begun(self, event, now):
        self._counters["attempts_not_begun_total"] += 1
        request = self._open_requests.get(event.request_id)
        self._line(
            "attempt not begun",
            event.request_id,
            attempt=event.attempt,
            backend_server=request.backend_server if request else "",
            server_said=event.server_said,
            detail=event.detail,
            important=True,
        )

    def _on_attempt_failed(self, event, now):
        self._counters["attempts_failed_total"] += 1
        request = self._open_requests.get(event.request_id)
        if request and event.answered:
            request.answered = event.answered
        self._line(
            "attempt failed",
            event.request_id,
            attempt=event.attempt,
            backend_server=request.backend_server if request else "",
            relayed=event.relayed,
            closed=event.closed,
            detail=event.detail,
            important=True,
            **_fields_of(event.received),
        )

    def _on_first_output(self, event, now):
        request = self._open_requests.get(event.request_id)
        if request and request.first_output is None:
            request.first_output = now

    def _on_answer_finished(self, event, now):
        received = event.received
        if received is not None:
            counter = f'answers_ended_total{{end="{received.end}"}}'
            self._counters[counter] += 1
        request = self._open_requests.get(event.request_id)
        if request:
            request.output_tokens = event.output_tokens
            request.answer = received

    def _on_caller_gone(self, event, now):
        if event.request_id in self._open_requests:
            self._line("caller gone", event.request_id, important=True)

    def _record_decision(self, effect):
        if effect.message != DECISION_MESSAGE:
            return
        fields = effect.fields
        request = self._open_requests.get(fields["request_id"])
        if request:
            request.organisation = fields["organisation"]
            request.class_name = fields["class"]
            request.backend_server = fields["backend_server"]

    def _log_end(self, request_id, now, reason, outcome="", status=None):
        request = self._open_requests.pop(request_id, None)
        if request is None:
            return
        self._counters[f'requests_ended_total{{reason="{reason}"}}'] += 1
        fields = {
            "reason": reason,
            "outcome": outcome or reason,
            "organisation": request.organisation,
            "class": request.class_name,
            "backend_server": request.backend_server,
            "attempts": request.attempts,
            "output_tokens": request.output_tokens,
            "total_ms": _milliseconds(now - request.received),
        }
        fields.update(_fields_of(request.answer))
        if request.first_output is not None:
            elapsed = request.first_output - request.received
            fields["first_output_ms"] = _milliseconds(elapsed)
        if status is not None:
            # The caller gets a server's own error status rather than ours.
            fields["status"] = request.answered or status
        if reason not in SUCCESS_REASONS:
            fields["important"] = True
        self._line("request ended", request_id, **fields)


def _fields_of(received):
    """Return the fields of an ``events.AnswerReceived``, if there is one."""
    if received is None:
        return {}
    return {
        "answer_end": received.end,
        "through": received.through,
        "body_bytes": received.body_bytes,
        "whole_events": received.whole_events,
        "last_id": received.last_id,
    }


def _ends_request(effect):
    """Whether an effect is the decision that ends a request."""
    return (
        isinstance(effect, effects.Log)
        and effect.message == DECISION_MESSAGE
        and effect.fields["reason"] != DISPATCHED_REASON
    )


def is_covered_by_end_line(effect):
    """Whether the line ``request ended`` covers an effect's content.

    For a successful request the decision adds nothing that this line does not
    have, so it is left out: a third of all lines.
    """
    return _ends_request(effect) and effect.fields["reason"] in SUCCESS_REASONS


def _milliseconds(seconds):
    return round(seconds * 1000.0, 3)
