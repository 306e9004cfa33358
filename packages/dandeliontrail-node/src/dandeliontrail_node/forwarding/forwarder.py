"""Serves one request of a declared route, from its head to its answer.

A single greenlet asks the reducer which server to use, sends the request
there and relays the answer.  Three things can end the wait at any moment:
the deadline of the route, a caller that disconnects, and the shutdown of the
instance.

An attempt whose server falls silent is kept, and a hedged attempt at another
server may run beside it.  The first of them to produce output serves the
request; the others are closed then and no sooner.
"""

import contextlib
import random
import time

import gevent

from dandeliontrail.coordination import fingerprints
from dandeliontrail import effects
from dandeliontrail import events

from .. import problems
from .. import tokens
from .. import wsgi
from . import answer_parser
from . import attempt as attempt_module
from . import attempt_readers
from . import backend_request
from . import caller_watch
from . import exchange as exchange_module
from . import failed_attempts

# Headers that apply to a single connection (RFC 9110, section 7.6.1) or that
# this instance's HTTP server writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Forwarder:
    """Forwards one request and relays its answer."""

    def __init__(
        self, host, connections, dialect, incoming, body, sock, holds
    ):
        self._host = host
        self._holds = holds
        self._dialect = dialect
        self._incoming = incoming
        self._context = attempt_module.RequestContext(
            host, connections, dialect, incoming, body, holds
        )
        self._watch = caller_watch.CallerWatch(sock, self._ends_with_caller)
        self._exchange = exchange_module.Exchange(incoming.request_id)
        self._attempt = None
        self._fallback_output = None
        self._deadline = 0.0
        self._events_relayed = 0
        self._last_id = ""
        self._stack = contextlib.ExitStack()
        self._open = True

    # -- the caller's side ------------------------------------------------

    def serve(self, start_response):
        """Serve the request; return the WSGI iterable of the response.

        Whatever the request opens is closed with the iterable, or here if
        there is none: a timer left behind would end a later request on the
        same connection.
        """
        with contextlib.ExitStack() as unanswered:
            unanswered.callback(self._close)
            try:
                self._begin()
                body = self._start_answer(start_response, self._next_output())
            except BaseException as exc:
                problem = self._problem_after(exc)
                self._close()
                if problem is None:
                    raise
                return self._refuse(start_response, problem)
            unanswered.pop_all()
            return body

    def _start_answer(self, start_response, output):
        """Start the response with the head of an answer; return its body."""
        answer = output.answer
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        status = wsgi.status_line(answer.status)
        if output.events is None:
            headers.extend(self._length_headers(output))
            self._holds.deliver(output.hold)
            start_response(status, headers)
            return _Body((part for part in [output.body]), self._close)
        start_response(status, headers)
        return _Body(self._stream(output.events), self._abandon)

    def _length_headers(self, output):
        """Return the length of a body, to HEAD as the server declares it."""
        if output.answer.status in answer_parser.BODILESS_STATUSES:
            return []
        declared = output.answer.get("content-length")
        if self._incoming.method == "HEAD" and declared:
            return [("Content-Length", declared)]
        return [("Content-Length", str(len(output.body)))]

    def _begin(self):
        """Submit the request to the reducer and start the deadline timer.

        The deadline counts from the last byte of the request's head.
        """
        incoming = self._incoming
        host = self._host
        host.attach(self._exchange)
        self._stack.callback(host.detach, self._exchange, "forwarder")
        self._stack.enter_context(self._watch)
        host.submit(
            events.RoutedRequestReceived(
                incoming.request_id,
                incoming.host,
                incoming.target,
                tokens.hash_token(incoming.key) if incoming.key else "",
                incoming.timeout,
                incoming.model,
                incoming.parts,
                incoming.prompt_tokens,
                incoming.max_output_tokens,
                random.random(),
                fingerprints.of_content(
                    incoming.method, incoming.target, self._context.body
                ),
                incoming.resumes,
                bool(incoming.last_event_id),
            )
        )
        self._start_deadline_timer()

    def _ends_with_caller(self):
        life = self._host.request_lifecycle(self._incoming.request_id)
        return life is None or life.ends_with_caller

    def _start_deadline_timer(self):
        """Start the timer of the request's deadline, once that is known.

        A request that arrived before the instance had recovered its state
        has no deadline yet; the instance limits that wait separately.
        """
        life = self._host.request_lifecycle(self._incoming.request_id)
        if life is None or self._deadline:
            return
        seconds = life.work.deadline - self._host.clock.now()
        self._deadline = time.monotonic() + seconds
        timeout = gevent.Timeout(max(0.001, seconds), _Overdue)
        timeout.start()
        self._stack.callback(timeout.close)

    def _refuse(self, start_response, problem):
        headers = self._dialect.problem_headers(
            self._incoming.request_id, problem
        )
        body = wsgi.error_body(problem)
        return wsgi.reply(start_response, problem.status, body, headers)

    def _problem_after(self, exc):
        """Return the problem to answer with after ``exc``, or ``None``.

        The reducer is notified first, since it knows what may have run.
        """
        request_id = self._incoming.request_id
        if isinstance(exc, wsgi.Problem):
            return exc
        if isinstance(exc, exchange_module.CutOff):
            return exc.problem
        if isinstance(exc, _Overdue):
            return self._report_overdue()
        if isinstance(exc, caller_watch.CallerLeft):
            life = self._host.request_lifecycle(request_id)
            begun = life is None or life.attempts_begun > 0
            self._report_caller_left()
            return problems.caller_gone(request_id, begun)
        if isinstance(exc, gevent.GreenletExit):
            return None
        self._host.logger.error(
            "request failed",
            extra={"request_id": request_id},
            exc_info=exc,
        )
        return self._report_fault()

    def _report_fault(self):
        request_id = self._incoming.request_id
        self._host.submit(events.Overdue(request_id))
        return problems.internal_problem(request_id)

    def _report_overdue(self):
        life = self._host.request_lifecycle(self._incoming.request_id)
        begun = life is not None and life.attempts_begun > 0
        self._host.submit(events.Overdue(self._incoming.request_id))
        return problems.deadline(self._incoming.request_id, begun)

    def _report_caller_left(self):
        self._host.submit(events.CallerGone(self._incoming.request_id))

    def _close(self):
        if self._open:
            self._open = False
            self._stack.close()
            self._close_attempt()
            # Forwarder and watch refer to each other, so that the body would
            # stay until the next search for garbage.
            self._context.body = b""

    def _abandon(self):
        """Close a stream that has not ended by itself."""
        if self._open:
            self._report_caller_left()
            self._close()

    # -- attempts ---------------------------------------------------------

    def _next_output(self):
        """Return the next output, retrying at another server on failure.

        If a server answered with an error status and no other server can be
        tried, the caller gets that answer.
        """
        while True:
            if self._attempt is None and not self._next_attempt():
                return self._fallback_output
            output = self._read_output()
            if output is not None:
                return self._accept(output)

    def _next_attempt(self):
        """Wait for a dispatch and start its attempt.

        Returns false if the caller is to get ``_fallback_output``.  Any
        other refusal is raised as its problem; in the middle of a stream a
        stored answer cannot be used.
        """
        if self._watch.left:
            # It left during an attempt that had to be completed.
            raise caller_watch.CallerLeft()
        effect = self._next_item(attempt_readers.ReadResult, effects.Withdraw)
        if isinstance(effect, effects.Dispatch):
            self._start_deadline_timer()
            self._attempt = self._new_attempt(effect, effect.patience.first)
            return True
        if isinstance(effect, effects.Refuse) and (
            self._fallback_output is not None and not self._events_relayed
        ):
            return False
        raise self._problem_of(effect)

    def _next_item(self, *ignored_kinds):
        """Return the next item of the mailbox that is still relevant.

        Skips the types ``ignored_kinds`` and dispatches that no longer stand:
        an attempt may have been closed since the reducer or a reader put an
        item about it into the mailbox.
        """
        while True:
            item = self._exchange.get()
            if isinstance(item, effects.Dispatch) and (
                not self._host.is_current(item)
            ):
                continue
            if not isinstance(item, ignored_kinds):
                return item

    def _problem_of(self, effect):
        if isinstance(effect, effects.Refuse):
            return problems.problem_of(effect)
        # The reducer failed: the request may be in its state in any phase,
        # of which each of these events ends some.
        self._report_caller_left()
        return self._report_fault()

    def _new_attempt(self, dispatch, silence_timeout=None):
        return attempt_module.Attempt(
            self._context,
            dispatch,
            self._deadline,
            silence_timeout,
            self._last_id,
            resuming=self._events_relayed > 0,
        )

    def _read_output(self):
        """Return the attempt's next output, or ``None`` if it failed.

        A failure has then been reported to the reducer.
        """
        try:
            return self._next_output_unless_silent()
        except backend_request.Silent:
            return self._read_first_output(self._attempt)
        except attempt_module.Superseded:
            # The reducer has ended the request: ``CutOff`` is about to be
            # raised in this greenlet and ends the wait below.
            raise self._problem_of(
                self._next_item(attempt_readers.ReadResult, effects.Withdraw)
            )
        except failed_attempts.FAILURES as exc:
            self._report_failure(self._attempt, exc)
            self._attempt = None
        return None

    def _next_output_unless_silent(self):
        """Return the attempt's next output; raises ``Silent``."""
        while True:
            try:
                return self._attempt.next_output()
            except backend_request.Silent:
                if self._attempt.is_silent():
                    raise

    def _read_first_output(self, silent_attempt):
        """Read a silent attempt and its hedged attempts concurrently.

        Returns the first output of any, or ``None`` if all failed.
        """
        silent_attempt.set_silence_timeout(None)
        pending = {silent_attempt.number: silent_attempt}
        with attempt_readers.AttemptReaders(self._exchange) as readers:
            readers.read(silent_attempt)
            self._submit(
                events.AttemptSilent,
                silent_attempt,
                unstreamed=silent_attempt.is_unstreamed,
            )
            while pending:
                item = self._next_item()
                if isinstance(item, attempt_readers.ReadResult):
                    output = self._output_of(item, pending)
                    if output is not None:
                        return output
                elif isinstance(item, effects.Dispatch):
                    self._start_hedge(item, pending, readers)
                elif isinstance(item, effects.Withdraw):
                    self._withdraw(item, pending)
                else:
                    raise self._problem_of(item)
        self._attempt = None
        return None

    def _start_hedge(self, dispatch, pending, readers):
        """Start a hedged attempt at another server."""
        attempt = self._new_attempt(dispatch)
        pending[attempt.number] = attempt
        self._stack.callback(attempt.close)
        readers.read(attempt)

    def _withdraw(self, withdraw, pending):
        attempt = pending.pop(withdraw.attempt, None)
        if attempt is not None:
            attempt.close()

    def _output_of(self, result, pending):
        """Return the output in ``result`` and close the other attempts.

        Returns ``None`` if the attempt failed or had been closed before.
        """
        attempt = result.attempt
        if pending.pop(attempt.number, None) is None:
            return None
        if isinstance(result.error, attempt_module.Superseded):
            return None
        if result.error is not None:
            if not isinstance(result.error, failed_attempts.FAILURES):
                raise result.error
            self._report_failure(attempt, result.error)
            return None
        self._submit(events.AttemptSpoke, attempt)
        for other in pending.values():
            other.close()
        self._attempt = attempt
        return result.output

    def _accept(self, output):
        """Record an output that is about to be relayed, and return it."""
        attempt = self._attempt
        if not attempt.has_output and output.events != b"":
            # Reported once per attempt: its engine has read the prompt.
            attempt.has_output = True
            self._check_joins(attempt)
            self._submit(
                events.FirstOutput, attempt, is_event=bool(output.events)
            )
        if output.events is None:
            self._report_finished(0)
        elif output.events:
            self._events_relayed += 1
            self._last_id = attempt.last_id
            attempt.set_silence_timeout(attempt.dispatch.patience.between)
        return output

    def _check_joins(self, attempt):
        """Check that the caller may get events of this attempt."""
        life = self._host.request_lifecycle(self._incoming.request_id)
        if life is not None:
            life.check_joins(attempt.number)

    def _report_failure(self, attempt, exc):
        """Close an attempt and report to the reducer how it failed."""
        attempt.close()
        if isinstance(exc, attempt_module.ServerFailed):
            self._submit(events.FirstOutput, attempt)
            self._fallback_output = exc.output
        self._host.submit(
            failed_attempts.event_of(
                exc, self._incoming.request_id, attempt, self._events_relayed
            )
        )

    def _submit(self, event_type, attempt, **fields):
        request_id = self._incoming.request_id
        self._host.submit(event_type(request_id, attempt.number, **fields))

    def _report_finished(self, output_tokens):
        self._submit(
            events.AnswerFinished,
            self._attempt,
            prompt_tokens=self._incoming.prompt_tokens,
            output_tokens=output_tokens,
            idle_seconds=self._attempt.idle_seconds,
            received=self._attempt.received(),
        )

    def _close_attempt(self):
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.close()

    # -- streams ----------------------------------------------------------

    def _stream(self, data):
        """Relay events until the stream ends, over several servers if needed.

        A stream that cannot be completed must not look complete to the
        caller: its connection is closed without the terminating chunk.
        """
        try:
            while data:
                yield data
                data = self._next_output().events
            self._report_finished(self._events_relayed)
        except GeneratorExit:
            self._report_caller_left()
            raise
        except BaseException as exc:
            self._problem_after(exc)
            raise wsgi.Aborted() from exc
        finally:
            self._close()


class _Body:
    """The WSGI iterable of a body, which the server closes in any case.

    The request stays in flight until then.  A generator alone would close
    nothing if the server had not begun to read it.
    """

    __slots__ = ("_parts", "_on_close")

    def __init__(self, parts, on_close):
        self._parts = parts
        self._on_close = on_close

    def __iter__(self):
        return self._parts

    def close(self):
        """Close the generator of the parts and what the request opened."""
        self._parts.close()
        self._on_close()


class _Overdue(wsgi.Aborted):
    """The deadline of the request passed."""
