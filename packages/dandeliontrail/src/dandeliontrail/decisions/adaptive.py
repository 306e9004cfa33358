"""The policy in use: late binding, reserves, shares, fairness, refusal."""

import random

from .. import invariants
from .. import sentinels
from . import fairness
from . import fleet as fleet_module
from . import lanes
from . import lengths
from . import limits
from . import options as options_module
from . import placing
from . import policy
from . import refusal
from . import reserve
from . import retries
from . import searches
from . import shares
from . import view as view_module
from . import work as work_module

# Usage of the other instances is taken in this often; the ledger itself
# moves about once a second.
MERGE_INTERVAL = 1.0


class Adaptive(policy.Policy):
    """Decides for one instance, from its own counts and late reports.

    >>> Adaptive().waiting()
    {}
    """

    def __init__(self, rng=None, view=None, identity=("", ""), options=None):
        self._options = options or options_module.Options()
        self._rng = rng or random.Random(0)
        self._view = view or view_module.FixedView()
        self._fleet = fleet_module.Fleet(self._rng, self._options)
        self._placing = placing.Placing(self._rng, identity, self._options)
        self._lengths = lengths.Lengths()
        self._reserve = reserve.Reserve()
        self._limiter = limits.Limiter(self._view)
        self._retries = retries.Retries(self._rng)
        self._searches = searches.Searches()
        self._shares = shares.Shares()
        self._lanes = {}
        self._next_merge = 0.0
        self._instances = 1
        self._protected = {}
        self._top_protected = None
        self._full = set()

    # Admitting

    def offer(self, work, now):
        """Queue the work, or refuse what cannot be served in time."""
        lane = self._lane(work)
        lane.weights[work.organisation] = work.weight
        work.predicted_tokens = int(self._lengths.upper(work))
        within = self._limiter.admit(work, now)
        if not within:
            return within
        if reserve.protected(work):
            self._reserve.arrived(now)
            self._note_protected(work)
        if self._options.early_refusal:
            own, organisations = lane.queue.ahead(work.organisation)
            ahead = refusal.Ahead(
                len(lane.queue), own, organisations, lane.rate.per_second(now)
            )
            seconds = self._service_seconds(work)
            admitted = refusal.admit(work, ahead, seconds, now)
            if not admitted:
                self._check_shed(work)
                return admitted
        elif len(lane.queue) >= refusal.LONGEST_QUEUE:
            return sentinels.Nothing(sentinels.Reason.QUEUE_FULL, 1.0)
        lane.queue.push(work, self._fresh_until(work))
        self._full.discard(lane.key)
        self._limiter.charge(work, self._charged_tokens(work), now)
        self._retries.admitted()
        return work

    def _note_protected(self, work):
        """Remember down to which priority classes are protected.

        Made for a class without a first-token target that ranks above one
        with such a target: it must not wait for slots that are kept for the
        lower one.
        """
        self._protected[work.class_name] = work.priority
        self._top_protected = max(self._protected.values())

    def _is_protected(self, work):
        top = self._top_protected
        return top is not None and work.priority <= top

    def _charged_tokens(self, work):
        return work.prompt_tokens + self._lengths.mean(work)

    def _check_shed(self, work):
        lane = self._lanes[lanes.key_of(work)]
        invariants.check(
            work.sheddable or len(lane.queue) >= refusal.LONGEST_QUEUE,
            "only-sheddable-work-is-shed",
            f"{work.request_id} of class {work.class_name}",
        )

    def _service_seconds(self, work):
        return self._fleet.service_seconds(work, self._lengths.mean(work))

    def _fresh_until(self, work):
        if not self._options.fresh_first:
            return work.deadline
        return refusal.fresh_until(work, self._service_seconds(work))

    def _tokens(self, work):
        prompt = work.prompt_tokens * fairness.PROMPT_PART
        return prompt + self._lengths.mean(work)

    def _lane(self, work):
        key = lanes.key_of(work)
        held = self._lanes.get(key)
        if held is None:
            held = self._lanes[key] = lanes.Lane(work, self._options)
        held.declare(work)
        return held

    # Placing

    def next(self, now, directory):
        """Return all placements and refusals that are due."""
        decided = []
        self._refresh(now)
        for work in self._retries.due(now):
            self.requeue(work, now)
        busy = self._busy(now)
        for lane in busy:
            self._expire(lane, now, decided)
            if lane.claims:
                self._serve(lane, now, directory, decided)
        for number, lane in enumerate(busy):
            lane.claims = False
            if lane.key not in self._full:
                self._check_order(busy[:number], lane)
                self._serve(lane, now, directory, decided)
        for search in self._searches.due(now):
            self._hedge(search.work, now, directory, decided)
        return decided

    def _hedge(self, work, now, directory, decided):
        """Place what a silent server has beside it, where there is room.

        It comes after all that has no server.  Its organisation has paid for
        it already, and does not choose how many servers are asked.
        """
        if not self._retries.allow(work, self._fleet.free > 0):
            return
        servers = directory.eligible(work.class_name, work.model, work.service)
        if placing.all_avoided(work, servers):
            work.ask_again()
        need, server = self._pick(self._lane(work), work, servers, now)
        if not server:
            return
        self._searches.end(work.request_id)
        self._retries.spend()
        self._fleet.place(work, server, need.footprint, now, hedge=True)
        decided.append(work_module.Placement(work, server, hedge=True))

    def _check_order(self, higher, lane):
        """Assert that no class is passed over for a lower one."""
        for other in higher:
            invariants.check(
                other.priority == lane.priority
                or other.key in self._full
                or not len(other.queue),
                "higher-class-goes-first",
                f"{lane.class_name} before {other.class_name}",
            )

    def _refresh(self, now):
        if now < self._next_merge:
            return
        self._next_merge = now + MERGE_INTERVAL
        self._reserve.roll(now)
        self._shares.fade(now)
        self._instances = self._view.instances(now)
        self._limiter.refresh(now)
        burst = self._reserve.burst(self._instances)
        if not self._options.reserve:
            burst = 0.0
        self._fleet.refresh(now, burst, self._reserve.extra)
        self._full.clear()
        for lane in self._lanes.values():
            lane.merge(self._view)

    def _busy(self, now):
        """Return the lanes with work, the highest class first.

        Of these some claim their minimum share, and go before all others.
        """
        busy = [lane for lane in self._lanes.values() if len(lane.queue)]
        for lane in busy:
            lane.claims = self._claims(lane, now)
        busy.sort(key=lanes.rank)
        return busy

    def _claims(self, lane, now):
        if not self._options.minimum_shares or lane.key in self._full:
            return False
        if not self._shares.below(lane.class_name, lane.minimum_share):
            return False
        return lane.queue.oldest_wait(now) > shares.PATIENCE

    def _expire(self, lane, now, decided):
        for work in lane.queue.pop_expired(now):
            nothing = sentinels.Nothing(sentinels.Reason.DEADLINE, 1.0)
            self._refuse(work, nothing, now, decided)

    def _serve(self, lane, now, directory, decided):
        while True:
            work = lane.queue.head(now)
            if work is None:
                return
            servers = directory.eligible(
                work.class_name, work.model, work.service
            )
            nothing = self._reason_against(lane, work, servers, now)
            if nothing is not None:
                lane.queue.remove(work.request_id)
                self._refuse(work, nothing, now, decided)
                continue
            need, server = self._pick(lane, work, servers, now)
            if not server:
                self._full.add(lane.key)
                return
            self._place(lane, need, server, now, decided)
            if lane.claims and not self._claims(lane, now):
                # It goes on in its own order.
                return

    def _pick(self, lane, work, servers, now):
        """Return what a placement has to respect, and the server for it."""
        subset = self._placing.subset(
            servers, work, self._fleet, self._instances, now
        )
        need = self._need(lane, work, now)
        return need, self._placing.pick(need, subset, self._fleet, now)

    def _refuse(self, work, nothing, now, decided):
        self._limiter.settle(work, 0.0, now)
        decided.append(work_module.Refusal(work, nothing))

    def _reason_against(self, lane, work, servers, now):
        """Return why queued work is to be refused now, or ``None``.

        Work that has failed on every server gets its answer at once and not
        near its deadline, and so does sheddable work that can no longer
        meet its target: its caller can still do something else.
        """
        if placing.all_avoided(work, servers):
            return sentinels.Nothing(sentinels.Reason.NO_SERVER, 1.0)
        if not self._options.early_refusal:
            return None
        if not refusal.hopeless(work, self._service_seconds(work), now):
            return None
        invariants.check(
            work.sheddable,
            "only-sheddable-work-is-shed",
            f"{work.request_id} of class {work.class_name}",
        )
        rate = lane.rate.per_second(now)
        return refusal.busy(len(lane.queue) / rate if rate else 1.0)

    def _need(self, lane, work, now):
        seconds = self._service_seconds(work)
        slack = refusal.start_by(work, seconds) - now
        return placing.Need(
            work,
            self._is_protected(work),
            lane.claims,
            work.prompt_tokens + self._lengths.mean(work),
            slack / seconds,
            self._top_protected is None or self._fleet.open_to_lower(now),
        )

    def _place(self, lane, need, server, now, decided):
        work = need.work
        lane.queue.take(work)
        tokens = self._tokens(work)
        lane.rate.placed(now)
        lane.counters.charge(work.organisation, work.weight, tokens)
        self._shares.placed(work.class_name, tokens)
        self._fleet.place(work, server, need.footprint, now)
        self._check_share(need, server)
        decided.append(work_module.Placement(work, server))

    def _check_share(self, need, server):
        """Assert that work which can wait left the reserve alone."""
        engine = self._fleet.engine_of(server)
        invariants.check(
            need.protected
            or need.claims_share
            or engine.slow
            or engine.own <= engine.allowed,
            "lower-class-leaves-the-reserve",
            f"{need.work.request_id} on {server}",
        )

    # Feedback

    def first_output(self, request_id, now):
        """Learn how soon the server gave its first output."""
        held = self._fleet.first_output(request_id, now)
        if held is not None and reserve.protected(held.work):
            self._reserve.answered(held.work, now)

    def ended(self, ended, now):
        """Learn from the attempt, and count the server as less busy."""
        held = self._fleet.ended(ended, now)
        self._full.clear()
        if held is None:
            return
        self._placing.freed(held.server)
        work = held.work
        if work.request_id in self._fleet.attempts:
            # It goes on at its other server, and is charged there.
            return
        lane = self._lane(work)
        if ended.failed:
            self._limiter.settle(work, 0.0, now)
            lane.counters.charge(
                work.organisation, work.weight, -self._tokens(work)
            )
            return
        used = work.prompt_tokens + ended.output_tokens
        if ended.wasted:
            self._limiter.settle(work, self._charged_tokens(work), now)
            return
        self._limiter.settle(work, used, now)
        excess = ended.output_tokens - self._lengths.mean(work)
        lane.counters.charge(work.organisation, work.weight, excess)
        self._lengths.learn(work, ended.output_tokens)

    def requeue(self, work, now):
        """Put the work at the front of its organisation's queue."""
        lane = self._lane(work)
        lane.queue.push(work, self._fresh_until(work), front=True)
        self._full.discard(lane.key)
        self._limiter.charge(work, self._charged_tokens(work), now)

    def retry(self, work, now):
        """Queue work again whose attempt broke off, within the budget."""
        if not self._retries.allow(work, self._fleet.free > 0):
            return sentinels.Nothing(sentinels.Reason.SERVER_FAILED, 1.0)
        self._retries.delay(work, now)
        return work

    def seek(self, work, since):
        """Look for a server beside a silent one."""
        self._searches.begin(work, since)

    def stop_seeking(self, request_id):
        """Look for no server any more beside a silent one."""
        self._searches.end(request_id)

    def withdraw(self, request_id):
        """Take the work out of where it waits, if it does."""
        found = self._retries.withdraw(request_id)
        for lane in self._lanes.values():
            found = found or lane.queue.remove(request_id)
        if found is not None:
            self._limiter.settle(found, 0.0, found.received)
        return found

    def waiting(self):
        """Count the queued work by class."""
        counted = {}
        for lane in self._lanes.values():
            if len(lane.queue):
                held = counted.get(lane.class_name, 0)
                counted[lane.class_name] = held + len(lane.queue)
        return counted

    def observe(self, server, now):
        """Take in a load report."""
        self._fleet.observe(server, now)
        self._full.clear()

    def forget_server(self, name):
        """Drop what is held about a server that is gone."""
        self._fleet.forget(name)
