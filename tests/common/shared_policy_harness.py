"""A harness for the ``SharedServersPolicy`` of one instance.

The test controls time, servers and the announcements of other instances.
There is one service, ``llm``, with a route for chats, whose longest allowed
gap between events is short, and one for reviews, whose prompts are long.
"""

import random
import types

from dandeliontrail.coordination import permits as permit_messages
from dandeliontrail.coordination import server_limits
from dandeliontrail.coordination import server_loads
from dandeliontrail.coordination import software_versions
from dandeliontrail.decisions import permits
from dandeliontrail.decisions import prefill_asks
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared_policy
from dandeliontrail.decisions import view
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import revisions

from tests.common import prompt_engine

# Tokens of the shared prefix of a review.
PREFIX_TOKENS = 13_000


class Directory:
    """``count`` engines of one service, all alive, in three domains."""

    def __init__(self, count, service="llm"):
        self.servers = [
            prompt_engine.server_of(number, service) for number in range(count)
        ]

    def of_service(self, service):
        return self.servers


class View(view.ClusterView):
    """Nine instances; ``heard`` is when a domain was last heard, by name."""

    def __init__(self):
        self.heard = {}

    def instances(self, now):
        return 9

    def heard_from(self, failure_domain):
        return self.heard.get(failure_domain)


def admitted_versions(service, *versions):
    """Return the state in which these versions of a service are admitted."""
    admitted = software_versions.AdmittedVersions()
    for version in versions:
        change = software_versions.VersionChange(service, version, True)
        admitted.apply(1, change)
    return admitted


def routing_table():
    split = [revisions.Split("llm")]
    routes = [
        revisions.Route("chat", "h", "/c/", split, 10.0, longest_pause=0.3),
        revisions.Route("review", "h", "/r/", split, 10.0, longest_pause=1.2),
    ]
    service = revisions.Service("llm", engine=revisions.Engine())
    return routing.RoutingTable(revisions.Revision(1, "", routes, [service]))


class PolicyHarness:
    """The policy of one instance and its inputs; ``now`` is its clock.

    ``slack`` is that of the retry limits of the whole cluster.  With
    ``queues``, long prompts wait in the prefill queues of the engines.
    """

    def __init__(self, count=6, slack=58.0, contended=False, queues=False):
        self.loads = server_loads.LoadTable()
        self.limits = server_limits.LimitTable()
        self.permits = permits.Permits(self.limits)
        self.admitted = admitted_versions("llm", "")
        state = types.SimpleNamespace(
            routing=types.SimpleNamespace(table=routing_table()),
            loads=self.loads,
            permits=self.permits,
            identity=types.SimpleNamespace(failure_domain="fd0"),
            software_versions=self.admitted,
        )
        self.prefill = prefill_asks.PrefillAsks()
        if queues:
            state.prefill = self.prefill
        limits = retry_budget.RetryLimits(0.2, slack, 10.0)
        self.view = View()
        self.policy = shared_policy.SharedServersPolicy(
            random.Random(1), self.view, state, limits, contended or queues
        )
        self.policy.retry_budget.share = 1.0 / self.view.instances(0.0)
        self.directory = Directory(count)
        self.now = 0.0
        self.count = 0

    def ask(self, parts, pause=1.2, priority=2, deadline=10.0, **more):
        """Offer one request to the policy; return its work.

        ``pause`` is the target for the gap between events in seconds,
        ``deadline`` in seconds from now.
        """
        self.count += 1
        work = work_module.Work(
            f"r{self.count}",
            "acme",
            "review",
            "",
            "llm",
            priority,
            self.now,
            self.now + deadline,
            prompt_tokens=sum(tokens for _, tokens in parts),
            first_token_ms=2000.0,
            between_tokens_ms=pause * 1000.0,
            parts=tuple(parts),
            routed=True,
            **more,
        )
        self.policy.offer(work, self.now)
        return work

    def report(self, running):
        """Have another instance report its requests by server."""
        loads = [
            server_loads.Load(server, count, 0)
            for server, count in running.items()
        ]
        self.loads.replace_report("other", "fd0", loads, self.now)

    def name_limit(self, server, limit):
        """Have a server name a limit, for which there are no permits."""
        self.limits.learn(
            server_limits.LimitRecord(server, 1, 1, limit), self.now
        )

    def give_permit(self, server):
        """Have the holder answer an ask for one permit."""
        self.permits.want(server, 0)
        ask = self.permits.ask(server, self.now)
        grant = permit_messages.PermitGrant(
            server, 1, ask.number, ask.number, count=1
        )
        self.permits.receive(grant, ("holder", 1), self.now)

    def finish(self, work, server):
        """Have a server answer a request."""
        self.policy.first_output(work.request_id, self.now)
        ended = work_module.AttemptEnd(work.request_id, server)
        self.policy.ended(ended, self.now)

    def next(self):
        """Run a round; return ``{request id: server name or refusal}``."""
        decisions = self.policy.next(self.now, self.directory)
        return {
            decision.work.request_id: getattr(decision, "server", decision)
            for decision in decisions
        }

    def review(self, prefix_id, own=3000, **more):
        """Offer a review whose shared prefix has the number ``prefix_id``."""
        return self.ask(
            [(f"t{prefix_id}", PREFIX_TOKENS), (f"own{self.count}", own)],
            **more,
        )

    def chat(self, **more):
        """Offer a chat: a short prompt with a tight target for the gap."""
        parts = [("c", 200), ("u", 150), (f"own{self.count}", 700)]
        return self.ask(parts, pause=0.3, priority=0, **more)
