"""Decides how long a retry may still arrive at a server.

A network partition, or a server that reads late, holds back what was sent
before and delivers it afterwards, at once.  A first attempt that arrives after
its retry is then the repeat.  Without regard to that, the retries of one
window would arrive together with those of the next one.

An attempt has arrived once the server answers it or its connection ends, and
will not arrive if no connection was opened.  One that is given up without a
byte of an answer is in doubt: its connection is reset, which drops what was
not sent, but the network may hold the rest.  The doubt ends once the server
answers an attempt that was sent later, or has restarted.
"""

import msgspec

# The kernel gives up after 10 s without an acknowledgement, the longest time
# for which data that was sent can be held back without the connection ending.
MAX_DOUBT_SECONDS = 12.0
# How often doubts are looked at.
CHECK_INTERVAL_SECONDS = 0.1


class _Doubt(msgspec.Struct):
    """An attempt at ``server`` that was given up at ``since``.

    ``server_state`` is that of the incarnation that got it.
    """

    server: str
    server_state: object
    since: float


class _Request(msgspec.Struct):
    """A request with ``repeats``, and its attempts that are in doubt."""

    repeats: list
    doubts: list = msgspec.field(default_factory=list)


class UnsettledRepeats:
    """The retries that may still arrive, of one instance.

    ``budget`` is the :class:`.retry_budget.RetryBudget` that counts them,
    ``attempts`` the outstanding :class:`.attempts.Attempts` and ``table`` the
    state of the servers.
    """

    def __init__(self, budget, attempts, table):
        self._budget = budget
        self._attempts = attempts
        self._table = table
        self._requests = {}
        # When the latest attempt was sent that a server has answered.
        self._answered = {}
        self._next_check = float("-inf")

    def begin(self, request_id, repeat):
        """Track a repeat of a request, whose attempts are outstanding."""
        request = self._requests.get(request_id)
        if request is None:
            request = self._requests[request_id] = _Request([])
        request.repeats.append(repeat)

    def record_ended(self, attempt):
        """Record that the connection of an attempt has ended."""
        attempt.arrived = True

    def record_answer(self, attempt):
        """Record that a server answered an attempt."""
        attempt.arrived = True
        name = attempt.server
        before = self._answered.get(name, float("-inf"))
        self._answered[name] = max(before, attempt.placed_at)

    def record_given_up(self, request_id, attempt, now):
        """Record that an attempt was given up without an answer."""
        request = self._requests.get(request_id)
        if request is not None and not attempt.arrived:
            request.doubts.append(
                _Doubt(attempt.server, attempt.server_state, now)
            )

    def forget_server(self, name):
        """Drop what is known of a server that is gone."""
        self._answered.pop(name, None)

    def settle(self, now):
        """Settle the repeats that cannot arrive any more."""
        if now < self._next_check or not self._requests:
            return
        self._next_check = now + CHECK_INTERVAL_SECONDS
        for request_id, request in list(self._requests.items()):
            if self._may_arrive(request_id, request, now):
                continue
            del self._requests[request_id]
            for repeat in request.repeats:
                self._budget.settle(repeat, now)

    def _may_arrive(self, request_id, request, now):
        if any(
            not attempt.arrived for attempt in self._attempts.of(request_id)
        ):
            return True
        request.doubts = [
            doubt for doubt in request.doubts if self._is_held(doubt, now)
        ]
        return bool(request.doubts)

    def _is_held(self, doubt, now):
        """Return whether an attempt in doubt may still be held back."""
        if now >= doubt.since + MAX_DOUBT_SECONDS:
            return False
        if self._table.server(doubt.server) is not doubt.server_state:
            return False
        return self._answered.get(doubt.server, float("-inf")) <= doubt.since
