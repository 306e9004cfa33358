"""The component that gives orders to the engines of its failure domain.

Every instance runs it; the one that the log names as holder acts.  The
lease is asked for only when there is something to order, so that an idle
system writes nothing to the log.

What it guards against: two instances that order against each other (the
lease and its fencing number, :mod:`..coordination.leases`), an answer that
was lost (orders name a state and are repeated), an engine that crashes in
the middle of a load (given up after a while, tried elsewhere), the last
copy of a model in use (checked again right before sending), and twenty
cold loads at once (slots from :mod:`..coordination.downloads`).
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

INTERVAL = 1.0
# Downloads from the weight store at a time, over all instances, where the
# settings say nothing else.
DOWNLOADS = 4
# An order without an answer is repeated after this long; engines answer
# within a second, and a repetition does nothing if the first arrived.
REPEAT_AFTER = 10.0
# A model counts as in use this long after the last request for it.
USED_FOR = 600.0
REPORT_INTERVAL = 10.0
LOAD = model_orders.OrderKind.LOAD
UNLOAD = model_orders.OrderKind.UNLOAD


class Orders(interfaces.Component):
    """Compares declared with reported and orders the difference."""

    def __init__(self, state, download_budget=DOWNLOADS):
        self._state = state
        self._log = state.log
        self._orders = state.orders
        self._lease = state.orders.lease
        self._proposer = proposer.Proposer(state, "orders")
        self._propose = self._proposer.propose
        orders_state.register(state.log, state.orders)
        self._awaited = {}
        self._refused_until = {}
        self._slots = download_slots.DownloadSlots(
            state.identity.failure_domain,
            state.orders.downloads,
            self._propose,
            download_budget,
        )
        self._used = {}
        self._conditions = {}
        self._next = 0.0
        self._next_report = 0.0
        self._reported_gist = None

    def handlers(self):
        """Return the handlers of order events and messages."""
        return {
            events.OrderAnswered: self._answered,
            events.RequestReceived: self._received,
            order_reports.OrdersReport: self._reported,
        }

    def tick(self, now):
        """Compare and order, about once a second."""
        if now < self._next:
            return []
        self._next = now + INTERVAL
        self._lease.superseded(self._holding())
        engines = placements.local_engines(self._state, now)
        wanted = placements.wanted(self._state, engines, self._used_now(now))
        if not wanted and not self._awaited:
            return []
        if not self._is_ours(now):
            return self._stand_back()
        return self._act(wanted, engines, now)

    def _received(self, event, now):
        if event.model:
            self._used[event.model] = now
        return []

    def _used_now(self, now):
        self._used = {
            model: at
            for model, at in self._used.items()
            if now - at < USED_FOR
        }
        return self._used

    def _holding(self):
        domain = self._state.identity.failure_domain
        return self._orders.leases.holding(domain)

    def _is_ours(self, now):
        """Tell whether this instance should give the orders.

        A holder that is alive keeps them; else the first by name of the
        instances alive asks.  Two may think so of themselves for a while:
        the log grants one, and neither harms the other.  An instance that
        has lost the majority gives none and asks for nothing.
        """
        if self._log.stale(now):
            return False
        own = self._state.identity
        alive = {
            member.instance
            for member in self._state.members.alive(now)
            if member.failure_domain == own.failure_domain
        }
        holder = self._holding().holder
        if holder in alive and holder != own.instance:
            return False
        if holder == own.instance:
            return True
        return own.instance == min(alive | {own.instance})

    def _stand_back(self):
        """Forget what a holder keeps; its successor finds it out anew."""
        self._awaited.clear()
        self._slots.clear()
        return []

    def _act(self, wanted, engines, now):
        out = self._settle(engines, now)
        view = model_orders.View(
            engines,
            self._awaited,
            self._refused_until,
            self._orders.attainment,
        )
        made = model_orders.plan(wanted, view, now)
        self._conditions = made.conditions
        if made.orders or self._awaited:
            out.extend(self._renew(now))
        by_name = {item.name: item for item in wanted}
        for placement, order in made.orders:
            out.extend(self._start(by_name[placement], order, view, now))
        out.extend(self._drop_unplanned(made.orders, now))
        out.extend(self._repeat(engines, now))
        out.extend(self._report(now))
        return out

    def _drop_unplanned(self, orders, now):
        if self._lease.grant is None:
            return []
        planned = {order.key for _, order in orders} | set(self._awaited)
        fencing = self._lease.grant.fencing
        return self._slots.drop_unplanned(planned, fencing, now)

    def _renew(self, now):
        return self._proposer.renew(
            self._lease, self._holding(), now, self._leased
        )

    def _leased(self, settled, now):
        """Take in the log's answer to a lease request."""
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

    def _settle(self, engines, now):
        """End each order that is seen in a report, or given up."""
        self._adopt(engines, now)
        out = self._slots.settle(engines, now)
        for key, item in list(self._awaited.items()):
            announcement = engines.get(item.order.server)
            if announcement is None:
                out.extend(self._lose(key, item, now))
            elif placements.is_seen(item.order, engines):
                out.extend(self._end(key, "done", now))
            elif 0 <= item.epoch < announcement.epoch:
                out.extend(self._end(key, "backend_server_restarted", now))
            elif now - item.given_at > model_orders.LONGEST_LOAD:
                out.extend(self._end(key, "given_up", now))
        return out

    def _adopt(self, engines, now):
        """Await the loads that a lost predecessor has under way.

        Their slots are in the log.  Without this a successor would order
        the same copies again on other engines.
        """
        for slot in self._slots.of_predecessors():
            if slot.order in self._awaited:
                continue
            order = model_orders.parse_key(slot.order)
            announcement = engines.get(order.server)
            self._awaited[slot.order] = model_orders.Awaited(
                order,
                "",
                now,
                slot.fencing,
                announcement.epoch if announcement else -1,
            )

    def _lose(self, key, item, now):
        """Stop awaiting an engine that fell silent; others may do it."""
        del self._awaited[key]
        self._refused_until[key] = now + model_orders.RETRY_AFTER
        if item.order.kind is LOAD:
            self._slots.watch(item)
        return [self._line(item.order, item.fencing, "backend_server_gone")]

    def _end(self, key, reason, now):
        item = self._awaited.pop(key)
        if reason != "done":
            self._refused_until[key] = now + model_orders.RETRY_AFTER
        out = [self._line(item.order, item.fencing, reason)]
        if item.order.kind is LOAD:
            out.extend(self._slots.give_back(key, item.fencing, now))
        return out

    def _line(self, order, fencing, reason):
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

    def _start(self, item, order, view, now):
        announcement = view.announcements[order.server]
        checks = placements.checks_fencing(self._state, announcement)
        if not self._lease.may_order(checks, now):
            self._conditions[item.name] = self._why_not(now)
            return []
        if order.kind is LOAD and not self._slots.granted(order):
            self._conditions[item.name] = "waiting for the weight store"
            fencing = self._lease.grant.fencing
            return self._slots.ask(order, fencing, item.protected, now)
        if order.kind is UNLOAD and item.in_use:
            # The plan looked at the same view; another order of this very
            # tick may have taken the other copy since.
            if not model_orders.safe_to_unload(order, view):
                return []
        return self._give(item.name, order, announcement, checks, now)

    def _why_not(self, now):
        grant = self._lease.grant
        if grant is None or now >= grant.valid_until:
            return "waiting for the lease of this failure domain"
        wait = grant.unchecked_from - now
        return f"waiting {wait:.0f} s for the former holder's last order"

    def _give(self, placement, order, announcement, checks, now):
        key = order.key
        fencing = self._lease.grant.fencing
        held = self._awaited.get(key)
        if held is None:
            held = model_orders.Awaited(
                order, placement, now, fencing, announcement.epoch, attempts=0
            )
            self._awaited[key] = held
        held.attempts += 1
        held.fencing = fencing
        invariants.check(
            self._lease.may_order(checks, now),
            "orders-only-under-a-lease",
            key,
        )
        return [
            effects.GiveOrder(order, announcement.url, fencing, checks),
            self._line(order, fencing, "given"),
        ]

    def _repeat(self, engines, now):
        out = []
        for item in list(self._awaited.values()):
            if item.answered or item.order.server not in engines:
                continue
            if now - item.given_at < REPEAT_AFTER * item.attempts:
                continue
            announcement = engines[item.order.server]
            checks = placements.checks_fencing(self._state, announcement)
            if self._lease.may_order(checks, now):
                out.extend(
                    self._give(
                        item.placement, item.order, announcement, checks, now
                    )
                )
        return out

    def _answered(self, event, now):
        item = self._awaited.get(event.key)
        if item is None or item.fencing != event.fencing:
            return []
        out = [self._line(item.order, event.fencing, event.answer.value)]
        if event.answer is events.OrderAnswer.ACCEPTED:
            item.answered = True
        elif event.answer is events.OrderAnswer.STALE_FENCING:
            # Somebody else holds the orders; the log will say who.
            self._lease.grant = None
        elif event.answer is events.OrderAnswer.REFUSED:
            out.extend(self._end(event.key, "refused", now))
        return out

    def _report(self, now):
        """Tell every instance alive, and oneself, when something changed.

        A report is repeated now and then while orders are under way, for
        those that missed one or have come since.
        """
        report = self._make_report(now)
        changed = _gist(report) != self._reported_gist
        if not changed and (not self._awaited or now < self._next_report):
            return []
        self._next_report = now + REPORT_INTERVAL
        self._reported_gist = _gist(report)
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
            for key, item in sorted(self._awaited.items())
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

    def _reported(self, source, report, now):
        """Keep what another holder says, unless a newer one spoke."""
        held = self._orders.reports.get(report.failure_domain)
        if held is None or report.fencing >= held.fencing:
            self._orders.reports[report.failure_domain] = report
        return []


def _gist(report):
    """Return what of a report is news; an age alone is none."""
    orders = [
        (line.order, line.answered, line.attempts) for line in report.orders
    ]
    return (report.fencing, orders, report.placements)
