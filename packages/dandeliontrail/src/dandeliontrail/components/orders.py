"""The component that sends orders to the engines of its failure domain.

Every instance runs it, but only the holder of the failure domain's lease
acts.  The lease is requested only when there is something to order, so that
an idle system writes nothing to the quorum log.

It guards against these failures:

- Two instances that send contradicting orders: the lease and its fencing
  number (:mod:`..coordination.leases`) prevent it.
- A lost answer: orders name the desired state, are idempotent and are
  repeated.
- An engine that crashes during a load: the order is given up after a timeout
  and tried on another engine.
- Unloading the last copy of a model in use: this is checked again right
  before an order is sent.
- Many cold loads at once, such as twenty: each needs a slot from
  :mod:`..coordination.downloads`.
"""

from .. import effects
from .. import events
from .. import interfaces
from .. import invariants
from ..coordination import order_reports
from ..decisions import model_orders
from . import download_slots
from . import orders_state
from . import placements
from . import proposer

PLAN_INTERVAL_SECONDS = 1.0
# The default limit of concurrent downloads from the weight store, over all
# instances.
MAX_CONCURRENT_DOWNLOADS = 4
# An unanswered order is repeated after this time.  Engines answer within a
# second, and a repetition has no effect if the first order arrived.
REPEAT_AFTER_SECONDS = 10.0
# A model counts as in use for this long after the last request for it.
MODEL_IN_USE_SECONDS = 600.0
REPORT_INTERVAL_SECONDS = 10.0
LOAD = model_orders.OrderKind.LOAD
UNLOAD = model_orders.OrderKind.UNLOAD


class Orders(interfaces.Component):
    """Compares declared placements with reported state and orders changes."""

    def __init__(self, state, download_budget=MAX_CONCURRENT_DOWNLOADS):
        self._state = state
        self._log = state.log
        self._orders = state.orders
        self._lease = state.orders.lease
        self._proposer = proposer.Proposer(state, "orders")
        self._propose = self._proposer.propose
        orders_state.register(state.log, state.orders)
        self._pending = {}
        self._refused_until = {}
        self._slots = download_slots.DownloadSlots(
            state.identity.failure_domain,
            state.orders.downloads,
            self._propose,
            download_budget,
        )
        self._last_used = {}
        self._conditions = {}
        self._next_plan = 0.0
        self._next_report = 0.0
        self._reported_content = None

    def handlers(self):
        """Return the handlers of requests, order answers and reports."""
        return {
            events.OrderAnswered: self._handle_answer,
            events.RequestReceived: self._handle_request,
            order_reports.OrdersReport: self._handle_report,
        }

    def tick(self, now):
        """Compare placements with engines and send orders, once per second."""
        if now < self._next_plan:
            return []
        self._next_plan = now + PLAN_INTERVAL_SECONDS
        self._lease.superseded(self._current_holding())
        engines = placements.local_engines(self._state, now)
        wanted = placements.wanted(
            self._state, engines, self._recently_used(now)
        )
        if not wanted and not self._pending:
            return []
        if not self._should_act(now):
            return self._clear_holder_state()
        return self._plan_and_send(wanted, engines, now)

    def _handle_request(self, event, now):
        if event.model:
            self._last_used[event.model] = now
        return []

    def _recently_used(self, now):
        self._last_used = {
            model: at
            for model, at in self._last_used.items()
            if now - at < MODEL_IN_USE_SECONDS
        }
        return self._last_used

    def _current_holding(self):
        domain = self._state.identity.failure_domain
        return self._orders.leases.holding(domain)

    def _should_act(self, now):
        """Return whether this instance should act or ask for the lease.

        A holder that is alive keeps the lease.  Otherwise the live instance
        whose name sorts first requests it.  Two instances may both consider
        themselves first for a while; this is safe, since the log grants the
        lease to one of them.  An instance without contact to a majority
        sends no orders and does not request the lease.
        """
        if self._log.stale(now):
            return False
        own = self._state.identity
        alive = {
            member.instance
            for member in self._state.members.alive(now)
            if member.failure_domain == own.failure_domain
        }
        holder = self._current_holding().holder
        if holder in alive and holder != own.instance:
            return False
        if holder == own.instance:
            return True
        return own.instance == min(alive | {own.instance})

    def _clear_holder_state(self):
        """Clear the state of a holder; its successor rebuilds it."""
        self._pending.clear()
        self._slots.clear()
        return []

    def _plan_and_send(self, wanted, engines, now):
        out = self._finish_orders(engines, now)
        view = model_orders.PlanInputs(
            engines,
            self._pending,
            self._refused_until,
            self._orders.attainment,
        )
        plan = model_orders.plan(wanted, view, now)
        self._conditions = plan.conditions
        if plan.orders or self._pending:
            out.extend(self._renew_lease(now))
        by_name = {item.name: item for item in wanted}
        for placement, order in plan.orders:
            out.extend(self._start_order(by_name[placement], order, view, now))
        out.extend(self._drop_unplanned(plan.orders, now))
        out.extend(self._repeat_unanswered(engines, now))
        out.extend(self._publish_report(now))
        return out

    def _drop_unplanned(self, orders, now):
        if self._lease.grant is None:
            return []
        planned = {order.key for _, order in orders} | set(self._pending)
        fencing = self._lease.grant.fencing
        return self._slots.drop_unplanned(planned, fencing, now)

    def _renew_lease(self, now):
        return self._proposer.renew(
            self._lease,
            self._current_holding(),
            now,
            self._handle_lease_result,
        )

    def _handle_lease_result(self, settled, now):
        """Apply the log's result of a lease request."""
        result = settled.result
        self._lease.answered(result, now)
        if result is None or not result.taken_over:
            return []
        holding = result.holding
        return [
            effects.Log(
                "info",
                "orders taken over",
                {
                    "failure_domain": self._state.identity.failure_domain,
                    "holder": holding.holder,
                    "fencing": holding.fencing,
                },
            )
        ]

    def _finish_orders(self, engines, now):
        """Finish orders that engines report as done or that have failed."""
        self._adopt_predecessors_loads(engines, now)
        out = self._slots.settle(engines, now)
        for key, item in list(self._pending.items()):
            announcement = engines.get(item.order.server)
            if announcement is None:
                out.extend(self._handle_lost_engine(key, item, now))
            elif placements.is_fulfilled(item.order, engines):
                out.extend(self._finish_order(key, "done", now))
            elif 0 <= item.epoch < announcement.epoch:
                out.extend(
                    self._finish_order(key, "backend_server_restarted", now)
                )
            elif now - item.given_at > model_orders.MAX_LOAD_SECONDS:
                out.extend(self._finish_order(key, "given_up", now))
        return out

    def _adopt_predecessors_loads(self, engines, now):
        """Track the loads that a lost predecessor started.

        Their slots are in the log.  Without this, a new holder would order
        the same copies again on other engines.
        """
        for slot in self._slots.predecessors_slots():
            if slot.order in self._pending:
                continue
            order = model_orders.parse_key(slot.order)
            announcement = engines.get(order.server)
            self._pending[slot.order] = model_orders.PendingOrder(
                order,
                "",
                now,
                slot.fencing,
                announcement.epoch if announcement else -1,
            )

    def _handle_lost_engine(self, key, item, now):
        """Stop tracking an order to a silent engine, to try another one."""
        del self._pending[key]
        self._refused_until[key] = now + model_orders.ORDER_RETRY_SECONDS
        if item.order.kind is LOAD:
            self._slots.keep_for_lost_load(item)
        return [
            self._log_effect(item.order, item.fencing, "backend_server_gone")
        ]

    def _finish_order(self, key, reason, now):
        item = self._pending.pop(key)
        if reason != "done":
            self._refused_until[key] = now + model_orders.ORDER_RETRY_SECONDS
        out = [self._log_effect(item.order, item.fencing, reason)]
        if item.order.kind is LOAD:
            out.extend(self._slots.give_back(key, item.fencing, now))
        return out

    def _log_effect(self, order, fencing, reason):
        return effects.Log(
            "info",
            "order",
            {
                "order": order.key,
                "backend_server": order.server,
                "fencing": fencing,
                "reason": reason,
            },
        )

    def _start_order(self, item, order, view, now):
        announcement = view.announcements[order.server]
        checks = placements.checks_fencing(self._state, announcement)
        if not self._lease.may_order(checks, now):
            self._conditions[item.name] = self._waiting_reason(now)
            return []
        if order.kind is LOAD and not self._slots.granted(order):
            self._conditions[item.name] = "waiting for the weight store"
            fencing = self._lease.grant.fencing
            return self._slots.ask(order, fencing, item.protected, now)
        if order.kind is UNLOAD and item.in_use:
            # The plan used the same view, but another order of this tick
            # may have removed the other copy since.
            if not model_orders.safe_to_unload(order, view):
                return []
        return self._send_order(item.name, order, announcement, checks, now)

    def _waiting_reason(self, now):
        grant = self._lease.grant
        if grant is None or now >= grant.valid_until:
            return "waiting for the lease of this failure domain"
        wait = grant.unchecked_from - now
        return f"waiting {wait:.0f} s for the former holder's last order"

    def _send_order(self, placement, order, announcement, checks, now):
        key = order.key
        fencing = self._lease.grant.fencing
        item = self._pending.get(key)
        if item is None:
            item = model_orders.PendingOrder(
                order, placement, now, fencing, announcement.epoch, attempts=0
            )
            self._pending[key] = item
        item.attempts += 1
        item.fencing = fencing
        invariants.check(
            self._lease.may_order(checks, now),
            "orders-only-under-a-lease",
            key,
        )
        return [
            effects.GiveOrder(order, announcement.url, fencing, checks),
            self._log_effect(order, fencing, "given"),
        ]

    def _repeat_unanswered(self, engines, now):
        out = []
        for item in list(self._pending.values()):
            if item.answered or item.order.server not in engines:
                continue
            if now - item.given_at < REPEAT_AFTER_SECONDS * item.attempts:
                continue
            announcement = engines[item.order.server]
            checks = placements.checks_fencing(self._state, announcement)
            if self._lease.may_order(checks, now):
                out.extend(
                    self._send_order(
                        item.placement, item.order, announcement, checks, now
                    )
                )
        return out

    def _handle_answer(self, event, now):
        item = self._pending.get(event.key)
        if item is None or item.fencing != event.fencing:
            return []
        out = [self._log_effect(item.order, event.fencing, event.answer.value)]
        if event.answer is events.OrderAnswer.ACCEPTED:
            item.answered = True
        elif event.answer is events.OrderAnswer.STALE_FENCING:
            # Another instance holds the lease; the log will show which.
            self._lease.grant = None
        elif event.answer is events.OrderAnswer.REFUSED:
            out.extend(self._finish_order(event.key, "refused", now))
        return out

    def _publish_report(self, now):
        """Send a report to all live instances if its content changed.

        It is also kept here.  While orders are pending, it is repeated every
        ``REPORT_INTERVAL_SECONDS`` for instances that missed it or have
        joined since.
        """
        report = self._make_report(now)
        changed = _comparable_content(report) != self._reported_content
        if not changed and (not self._pending or now < self._next_report):
            return []
        self._next_report = now + REPORT_INTERVAL_SECONDS
        self._reported_content = _comparable_content(report)
        self._orders.reports[report.failure_domain] = report
        return [
            effects.SendPeer(member.address, report)
            for member in self._state.members.alive(now)
        ]

    def _make_report(self, now):
        lines = [
            order_reports.OrderLine(
                key,
                item.placement,
                round(now - item.given_at, 1),
                item.answered,
                item.attempts,
            )
            for key, item in sorted(self._pending.items())
        ]
        conditions = [
            order_reports.PlacementLine(name, condition)
            for name, condition in sorted(self._conditions.items())
        ]
        grant = self._lease.grant
        return order_reports.OrdersReport(
            self._state.identity.failure_domain,
            self._state.identity.instance,
            grant.fencing if grant else 0,
            lines,
            conditions,
        )

    def _handle_report(self, source, report, now):
        """Store another holder's report unless a newer holder has reported."""
        stored = self._orders.reports.get(report.failure_domain)
        if stored is None or report.fencing >= stored.fencing:
            self._orders.reports[report.failure_domain] = report
        return []


def _comparable_content(report):
    """Return a report's content without the ages of its orders.

    A change of an age alone is no reason to send a report.
    """
    orders = [
        (line.order, line.answered, line.attempts) for line in report.orders
    ]
    return (report.fencing, orders, report.placements)
