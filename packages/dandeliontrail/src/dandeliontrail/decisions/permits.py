"""The permits of this instance for servers that name a limit.

A server that names no limit needs none.  For the others, the policy takes a
permit with each request that it places, and says how many more it wants; the
component asks the server's holder for them.  While the holder is silent, this
instance uses an equal part of half the limit, so that the sum stays bounded
even if all instances lose a holder that still issues permits.
"""

import msgspec

from .. import invariants
from ..coordination import permits
from . import server_permits

# A server that names less, also 0, is still sent a request at this rate, in
# requests per second: its answer is the only sign that the limit has changed.
MIN_RATE = 0.1
# Permits are kept while a limit falls by no more than to this share of it.
MIN_KEPT_RATIO = 0.8
# What the holder said of the others' requests counts for this long.
ESTIMATE_SECONDS = 0.75
# The share of a limit that all instances without a holder use together.
PART_SHARE = 0.5


def rate_of(limit):
    """Return the rate at which requests go to a server with this limit."""
    return max(MIN_RATE, limit)


class PermitCounts(msgspec.Struct):
    """Counts since the start, for the metrics."""

    granted: int = 0
    used: int = 0
    expired: int = 0
    without_holder: int = 0


class Permits:
    """The permits of this instance, for all servers with a limit.

    ``limits`` is the :class:`..coordination.server_limits.LimitTable`.
    """

    __slots__ = (
        "counts",
        "_limits",
        "_limited",
        "_limited_root",
        "_servers",
        "_number",
        "_seen",
        "_taken",
    )

    def __init__(self, limits):
        self.counts = PermitCounts()
        self._limits = limits
        # The limited servers, as of the table with this digest.
        self._limited = []
        self._limited_root = None
        self._servers = {}
        self._number = 0
        # Grants that have arrived, by holder and serial, with their expiry.
        self._seen = {}
        self._taken = set()

    @property
    def active(self):
        """Whether any server names a limit."""
        return self._limits.named > 0

    def is_limited(self, server):
        """Return whether a server names a limit."""
        return self.active and self._limits.is_named(server)

    def is_brittle(self, server):
        """Return whether a server takes only as many as it has places."""
        return self.active and self._limits.brittle_of(server) is not None

    def limit_of(self, server):
        """Return the limit of a server in requests per second, or ``None``."""
        return self._limits.limit_of(server)

    def limited_servers(self):
        """Return the names of the servers that name a limit."""
        root = self._limits.digest.root
        if root != self._limited_root:
            self._limited_root = root
            self._limited = [
                name
                for name, held in self._limits.held.items()
                if held.record.is_named
            ]
        return self._limited

    # -- use by the policy --------------------------------------------------

    def begin_round(self):
        """Forget what the policy wanted in its last round."""
        self._taken.clear()
        for state in self._servers.values():
            state.wants.clear()

    def has(self, server, priority, now):
        """Return whether a request may be sent to a server now."""
        if not self.is_limited(server):
            return True
        return self._find(server, priority, now) is not None

    def take(self, server, request_id, priority, now):
        """Use a permit for a request that is being placed at a server."""
        if not self.is_limited(server):
            return
        permit = self._find(server, priority, now)
        invariants.check(
            permit is not None,
            "limited-server-only-with-a-permit",
            f"{request_id} to {server}",
        )
        state = self._servers[server]
        state.permits.remove(permit)
        if self.is_brittle(server):
            state.running[request_id] = permit.granted_at
        self._taken.add((request_id, server))
        self.counts.used += 1

    def release(self, server, request_id, now):
        """Record that an attempt at a server has ended."""
        state = self._servers.get(server)
        if state is not None:
            state.release(request_id, now)

    def confirm(self, request_id, server):
        """Check that a request that is dispatched has taken its permit."""
        if not self.is_limited(server):
            return
        taken = (request_id, server)
        invariants.check(
            taken in self._taken,
            "limited-server-only-with-a-permit",
            f"{request_id} to {server}",
        )
        self._taken.discard(taken)

    def available(self, server):
        """Return how many permits there are for a server."""
        state = self._servers.get(server)
        return len(state.permits) if state else 0

    def want(self, server, priority, count=1):
        """Record that ``count`` requests wait for a permit, this round."""
        wants = self._state(server).wants
        wants[priority] = wants.get(priority, 0) + count

    def record_sent(self, server):
        """Count a request that was sent without a permit, as a resume is."""
        if self.is_limited(server):
            self._state(server).spent += 1

    def wait_seconds(self, server, priority, position, now):
        """Return how long a request is expected to wait for a permit.

        ``position`` is the number of requests of the same priority that wait
        before it here.  Returns ``None`` if nothing is known yet.
        """
        state = self._state(server)
        rate = self._rate(server, state)
        if state.part is not None:
            if now - state.asked_at >= server_permits.SILENT_SECONDS:
                # The next request asks whether the holder is back.
                return None
            missing = max(0.0, 1.0 - state.part_tokens)
            return (missing + position) / (rate * state.part.share)
        estimate = state.estimate
        if estimate is None or now - estimate.at > ESTIMATE_SECONDS:
            return None
        ahead = position
        for outlook in estimate.outlooks.values():
            if outlook.priority < priority:
                # At least one round of what is more urgent goes first.
                ahead = max(ahead, outlook.ahead + outlook.turns + position)
            elif outlook.priority == priority:
                ahead = outlook.ahead + position * outlook.turns
        return max(0.0, estimate.next_in - (now - estimate.at)) + ahead / rate

    def _rate(self, server, state):
        """Return how many permits a second a server's holder issues."""
        limit = self._limits.limit_of(server)
        return rate_of(state.rate if limit is None else limit)

    def _find(self, server, priority, now):
        state = self._servers.get(server)
        return state.find(priority, now) if state else None

    def _state(self, server):
        epoch = self._limits.held[server].record.epoch
        state = self._servers.get(server)
        if state is None or state.epoch != epoch:
            state = self._servers[server] = server_permits.ServerPermits(epoch)
        return state

    # -- exchange with the holders ------------------------------------------

    def due(self, now):
        """Return the servers for which an ask is due."""
        return [
            server
            for server, state in self._servers.items()
            if self.is_limited(server) and state.is_due(now)
        ]

    def ask(self, server, now, holder=""):
        """Return the ask for a server, and count it as sent to ``holder``."""
        state = self._state(server)
        self._number += 1
        state.record_ask(self._number, now)
        spent, state.spent = state.spent, 0
        return permits.PermitAsk(
            self._limits.held[server].record,
            self._number,
            [permits.Want(*item) for item in sorted(state.wants.items())],
            spent,
            state.in_use() if self.is_brittle(server) else 0,
            state.seen_of(holder),
        )

    def receive(self, grant, holder, now):
        """Add the permits of a grant; return whether there were any.

        ``holder`` is the name and incarnation of its sender.
        """
        state = self._servers.get(grant.server)
        sent_at = state.sent.get(grant.number) if state else None
        if sent_at is None or state.epoch != grant.epoch:
            return False
        key = (holder, grant.serial)
        if key in self._seen:
            return False
        self._seen[key] = now + server_permits.MAX_ANSWER_SECONDS
        added = state.add(grant, holder, sent_at, now)
        self.counts.granted += added
        return added > 0

    def tick(self, part, now, places=lambda server: 0):
        """Drop expired permits and add those of this instance's part.

        ``part`` is the :class:`.server_permits.Part` to use where the holder
        is silent, of a brittle server ``places(server)`` places.
        """
        self._seen = {
            key: expires_at
            for key, expires_at in self._seen.items()
            if now <= expires_at
        }
        for server, state in list(self._servers.items()):
            if not self.is_limited(server):
                del self._servers[server]
                continue
            self.counts.expired += state.drop_expired(now)
            if not state.is_silent(now):
                state.part = None
            elif self.is_brittle(server):
                self.counts.without_holder += state.use_places(
                    places(server), now
                )
            else:
                rate = rate_of(self._limits.limit_of(server))
                self.counts.without_holder += state.use_part(part, rate, now)

    def limit_changed(self, server, before):
        """Drop the permits for a server that takes much less than before.

        A server may name a slightly different limit in each answer.
        """
        state = self._servers.get(server)
        limit = self._limits.limit_of(server)
        if state is None or limit is None or before is None:
            return
        if limit < MIN_KEPT_RATIO * before:
            self.counts.expired += len(state.permits)
            state.permits.clear()
            state.estimate = None
