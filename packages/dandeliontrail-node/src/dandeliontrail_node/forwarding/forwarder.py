"""Serves one request of a declared route, from its head to its answer.

One greenlet does it all: it asks the reducer where the request may go, sends
it there, and passes the answer on.  Three things can end the wait at any
moment: the deadline of the route, a caller that leaves, and the end of the
instance.

A server that falls silent keeps its attempt.  Beside it another server may be
asked; whichever speaks first has the request, and the other is let go then
and no sooner.
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
from . import attempt as attempt_module
from . import caller_watch
from . import events_splitter
from . import exchange as exchange_module
from . import readers as readers_module
from . import upstream as upstream_module

# Headers that concern one connection only (RFC 9110, section 7.6.1) or that
# the server of the caller writes itself.
HOP_HEADERS = frozenset(
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


# How an attempt fails; the reducer decides what becomes of the request.
FAILURES = (
    upstream_module.NotSent,
    upstream_module.Broken,
    attempt_module.NotExecuted,
    attempt_module.ServerFailed,
    events_splitter.EventTooLong,
)


class Forwarder:
    """One request and its answer."""

    def __init__(self, host, connections, dialect, incoming, body, sock):
        self._host = host
        self._dialect = dialect
        self._incoming = incoming
        self._sending = attempt_module.Sending(
            host, connections, dialect, incoming, body
        )
        self._sock = sock
        self._exchange = exchange_module.Exchange(incoming.request_id)
        self._attempt = None
        self._kept = None
        self._deadline = 0.0
        self._events_passed = 0
        self._last_id = ""
        self._stack = contextlib.ExitStack()
        self._open = True

    # -- the caller's side ------------------------------------------------

    def serve(self, start_response):
        """Return the reply's iterable."""
        try:
            self._begin()
            output = self._next_output()
        except BaseException as exc:
            problem = self._ended_by(exc)
            self._close()
            if problem is None:
                raise
            return self._refuse(start_response, problem)
        answer = output.answer
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in HOP_HEADERS
        ]
        status = wsgi.status_line(answer.status)
        if output.events is None:
            headers.append(("Content-Length", str(len(output.body))))
            start_response(status, headers)
            return _Written(output.body, self._close)
        start_response(status, headers)
        return self._stream(output.events)

    def _begin(self):
        """Submit the request; it counts from the last byte of its head."""
        incoming = self._incoming
        host = self._host
        host.attach(self._exchange)
        self._stack.callback(host.detach, self._exchange, "forwarder")
        self._stack.enter_context(caller_watch.CallerWatch(self._sock))
        host.submit(
            events.RoutedRequestReceived(
                incoming.request_id,
                incoming.host,
                incoming.target,
                tokens.hash_of(incoming.key) if incoming.key else "",
                incoming.timeout,
                incoming.model,
                incoming.parts,
                incoming.prompt_tokens,
                incoming.max_output_tokens,
                random.random(),
                fingerprints.of_content(
                    incoming.method, incoming.target, self._sending.body
                ),
            )
        )
        self._limit()

    def _limit(self):
        """End the wait at the deadline of the request, once it is known.

        A request that came before the instance had its state has none yet;
        the instance itself bounds how long it waits so.
        """
        life = self._host.life(self._incoming.request_id)
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

    def _ended_by(self, exc):
        """Return what the caller is told after ``exc``, or ``None``.

        The reducer learns of it first, since it knows what may have run.
        """
        request_id = self._incoming.request_id
        if isinstance(exc, wsgi.Problem):
            return exc
        if isinstance(exc, exchange_module.CutOff):
            return exc.problem
        if isinstance(exc, _Overdue):
            return self._overdue()
        if isinstance(exc, caller_watch.CallerLeft):
            self._caller_left()
            return problems.caller_gone(request_id)
        if isinstance(exc, gevent.GreenletExit):
            return None
        self._host.logger.error(
            "request failed",
            extra={"request_id": request_id},
            exc_info=exc,
        )
        self._host.submit(events.Overdue(request_id))
        return problems.internal_problem(request_id)

    def _overdue(self):
        life = self._host.life(self._incoming.request_id)
        begun = life is not None and life.begun > 0
        self._host.submit(events.Overdue(self._incoming.request_id))
        return problems.deadline(self._incoming.request_id, begun)

    def _caller_left(self):
        self._host.submit(events.CallerGone(self._incoming.request_id))

    def _close(self):
        if self._open:
            self._open = False
            self._stack.close()
            self._let_go()

    # -- attempts ---------------------------------------------------------

    def _next_output(self):
        """Return the next output, of another server where one failed.

        Where a server answered with a failure of its own and there is no
        going elsewhere, that answer is the caller's.
        """
        while True:
            if self._attempt is None and not self._next_attempt():
                return self._kept
            output = self._read()
            if output is not None:
                return self._accepted(output)

    def _next_attempt(self):
        """Wait for where to go; return false where the caller gets ``_kept``.

        A refusal is raised as its problem.  In the middle of a stream a kept
        answer is of no use.
        """
        effect = self._next_item(readers_module.Heard, effects.Withdraw)
        if isinstance(effect, effects.Dispatch):
            self._limit()
            self._attempt = self._attempt_of(effect, effect.patience.first)
            return True
        if isinstance(effect, effects.Refuse) and (
            self._kept is not None and not self._events_passed
        ):
            return False
        raise self._problem_of(effect)

    def _next_item(self, *out_of_date):
        """Return what is next in the mailbox, but for what is out of date.

        Attempts may have been let go since the reducer or a reader put in
        something about them.
        """
        while True:
            item = self._exchange.get()
            if isinstance(item, effects.Dispatch) and (
                not self._host.is_current(item)
            ):
                continue
            if not isinstance(item, out_of_date):
                return item

    def _problem_of(self, effect):
        if isinstance(effect, effects.Refuse):
            return problems.problem_of(effect)
        return problems.internal_problem(self._incoming.request_id)

    def _attempt_of(self, dispatch, patience=None):
        return attempt_module.Attempt(
            self._sending,
            dispatch,
            self._deadline,
            patience,
            self._last_id,
            resuming=self._events_passed > 0,
        )

    def _read(self):
        """Return an output, ``None`` where the attempt failed.

        The reducer has been told by then how it failed.
        """
        try:
            return self._attempt.next()
        except upstream_module.Silent:
            return self._heard_first(self._attempt)
        except attempt_module.Superseded:
            # ``CutOff`` is on its way and ends this wait.
            raise self._problem_of(
                self._next_item(readers_module.Heard, effects.Withdraw)
            )
        except FAILURES as exc:
            self._failed(self._attempt, exc)
            self._attempt = None
        return None

    def _heard_first(self, silent):
        """Wait for a silent server, and for another one beside it.

        Returns the first output of either, or ``None`` where both failed.
        """
        silent.be_patient(None)
        waited_for = {silent.number: silent}
        with readers_module.Readers(self._exchange) as readers:
            readers.read(silent)
            self._submit(events.AttemptSilent, silent)
            while waited_for:
                item = self._next_item()
                if isinstance(item, readers_module.Heard):
                    output = self._heard(item, waited_for)
                    if output is not None:
                        return output
                elif isinstance(item, effects.Dispatch):
                    self._hedge(item, waited_for, readers)
                elif isinstance(item, effects.Withdraw):
                    self._withdraw(item, waited_for)
                else:
                    raise self._problem_of(item)
        self._attempt = None
        return None

    def _hedge(self, dispatch, waited_for, readers):
        """Ask another server, beside the silent one."""
        attempt = self._attempt_of(dispatch)
        waited_for[attempt.number] = attempt
        self._stack.callback(attempt.close)
        readers.read(attempt)

    def _withdraw(self, withdraw, waited_for):
        attempt = waited_for.pop(withdraw.attempt, None)
        if attempt is not None:
            attempt.close()

    def _heard(self, heard, waited_for):
        """Return the output of an attempt; the others are let go.

        ``None`` where it failed, or had been let go before.
        """
        attempt = heard.attempt
        if waited_for.pop(attempt.number, None) is None:
            return None
        if isinstance(heard.error, attempt_module.Superseded):
            return None
        if heard.error is not None:
            if not isinstance(heard.error, FAILURES):
                raise heard.error
            self._failed(attempt, heard.error)
            return None
        self._submit(events.AttemptSpoke, attempt)
        for other in waited_for.values():
            other.close()
        self._attempt = attempt
        return heard.output

    def _accepted(self, output):
        """Take an output as the caller's."""
        attempt = self._attempt
        if not attempt.spoke and output.events != b"":
            # Of each attempt: this engine has read the prompt.
            attempt.spoke = True
            self._submit(events.FirstOutput, attempt)
        if output.events is None:
            self._finished(0)
        elif output.events:
            self._events_passed += 1
            self._last_id = attempt.last_id
            attempt.be_patient(attempt.dispatch.patience.between)
        return output

    def _failed(self, attempt, exc):
        """Tell the reducer how an attempt failed, and let go of it."""
        attempt.close()
        if isinstance(exc, upstream_module.NotSent):
            self._submit(
                events.NotBegun, attempt, server_said=False, detail=str(exc)
            )
            return
        if isinstance(exc, attempt_module.NotExecuted):
            self._submit(
                events.NotBegun,
                attempt,
                server_said=True,
                detail=str(exc),
                gone=exc.gone,
            )
            return
        answered = 0
        if isinstance(exc, attempt_module.ServerFailed):
            self._submit(events.FirstOutput, attempt)
            self._kept = exc.output
            answered = exc.output.answer.status
        self._submit(
            events.AttemptFailed,
            attempt,
            relayed=self._events_passed,
            detail=str(exc),
            answered=answered,
            closed=getattr(exc, "closed", False),
        )

    def _submit(self, kind, attempt, **fields):
        request_id = self._incoming.request_id
        self._host.submit(kind(request_id, attempt.number, **fields))

    def _finished(self, output_tokens):
        self._submit(
            events.AnswerFinished,
            self._attempt,
            prompt_tokens=self._incoming.prompt_tokens,
            output_tokens=output_tokens,
        )

    def _let_go(self):
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.close()

    # -- streams ----------------------------------------------------------

    def _stream(self, data):
        """Pass on events until the proper end, over several servers if so.

        An answer that cannot be finished must not look finished: the
        connection is closed without the end of the chunked body.
        """
        try:
            while data:
                yield data
                data = self._next_output().events
            self._finished(self._events_passed)
        except GeneratorExit:
            self._caller_left()
            raise
        except BaseException as exc:
            self._ended_by(exc)
            raise wsgi.Aborted() from exc
        finally:
            self._close()


class _Written:
    """A whole body; the request is in flight until it has been written."""

    __slots__ = ("_body", "close")

    def __init__(self, body, close):
        self._body = body
        self.close = close

    def __iter__(self):
        yield self._body


class _Overdue(wsgi.Aborted):
    """The deadline passed."""
