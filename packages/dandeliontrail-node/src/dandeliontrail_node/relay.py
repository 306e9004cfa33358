"""The caller side of a request: answers one caller.

It takes what the engine side hands over and writes it out.  In the pauses
it looks whether the caller is still there and whether its time is up.
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

# How long a caller that left, or an overdue request, goes unnoticed.
LOOK_SECONDS = 0.5
# The far end closed its half (RDHUP), or the connection was reset.
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RETRY_AFTER = 1.0
# gevent's own knows only readable and writable; this one never blocks here.
_poll = monkey.get_original("select", "poll")


class CallerLeft(Exception):
    """The caller closed its connection."""


class Relay:
    """Carries one answer to its caller."""

    def __init__(self, host, worker, exchange, event, caller):
        self._host = host
        self._worker = worker
        self._exchange = exchange
        self._channel = exchange.channel
        self._event = event
        self._caller = caller
        self._started = time.monotonic()
        self._begun = False

    def run(self, start_response):
        """Return the reply's iterable."""
        self._host.attach(self._exchange)
        self._exchange.worker = gevent.spawn(self._worker.run)
        try:
            head = self._next()
        except CallerLeft:
            self._leave()
            raise problems.caller_gone(self._event.request_id)
        except BaseException:
            self._leave()
            raise
        self._begun = True
        if head.body is not None:
            self._channel.leave()
            body = wsgi.reply(
                start_response, head.status, head.body, head.headers
            )
            return _Written(body, self._close)
        start_response(wsgi.status_line(head.status), head.headers)
        return self._stream()

    def _stream(self):
        ended = False
        try:
            item = self._next()
            while item is not channel_module.END:
                yield item
                item = self._next()
            ended = True
        except wsgi.Problem as problem:
            ended = True
            yield b"data: " + wsgi.error_body(problem) + b"\n\n"
        except CallerLeft:
            return
        finally:
            if not ended:
                self._leave()
            self._close()

    def _next(self):
        """Return the next item; a failure is raised as its problem."""
        while True:
            try:
                item = self._channel.get(LOOK_SECONDS)
                self._check_time()
                break
            except queue.Empty:
                self._look()
        if isinstance(item, channel_module.Failure):
            raise item.problem
        return item

    def _look(self):
        if is_gone(self._caller):
            raise CallerLeft()
        self._check_time()

    def _check_time(self):
        if self._overdue():
            self._host.submit(events.Overdue(self._event.request_id))
            raise self._deadline_problem()

    def _overdue(self):
        """Tell whether the caller's own deadline has passed.

        A stream that came to life in time is cut only where its caller set
        a limit: without one, slow is no fault.
        """
        timeout = self._event.timeout
        if timeout is None:
            return False
        # The queue's own check comes first and knows what did not run.
        passed = time.monotonic() - self._started
        return passed > timeout + 2 * LOOK_SECONDS

    def _deadline_problem(self):
        nothing = sentinels.Nothing(sentinels.Reason.DEADLINE, RETRY_AFTER)
        refusal = answers.refusal(self._event.request_id, nothing, begun=True)
        return problems.problem_of(refusal)

    def _leave(self):
        """Say that this caller waits no more; the reducer knows the rest."""
        self._close()
        self._host.submit(events.CallerGone(self._event.request_id))

    def _close(self):
        """End the caller's side: all that it was to get is written."""
        self._channel.leave()
        self._host.detach(self._exchange, "caller")


class _Written:
    """A reply's body that says when it has been written, or given up.

    Until then the request is in flight: a drain that ended sooner would
    cut the last bytes of a slow caller's answer.
    """

    def __init__(self, body, on_close):
        self._body = body
        self.close = on_close

    def __iter__(self):
        return iter(self._body)


def serve(host, engines, limits, event, call, caller, start_response):
    """Serve one request of a caller and return the reply's iterable."""
    exchange = exchange_module.Exchange(event.request_id)
    worker = worker_module.Worker(host, engines, limits, event, call, exchange)
    relay = Relay(host, worker, exchange, event, caller)
    return relay.run(start_response)


def is_gone(sock):
    """Tell whether the far end of a connection has closed it."""
    if sock is None:
        return False
    poll = _poll()
    try:
        poll.register(sock.fileno(), GONE)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


__all__ = ["Relay", "serve"]
