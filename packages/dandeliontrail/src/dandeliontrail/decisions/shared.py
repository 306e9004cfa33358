"""The policy for servers that many instances share and nobody reports on.

Servers tell neither their load nor what they hold, and other instances send
them work too.  What an instance has is its own work under way, what became
of it, and that all instances compute alike.  Requests start at once, with
their priority, since an engine orders its own queue better than instances
that do not see one another could; what is decided here is where, and when
not to try.
"""

import collections
import dataclasses

from .. import sentinels
from . import affinity
from . import policy
from . import retry_budget
from . import server_health
from . import work as work_module

# A caller that meets no usable server may come back after a restart's time.
NO_SERVER_RETRY = 1.0
# Work waits so long for a server to become usable again before it is given
# up: most pauses are over by then, and little of its target is.
PATIENCE = 0.3


@dataclasses.dataclass(slots=True)
class Attempt:
    """Work under way at a server."""

    work: work_module.Work
    server: str
    unread: float


class Server:
    """What this instance knows of one server from its own work."""

    __slots__ = ("running", "unread", "health")

    def __init__(self):
        self.running = 0
        self.unread = 0.0
        self.health = server_health.Health()


class Shared(policy.Policy):
    """Decides for one instance, from its own work alone."""

    def __init__(self, rng, view, routing, identity, limits):
        self._rng = rng
        self._view = view
        self._routing = routing
        self._domain = identity[1]
        self._budget = retry_budget.RetryBudget(limits)
        self._queue = collections.OrderedDict()
        self._attempts = {}
        self._servers = collections.defaultdict(Server)
        self._groups = collections.defaultdict(affinity.Groups)
        self._closest = (None, {})

    # -- admitting --------------------------------------------------------

    def offer(self, work, now):
        """Queue the work."""
        self._budget.request(work.service, now)
        self._queue[work.request_id] = work
        return work

    def requeue(self, work, now):
        """Queue work again whose attempt did not begin."""
        self._queue[work.request_id] = work

    def retry(self, work, now):
        """Queue work again, within the budget of repeats."""
        if not self._budget.take(
            work.service, self._view.instances(now), now
        ):
            return sentinels.Nothing(
                sentinels.Reason.SERVER_FAILED, NO_SERVER_RETRY
            )
        self._queue[work.request_id] = work
        return work

    def withdraw(self, request_id):
        """Forget queued work."""
        return self._queue.pop(request_id, None)

    def waiting(self):
        """Count the queued work by class."""
        return dict(
            collections.Counter(
                work.class_name for work in self._queue.values()
            )
        )

    # -- placing ----------------------------------------------------------

    def next(self, now, directory):
        """Place what can be placed, the most urgent first."""
        if not self._queue:
            return []
        decided = []
        queued = sorted(self._queue.values(), key=_urgency)
        for work in queued:
            item = self._decide(work, now, directory)
            if item is not None:
                del self._queue[work.request_id]
                decided.append(item)
        return decided

    def _decide(self, work, now, directory):
        if now >= work.deadline:
            nothing = sentinels.Nothing(
                sentinels.Reason.DEADLINE, NO_SERVER_RETRY
            )
            return work_module.Refusal(work, nothing)
        servers = directory.of_service(work.service)
        chosen = self._choose(work, servers, now)
        if chosen:
            self._place(work, chosen)
            return work_module.Placement(work, chosen)
        if now - work.received < PATIENCE and len(work.avoid) < len(servers):
            return None
        nothing = sentinels.Nothing(
            sentinels.Reason.NO_SERVER, NO_SERVER_RETRY
        )
        return work_module.Refusal(work, nothing)

    def _choose(self, work, servers, now):
        usable = {}
        for server in servers:
            name = server.announcement.backend_server
            if not server.serves(now) or name in work.avoid:
                continue
            if self._servers[name].health.usable(now):
                usable[name] = server
        if not usable:
            return None
        if work.parts:
            return self._choose_engine(work, servers, usable)
        return self._choose_plain(usable)

    def _choose_plain(self, usable):
        """Prefer the own failure domain and the servers that fail least."""

        def cost(name):
            held = self._servers[name]
            announcement = usable[name].announcement
            load = held.running / max(1, announcement.slots)
            away = announcement.failure_domain != self._domain
            return (
                load
                + 0.3 * away
                + held.health.failure_share
                + 0.01 * self._rng.random()
            )

        return min(usable, key=cost)

    def _choose_engine(self, work, servers, usable):
        """Weigh what an engine holds against what it has to do."""
        groups = self._groups[work.service]
        names = sorted(item.announcement.backend_server for item in servers)
        groups.follow(work.service, names)
        close = self._is_close(work)
        key = affinity.shared_key(work.parts)
        ranked = [
            name for name in groups.ranked(key, close) if name in usable
        ]
        if not ranked:
            ranked = affinity.rank(key, usable)
        shared = affinity.shared_tokens(work.parts)

        def cost(item):
            place, name = item
            held = self._servers[name]
            missing = 0.0 if place < affinity.CHOICES else shared
            return (
                held.unread
                + missing
                + place * affinity.RANK_TOKENS
                + held.running * affinity.TOKENS_PER_RUNNING
                + held.health.failure_share * 4000.0
            )

        return min(enumerate(ranked), key=cost)[1]

    def _is_close(self, work):
        revision = self._routing.table.revision
        held, closest = self._closest
        if held is not revision:
            closest = {}
            self._closest = (revision, closest)
        shortest = closest.get(work.service)
        if shortest is None:
            shortest = affinity.shortest_pause(revision.routes, work.service)
            closest[work.service] = shortest
        pause = (work.between_tokens_ms or 0.0) / 1000.0
        return affinity.is_close(pause, shortest)

    def _place(self, work, name):
        held = self._servers[name]
        own = work.parts[-1][1] if work.parts else 0
        held.running += 1
        held.unread += own
        self._attempts[work.request_id] = Attempt(work, name, own)

    # -- feedback ---------------------------------------------------------

    def first_output(self, request_id, now):
        """Take note that the prompt has been read."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            self._servers[attempt.server].unread -= attempt.unread
            attempt.unread = 0.0

    def ended(self, ended, now):
        """Take note of how an attempt ended."""
        attempt = self._attempts.pop(ended.request_id, None)
        if attempt is None:
            return
        held = self._servers[attempt.server]
        held.running -= 1
        held.unread -= attempt.unread
        if ended.unreachable:
            held.health.unreachable(now)
        elif ended.refused:
            held.health.full(now)
        elif ended.failed:
            held.health.failed()
        elif not ended.wasted:
            held.health.succeeded()

    def forget_server(self, name):
        """Drop what is held about a server that is gone."""
        held = self._servers.get(name)
        if held is not None and not held.running:
            del self._servers[name]


def _urgency(work):
    return (work.priority, work.received)
