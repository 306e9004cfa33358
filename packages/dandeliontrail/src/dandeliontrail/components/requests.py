"""The component that answers for the outcome of every request."""

import heapq

from .. import effects
from .. import events
from .. import interfaces
from .. import sentinels
from . import answers
from . import attainment
from . import begun
from . import claim_rounds
from ..coordination import claims as claims_module
from ..coordination import server_loads
from ..coordination import usage
from ..decisions import work as work_module
from . import dispatching
from . import early_requests
from ..effects import reports
from . import endings
from . import hedges
from . import intake
from . import life
from . import measures

# A server that says "not run" is busy.  Asked again at once, it would be
# asked as fast as it can refuse.
PAUSE_SECONDS = 0.25
# So many servers may turn a request away before its caller is told.
MOST_REJECTIONS = 3
# A caller whose request its servers turned away may find them less busy
# after a few answers have ended, which take some tenths of a second each.
BUSY_RETRY = 0.5

# What a caller is told whom this instance cannot serve to the end: by the
# time given the balancer has noticed, and asks others.
DRAINING = sentinels.Nothing(sentinels.Reason.DRAINING, 1.0)
# What a caller is told whose request ends its servers, after which a resend
# is refused too: long enough that only an operator's remedy shortens it.
ENDS_SERVERS = sentinels.Nothing(sentinels.Reason.ENDS_SERVERS, 60.0)


class Requests(claim_rounds.Listener, interfaces.Component):
    """Takes requests through their life with the help of a policy."""

    def __init__(self, state, policy, claimer, ends):
        self._state = state
        self._policy = policy
        self._claims = claimer
        self._ends = ends
        claimer.listener = self
        self._paused = []
        self._early = early_requests.EarlyRequests()
        self._begun = begun.Begun(state.duties)
        self._hedges = hedges.Hedges(policy, ends)
        self.lives = {}
        self._endings = endings.Endings(
            state, policy, claimer, self._hedges, self.lives
        )

    def handlers(self):
        """Return the handlers of the request events."""
        return {
            events.RequestReceived: self._received,
            events.RoutedRequestReceived: self._routed,
            events.AttemptBegan: self._began,
            events.NotBegun: self._not_begun,
            events.FirstOutput: self._first_output,
            events.AttemptSilent: self._silent,
            events.AttemptSpoke: self._spoke,
            events.AnswerFinished: self._finished,
            events.AttemptFailed: self._failed,
            events.CallerGone: self._caller_gone,
            events.Overdue: self._overdue,
            events.CutShort: self._cut_short,
            server_loads.ServerLoads: self._loads_heard,
        }

    def tick(self, now):
        """Place what can be placed and refuse what is overdue."""
        while self._paused and self._paused[0][0] <= now:
            _, request_id = heapq.heappop(self._paused)
            held = self.lives.get(request_id)
            if held:
                self._policy.requeue(held.work, now)
        out = answers.beliefs(self._policy.take_beliefs())
        ready = intake.has_state(self._state)
        for event, received in self._early.due(ready, now):
            out.extend(self._take_routed(event, received, now))
        return out + self._decide(now)

    def _received(self, event, now):
        work = intake.work_of(self._state, event, now)
        if not work:
            return [answers.refusal(event.request_id, work)]
        held = life.Life(work)
        self.lives[work.request_id] = held
        if not event.idempotency_key:
            return self._offer(held, now)
        held.move(life.Phase.CLAIMING)
        wanted = claim_rounds.Wanted(
            work.request_id,
            claims_module.key_of(work.organisation, event.idempotency_key),
            event.body_digest[: claims_module.NAME_LENGTH],
            work.repeatable,
            work.deadline,
        )
        return self._claims.begin(wanted, now)

    def _routed(self, event, now):
        """Take in a request for a route; it has no key to claim."""
        if not intake.has_state(self._state) and (
            self._early.hold(event, now)
        ):
            return []
        return self._take_routed(event, now, now)

    def _take_routed(self, event, received, now):
        """Queue a request that came at ``received``, or turn it away."""
        work = intake.routed_work_of(self._state, event, received, now)
        if not work:
            return [
                answers.refusal(event.request_id, work),
                answers.turned_away(self._state, event, work, now),
            ]
        held = life.Life(work)
        self.lives[work.request_id] = held
        return self._offer(held, now)

    # What the claim of a request came to; see ``claim_rounds.Listener``.

    def claim_granted(self, request_id, now):
        """Queue a request that may run its key."""
        held = self.lives[request_id]
        held.claimed = True
        return self._offer(held, now)

    def claim_unneeded(self, request_id, now):
        """Queue a repeatable request whose key cannot be claimed."""
        return self._offer(self.lives[request_id], now)

    def claim_answered(self, request_id, answer, now):
        """Give the answer that the key has already."""
        held = self.lives.pop(request_id)
        held.move(life.Phase.COMPLETE)
        return [
            effects.Replay(request_id, answer),
            answers.decision(held.work, "replayed", answer.backend_server),
        ]

    def claim_refused(self, request_id, nothing, ran, now):
        """End a request whose key it may not run."""
        held = self.lives.pop(request_id)
        held.move(life.Phase.UNKNOWN if ran else life.Phase.NOT_RUN)
        return [
            answers.refusal(request_id, nothing, begun=ran),
            answers.decision(held.work, nothing.reason.value, ""),
        ]

    def _offer(self, held, now):
        if self._ends.holds(held.work.fingerprint, now):
            return self._endings.refuse(held, ENDS_SERVERS, now)
        offered = self._policy.offer(held.work, now)
        if not offered:
            return self._endings.refuse(held, offered, now)
        held.move(life.Phase.QUEUED)
        return self._decide(now)

    def _decide(self, now):
        out = self._hold_back(now)
        decided = self._policy.next(now, self._state.directory)
        for item in decided:
            held = self.lives.get(item.work.request_id)
            if held is None:
                continue
            if isinstance(item, work_module.Placement):
                out.extend(dispatching.dispatch(self._state, held, item, now))
            else:
                out.extend(
                    self._endings.refuse(held, item.nothing, now, item.grounds)
                )
        return out

    def _hold_back(self, now):
        """End what has come to be held back and has not been answered.

        What waits at a server is taken from it before it begins there.
        """
        fingerprints = set(self._ends.take_newly_held())
        if not fingerprints:
            return []
        out = []
        for held in list(self.lives.values()):
            if held.work.fingerprint not in fingerprints:
                continue
            out.extend(self._hedges.withdraw(held, now))
            if held.phase is life.Phase.QUEUED:
                self._policy.withdraw(held.work.request_id)
                out.extend(self._endings.refuse(held, ENDS_SERVERS, now))
            elif held.phase in life.AT_A_SERVER and _may_stop(held.work):
                out.extend(self._take_back(held, now))
        return out

    def _take_back(self, held, now):
        begun = held.begun > 0
        request_id = held.work.request_id
        refusal = answers.refusal(request_id, ENDS_SERVERS, begun=begun)
        reason = ENDS_SERVERS.reason.value
        return [effects.CutOff(refusal)] + self._endings.stop(
            held, reason, now
        )

    def _current(self, event):
        """Return the life that an event is about, if it still is.

        An answer of an attempt that was given up comes late or out of
        order; it must reach neither this request's caller nor another's.
        """
        held = self.lives.get(event.request_id)
        if held is None or held.attempt != event.attempt:
            return None
        return held

    def _hedged(self, event):
        """Return the life that has the event's attempt as its hedge."""
        held = self.lives.get(event.request_id)
        if held is None or held.hedge is None:
            return None
        return held if held.hedge.number == event.attempt else None

    def _began(self, event, now):
        held = self._current(event)
        if held:
            held.begin()
        elif hedged := self._hedged(event):
            hedged.begin_hedge()
        return []

    def _silent(self, event, now):
        """Look for another server beside one that is silent."""
        held = self._current(event)
        if held is None:
            return []
        self._hedges.seek(held, now)
        out = [answers.attempt_line(held, "attempt silent", now)]
        return out + (self._decide(now) if held.seeking else [])

    def _spoke(self, event, now):
        """Let go of the other one of two attempts."""
        hedged = self._hedged(event)
        if hedged:
            self._begun.broke_off(hedged)
            out = [answers.attempt_line(hedged, "attempt overtaken", now)]
            silent = self._hedges.took_over(hedged, now)
            out.extend(self._endings.cancel(hedged, silent))
            return out + self._decide(now)
        held = self._current(event)
        if held is None:
            return []
        out = [answers.attempt_line(held, "attempt spoke again", now)]
        hedge = self._hedges.drop(held, now)
        if hedge is None:
            return out
        out.extend(self._endings.cancel(held, hedge.server))
        return out + self._decide(now)

    def _not_begun(self, event, now):
        hedged = self._hedged(event)
        if hedged:
            self._hedges.not_begun(hedged, event, now)
            return self._decide(now)
        held = self._current(event)
        if held is None:
            return []
        self._endings.release(
            held,
            now,
            failed=True,
            refused=event.server_said,
            unreachable=not event.server_said,
            gone=event.gone,
        )
        held.unbegin()
        if self._hedges.goes_on(held):
            return self._decide(now)
        if held.work.routed:
            return self._try_elsewhere(held, now, counts=event.server_said)
        if event.server_said:
            pause = max(PAUSE_SECONDS, event.retry_after)
            return self._pause(held, pause, now) + self._decide(now)
        return self._try_again(held, now)

    def _try_again(self, held, now, begun=False):
        """Queue a request for another server, or end it.

        Where an attempt has ``begun``, the policy has a budget for more.
        """
        held.work.avoid.add(held.server)
        if self._ends.holds(held.work.fingerprint, now):
            return self._refuse(held, ENDS_SERVERS, now)
        if held.dispatches >= hedges.MOST_ATTEMPTS:
            nothing = sentinels.Nothing(sentinels.Reason.NO_SERVER, 1.0)
            return self._refuse(held, nothing, now)
        if self._all_avoided(held.work):
            # One of them may have come back by then.
            held.work.avoid.clear()
            return self._pause(held, PAUSE_SECONDS, now) + self._decide(now)
        if not begun:
            self._policy.requeue(held.work, now)
        elif not self._policy.retry(held.work, now):
            nothing = sentinels.Nothing(sentinels.Reason.SERVER_FAILED, 1.0)
            return self._refuse(held, nothing, now)
        return self._decide(now)

    def _try_elsewhere(self, held, now, counts):
        """Queue a routed request for another server, or end it.

        ``counts`` tells that the last attempt reached its server: another
        one draws on the budget of repeats.  The route's attempts are those
        that may have run; those that servers turned away have a bound of
        their own.  A server that could not be reached costs neither.
        """
        work = held.work
        work.avoid.add(held.server)
        if self._ends.holds(work.fingerprint, now):
            return self._refuse(held, ENDS_SERVERS, now)
        rejected = held.arrivals - held.begun
        if held.begun >= work.max_attempts or rejected >= MOST_REJECTIONS:
            return self._give_up(held, now)
        if not counts:
            self._policy.requeue(work, now)
        elif not self._policy.retry(work, now):
            return self._give_up(held, now)
        return self._decide(now)

    def _give_up(self, held, now):
        nothing = sentinels.Nothing(
            sentinels.Reason.SERVER_FAILED
            if held.begun
            else sentinels.Reason.ALL_BUSY,
            BUSY_RETRY,
        )
        return self._refuse(held, nothing, now)

    def _all_avoided(self, work):
        servers = self._state.directory.eligible(
            work.class_name, work.model, work.service
        )
        names = {item.announcement.backend_server for item in servers}
        return names <= work.avoid

    def _pause(self, held, seconds, now):
        due = min(now + seconds, held.work.deadline)
        heapq.heappush(self._paused, (due, held.work.request_id))
        return []

    def _first_output(self, event, now):
        held = self._current(event)
        if held is None:
            return []
        held.move(life.Phase.STREAMING)
        held.output_at = now
        self._policy.first_output(event.request_id, now)
        if held.first_output:
            return []
        self._begun.first_output(held, now)
        held.first_output = now
        out = [
            measures.since_received(held.work, reports.Metric.FIRST_TOKEN, now)
        ]
        # Its engine has read the prompt and has room for the next.
        return out + self._decide(now) if held.work.routed else out

    def _finished(self, event, now):
        held = self._current(event)
        if held is None:
            return []
        self._hedges.drop(held, now)
        held.move(life.Phase.COMPLETE)
        work = held.work
        del self.lives[work.request_id]
        self._ends.served(work.fingerprint, now)
        ended = work_module.Ended(
            work.request_id,
            held.server,
            event.output_tokens,
            gaps_ms=event.gaps_ms,
        )
        self._policy.ended(ended, now)
        if not work.routed:
            attainment.count(self._state, held, now)
        counted = usage.Totals(1, event.prompt_tokens, event.output_tokens)
        self._count(work, counted)
        out = [
            answers.decision(work, "complete", held.server),
            measures.since_received(work, reports.Metric.TOTAL, now),
        ]
        out.extend(measures.gaps(work, event.gaps_ms))
        out.extend(self._endings.end_claim(held, now, event.answer))
        return out + self._decide(now)

    def _count(self, work, counted):
        self._state.usage.count(work.organisation, work.class_name, counted)

    def _failed(self, event, now):
        """An attempt broke off, and its engine cannot go on with it.

        A repeatable request goes to another server, which starts from what
        the caller has already; the engine that failed is told to stop, in
        case that only the path to it did.
        """
        hedged = self._hedged(event)
        if hedged:
            self._hedges.failed(hedged, event, now)
            return self._decide(now)
        held = self._current(event)
        if held is None:
            return []
        self._begun.broke_off(held)
        self._ends.ended_under(held, event, now)
        self._endings.release(held, now, failed=True)
        # Not a request more: it is counted where its answer is whole.
        self._count(held.work, usage.Totals(wasted_tokens=event.relayed))
        if not held.work.repeatable:
            nothing = sentinels.Nothing(sentinels.Reason.SERVER_FAILED)
            return self._refuse(held, nothing, now)
        out = self._endings.cancel(held, held.server)
        held.move(life.Phase.QUEUED)
        if self._hedges.goes_on(held):
            return out + self._decide(now)
        if held.work.routed:
            return self._try_elsewhere(held, now, counts=True)
        return out + self._try_again(held, now, begun=True)

    def _caller_gone(self, event, now):
        """Stop what nobody waits for, where stopping does no harm."""
        held = self.lives.get(event.request_id)
        if held is None:
            self._early.drop(event.request_id)
            return []
        if held.phase not in life.WAITING and not _may_stop(held.work):
            # It may have begun, and half a report or half an order is
            # worse than a whole one that its caller asks for again.
            return []
        return self._stop(held, "caller_gone", now)

    def _overdue(self, event, now):
        held = self.lives.get(event.request_id)
        if held is None or held.phase in life.WAITING:
            return []
        if not held.work.repeatable and not held.work.routed:
            return []
        return self._stop(held, "deadline", now)

    def _loads_heard(self, source, message, now):
        """Look again what can be placed: others' work may have ended."""
        return self._decide(now) if self.lives else []

    def _cut_short(self, event, now):
        """Tell a caller the truth, since this instance ends now.

        Where a key is being claimed or another request followed, that one
        may have run.
        """
        held = self.lives.get(event.request_id)
        if held is None:
            return self._cut_early(event.request_id)
        begun = held.begun > 0 or held.phase is life.Phase.CLAIMING
        refusal = answers.refusal(event.request_id, DRAINING, begun=begun)
        out = self._stop(held, "cut_short", now)
        return [effects.CutOff(refusal)] + out

    def _cut_early(self, request_id):
        """Tell the caller of a request that waited for the state."""
        if not self._early.drop(request_id):
            return []
        return [effects.CutOff(answers.refusal(request_id, DRAINING))]

    def _refuse(self, held, nothing, now):
        """End a request without an answer; look what fits."""
        return self._endings.refuse(held, nothing, now) + self._decide(now)

    def _stop(self, held, reason, now):
        """Drop a request for which nobody waits any more; look what fits."""
        return self._endings.stop(held, reason, now) + self._decide(now)


def _may_stop(work):
    """Tell whether work that nobody waits for any more may be stopped.

    What is generated only for its caller may; an order that is half done
    may not.
    """
    return work.repeatable or work.streamed
