"""One instance's policy with time, servers and the others in a test's hands.

There is one service, ``llm``, with a route for chats, whose pauses are short,
and one for reviews, whose prompts are long.
"""

import random
import types

from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared
from dandeliontrail.decisions import view
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import revisions

from tests.common import prompt_engine

# Tokens of a review's shared part.
LONG = 13_000


class Directory:
    """Servers of one service, all alive."""

    def __init__(self, count, service="llm"):
        self.servers = [
            prompt_engine.server_of(number, service) for number in range(count)
        ]

    def of_service(self, service):
        return self.servers


class View(view.ClusterView):
    """Nine instances; ``heard`` tells when those of a domain were heard."""

    def __init__(self):
        self.heard = {}

    def instances(self, now):
        return 9

    def heard_from(self, failure_domain):
        return self.heard.get(failure_domain)


def table():
    split = [revisions.Split("llm")]
    routes = [
        revisions.Route("chat", "h", "/c/", split, 10.0, longest_pause=0.3),
        revisions.Route("review", "h", "/r/", split, 10.0, longest_pause=1.2),
    ]
    return routing.RoutingTable(
        revisions.Revision(1, "", routes, [revisions.Service("llm")])
    )


class Play:
    """One instance's policy, with time and servers in the test's hands."""

    def __init__(self, count=6, slack=58.0):
        self.loads = server_loads.LoadTable()
        state = types.SimpleNamespace(
            routing=types.SimpleNamespace(table=table()),
            loads=self.loads,
            identity=types.SimpleNamespace(failure_domain="fd0"),
        )
        limits = retry_budget.RetryLimits(0.2, slack, 10.0)
        self.view = View()
        self.policy = shared.Shared(random.Random(1), self.view, state, limits)
        self.directory = Directory(count)
        self.now = 0.0
        self.count = 0

    def ask(self, parts, pause=1.2, priority=2, deadline=10.0, **more):
        """Offer one request; return its work."""
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

    def next(self):
        """Return what is decided now, as ``{request: server or refusal}``."""
        decided = self.policy.next(self.now, self.directory)
        return {
            item.work.request_id: getattr(item, "server", item)
            for item in decided
        }

    def review(self, thing, own=3000, **more):
        return self.ask(
            [(f"t{thing}", LONG), (f"own{self.count}", own)], **more
        )

    def chat(self, **more):
        parts = [("c", 200), ("u", 150), (f"own{self.count}", 700)]
        return self.ask(parts, pause=0.3, priority=0, **more)
