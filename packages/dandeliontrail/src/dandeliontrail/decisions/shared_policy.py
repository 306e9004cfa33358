"""The scheduling policy for servers that many instances share.

Servers report neither their load nor what they have cached, and other
instances send them work too.  An instance knows its own outstanding work, the
work that the other instances announced about a tenth of a second ago, and
that all instances run the same algorithm.

Long prompts wait in this instance's queue, where they can still be reordered
or refused, until an engine has next to nothing left to prefill
(:mod:`.engine_choice`).
"""

import collections

from .. import invariants
from .. import sentinels
from . import engine_choice
from . import hedge_searches
from . import idle_connections
from . import late_refusals
from . import path_feedback
from . import permit_waits
from . import plain_server_choice
from . import prefill_placement
from . import prefix_announcements
from . import retry_budget
from . import server_attempt
from . import server_table
from . import service_traits
from . import unplaceable_work
from . import unsettled_repeats
from . import usable_servers
from . import version_choice
from . import work as work_module

# The Retry-After of a request that the retry budget refused: the caller's next
# try is a request of its own and reaches another instance.
RETRY_BUDGET_RETRY_SECONDS = 0.5
# How long a retry waits for a loan of another instance: two rounds of asks.
LOAN_WAIT_SECONDS = 0.3


class SharedServersPolicy(path_feedback.PathFeedback):
    """Schedules for one instance, by its own and the others' work.

    ``contended`` is true where many instances compete for little capacity.
    """

    def __init__(self, rng, view, state, limits, contended=False):
        domain = state.identity.failure_domain
        asks = getattr(state, "prefill", None)
        table = server_table.ServerTable(state.loads, self._kv_tokens, asks)
        super().__init__(rng, view, table, domain)
        self._rng = rng
        self._contended = contended
        self._connections = idle_connections.IdleConnections()
        self._routing = state.routing
        self._permits = state.permits
        self.retry_budget = retry_budget.RetryBudget(limits)
        self._repeats = unsettled_repeats.UnsettledRepeats(
            self.retry_budget, self._attempts, table
        )
        self._queue = {}
        self._searches = hedge_searches.HedgeSearches()
        self._engines = engine_choice.EngineChoice(table, domain, rng)
        self._prefill = prefill_placement.PrefillPlacement(
            asks, self._engines, state.permits, rng
        )
        self._traits = service_traits.TraitsCache(
            contended, allows_queues=asks is not None
        )
        self._prefixes = prefix_announcements.PrefixAnnouncements(table)
        self._permit_waits = permit_waits.PermitWaits(state.permits, rng)
        self._late_refusals = late_refusals.LateRefusals()
        self._usable = usable_servers.UsableServerLists(
            table,
            self._checks,
            self._peer_paths,
            self._domain_reach,
            version_choice.VersionChoice(state.software_versions),
        )
        self._unplaceable = unplaceable_work.UnplaceableWork(
            self._usable, self._queue
        )

    def traits_of(self, service):
        """Return the traits of a service, ``None`` without a revision."""
        table = self._routing.table
        return self._traits.of(table.revision, service) if table else None

    def _spaces_checks(self, work):
        traits = self.traits_of(work.service)
        return self._contended or (
            traits is not None and traits.queues_prefill
        )

    @property
    def held_for_rest(self):
        """The requests by service that were held back for rests."""
        return self._unplaceable.held_for_rest

    # -- exchange with the other instances ----------------------------------

    def own_loads(self):
        """Return this instance's outstanding work at each server."""
        return self._table.own_loads()

    def take_reads(self):
        """Return the prefixes sent to engines since the last call."""
        return self._prefixes.take()

    def heard_reads(self, reads, now):
        """Record the prefixes that other instances sent to engines."""
        self._prefixes.receive(reads, now)

    # -- admission ----------------------------------------------------------

    def offer(self, work, now):
        """Queue new work and return it; this policy never refuses it here."""
        self.retry_budget.record_request(work.service, now)
        self._put(work, now)
        return work

    def _put(self, work, now):
        work.queued_at = now
        self._queue[work.request_id] = work

    def requeue(self, work, now):
        """Queue work again whose attempt did not begin.

        It does not count against the retry budget.
        """
        self._put(work, now)

    def retry(self, work, now):
        """Queue work for a retry, unless the retry budget is used up.

        The retry is counted when it is placed: those that wait for servers
        would otherwise all be sent later than they were counted.
        """
        budget = self.retry_budget
        if not budget.can_borrow and not budget.allows(work.service, now):
            return self._refuse_retry(work)
        work.is_repeat = True
        self._put(work, now)
        return work

    def _refuse_retry(self, work):
        self.retry_budget.refuse(work.service)
        return sentinels.Nothing(
            sentinels.Reason.RETRY_BUDGET, RETRY_BUDGET_RETRY_SECONDS
        )

    def withdraw(self, request_id):
        """Remove queued work and return it, or ``None``."""
        self._prefill.withdraw(request_id)
        return self._queue.pop(request_id, None)

    def seek(self, work, since):
        """Look for a server for a hedge of ``work``, from ``since`` on."""
        attempt = self._attempts.get(work.request_id)
        if attempt is not None and not attempt.peer:
            self._checks.want(attempt.server)
        self._searches.begin(work, since)

    def stop_seeking(self, request_id):
        """Stop looking for a server for a hedge of a request."""
        self._searches.end(request_id)

    def waiting(self):
        """Return the number of queued requests by class."""
        return dict(
            collections.Counter(
                work.class_name for work in self._queue.values()
            )
        )

    # -- placement ----------------------------------------------------------

    def next(self, now, directory):
        """Run a round: place and refuse work, the most urgent first.

        An engine that is too busy for a piece of work gets no less urgent
        long prompt in the same round: otherwise it would never become idle
        enough for a long prompt.
        """
        self._repeats.settle(now)
        self._table.now = now
        self._prefill.begin_round(now)
        if self._permits.active:
            self._permit_waits.begin_round(now)
        if not self._queue and not self._searches:
            return []
        blocked = set()
        self._usable.begin_round()
        unreachable, slow = self._due_searches(now)
        decisions = self._place_hedges(unreachable, now, directory, blocked)
        decisions.extend(self._place_queued(now, directory, blocked))
        decisions.extend(self._place_hedges(slow, now, directory, blocked))
        return decisions

    def _place_queued(self, now, directory, blocked):
        """Place or refuse the queued work; return the decisions."""
        decisions = []
        tokens_ahead = collections.Counter()
        queued = list(self._queue.values())
        if len(queued) > 1:
            queued.sort(key=lambda work: self._queue_order(work, now))
        self._engines.note_queue(queued)
        for work in queued:
            decision = self._decide(work, now, directory, blocked)
            if decision is None and self._prefill.waits(work):
                decision = self._prefill.refuse_if_late(
                    work, len(self._queue) - 1, now
                )
            elif decision is None:
                tokens_ahead[work.service] += work.prompt_tokens
                decision = self._late_refusals.refuse_if_late(
                    work,
                    tokens_ahead[work.service],
                    len(self._queue) - 1,
                    now,
                )
            if decision is not None:
                del self._queue[work.request_id]
                decisions.append(decision)
            if isinstance(decision, work_module.Refusal):
                self._prefill.withdraw(work.request_id)
        return decisions

    def _queue_order(self, work, now):
        """Return the sort key of queued work.

        Work is ordered by priority, then streams that go on, which may have
        few servers, before others, then work that can still meet its target
        for the first token before work that cannot, then by arrival.  Where
        servers name limits, organisations take turns before that.
        """
        is_free = work.software_version is None
        target = work.first_token_ms
        late = target is not None and now - work.received > target / 1000.0
        used = 0.0
        if self._permits.active:
            used = self._permit_waits.recent_use(work, now)
        return (work.priority, is_free, late, used, work.received)

    def _due_searches(self, now):
        """Return the work due for a hedge, as ``(unreachable, slow)``.

        An unreachable server and a slow one look alike: both are silent.  A
        stream whose server is unreachable, as in a network partition, cannot
        go on without a hedge, so it is placed before the queue.  One whose
        server is only slow, as all servers are under load, would take
        capacity from requests that have no server at all, so it is placed
        after the queue.
        """
        unreachable = []
        slow = []
        for search in self._searches.due(now):
            due = (
                unreachable
                if self._seems_unreachable(search.work, now)
                else slow
            )
            due.append(search.work)
        return unreachable, slow

    def _place_hedges(self, searching, now, directory, blocked):
        """Place hedges where other servers and the retry budget have room."""
        decisions = []
        for work in searching:
            if not self.retry_budget.allows(work.service, now):
                continue
            decision = self._decide(work, now, directory, blocked, hedge=True)
            if isinstance(decision, work_module.Placement):
                repeat = self.retry_budget.begin(work.service, now)
                self._repeats.begin(work.request_id, repeat)
                self._searches.end(work.request_id)
                decisions.append(decision)
            elif decision is not None:
                # A hedge is never refused: the search continues and may use
                # the servers that turned the work away before.
                work.ask_again()
        return decisions

    def _seems_unreachable(self, work, now):
        """Return whether the server that has ``work`` seems unreachable."""
        attempt = self._attempts.get(work.request_id)
        if attempt is None:
            return True
        if attempt.peer:
            return False
        return bool(
            attempt.server_state.health.backoff
        ) or self._domain_reach.is_partitioned(attempt.domain, now)

    def _decide(self, work, now, directory, blocked, hedge=False):
        """Return a placement, a refusal, or ``None`` to leave it queued."""
        left = work.deadline - now
        servers = directory.of_service(work.service)
        if left <= 0 or (
            work.parts and left < unplaceable_work.MIN_SERVICE_SECONDS
        ):
            return self._unplaceable.refusal(
                work, sentinels.Reason.ALL_BUSY, servers
            )
        usable = self._usable.of(work, servers, now)
        candidates = usable.servers
        if not candidates:
            return self._unplaceable.decide(work, servers, now, hedge)
        if work.is_repeat and not self.retry_budget.allows(work.service, now):
            return self._wait_for_retry_budget(work, now)
        if self._permits.active:
            choice = self._permit_waits.split(work, candidates, now)
            if not choice.permitted:
                return self._wait_for_permit(work, choice, now, hedge)
            if choice.throttled:
                self._want_preferred(work, servers, usable, choice, now)
                candidates = choice.permitted
        if usable.preferred:
            candidates = self._preferred(usable, candidates)
        if not work.parts:
            name = self._choose_plain(candidates, usable, now)
            return self._place(work, name, 0.0, usable, now, hedge)
        traits = self._traits.of(self._routing.table.revision, work.service)
        search = prefill_placement.EngineSearch(
            work,
            traits,
            servers,
            candidates,
            usable.through_peers,
            now,
            self._connected(now),
        )
        chosen = self._prefill.choose(search, hedge)
        if chosen is None:
            return None
        if not self._prefill.has_grant(work, chosen.name):
            if not self._engines.has_room(work, traits, chosen):
                if not hedge:
                    blocked.add(chosen.name)
                return None
            if chosen.name in blocked and (
                chosen.need > engine_choice.SHORT_PROMPT_TOKENS
            ):
                return None
        return self._place(work, chosen.name, chosen.need, usable, now, hedge)

    def _preferred(self, usable, candidates):
        """Return the preferred candidates while one has a free slot."""
        found = usable.preferred
        if candidates is not usable.servers:
            found = {
                name: server
                for name, server in candidates.items()
                if name in usable.preferred
            }
        has_slot = any(
            self._table.running(name) < server.announcement.slots
            for name, server in found.items()
        )
        return found if has_slot else candidates

    def _wait_for_retry_budget(self, work, now):
        """Leave a retry queued until a loan may have come, then refuse it."""
        budget = self.retry_budget
        if budget.can_borrow and now - work.queued_at < LOAN_WAIT_SECONDS:
            budget.want(work.service)
            return None
        return work_module.Refusal(work, self._refuse_retry(work))

    def _connected(self, now):
        """Return the servers to prefer because of idle connections."""
        if not self._contended:
            return ()
        return self._connections.connected(self._table, now)

    def _choose_plain(self, candidates, usable, now):
        return plain_server_choice.choose(
            candidates,
            self._table,
            self._domain,
            self._rng,
            usable.through_peers,
            self._connected(now),
        )

    def _wait_for_permit(self, work, choice, now, hedge):
        """Keep work that only limited servers can take, or refuse it.

        It is refused at once if a permit is expected to come too late.
        """
        waiting = self._permit_waits.waiting(
            work, unplaceable_work.MIN_SERVICE_SECONDS, now
        )
        search = self._permit_waits.find(waiting, choice.throttled, now)
        if hedge or search.servers:
            self._permit_waits.wait(waiting, search.servers)
            return None
        grounds = work_module.DecisionInputs(
            need=work.prompt_tokens,
            waiting=len(self._queue) - 1,
            limited=len(choice.throttled),
            limit_wait_ms=round(search.wait * 1000.0, 1),
        )
        refusal = permit_waits.refusal(search.wait)
        return work_module.Refusal(work, refusal, grounds)

    def _want_preferred(self, work, servers, usable, choice, now):
        """Want a permit of the server that the work would have gone to.

        The work goes to another one, but the next that comes may use it.
        """
        if work.parts:
            chosen = self._engines.choose(
                work,
                self._traits.of(self._routing.table.revision, work.service),
                servers,
                usable.servers,
                now,
                usable.through_peers,
                self._connected(now),
            ).name
        else:
            chosen = self._choose_plain(usable.servers, usable, now)
        if chosen in choice.throttled:
            self._permit_waits.want(
                self._permit_waits.priority(work, now), chosen
            )

    def _kv_tokens(self):
        table = self._routing.table
        return service_traits.max_kv_tokens(table.revision if table else None)

    def _place(self, work, name, need, usable, now, hedge=False):
        """Count the work as outstanding at a server; return a placement.

        ``need`` is the prompt tokens that the server has to prefill.
        """
        if work.is_repeat and not hedge:
            work.is_repeat = False
            repeat = self.retry_budget.begin(work.service, now)
            invariants.check(
                repeat is not None,
                "retries-within-the-budget",
                f"{work.request_id} to {name}",
            )
            self._repeats.begin(work.request_id, repeat)
        state = self._table.server(name)
        domain = usable.servers[name].announcement.failure_domain
        peer = ""
        if name in usable.through_peers:
            peer = self._peer_paths.choose(name, domain, now)
        running, unread = self._table.remote_load(name)
        grounds = work_module.DecisionInputs(
            int(need),
            int(state.unread),
            unread,
            state.running,
            running,
            len(usable.servers),
            len(self._queue) - 1,
        )
        if self._permits.active:
            self._permit_waits.take(work, name, grounds, now)
        if peer:
            grounds.through = peer
            grounds.unreachable = len(self._checks.unreachable)
            self._peer_paths.record_opening(peer)
        elif state.health.backoff or state.health.probe_limit is not None:
            # This request probes whether the server is back; the others of
            # the round must see that it is not usable meanwhile.
            self._usable.begin_round()
        if not peer:
            state.health.record_attempt(now)
            self._connections.record_sent(name)
        if not hedge:
            announcement = usable.servers[name].announcement
            self._prefill.record_placed(work, announcement, grounds, now)
        self._engines.note_placed(name)
        state.running += 1
        state.unread += need
        if need > engine_choice.SHORT_PROMPT_TOKENS:
            self._late_refusals.record_placed(work, now)
        shared = work.parts[:-1]
        if shared:
            self._prefixes.record_sent(name, list(shared), now)
        attempt = server_attempt.ServerAttempt(
            work, name, state, domain, now, need, peer
        )
        attempt.is_probe = state.health.begin_probe()
        self._attempts.add(work.request_id, attempt, hedge)
        return work_module.Placement(work, name, grounds, hedge, peer)

    # -- feedback -----------------------------------------------------------

    def rest_began(self, name):
        """Record that a server has asked this instance for rest."""
        self._table.server(name).health.record_rest()

    def forget_server(self, name):
        """Drop the state of a server that is gone."""
        super().forget_server(name)
        self._connections.forget(name)
        self._repeats.forget_server(name)

    def first_output(self, request_id, now):
        """Record that an attempt has output: its prompt is prefilled."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            attempt.server_state.unread -= attempt.unread
            attempt.unread = 0.0
            self._prefill.prefilled(attempt, now)
            self._repeats.record_answer(attempt)
            self._end_probe(attempt, has_output=True)
            self._record_answering(attempt, now)

    def ended(self, ended, now):
        """Record how an attempt ended (:class:`.work.AttemptEnd`)."""
        attempt = self._attempts.take(ended)
        if attempt is None:
            return
        if self._permits.active:
            self._permits.release(attempt.server, ended.request_id, now)
        self._connections.record_end(attempt, ended, now)
        self._prefill.ended(attempt, now)
        state = attempt.server_state
        state.running -= 1
        state.unread -= attempt.unread
        health = state.health
        self._record_arrival(ended, attempt, now)
        self._end_probe(attempt, has_output=False)
        if attempt.peer:
            self._peer_paths.record_closed(attempt.peer)
        if ended.path_failure:
            self._record_path_failure(
                attempt.peer, attempt.server, ended.path_failure, now
            )
        elif ended.gone:
            health.record_replaced()
            self._add_server_finding(
                "backend server replaced", attempt.server, health, now
            )
        elif ended.unreachable:
            self._record_unreachable(attempt, now)
        elif ended.withheld:
            return
        elif ended.refused:
            state.health.record_full(now)
        elif ended.failed:
            state.health.record_failure()
            if ended.broken and not attempt.peer:
                self._record_broken(attempt, now)
        elif not ended.wasted:
            self._record_answering(attempt, now)
            health.record_success()

    @staticmethod
    def _end_probe(attempt, has_output):
        if attempt.is_probe:
            attempt.is_probe = False
            attempt.server_state.health.end_probe(has_output)

    def _record_arrival(self, ended, attempt, now):
        """Record whether an attempt that ended may still arrive."""
        if ended.path_failure or ended.unreachable or ended.withheld:
            return
        if ended.wasted or ended.overtaken:
            self._repeats.record_given_up(ended.request_id, attempt, now)
        elif ended.broken:
            self._repeats.record_ended(attempt)
        else:
            self._repeats.record_answer(attempt)
