"""Which servers the holder of the platform's duties orders, and when.

A part of the duties component.  It looks at what serves, asks
:mod:`..decisions.server_counts` what to keep, and has each change of an
order written to the log before it is given, so that the next holder goes on
from there.
"""

from .. import effects
from ..coordination import server_counts
from ..decisions import server_counts as decision
from . import duty_part

INTERVAL = 0.5
# What is found counts as needed once it has stayed the same for this long:
# servers announce themselves every second or so.
SETTLED_SECONDS = 2.0
# After its own start an instance has heard of all servers that there are.
INFORMED_SECONDS = 4.0
# An order whose servers do not come is given again once the time that they
# take to start is over by this much.
OVERDUE_SECONDS = 3.0
NEVER = float("inf")


class ServerOrders(duty_part.DutyPart):
    """Keeps the orders of all services in line with what serves."""

    def __init__(self, state, propose):
        self._state = state
        self._ordered = state.duties.ordered
        self._propose = propose
        self._found = {}
        self._proposed = set()
        self._given = {}
        self._due = {}
        self._next_call = {}
        self._next_look = 0.0
        self._informed_at = None

    def lives(self, now):
        """Take note that this instance runs, whoever holds the duty."""
        if self._informed_at is None:
            self._informed_at = now + INFORMED_SECONDS

    def tick(self, now):
        """Return the effects of orders that change."""
        if not self._state.duties.options.orders_servers:
            return []
        if now < self._next_look:
            return []
        self._next_look = now + INTERVAL
        heard = server_counts.count(
            item.announcement for item in self._state.registry.serving(now)
        )
        out = []
        for service in self._services():
            out.extend(self._look(service, heard, now))
        return out

    def _services(self):
        table = self._state.routing.table
        if table is None:
            return []
        return [item for item in table.revision.services if item.scaling]

    def _look(self, service, heard, now):
        """Compare what is ordered with what should be.

        ``heard`` counts the servers of each group.  A failure domain of which
        no server at all is heard may be cut off, and is left as it is.
        """
        serving = _by_domain(service.name, heard)
        needed = {
            domain: self._needed(service.name, domain, stock)
            for domain, stock in serving.items()
        }
        known = self._ordered.domains(service.name)
        # A reserve is shared out among all failure domains, once none of them
        # has only just been found; until then orders only grow.
        complete = needed.keys() <= known
        domains = len(known) if complete else 1
        wanted = decision.plan(service.scaling, needed, serving, domains)
        if not complete:
            self._grow_only(service.name, wanted)
        out = []
        for domain, stock in serving.items():
            regular = server_counts.Group(service.name, domain, False)
            spot = server_counts.Group(service.name, domain, True)
            counts = self._counts(regular, spot, wanted[domain], stock, now)
            if counts:
                self._note_missing(spot, stock.spot, service.scaling)
                self._note_missing(regular, stock.regular, service.scaling)
            for group, count in counts:
                out.extend(
                    self._order(group, count, needed[domain], stock, now)
                )
        return out

    def _counts(self, regular, spot, wanted, serving, now):
        """Return the orders to compare, as pairs of group and count.

        As long as nothing is ordered, the servers that were found are some of
        those that are needed: spot ones are ordered for them at once, since
        each second until these have started is paid for at the full price.
        Regular ones are given up only by what is known for sure.
        """
        settled = self._has_settled(regular, serving.regular, now)
        ordered = self._ordered.last(regular) is not None
        informed = now >= self._informed_at
        if ordered and not informed:
            return []
        if ordered or (settled and informed):
            return [(spot, wanted.spot), (regular, wanted.regular)]
        return [(spot, wanted.spot)]

    def _grow_only(self, service, wanted):
        for domain, stock in wanted.items():
            spot = server_counts.Group(service, domain, True)
            stock.spot = max(stock.spot, self._last_count(spot))

    def _last_count(self, group):
        last = self._ordered.last(group)
        return last.count if last is not None else 0

    def _needed(self, service, domain, serving):
        """Return how many servers a failure domain needs.

        That is what was found before anything was ordered.
        """
        regular = server_counts.Group(service, domain, False)
        spot = server_counts.Group(service, domain, True)
        last = self._ordered.last(regular)
        if last is not None:
            return last.needed
        last = self._ordered.last(spot)
        return max(last.needed if last else 0, serving.regular)

    def _note_missing(self, group, serving, scaling):
        """Have an order given again whose servers did not come."""
        last = self._ordered.last(group)
        given = self._given.get(group)
        if last is None or given is None or serving >= last.count:
            self._due.pop(group, None)
        else:
            self._due[group] = given + scaling.boot_seconds + OVERDUE_SECONDS

    def _has_settled(self, group, count, now):
        """Tell whether as many have served for a while."""
        before, since = self._found.get(group, (None, now))
        if before != count:
            self._found[group] = (count, now)
            return False
        return now - since >= SETTLED_SECONDS

    def _order(self, group, count, needed, serving, now):
        last = self._ordered.last(group)
        # Without any order there are regular servers, and no spot ones.
        before = 0 if group.spot else None
        if last is not None:
            before = last.count
        if before == count or group in self._proposed:
            return []
        self._proposed.add(group)
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

        def settled(found, now):
            self._proposed.discard(group)
            self._given.pop(group, None)
            return []

        return [
            effects.Log("info", "servers ordered", fields),
            *self._propose(order, now, settled),
        ]

    # -- giving the orders ------------------------------------------------

    def next(self, now):
        """Return the call that is due, or ``None``."""
        for group, order in self._ordered.orders.items():
            if now < self._next_call.get(group, 0.0):
                continue
            if group in self._given and now < self._due.get(group, NEVER):
                continue
            version = self._ordered.versions[group]
            return effects.SetServerCount(group, order.count, version)
        return None

    def took(self, call, now):
        """Take note that the platform has an order."""
        if self._ordered.versions.get(call.group) == call.version:
            self._given[call.group] = now
        self._next_call.pop(call.group, None)

    def put_off(self, call, until):
        """Give an order again at ``until``."""
        self._next_call[call.group] = until

    def fields(self, call):
        """Return what the log says of an order."""
        group = call.group
        return {
            "service": group.service,
            "failure_domain": group.failure_domain,
            "spot": group.spot,
            "count": call.count,
        }


def _by_domain(service, heard):
    """Return the :class:`decision.Stock` of each failure domain."""
    found = {}
    for group, count in heard.items():
        if group.service != service:
            continue
        stock = found.setdefault(group.failure_domain, decision.Stock())
        if group.spot:
            stock.spot = count
        else:
            stock.regular = count
    return found
