"""Adaptive policy: admission control, fair queues, reserves, late binding."""

import random

from .. import invariants
from .. import sentinels
from . import class_queues
from ..coordination import server_limits
from . import directory as directory_module
from . import fairness
from . import fleet as fleet_module
from . import hedge_searches
from . import lengths
from . import limits
from . import options as options_module
from . import permit_waits
from . import permits as permits_module
from . import placing
from . import policy
from . import refusal
from . import reserve
from . import retries
from . import shares
from . import view as view_module
from . import work as work_module

# How often the usage of other instances is merged. More often would gain
# little, since the ledger replicates about once a second.
MERGE_INTERVAL_SECONDS = 1.0


class Adaptive(policy.Policy):
    """Schedules the requests of one instance.

    Its inputs are this instance's own counts, which are exact, and the reports
    of servers and other instances, which arrive late.

    >>> Adaptive().waiting()
    {}
    """

    def __init__(
        self,
        rng=None,
        view=None,
        identity=("", ""),
        options=None,
        permits=None,
    ):
        self._options = options or options_module.Options()
        self._rng = rng or random.Random(0)
        self._view = view or view_module.FixedView()
        self._permits = permits or permits_module.Permits(
            server_limits.LimitTable()
        )
        self._permit_waits = permit_waits.PermitWaits(self._permits, self._rng)
        self._fleet = fleet_module.Fleet(
            self._rng, self._options, self._permits
        )
        self._placing = placing.Placing(
            self._rng, identity, self._options, self._permits
        )
        self._lengths = lengths.Lengths()
        self._reserve = reserve.Reserve()
        self._limiter = limits.Limiter(self._view)
        self._retries = retries.Retries(self._rng)
        self._searches = hedge_searches.HedgeSearches()
        self._shares = shares.Shares()
        self._queues = {}
        self._next_merge = 0.0
        self._instances = 1
        self._protected_priorities = {}
        self._max_protected_priority = None
        self._blocked_queues = set()

    # Admission

    def offer(self, work, now):
        """Queue the work, or refuse what cannot be served in time."""
        queue = self._queue_for(work)
        queue.weights[work.organisation] = work.weight
        work.predicted_tokens = int(self._lengths.high_quantile(work))
        within_limits = self._limiter.admit(work, now)
        if not within_limits:
            return within_limits
        if reserve.is_protected(work):
            self._reserve.arrived(now)
            self._record_protected_class(work)
        if self._options.early_refusal:
            own, organisations = queue.pending.backlog(work.organisation)
            backlog = refusal.Backlog(
                len(queue.pending),
                own,
                organisations,
                queue.rate.per_second(now),
            )
            service_seconds = self._service_seconds(work)
            admitted = refusal.admit(work, backlog, service_seconds, now)
            if not admitted:
                self._check_sheddable(work)
                return admitted
        elif len(queue.pending) >= refusal.MAX_QUEUE_LENGTH:
            return sentinels.Nothing(sentinels.Reason.QUEUE_FULL, 1.0)
        queue.pending.push(work, self._fresh_until(work))
        self._blocked_queues.discard(queue.key)
        self._limiter.charge(work, self._expected_tokens(work), now)
        self._retries.admitted()
        return work

    def _record_protected_class(self, work):
        """Record the priority of a protected class.

        Every class with at least the priority of a protected one counts as
        protected too. Otherwise a class that has no first-token target, but
        ranks above one that has, would wait for slots that are reserved for
        the lower class.
        """
        self._protected_priorities[work.class_name] = work.priority
        self._max_protected_priority = max(self._protected_priorities.values())

    def _is_protected(self, work):
        lowest = self._max_protected_priority
        return lowest is not None and work.priority <= lowest

    def _expected_tokens(self, work):
        return work.prompt_tokens + self._lengths.mean(work)

    def _check_sheddable(self, work):
        queue = self._queues[class_queues.key_of(work)]
        invariants.check(
            work.sheddable or len(queue.pending) >= refusal.MAX_QUEUE_LENGTH,
            "only-sheddable-work-is-shed",
            f"{work.request_id} of class {work.class_name}",
        )

    def _service_seconds(self, work):
        return self._fleet.service_seconds(work, self._lengths.mean(work))

    def _fresh_until(self, work):
        if not self._options.fresh_first:
            return work.deadline
        return refusal.fresh_until(work, self._service_seconds(work))

    def _fairness_tokens(self, work):
        prompt = work.prompt_tokens * fairness.PROMPT_TOKEN_WEIGHT
        return prompt + self._lengths.mean(work)

    def _queue_for(self, work):
        key = class_queues.key_of(work)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = class_queues.ClassQueue(
                work, self._options
            )
        queue.update_settings(work)
        return queue

    # Placement

    def next(self, now, directory):
        """Return all placements and refusals that are due."""
        decisions = []
        self._refresh(now)
        if self._permits.active:
            self._permit_waits.begin_round(now)
            self._blocked_queues.clear()
        for work in self._retries.due(now):
            self.requeue(work, now)
        queues = self._queues_with_work(now)
        for queue in queues:
            self._refuse_expired(queue, now, decisions)
            if queue.claims_share:
                self._place_waiting(queue, now, directory, decisions)
        for number, queue in enumerate(queues):
            queue.claims_share = False
            if queue.key not in self._blocked_queues:
                self._check_priority_order(queues[:number], queue)
                self._place_waiting(queue, now, directory, decisions)
        for search in self._searches.due(now):
            self._hedge(search.work, now, directory, decisions)
        return decisions

    def _hedge(self, work, now, directory, decisions):
        """Send a hedge for a request whose server is silent, if there is room.

        Hedges come after all work that has no server yet. The organisation has
        been charged already and is not charged again, because it does not
        choose how many servers are asked.
        """
        if not self._retries.allow(work, self._fleet.free > 0):
            return
        servers = directory_module.eligible_for(directory, work)
        if placing.failed_everywhere(work, servers):
            work.ask_again()
        requirements, server = self._pick_server(
            self._queue_for(work), work, servers, now
        )
        if not server:
            return
        self._searches.end(work.request_id)
        self._retries.spend()
        self._permits.take(server, work.request_id, work.priority, now)
        self._fleet.place(
            work, server, requirements.footprint, now, hedge=True
        )
        decisions.append(work_module.Placement(work, server, hedge=True))

    def _check_priority_order(self, higher, queue):
        """Assert that no class is passed over for a lower one."""
        for other in higher:
            invariants.check(
                other.priority == queue.priority
                or other.key in self._blocked_queues
                or not len(other.pending),
                "higher-class-goes-first",
                f"{queue.class_name} before {other.class_name}",
            )

    def _refresh(self, now):
        if now < self._next_merge:
            return
        self._next_merge = now + MERGE_INTERVAL_SECONDS
        self._reserve.close_windows(now)
        self._shares.decay(now)
        self._instances = self._view.instances(now)
        self._limiter.refresh(now)
        burst = self._reserve.burst(self._instances)
        if not self._options.reserve:
            burst = 0.0
        self._fleet.refresh(now, burst, self._reserve.extra)
        self._blocked_queues.clear()
        for queue in self._queues.values():
            queue.merge(self._view)

    def _queues_with_work(self, now):
        """Return the queues that hold work, highest priority first.

        Also marks the queues that claim their minimum share; these are served
        before all others.
        """
        queues = [
            queue for queue in self._queues.values() if len(queue.pending)
        ]
        for queue in queues:
            queue.claims_share = self._claims_minimum_share(queue, now)
        queues.sort(key=class_queues.priority_of)
        return queues

    def _claims_minimum_share(self, queue, now):
        if (
            not self._options.minimum_shares
            or queue.key in self._blocked_queues
        ):
            return False
        if not self._shares.below(queue.class_name, queue.minimum_share):
            return False
        return queue.pending.head_wait(now) > shares.MIN_WAIT_SECONDS

    def _refuse_expired(self, queue, now, decisions):
        for work in queue.pending.pop_expired(now):
            reason = sentinels.Nothing(sentinels.Reason.DEADLINE, 1.0)
            self._refuse(work, reason, now, decisions)

    def _place_waiting(self, queue, now, directory, decisions):
        while True:
            work = queue.pending.head(now)
            if work is None:
                return
            servers = directory_module.eligible_for(directory, work)
            reason = self._refusal_reason(queue, work, servers, now)
            if reason is not None:
                queue.pending.remove(work.request_id)
                self._refuse(work, reason, now, decisions)
                continue
            requirements, server = self._pick_server(queue, work, servers, now)
            if not server and self._permits.active:
                refused = self._refuse_for_limits(queue, work, servers, now)
                if refused is not None:
                    queue.pending.remove(work.request_id)
                    self._refuse(work, refused, now, decisions)
                    continue
            if not server:
                self._blocked_queues.add(queue.key)
                return
            self._place(queue, requirements, server, now, decisions)
            if queue.claims_share and not self._claims_minimum_share(
                queue, now
            ):
                # It has its minimum share; what is left is served in order of
                # priority.
                return

    def _refuse_for_limits(self, queue, work, servers, now):
        """Return the refusal of work that gets no permit in time, or ``None``.

        The whole class queue wants permits.  It just waits if another server,
        or one with a permit, takes the work once it has a free slot.
        """
        throttled = []
        for server in servers:
            name = server.announcement.backend_server
            if name in work.excluded_servers or not server.takes_work(now):
                continue
            if self._permits.has(name, work.priority, now):
                return None
            throttled.append(name)
        if not throttled:
            return None
        waiting = permit_waits.Waiting(
            key=queue.key,
            line=queue.key,
            priority=work.priority,
            since=work.received,
            accepted=work.deadline - now,
            count=len(queue.pending),
        )
        search = self._permit_waits.find(waiting, throttled, now)
        if not search.servers:
            return permit_waits.refusal(search.wait)
        self._permit_waits.wait(waiting, search.servers)
        return None

    def _pick_server(self, queue, work, servers, now):
        """Return the requirements of a placement and the server for it."""
        subset = self._placing.subset(
            servers, work, self._fleet, self._instances, now
        )
        requirements = self._requirements(queue, work, now)
        return requirements, self._placing.pick(
            requirements, subset, self._fleet, now
        )

    def _refuse(self, work, reason, now, decisions):
        self._limiter.settle(work, 0.0, now)
        decisions.append(work_module.Refusal(work, reason))

    def _refusal_reason(self, queue, work, servers, now):
        """Return why queued work has to be refused now, or ``None``.

        Work that has failed on every server is refused at once instead of near
        its deadline, and so is sheddable work that can no longer meet its
        target, so that the caller still has time for an alternative.
        """
        if placing.failed_everywhere(work, servers):
            return sentinels.Nothing(sentinels.Reason.NO_SERVER, 1.0)
        if not self._options.early_refusal:
            return None
        if not refusal.cannot_meet_target(
            work, self._service_seconds(work), now
        ):
            return None
        invariants.check(
            work.sheddable,
            "only-sheddable-work-is-shed",
            f"{work.request_id} of class {work.class_name}",
        )
        rate = queue.rate.per_second(now)
        return refusal.all_busy(len(queue.pending) / rate if rate else 1.0)

    def _requirements(self, queue, work, now):
        service_seconds = self._service_seconds(work)
        slack = refusal.latest_start(work, service_seconds) - now
        return placing.Requirements(
            work,
            self._is_protected(work),
            queue.claims_share,
            work.prompt_tokens + self._lengths.mean(work),
            slack / service_seconds,
            self._max_protected_priority is None
            or self._fleet.open_to_unprotected(now),
        )

    def _place(self, queue, requirements, server, now, decisions):
        work = requirements.work
        queue.pending.take(work)
        tokens = self._fairness_tokens(work)
        queue.rate.placed(now)
        queue.counters.charge(work.organisation, work.weight, tokens)
        self._shares.placed(work.class_name, tokens)
        self._permits.take(server, work.request_id, work.priority, now)
        self._fleet.place(work, server, requirements.footprint, now)
        self._check_reserve_untouched(requirements, server)
        decisions.append(work_module.Placement(work, server))

    def _check_reserve_untouched(self, requirements, server):
        """Assert that unprotected work did not use reserved slots."""
        engine = self._fleet.engine_of(server)
        invariants.check(
            requirements.protected
            or requirements.claims_share
            or engine.slow
            or engine.own <= engine.allowed,
            "lower-class-leaves-the-reserve",
            f"{requirements.work.request_id} on {server}",
        )

    # Feedback from attempts and servers

    def first_output(self, request_id, now):
        """Learn from the time that a server took to its first output."""
        attempt = self._fleet.first_output(request_id, now)
        if attempt is not None and reserve.is_protected(attempt.work):
            self._reserve.answered(attempt.work, now)

    def ended(self, ended, now):
        """Release the server's slot and learn from how the attempt ended."""
        attempt = self._fleet.ended(ended, now)
        self._blocked_queues.clear()
        if attempt is None:
            return
        self._placing.remember_freed(attempt.server)
        work = attempt.work
        if work.request_id in self._fleet.attempts:
            # The hedge, or the first attempt, still runs and is charged when
            # it ends.
            return
        queue = self._queue_for(work)
        if ended.failed:
            self._limiter.settle(work, 0.0, now)
            queue.counters.charge(
                work.organisation, work.weight, -self._fairness_tokens(work)
            )
            return
        used = work.prompt_tokens + ended.output_tokens
        if ended.wasted:
            self._limiter.settle(work, self._expected_tokens(work), now)
            return
        self._limiter.settle(work, used, now)
        excess = ended.output_tokens - self._lengths.mean(work)
        queue.counters.charge(work.organisation, work.weight, excess)
        self._lengths.learn(work, ended.output_tokens)

    def requeue(self, work, now):
        """Put the work at the front of its organisation's queue."""
        queue = self._queue_for(work)
        queue.pending.push(work, self._fresh_until(work), front=True)
        self._blocked_queues.discard(queue.key)
        self._limiter.charge(work, self._expected_tokens(work), now)

    def retry(self, work, now):
        """Queue work whose attempt broke off, within the retry budget."""
        if not self._retries.allow(work, self._fleet.free > 0):
            return sentinels.Nothing(sentinels.Reason.SERVER_FAILED, 1.0)
        self._retries.delay(work, now)
        return work

    def seek(self, work, since):
        """Start looking for a server to hedge a silent one."""
        self._searches.begin(work, since)

    def stop_seeking(self, request_id):
        """Stop looking for a server to hedge a silent one."""
        self._searches.end(request_id)

    def withdraw(self, request_id):
        """Remove waiting work; return it, or ``None`` if none waits.

        Delayed retries count as waiting.
        """
        work = self._retries.withdraw(request_id)
        for queue in self._queues.values():
            work = work or queue.pending.remove(request_id)
        if work is not None:
            self._limiter.settle(work, 0.0, work.received)
        return work

    def waiting(self):
        """Return the number of queued requests by class."""
        counts = {}
        for queue in self._queues.values():
            if len(queue.pending):
                count = counts.get(queue.class_name, 0)
                counts[queue.class_name] = count + len(queue.pending)
        return counts

    def observe(self, server, now):
        """Process a server's load report."""
        self._fleet.observe(server, now)
        self._blocked_queues.clear()

    def forget_server(self, name):
        """Drop the state of a server that is gone."""
        self._fleet.forget(name)
