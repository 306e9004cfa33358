"""Relays the answer of one request to its caller.

It takes items from the request's channel and writes them to the caller. While
none are available it checks whether the caller is still connected and whether
its deadline has passed.
"""

import select
import time

import gevent
from gevent import monkey
from gevent import queue

from dandeliontrail.components import answers
from dandeliontrail import events
from dandeliontrail import sentinels

from . import channel as channel_module
from . import exchange as exchange_module
from . import problems
from . import worker as worker_module
from . import wsgi

# The longest time until a caller's disconnect or a passed deadline is
# detected.
CHECK_INTERVAL_SECONDS = 0.5
# The peer closed its sending side (RDHUP), or the connection was reset.
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RETRY_AFTER_SECONDS = 1.0
# gevent's ``poll`` supports only readable and writable events. The original
# one does not block here, since it is called with a timeout of 0.
_new_poll = monkey.get_original("select", "poll")


class CallerLeft(Exception):
    """The caller closed its connection."""


class Relay:
    """Relays one answer to its caller."""

    def __init__(self, host, worker, exchange, event, caller, holds):
        self._host = host
        self._holds = holds
        self._worker = worker
        self._exchange = exchange
        self._channel = exchange.channel
        self._event = event
        self._caller = caller
        self._started = time.monotonic()

    def run(self, start_response):
        """Start the request and return the WSGI response iterable."""
        self._host.attach(self._exchange)
        self._exchange.worker = gevent.spawn(self._worker.run)
        try:
            head = self._next_item()
            return self._start_answer(start_response, head)
        except CallerLeft:
            self._report_caller_gone()
            raise problems.caller_gone(self._event.request_id, begun=True)
        except BaseException:
            # Also of a head that cannot be written.
            self._report_caller_gone()
            raise

    def _start_answer(self, start_response, head):
        """Start the response with the head of an answer; return its body."""
        if head.body is not None:
            self._channel.close_reader()
            for hold in self._exchange.holds:
                self._holds.deliver(hold)
            body = wsgi.reply(
                start_response, head.status, head.body, head.headers
            )
            return _TrackedBody(body, self._close)
        start_response(wsgi.status_line(head.status), head.headers)
        return self._stream()

    def _stream(self):
        ended = False
        try:
            item = self._next_item()
            while item is not channel_module.END:
                yield item
                item = self._next_item()
            ended = True
        except wsgi.Problem as problem:
            ended = True
            yield b"data: " + wsgi.error_body(problem) + b"\n\n"
        except CallerLeft as exc:
            # A caller that has only ended its sending side reads on.
            raise wsgi.Aborted() from exc
        finally:
            if not ended:
                self._report_caller_gone()
            self._close()

    def _next_item(self):
        """Return the next item; raises the problem of a ``Failure``."""
        while True:
            try:
                item = self._channel.get(CHECK_INTERVAL_SECONDS)
                self._check_deadline()
                break
            except queue.Empty:
                self._check_caller()
        if isinstance(item, channel_module.Failure):
            raise item.problem
        return item

    def _check_caller(self):
        if is_disconnected(self._caller):
            raise CallerLeft()
        self._check_deadline()

    def _check_deadline(self):
        if self._is_overdue():
            self._host.submit(events.Overdue(self._event.request_id))
            raise self._deadline_problem()

    def _is_overdue(self):
        """Whether the caller's own timeout has passed.

        A stream that started in time is cut off only if its caller set a
        timeout: otherwise a slow stream is not an error.
        """
        timeout = self._event.timeout
        if timeout is None:
            return False
        # The queue's own deadline check runs first, since it can tell that the
        # request did not run; hence the added time.
        elapsed = time.monotonic() - self._started
        return elapsed > timeout + 2 * CHECK_INTERVAL_SECONDS

    def _deadline_problem(self):
        sentinel = sentinels.Nothing(
            sentinels.Reason.DEADLINE, RETRY_AFTER_SECONDS
        )
        refusal = answers.refusal(self._event.request_id, sentinel, begun=True)
        return problems.problem_of(refusal)

    def _report_caller_gone(self):
        """Report that the caller has left; the reducer decides the rest."""
        self._close()
        self._host.submit(events.CallerGone(self._event.request_id))

    def _close(self):
        """Detach the caller: everything it was to receive is written."""
        self._channel.close_reader()
        self._host.detach(self._exchange, "caller")


class _TrackedBody:
    """A response body that calls ``on_close`` when written or given up.

    The request counts as in flight until then: a drain that ended earlier
    would cut off the end of the response to a slow caller.
    """

    def __init__(self, body, on_close):
        self._body = body
        self.close = on_close

    def __iter__(self):
        return iter(self._body)


def serve(host, engines, limits, event, call, environ, start_response):
    """Serve one request of a caller and return the response iterable."""
    caller = environ.get(wsgi.SOCKET)
    exchange = exchange_module.Exchange(event.request_id)
    worker = worker_module.Worker(host, engines, limits, event, call, exchange)
    relay = Relay(host, worker, exchange, event, caller, environ[wsgi.HOLDS])
    return relay.run(start_response)


def is_disconnected(sock):
    """Whether the peer of a connection has closed it."""
    if sock is None:
        return False
    poll = _new_poll()
    try:
        poll.register(sock.fileno(), HANGUP_EVENTS)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


__all__ = ["Relay", "serve"]
