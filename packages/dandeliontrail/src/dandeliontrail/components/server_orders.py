"""Orders the number of servers of each service from the platform.

This is a scheduler of the duties component.  It counts the serving servers,
asks :mod:`..decisions.server_counts` how many to keep, and writes each
changed order to the quorum log before it is sent, so that the next holder
continues from the last order.
"""

from .. import effects
from . import call_scheduler
from ..coordination import server_counts
from ..decisions import server_counts as decision

CHECK_INTERVAL_SECONDS = 0.5
# The number of serving servers is taken as needed once it has been stable for
# this long.  Servers announce themselves about once per second.
STABLE_SECONDS = 2.0
# This long after its start, an instance knows all existing servers.
DISCOVERY_SECONDS = 4.0
# An order whose servers do not appear is repeated this long after the end of
# the time that they take to boot.
OVERDUE_SECONDS = 3.0
NEVER = float("inf")


class ServerOrders(call_scheduler.CallScheduler):
    """Keeps the orders of all services in line with the serving servers."""

    def __init__(self, state, propose):
        self._state = state
        self._ordered = state.duties.ordered
        self._propose = propose
        self._regular_counts = {}
        self._pending_proposals = set()
        self._accepted_at = {}
        self._overdue_at = {}
        self._not_before = {}
        self._next_check = 0.0
        self._informed_at = None

    def record_running(self, now):
        """Record that this instance runs, also while it is not the holder.

        The first call starts the time of ``DISCOVERY_SECONDS``.
        """
        if self._informed_at is None:
            self._informed_at = now + DISCOVERY_SECONDS

    def tick(self, now):
        """Return the effects of the orders that change."""
        if not self._state.duties.options.orders_servers:
            return []
        if now < self._next_check:
            return []
        self._next_check = now + CHECK_INTERVAL_SECONDS
        counts_by_group = server_counts.count(
            item.announcement for item in self._state.registry.serving(now)
        )
        out = []
        for service in self._scaled_services():
            out.extend(self._check_service(service, counts_by_group, now))
        return out

    def _scaled_services(self):
        table = self._state.routing.table
        if table is None:
            return []
        return [item for item in table.revision.services if item.scaling]

    def _check_service(self, service, counts_by_group, now):
        """Compare the orders of a service with what should be ordered.

        ``counts_by_group`` counts the serving servers of each group.  A
        failure domain without any known server may be partitioned, and its
        orders are left unchanged.
        """
        serving = _stock_by_domain(service.name, counts_by_group)
        needed = {
            domain: self._needed_servers(service.name, domain, stock)
            for domain, stock in serving.items()
        }
        known = self._ordered.domains(service.name)
        # The reserve is divided among all failure domains.  While one of them
        # is new, the final shares are not known, so orders only grow.
        complete = needed.keys() <= known
        domains = len(known) if complete else 1
        wanted = decision.plan(service.scaling, needed, serving, domains)
        if not complete:
            self._prevent_spot_decrease(service.name, wanted)
        out = []
        for domain, stock in serving.items():
            regular = server_counts.Group(service.name, domain, False)
            spot = server_counts.Group(service.name, domain, True)
            counts = self._orders_to_compare(
                regular, spot, wanted[domain], stock, now
            )
            if counts:
                self._set_overdue(spot, stock.spot, service.scaling)
                self._set_overdue(regular, stock.regular, service.scaling)
            for group, count in counts:
                out.extend(
                    self._order_servers(
                        group, count, needed[domain], stock, now
                    )
                )
        return out

    def _orders_to_compare(self, regular, spot, wanted, serving, now):
        """Return the orders to compare, as pairs of group and count.

        As long as nothing is ordered, the servers found so far are a lower
        bound of those needed.  Spot servers are ordered for them at once,
        since every second until they have started is paid for at the full
        price.  Regular servers are given up only once the count is stable
        and this instance knows all servers.
        """
        settled = self._is_stable(regular, serving.regular, now)
        ordered = self._ordered.last(regular) is not None
        informed = now >= self._informed_at
        if ordered and not informed:
            return []
        if ordered or (settled and informed):
            return [(spot, wanted.spot), (regular, wanted.regular)]
        return [(spot, wanted.spot)]

    def _prevent_spot_decrease(self, service, wanted):
        for domain, stock in wanted.items():
            spot = server_counts.Group(service, domain, True)
            stock.spot = max(stock.spot, self._last_ordered_count(spot))

    def _last_ordered_count(self, group):
        last = self._ordered.last(group)
        return last.count if last is not None else 0

    def _needed_servers(self, service, domain, serving):
        """Return how many servers a failure domain needs.

        That is the number that served before anything was ordered.
        """
        regular = server_counts.Group(service, domain, False)
        spot = server_counts.Group(service, domain, True)
        last = self._ordered.last(regular)
        if last is not None:
            return last.needed
        last = self._ordered.last(spot)
        return max(last.needed if last else 0, serving.regular)

    def _set_overdue(self, group, serving, scaling):
        """Set when to repeat an order whose servers did not appear."""
        last = self._ordered.last(group)
        accepted_at = self._accepted_at.get(group)
        if last is None or accepted_at is None or serving >= last.count:
            self._overdue_at.pop(group, None)
        else:
            self._overdue_at[group] = (
                accepted_at + scaling.boot_seconds + OVERDUE_SECONDS
            )

    def _is_stable(self, group, count, now):
        """Return whether ``count`` is unchanged for ``STABLE_SECONDS``."""
        before, since = self._regular_counts.get(group, (None, now))
        if before != count:
            self._regular_counts[group] = (count, now)
            return False
        return now - since >= STABLE_SECONDS

    def _order_servers(self, group, count, needed, serving, now):
        last = self._ordered.last(group)
        # Before the first order, the number of regular servers is unknown
        # and there are no spot servers.
        before = 0 if group.spot else None
        if last is not None:
            before = last.count
        if before == count or group in self._pending_proposals:
            return []
        self._pending_proposals.add(group)
        order = server_counts.CountOrder(group, count, needed)
        fields = {
            "service": group.service,
            "failure_domain": group.failure_domain,
            "spot": group.spot,
            "count": count,
            "before": before,
            "needed": needed,
            "regular_serving": serving.regular,
            "spot_serving": serving.spot,
        }

        def settled(outcome, now):
            self._pending_proposals.discard(group)
            self._accepted_at.pop(group, None)
            return []

        return [
            effects.Log("info", "servers ordered", fields),
            *self._propose(order, now, settled),
        ]

    # -- sending the orders -----------------------------------------------

    def next_call(self, now):
        """Return the call that is due, or ``None``."""
        for group, order in self._ordered.orders.items():
            if now < self._not_before.get(group, 0.0):
                continue
            if group in self._accepted_at and now < self._overdue_at.get(
                group, NEVER
            ):
                continue
            version = self._ordered.versions[group]
            return effects.SetServerCount(group, order.count, version)
        return None

    def record_accepted(self, call, now):
        """Record that the platform accepted an order."""
        if self._ordered.versions.get(call.group) == call.version:
            self._accepted_at[call.group] = now
        self._not_before.pop(call.group, None)

    def retry_at(self, call, until):
        """Have an order repeated, not before ``until``."""
        self._not_before[call.group] = until

    def log_fields(self, call):
        """Return the fields that a log line about an order contains."""
        group = call.group
        return {
            "service": group.service,
            "failure_domain": group.failure_domain,
            "spot": group.spot,
            "count": call.count,
        }


def _stock_by_domain(service, counts_by_group):
    """Return the :class:`decision.Stock` of each failure domain."""
    stocks = {}
    for group, count in counts_by_group.items():
        if group.service != service:
            continue
        stock = stocks.setdefault(group.failure_domain, decision.Stock())
        if group.spot:
            stock.spot = count
        else:
            stock.regular = count
    return stocks
