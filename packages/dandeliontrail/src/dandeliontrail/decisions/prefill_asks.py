"""What an instance asks the holders of prefill queues for.

A long prompt is sent to an engine once the holder of the engine's prefill
queue has granted it.  Asks are identified by numbers and renewed until their
end has been sent, so that lost, late and duplicated messages do no harm.
"""

import collections

import msgspec

from ..coordination import prefill_messages
from . import holder_silence

# How often what waits, or was granted and is not prefilled, is asked for
# again.  Holders drop what was not renewed for three times as long.
RENEWAL_SECONDS = 0.5
# An ask without an answer is repeated after this long, and an end of a granted
# prompt once.  Otherwise each lost ask would make its holder silent, and each
# lost end would keep an engine waiting until the holder drops the prompt.
REPEAT_SECONDS = 0.05
# For how long the tokens that a holder returned replace those in reports.
BACKLOG_TTL_SECONDS = 0.3
# For how long the pace that a holder returned replaces the reported one: a few
# renewals.
PACE_TTL_SECONDS = 2.0
# An instance that has not looked for answers for this long was frozen: what
# its holders have sent meanwhile is not read yet.
FREEZE_SECONDS = 1.0


class Ask(msgspec.Struct, eq=False):
    """One prompt that was asked for at one engine; times on this clock.

    ``made_at`` is when it was asked for and ``sent_at`` when that was last
    sent, ``unanswered_since`` is when the first message was sent that has had
    no answer yet.  ``ahead`` and ``pace`` are from the last answer while it
    waits, ``ahead`` is ``None`` until then.  ``is_used`` is true once the
    prompt has been sent to the engine.  ``next_search`` is when a further
    engine is looked for, if this is the last ask of its request.
    """

    number: int
    server: str
    epoch: int
    tokens: int
    work: object
    made_at: float
    sent_at: float | None = None
    unanswered_since: float | None = None
    ahead: int | None = None
    pace: int = 1
    is_granted: bool = False
    is_used: bool = False
    next_search: float = 0.0

    def wait_seconds(self):
        """Return the expected wait for a grant, or ``None`` if unknown."""
        return None if self.ahead is None else self.ahead / self.pace

    def message(self, now):
        """Return the message that asks for the prompt, or renews it."""
        work = self.work
        target = work.deadline - work.received
        if work.first_token_ms is not None:
            target = work.first_token_ms / 1000.0
        waited = now - work.received
        return prefill_messages.PrefillAsk(
            self.server,
            self.epoch,
            self.number,
            self.tokens,
            work.route_priority,
            work.organisation,
            waited,
            target - waited,
            self.is_used,
        )


class RepeatedEnd(msgspec.Struct):
    """An end that is sent once more at ``due``."""

    due: float
    end: prefill_messages.PrefillEnd


class Queue(msgspec.Struct):
    """What the holder of an engine's queue last answered, and when."""

    answered_at: float
    backlog: int
    pace: int


class PrefillAsks:
    """The asks of one instance, until their prompts are prefilled.

    ``held_paces`` maps the engines whose queues this instance holds to their
    measured paces in tokens per second; its owner is the component that holds
    the queues.  ``asks_made``, ``grants_used``, ``unheld`` (answers without a
    holder) and ``placed_unheld`` (prompts placed without one) are counts for
    metrics.
    """

    __slots__ = (
        "held_paces",
        "silence",
        "asks_made",
        "grants_used",
        "unheld",
        "placed_unheld",
        "_last_number",
        "_by_number",
        "_by_request",
        "_asked_tokens",
        "_unanswered_tokens",
        "_checked_at",
        "_ends",
        "_repeated_ends",
        "_queues",
    )

    def __init__(self):
        self.held_paces = {}
        self.silence = holder_silence.HolderSilence()
        self.asks_made = 0
        self.grants_used = 0
        self.unheld = 0
        self.placed_unheld = 0
        self._last_number = 0
        self._by_number = {}
        self._by_request = {}
        # The tokens of the asks whose prompts were not sent, by server.
        self._asked_tokens = collections.Counter()
        # Those of them that no holder has answered.
        self._unanswered_tokens = collections.Counter()
        self._checked_at = float("-inf")
        self._ends = []
        self._repeated_ends = collections.deque()
        self._queues = {}

    # -- the life cycle of a prompt -----------------------------------------

    def begin(self, work, server, epoch, tokens, now):
        """Ask for a prompt of which a server has to prefill ``tokens``."""
        self.asks_made += 1
        return self._add(work, server, epoch, tokens, now)

    def record_unheld(self, work, server, epoch, tokens, now):
        """Record a prompt that was sent while the holder seemed silent.

        The holder is told, as it may be alive: it would else grant others
        room that this prompt takes.
        """
        ask = self._add(work, server, epoch, tokens, now)
        self.placed_unheld += 1
        self._count_as_sent(ask)
        ask.is_granted = ask.is_used = True

    def _add(self, work, server, epoch, tokens, now):
        self._last_number += 1
        ask = Ask(self._last_number, server, epoch, int(tokens), work, now)
        self._by_number[ask.number] = ask
        self._by_request.setdefault(work.request_id, []).append(ask)
        self._asked_tokens[server] += ask.tokens
        self._unanswered_tokens[server] += ask.tokens
        return ask

    def of(self, request_id):
        """Return the asks of a request."""
        return self._by_request.get(request_id, ())

    def granted(self, request_id):
        """Return the server that was granted first, or ``None``."""
        for ask in self.of(request_id):
            if ask.is_granted and not ask.is_used:
                return ask.server
        return None

    def take(self, request_id, server, now):
        """Use the grant of a server; end the asks at other servers.

        Returns the ask.
        """
        used = None
        for ask in list(self.of(request_id)):
            if used is None and ask.is_granted and ask.server == server:
                used = ask
                self._count_as_sent(ask)
            else:
                self._end(ask, prefilled=False)
        used.is_used = True
        self.grants_used += 1
        return used

    def withdraw(self, request_id):
        """End all asks of a request."""
        for ask in list(self.of(request_id)):
            self._end(ask, prefilled=False)

    def withdraw_at(self, request_id, server):
        """End the asks of a request at one server."""
        for ask in list(self.of(request_id)):
            if ask.server == server:
                self._end(ask, prefilled=False)

    def prefilled(self, request_id, server, now):
        """Record that a server has prefilled the prompt of a request."""
        self._end_used(request_id, server, prefilled=True)

    def ended(self, request_id, server, now):
        """Record that an attempt has ended, perhaps before its prefill."""
        self._end_used(request_id, server, prefilled=False)

    def _end_used(self, request_id, server, prefilled):
        for ask in list(self.of(request_id)):
            if ask.is_used and ask.server == server:
                self._end(ask, prefilled)

    def _end(self, ask, prefilled):
        self._remove(ask)
        if ask.sent_at is not None:
            end = prefill_messages.PrefillEnd(
                ask.server, ask.number, prefilled
            )
            self._ends.append((end, ask.is_granted))

    def _remove(self, ask):
        del self._by_number[ask.number]
        asks = self._by_request[ask.work.request_id]
        asks.remove(ask)
        if not asks:
            del self._by_request[ask.work.request_id]
        if ask.ahead is None:
            self._unanswered_tokens[ask.server] -= ask.tokens
        if not ask.is_used:
            self._count_as_sent(ask)

    def _count_as_sent(self, ask):
        self._asked_tokens[ask.server] -= ask.tokens
        if not self._asked_tokens[ask.server]:
            del self._asked_tokens[ask.server]

    def forget_server(self, server):
        """Drop what was asked of a server that is gone or has restarted.

        Its holder drops the queue too, so no ends are sent.
        """
        for ask in list(self._by_number.values()):
            if ask.server == server:
                self._remove(ask)
        self._ends = [item for item in self._ends if item[0].server != server]
        self._queues.pop(server, None)
        self._unanswered_tokens.pop(server, None)
        self.silence.forget(server)

    # -- exchange with the holders ------------------------------------------

    def due(self, now):
        """Return the asks, renewals and ends to send, by server."""
        self.check_silence(now)
        messages = {}
        for ask in self._by_number.values():
            if self._is_due(ask, now):
                message = self._message_to(messages, ask.server)
                message.asks.append(self._send(ask, now))
        for end in self._take_ends(now):
            self._message_to(messages, end.server).ends.append(end)
        return messages

    @staticmethod
    def _is_due(ask, now):
        if ask.sent_at is None:
            return True
        is_answered = ask.unanswered_since is None
        interval = RENEWAL_SECONDS if is_answered else REPEAT_SECONDS
        return now >= ask.sent_at + interval

    def _take_ends(self, now):
        """Return the new ends and those that are repeated now."""
        ends = []
        repeated = self._repeated_ends
        while repeated and now >= repeated[0].due:
            ends.append(repeated.popleft().end)
        for end, is_repeated in self._ends:
            ends.append(end)
            if is_repeated:
                repeated.append(RepeatedEnd(now + REPEAT_SECONDS, end))
        self._ends.clear()
        return ends

    @staticmethod
    def _message_to(messages, server):
        if server not in messages:
            messages[server] = prefill_messages.PrefillAsks([], [])
        return messages[server]

    @staticmethod
    def _send(ask, now):
        ask.sent_at = now
        if ask.unanswered_since is None:
            ask.unanswered_since = now
        return ask.message(now)

    def check_silence(self, now):
        """Find holders that have not answered; withdraw what waits there."""
        if now - self._checked_at >= FREEZE_SECONDS:
            self._excuse_holders(now)
        self._checked_at = now
        since = now - holder_silence.MAX_ANSWER_SECONDS
        silent = {
            ask.server
            for ask in self._by_number.values()
            if ask.unanswered_since is not None
            and ask.unanswered_since <= since
        }
        for server in silent:
            self._begin_silence(server, now)

    def _excuse_holders(self, now):
        """Wait anew for answers that may have come during a freeze."""
        for ask in self._by_number.values():
            if ask.unanswered_since is not None:
                ask.unanswered_since = now

    def _begin_silence(self, server, now, answered=False):
        """Decide without a holder; what was sent there is renewed still."""
        self.silence.begin(server, now, answered)
        self._queues.pop(server, None)
        for ask in list(self._by_number.values()):
            if ask.server != server:
                continue
            ask.unanswered_since = None
            if not ask.is_used:
                self._end(ask, prefilled=False)

    def receive(self, grant, now):
        """Apply an answer or a grant of a holder."""
        ask = self._by_number.get(grant.number)
        if ask is not None and (ask.server, ask.epoch) != (
            grant.server,
            grant.epoch,
        ):
            ask = None
        if not grant.holding:
            if ask is not None:
                self.unheld += 1
                self._begin_silence(ask.server, now, answered=True)
            return
        if ask is None:
            if grant.granted:
                end = prefill_messages.PrefillEnd(
                    grant.server, grant.number, prefilled=False
                )
                self._ends.append((end, False))
            return
        self.silence.record_answer(grant.server, now)
        self._queues[grant.server] = Queue(now, grant.backlog, grant.pace)
        ask.unanswered_since = None
        ask.pace = max(1, grant.pace)
        if ask.ahead is None:
            self._unanswered_tokens[ask.server] -= ask.tokens
        ask.ahead = grant.ahead
        ask.is_granted = ask.is_granted or grant.granted

    # -- what is known of the queues ----------------------------------------

    def is_held(self, server, now):
        """Return whether a server's queue has a holder that answers."""
        return not self.silence.is_silent(server, now)

    def backlog(self, server, now):
        """Return the tokens of a queue with an answer of its holder, or None.

        What this instance asked for since then is added.
        """
        queue = self._queues.get(server)
        if queue is None or now - queue.answered_at > BACKLOG_TTL_SECONDS:
            return None
        return queue.backlog + self._unanswered_tokens[server]

    def pace(self, server, now):
        """Return the pace of an engine according to its holder, or 0."""
        held = self.held_paces.get(server)
        if held:
            return held
        queue = self._queues.get(server)
        if queue is None or now - queue.answered_at > PACE_TTL_SECONDS:
            return 0
        return queue.pace

    def asked_tokens(self, server):
        """Return the tokens that were asked for and not sent to a server."""
        return self._asked_tokens.get(server, 0)

    def all_asked_tokens(self):
        """Return the tokens that were asked for and not sent, by server."""
        return self._asked_tokens
