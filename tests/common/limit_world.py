"""Instances as pure reducers before servers that name limits.

Time is simulated.  A request that an instance dispatches reaches its server
after ``TRANSIT_SECONDS`` and is answered ``SERVICE_SECONDS`` later; what a
server gets is recorded there.  Callers ask at a rate and do not come back.
"""

import collections
import heapq
import itertools

from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared_policy
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import revisions
from dandeliontrail_lab import simulated_nodes

from tests.common import limit_judge

TRANSIT_SECONDS = 0.001
SERVICE_SECONDS = 0.03
DEADLINE_SECONDS = 1.5
HEARTBEAT_SECONDS = 1.0
SERVICE = "app"
DOMAINS = ("a", "b", "c")
# The priority of each path; 0 is most urgent.
PRIORITIES = {"/urgent/": 0, "/usual/": 1, "/later/": 2}
ORGANISATIONS = ("large", "small")
RETRY_LIMITS = retry_budget.RetryLimits(0.2, 58.0, 10.0)


def _routes():
    split = [revisions.Split(SERVICE)]
    return [
        revisions.Route(
            path.strip("/"),
            "h",
            path,
            split,
            DEADLINE_SECONDS,
            repeatable=True,
            max_attempts=2,
            priority=priority,
        )
        for path, priority in PRIORITIES.items()
    ]


class Server:
    """A server; ``limit`` is the text that its answers name, '' for none."""

    slots = 64
    service_seconds = SERVICE_SECONDS
    brittle_texts = ()
    failure_domain = "a"

    def __init__(self, name, limit=""):
        self.name = name
        self.limit = limit
        self.epoch = 1
        self.sequence = 0
        self.arrivals = []
        # Whether it turns away what is above its limit, and names it there
        # alone.
        self.names_in_refusals_only = False

    def arrived(self, now):
        """Record that a request arrives."""
        self.arrivals.append(now)

    def answered(self):
        """Record that a request has been answered."""

    def refuses(self, now):
        """Return whether it turns a request away that has just arrived."""
        if not self.names_in_refusals_only or not self.limit:
            return False
        recent = sum(at > now - 1.0 for at in self.arrivals[-200:])
        return recent > max(1.0, float(self.limit))


class Demand:
    """Callers of one instance; ``rate`` is in requests per second."""

    def __init__(self, instance, path, rate, organisation):
        self.instance = instance
        self.path = path
        self.rate = rate
        self.organisation = organisation


class LimitWorld(simulated_nodes.Network):
    """``count`` instances in three failure domains, before some servers.

    ``waits`` has how long served requests waited here, ``refused`` the
    Retry-After of those refused, both by path, and ``open`` when the requests
    without an outcome came.  ``asked`` and ``sent`` count the requests of each
    organisation that came and that went to a server.
    """

    def __init__(self, count=9, seed=0, **options):
        super().__init__(seed, **options)
        self.servers = {}
        self.demands = []
        self.frozen = set()
        self._thawed_at = {}
        self.waits = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.overdue = 0
        self.open = {}
        self.doubled = False
        self.asked = collections.Counter()
        self.sent = collections.Counter()
        self._paths = {}
        self._organisations = {}
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1 << 41)
        self._scheduled = []
        self._next_heartbeat = 0.0
        self.names = [f"i{number}" for number in range(count)]
        for number, name in enumerate(self.names):
            self.start(name, DOMAINS[number % len(DOMAINS)])

    # -- processes ----------------------------------------------------------

    def start(self, name, domain):
        """Start an instance, also one that has been killed."""
        self.frozen.discard(name)
        node = self.add(
            name,
            domain,
            seeds=[item for item in self.names[:3] if item != name],
            new_policy=lambda rng, view, state: (
                shared_policy.SharedServersPolicy(
                    rng, view, state, RETRY_LIMITS
                )
            ),
        )
        node.state.identity.incarnation = next(self._incarnations)
        node.state.members.note_own()
        node.state.routing.table = routing.RoutingTable(
            revisions.Revision(
                1,
                "",
                self.routes(),
                [self.service()],
                [
                    revisions.Organisation(name, [name], 0)
                    for name in ORGANISATIONS
                ],
            )
        )
        return node

    def routes(self):
        """Return the routes of the revision in force."""
        return _routes()

    def service(self):
        """Return the service that all servers belong to."""
        return revisions.Service(SERVICE)

    def kill(self, name):
        """Stop an instance at once; its requests are lost."""
        self.nodes[name].up = False
        for request_id, (instance, _) in list(self.open.items()):
            if instance == name:
                del self.open[request_id]

    def freeze(self, name):
        """Suspend an instance; what reaches it waits."""
        self.frozen.add(name)

    def thaw(self, name):
        """Resume an instance that was suspended."""
        self.frozen.discard(name)
        self._thawed_at[name] = self.now

    def _was_frozen(self, name, since):
        thawed_at = self._thawed_at.get(name, float("-inf"))
        return name in self.frozen or thawed_at >= since

    def restart(self, name):
        """Start an instance that was killed."""
        self.start(name, self.nodes[name].domain)

    def in_domain(self, domain):
        """Return the names of the instances in a failure domain."""
        return [
            name for name in self.nodes if self.nodes[name].domain == domain
        ]

    def cut_off(self, names):
        """Cut some instances off from all others."""
        self.partition(
            names, [name for name in self.nodes if name not in names]
        )

    def holder_of(self, server):
        """Return the name of the holder, as the first running one sees it."""
        node = next(node for node in self.nodes.values() if node.up)
        component = next(
            item
            for item in node.reducer.components
            if type(item).__name__ == "ServerLimits"
        )
        return component._holders.of(server).instance

    # -- servers ------------------------------------------------------------

    def add_server(self, name, limit=""):
        """Start a server, which all instances know at once."""
        return self.start_server(Server(name, limit))

    def start_server(self, server):
        """Start a server, which all instances know at once."""
        self.servers[server.name] = server
        self._announce(server)
        return server

    def restart_server(self, name, limit=""):
        """Start a server again under its name."""
        server = self.servers[name]
        server.epoch += 1
        server.limit = limit
        self._announce(server)

    def _announce(self, server):
        server.sequence += 1
        announcement = announcements.Announcement(
            server.name,
            server.epoch,
            server.sequence,
            "service",
            f"http://{server.name}",
            service=SERVICE,
            slots=server.slots,
            failure_domain=server.failure_domain,
        )
        for node in list(self.nodes.values()):
            self.apply(node, events.Announced(announcement))

    # -- callers ------------------------------------------------------------

    def press(
        self, rate, names=None, path="/usual/", organisation=ORGANISATIONS[0]
    ):
        """Have callers ask ``rate`` times a second, spread over instances.

        They replace those of the same path and organisation.
        """
        names = self.names if names is None else names
        self.demands = [
            item
            for item in self.demands
            if (item.path, item.organisation) != (path, organisation)
        ]
        self.demands.extend(
            Demand(name, path, rate / len(names), organisation)
            for name in names
        )

    def _call(self, demand):
        node = self.nodes[demand.instance]
        if not node.up:
            return
        request_id = f"q{next(self._numbers)}"
        self.open[request_id] = (node.name, self.now)
        self._paths[request_id] = demand.path
        self._organisations[request_id] = demand.organisation
        self.asked[demand.organisation] += 1
        self.apply(node, self.request(request_id, demand))

    def request(self, request_id, demand):
        """Return the event of a request."""
        return events.RoutedRequestReceived(
            request_id,
            "h",
            demand.path,
            demand.organisation,
            timeout=DEADLINE_SECONDS,
            content=request_id,
        )

    # -- time ---------------------------------------------------------------

    def call_later(self, seconds, call):
        """Schedule ``call()`` to run after ``seconds``."""
        item = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._scheduled, item)

    def _step(self):
        super()._step()
        step = 1.0 / simulated_nodes.STEPS_PER_SECOND
        for demand in self.demands:
            if self.rng.random() < demand.rate * step:
                self._call(demand)
        while self._scheduled and self._scheduled[0][0] <= self.now:
            heapq.heappop(self._scheduled)[2]()
        if self.now >= self._next_heartbeat:
            self._next_heartbeat = self.now + HEARTBEAT_SECONDS
            for server in self.servers.values():
                self._announce(server)
            self._end_overdue()

    def _end_overdue(self):
        """End the requests whose caller has left; count them."""
        for request_id, (name, came) in list(self.open.items()):
            if self.now - came > DEADLINE_SECONDS + HEARTBEAT_SECONDS:
                if self.open.pop(request_id, None) is None:
                    # It ended when another one of this loop was given up.
                    continue
                self.overdue += not self._was_frozen(name, came)
                self.apply(self.nodes[name], events.CallerGone(request_id))

    def _tick(self, node):
        if node.name not in self.frozen:
            super()._tick(node)

    def apply(self, node, event):
        """Apply an event to a node, as soon as it is not frozen."""
        if not node.up or self.nodes[node.name] is not node:
            return
        if node.name in self.frozen:
            self.call_later(0.05, lambda: self.apply(node, event))
            return
        super().apply(node, event)

    def _send(self, node, address, batch):
        super()._send(node, address, batch)
        if self.doubled:
            super()._send(node, address, batch)

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        for effect in out:
            if isinstance(effect, effects.Dispatch):
                self._dispatched(node, effect)
            elif isinstance(effect, effects.Refuse):
                self._refused(effect)

    def _refused(self, effect):
        if self.open.pop(effect.request_id, None) is not None:
            path = self._paths[effect.request_id]
            self.refused[path].append(effect.nothing.retry_after)

    # -- exchanges with servers ---------------------------------------------

    def _dispatched(self, node, effect):
        request_id = effect.request_id
        if request_id in self.open:
            _, came = self.open[request_id]
            path = self._paths[request_id]
            self.waits[path].append(self.now - came)
            self.sent[self._organisations[request_id]] += 1
        self.apply(node, events.AttemptBegan(request_id, effect.attempt))
        server = self.servers[effect.backend_server]
        sent_at = self.now + node.skew
        self.call_later(
            TRANSIT_SECONDS,
            lambda: self._arrived(node, effect, server, sent_at),
        )

    def _arrived(self, node, effect, server, sent_at):
        server.arrived(self.now)
        refuses = server.refuses(self.now)
        names_limit = server.limit and (
            refuses or not server.names_in_refusals_only
        )
        texts = [server.limit] if names_limit else []
        self.call_later(
            server.service_seconds,
            lambda: self._answered(
                node, effect, server, texts, refuses, sent_at
            ),
        )

    def _answered(self, node, effect, server, texts, refused, sent_at):
        name = effect.backend_server
        server.answered()
        brittle_texts = list(server.brittle_texts)
        if texts or brittle_texts or name in node.state.limits.held:
            self.apply(
                node,
                events.LimitRead(
                    name,
                    server.epoch,
                    texts,
                    sent_at,
                    refused,
                    brittle_texts,
                ),
            )
        ids = (effect.request_id, effect.attempt)
        if refused:
            self.apply(node, events.NotBegun(*ids, True))
            return
        self.open.pop(effect.request_id, None)
        self.apply(node, events.FirstOutput(*ids))
        self.apply(node, events.AnswerFinished(*ids))

    # -- judgement ----------------------------------------------------------

    def worst(self, server, since):
        """Return the most requests that a server got in any 4 s."""
        return limit_judge.worst_window(self.servers[server].arrivals, since)

    def share(self, server, since):
        """Return the share of a server's limit that was used."""
        found = self.servers[server]
        return limit_judge.share_used(
            found.arrivals, float(found.limit), since, self.now
        )
