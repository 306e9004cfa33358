"""Component that drives every request from arrival to its final outcome.

It reacts to the events of the request life cycle, asks the policy where to
run each request, and decides on retries, hedges and refusals.
"""

from .. import effects
from .. import events
from .. import failures
from .. import interfaces
from .. import sentinels
from . import answers
from . import attainment
from . import blocked_requests
from . import claim_rounds
from ..coordination import claims as claims_module
from ..coordination import permits
from ..coordination import prefill_messages
from ..coordination import server_loads
from ..coordination import stream_records
from ..coordination import usage
from ..decisions import work as work_module
from . import dispatching
from ..effects import reports
from . import endings
from . import hedges
from . import intake
from . import lasting_answers
from . import measures
from . import prefill_queues
from . import request_lifecycle
from . import request_retries
from . import routed_admission
from . import start_counter

# Sent to callers whose requests a draining instance cannot finish.  Within the
# given time the load balancer notices and uses other instances.
DRAINING = sentinels.Nothing(sentinels.Reason.DRAINING, 1.0)
# The most rounds at once in which an instance answers its own asks: one for
# each engine that the policy may ask for a prompt.
MAX_PREFILL_ROUNDS = 3


class Requests(claim_rounds.Listener, interfaces.Component):
    """Tracks open requests and applies the decisions of a policy.

    ``lives`` maps the id of each open request to its
    ``request_lifecycle.RequestLifecycle``.
    """

    def __init__(
        self, state, policy, claimer, ends, limits, prefills, streams, lives
    ):
        self._state = state
        self._policy = policy
        self._claims = claimer
        self._ends = ends
        self._limits = limits
        self._prefills = prefills
        self._streams = streams
        self._admission = routed_admission.RoutedAdmission(
            state, streams, self._open_routed
        )
        claimer.listener = self
        self._start_counter = start_counter.StartCounter(state.duties)
        self._hedges = hedges.Hedges(policy, ends)
        self.lives = lives
        self._endings = endings.Endings(
            state, policy, claimer, self._hedges, self.lives
        )
        self._retries = request_retries.RequestRetries(
            state, policy, ends, self._endings
        )
        self._blocked = blocked_requests.BlockedRequests(
            policy, ends, self._endings, self._hedges, self.lives
        )
        self._lasting_answers = lasting_answers.LastingAnswers(
            ends, self.lives
        )

    def handlers(self):
        """Return the handlers of request events and of peers' load reports."""
        return {
            events.RequestReceived: self._request_received,
            events.RoutedRequestReceived: self._admission.receive,
            events.AttemptBegan: self._attempt_began,
            events.NotBegun: self._not_begun,
            events.FirstOutput: self._first_output,
            events.AttemptSilent: self._attempt_silent,
            events.AttemptSpoke: self._attempt_spoke,
            events.AnswerFinished: self._answer_finished,
            events.AttemptFailed: self._attempt_failed,
            events.CallerGone: self._caller_gone,
            events.Overdue: self._overdue,
            events.CutShort: self._cut_short,
            server_loads.ServerLoads: self._server_loads_received,
            permits.PermitGrants: self._permits_received,
            prefill_messages.PrefillAsks: self._prefill_asks_received,
            prefill_messages.PrefillGrants: self._prefill_grants_received,
            stream_records.StreamAnswers: self._admission.handle_answers,
        }

    def tick(self, now):
        """Requeue due retries, admit early requests and run the policy."""
        for request_id in self._retries.due(now):
            request = self.lives.get(request_id)
            if request:
                self._policy.requeue(request.work, now)
        self._lasting_answers.tick(now)
        out = answers.health_lines(self._policy.take_beliefs())
        out.extend(self._admission.tick(now))
        return out + self._run_policy(now)

    def _request_received(self, event, now):
        work = intake.work_of(self._state, event, now)
        if not work:
            return [answers.refusal(event.request_id, work)]
        request = request_lifecycle.RequestLifecycle(work)
        self.lives[work.request_id] = request
        if not event.idempotency_key:
            return self._enqueue(request, now)
        request.transition_to(request_lifecycle.Phase.CLAIMING)
        wanted = claim_rounds.ClaimRequest(
            work.request_id,
            claims_module.key_digest(work.organisation, event.idempotency_key),
            event.body_digest[: claims_module.KEY_DIGEST_LENGTH],
            work.repeatable,
            work.deadline,
        )
        return self._claims.begin(wanted, now)

    def _open_routed(self, work, now):
        request = request_lifecycle.RequestLifecycle(work)
        self.lives[work.request_id] = request
        return self._enqueue(request, now)

    # Results of idempotency key claims; see ``claim_rounds.Listener``.

    def claim_granted(self, request_id, now):
        """Queue a request that holds the claim on its key."""
        request = self.lives[request_id]
        request.holds_key = True
        return self._enqueue(request, now)

    def claim_unavailable(self, request_id, now):
        """Queue a repeatable request although its key cannot be claimed."""
        return self._enqueue(self.lives[request_id], now)

    def claim_answered(self, request_id, answer, now):
        """Replay the stored answer of the key."""
        request = self.lives.pop(request_id)
        request.transition_to(request_lifecycle.Phase.COMPLETE)
        return [
            effects.Replay(request_id, answer),
            answers.decision(request.work, "replayed", answer.backend_server),
        ]

    def claim_refused(self, request_id, nothing, may_have_run, now):
        """Refuse a request that was not granted its key."""
        request = self.lives.pop(request_id)
        request.transition_to(
            request_lifecycle.Phase.UNKNOWN
            if may_have_run
            else request_lifecycle.Phase.NOT_RUN
        )
        return [
            answers.refusal(request_id, nothing, begun=may_have_run),
            answers.decision(request.work, nothing.reason.value, ""),
        ]

    def _enqueue(self, request, now):
        if self._ends.is_blocked(request.work, now):
            return self._endings.refuse(
                request, blocked_requests.ENDS_SERVERS, now
            )
        offered = self._policy.offer(request.work, now)
        if not offered:
            return self._endings.refuse(request, offered, now)
        request.transition_to(request_lifecycle.Phase.QUEUED)
        return self._run_policy(now)

    def _run_policy(self, now):
        out = self._blocked.end_newly_blocked(now)
        out.extend(self._run_round(now))
        if self._state.permits.active:
            asks, has_permits = self._limits.request_permits(now)
            out.extend(asks)
            if has_permits:
                out.extend(self._run_round(now))
        out.extend(self._exchange_prefills(now))
        return out

    def _exchange_prefills(self, now):
        """Send what is due to the holders of prefill queues.

        Where this instance is the holder, the answers come at once and may
        change what the policy decides.
        """
        out = []
        for _ in range(MAX_PREFILL_ROUNDS):
            messages, has_answers = self._prefills.exchange(now)
            out.extend(messages)
            if not has_answers:
                break
            out.extend(self._run_round(now))
        return out

    def _run_round(self, now):
        out = []
        decisions = self._policy.next(now, self._state.directory)
        for item in decisions:
            request = self.lives.get(item.work.request_id)
            if request is None:
                continue
            try:
                out.extend(self._carry_out(item, request, now))
            except Exception as exc:
                # The policy has decided on the others as well.
                out.extend(self._end_failed(item, request, exc, now))
        return out

    def _carry_out(self, decision, request, now):
        if isinstance(decision, work_module.Placement):
            self._prefills.record_placed(decision, now)
            return dispatching.dispatch(self._state, request, decision, now)
        return self._endings.refuse(
            request, decision.nothing, now, decision.grounds
        )

    def _end_failed(self, decision, request, exc, now):
        """End what a decision was about that could not be carried out.

        That is the request, but of a hedge only the hedge.
        """
        is_placement = isinstance(decision, work_module.Placement)
        is_hedge = is_placement and decision.hedge
        failure = failures.Failure(
            type(self).__name__,
            type(decision).__name__,
            exc,
            request_id="" if is_hedge else request.work.request_id,
        )
        self._state.failure_handler.component_failed(failure)
        if is_placement:
            self._endings.release(request, decision.server, now)
        if is_hedge:
            request.hedge = None
            request.seeking_hedge = False
            return []
        return self._endings.fail(request, now)

    def _find_current(self, event):
        """Return the request whose current attempt the event is about.

        Returns ``None`` for events of abandoned attempts, which may arrive
        late or out of order: their output must reach neither the caller of
        this request nor any other caller.
        """
        request = self.lives.get(event.request_id)
        if request is None or request.attempt != event.attempt:
            return None
        return request

    def _find_hedged(self, event):
        """Return the request whose hedge the event is about, if any."""
        request = self.lives.get(event.request_id)
        if request is None or request.hedge is None:
            return None
        return request if request.hedge.number == event.attempt else None

    def _attempt_began(self, event, now):
        request = self._find_current(event)
        if request:
            request.mark_begun()
            request.work.path_failures = 0
            self._note_tunnel(request.peer, request.server, now)
        elif hedged := self._find_hedged(event):
            hedged.mark_hedge_begun()
            self._note_tunnel(hedged.hedge.peer, hedged.hedge.server, now)
        return []

    def _note_tunnel(self, peer, server, now):
        if peer:
            self._policy.tunnel_opened(peer, server, now)

    def _attempt_silent(self, event, now):
        """Look for a second server while the current one is silent."""
        request = self._find_current(event)
        if request is None:
            return []
        if request.work.allows_repeat_after(event.unstreamed):
            self._hedges.seek(request, now)
        out = [answers.attempt_line(request, "attempt silent", now)]
        return out + (self._run_policy(now) if request.seeking_hedge else [])

    def _attempt_spoke(self, event, now):
        """Keep the attempt that produced output and cancel the other one."""
        hedged = self._find_hedged(event)
        if hedged:
            self._start_counter.attempt_failed(hedged)
            out = [answers.attempt_line(hedged, "attempt overtaken", now)]
            silent = self._hedges.promote(hedged, now)
            out.extend(self._endings.cancel(hedged, silent))
            return out + self._run_policy(now)
        request = self._find_current(event)
        if request is None:
            return []
        request.path_lost = False
        out = [answers.attempt_line(request, "attempt spoke again", now)]
        hedge = self._hedges.drop(request, now)
        if hedge is None:
            return out
        out.extend(self._endings.cancel(request, hedge.server))
        return out + self._run_policy(now)

    def _not_begun(self, event, now):
        hedged = self._find_hedged(event)
        if hedged:
            self._hedges.not_begun(hedged, event, now)
            return self._run_policy(now)
        request = self._find_current(event)
        if request is None:
            return []
        self._endings.report_attempt_end(
            request, now, failed=True, **hedges.end_of(event)
        )
        request.mark_not_begun()
        if self._hedges.continue_with_hedge(request):
            return self._run_policy(now)
        if event.rests:
            self._policy.requeue(request.work, now)
            out = []
        elif event.path_failure:
            out = self._retries.retry_through_peer(request, now)
        elif request.work.routed:
            out = self._retries.retry_routed(
                request, now, reached_server=event.server_said
            )
        elif event.server_said:
            out = []
            pause = request_retries.RETRY_PAUSE_SECONDS
            pause = max(pause, event.retry_after)
            self._retries.schedule(request, pause, now)
        else:
            out = self._retries.retry(request, now)
        return out + self._run_policy(now)

    def _first_output(self, event, now):
        request = self._find_current(event)
        if request is None:
            return []
        request.transition_to(request_lifecycle.Phase.STREAMING)
        request.output_at = now
        self._lasting_answers.note_begun(request, now)
        self._policy.first_output(event.request_id, now)
        out = []
        if event.is_event:
            request.bind_version()
            out.extend(self._streams.began(request, now))
        if request.first_output:
            return out
        self._start_counter.first_output(request, now)
        request.first_output = now
        out.append(
            measures.since_received(
                request.work, reports.Metric.FIRST_TOKEN, now
            )
        )
        # The engine has processed the prompt, so it has capacity for the next
        # request.
        return out + self._run_policy(now) if request.work.routed else out

    def _answer_finished(self, event, now):
        request = self._find_current(event)
        if request is None:
            return []
        self._hedges.drop(request, now)
        request.transition_to(request_lifecycle.Phase.COMPLETE)
        work = request.work
        del self.lives[work.request_id]
        self._ends.record_served(work, request.software_version, now)
        ended = work_module.AttemptEnd(
            work.request_id,
            request.server,
            event.output_tokens,
            gaps_ms=event.gaps_ms,
            idle_seconds=event.idle_seconds,
        )
        self._policy.ended(ended, now)
        if not work.routed:
            attainment.count(self._state, request, now)
        totals = usage.Totals(1, event.prompt_tokens, event.output_tokens)
        self._count_usage(work, totals)
        out = [
            answers.decision(work, "complete", request.server),
            measures.since_received(work, reports.Metric.TOTAL, now),
        ]
        out.extend(measures.between_tokens(work, event.gaps_ms))
        out.extend(self._endings.end_claim(request, now, event.answer))
        return out + self._run_policy(now)

    def _count_usage(self, work, totals):
        self._state.usage.count(work.organisation, work.class_name, totals)

    def _attempt_failed(self, event, now):
        """Retry or refuse a request whose attempt failed after it began.

        A repeatable request goes to another server, which continues from the
        output that the caller already has.  The failed server is told to
        cancel, in case only the connection to it failed.
        """
        hedged = self._find_hedged(event)
        if hedged:
            self._hedges.failed(hedged, event, now)
            return self._run_policy(now)
        request = self._find_current(event)
        if request is None:
            return []
        self._start_counter.attempt_failed(request)
        self._ends.record_failed_attempt(request, event, now)
        self._endings.report_attempt_end(
            request, now, failed=True, broken=not event.answered
        )
        # Only wasted tokens: the request itself is counted once its answer is
        # complete.
        self._count_usage(
            request.work, usage.Totals(wasted_tokens=event.relayed)
        )
        if not request.work.allows_repeat_after(event.unstreamed):
            nothing = sentinels.Nothing(sentinels.Reason.SERVER_FAILED)
            return self._refuse(request, nothing, now)
        out = self._endings.cancel(request, request.server)
        request.transition_to(request_lifecycle.Phase.QUEUED)
        if self._hedges.continue_with_hedge(request):
            return out + self._run_policy(now)
        if request.work.routed:
            out = self._retries.retry_routed(request, now, reached_server=True)
        else:
            out.extend(self._retries.retry(request, now, begun=True))
        return out + self._run_policy(now)

    def _caller_gone(self, event, now):
        """Stop a request whose caller left, if stopping it is harmless."""
        request = self.lives.get(event.request_id)
        if request is None:
            self._admission.drop(event.request_id)
            return []
        if not request.ends_with_caller:
            return []
        return self._stop(request, "caller_gone", now)

    def _overdue(self, event, now):
        request = self.lives.get(event.request_id)
        if request is None or request.phase in request_lifecycle.WAITING:
            return []
        if not request.work.repeatable and not request.work.routed:
            return []
        return self._stop(request, "deadline", now)

    def _server_loads_received(self, source, message, now):
        """Run the policy: requests of other instances may have finished."""
        return self._run_policy(now) if self.lives else []

    def _permits_received(self, source, message, now):
        """Run the policy: servers that name a limit take requests again."""
        return self._run_policy(now) if self.lives else []

    def _prefill_asks_received(self, source, message, now):
        """Run the policy if an end has led to a grant for this instance."""
        return self._run_policy(now) if self._prefills.has_own_answers else []

    def _prefill_grants_received(self, source, message, now):
        """Run the policy if prompts were granted, or have no holder."""
        if not prefill_queues.are_decisive(message.grants):
            return []
        return self._run_policy(now)

    def _cut_short(self, event, now):
        """Cut off a caller with the true outcome: the instance shuts down.

        While a key is being claimed, another request with the same key may
        have run, so the outcome is unknown.
        """
        request = self.lives.get(event.request_id)
        if request is None:
            return self._cut_short_early(event.request_id)
        begun = (
            request.attempts_begun > 0
            or request.phase is request_lifecycle.Phase.CLAIMING
        )
        refusal = answers.refusal(event.request_id, DRAINING, begun=begun)
        out = self._stop(request, "cut_short", now)
        return [effects.CutOff(refusal)] + out

    def _cut_short_early(self, request_id):
        """Cut off the caller of a request that was not admitted yet."""
        if not self._admission.drop(request_id):
            return []
        return [effects.CutOff(answers.refusal(request_id, DRAINING))]

    def _refuse(self, request, nothing, now):
        """Refuse a request, then run the policy on the freed capacity."""
        return self._endings.refuse(request, nothing, now) + self._run_policy(
            now
        )

    def _stop(self, request, reason, now):
        """Stop a request, then run the policy on the freed capacity."""
        self._blocked.record_withdrawn(request, now)
        return self._endings.stop(request, reason, now) + self._run_policy(now)
