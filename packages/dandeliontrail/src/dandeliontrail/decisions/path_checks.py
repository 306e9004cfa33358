"""Decides when the path to a backend server is checked.

A check opens a connection and sends nothing.  It tells a server that is only
silent, which accepts the connection, from one whose path is lost, and costs no
caller anything, unlike an attempt.  A kept connection can lose its path
without an error; and an instance that has lost one path may have lost all.
"""

import msgspec

# A server is checked if an attempt there has no output after this long and
# nothing was heard of any server meanwhile.
SILENT_SECONDS = 0.3
# The longest interval between checks for a prompt that waits to be prefilled,
# where these are spaced out.
MAX_SPACED_SECONDS = 1.2
# How many prompt tokens an engine that has nothing else to do prefills per
# second.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# With this many paths lost at a time, requests use only those others that have
# been heard since: the loss of one is mostly the end of that server.
MIN_LOST_PATHS = 2
# How many other servers are checked after each that newly cannot be reached.
SPREAD_CHECKS = 4
# How often as many are checked while servers stay unreachable.  After each
# failed check of a crashed one, 78 instances would have opened some 19,000
# connections within 5 s for 17 of 140 servers.
SPREAD_SECONDS = 2.0
# Servers that cannot be reached are checked this often at least, so that they
# are used again soon after a partition heals.
MAX_INTERVAL_SECONDS = 2.0
# How often a peer is asked whether it reaches one of the servers whose path is
# lost, while none is known to.  The interval doubles up to the second figure
# while peers that reach others do not reach these: they are down then, and
# each question costs both sides the opening of a tunnel.
PEER_CHECK_SECONDS = 0.1
MAX_PEER_CHECK_SECONDS = 0.8
# Intervals are drawn from this range around their value, so that the checks of
# many instances do not come at once.
JITTER_RANGE = (0.75, 1.25)


class Check(msgspec.Struct, frozen=True):
    """A check of the path to ``server``, through ``peer`` if that is set.

    It is not needed if bytes of any server have arrived in the last
    ``silent_seconds``.
    """

    server: str
    silent_seconds: float = 0.0
    peer: str = ""


class PathChecks:
    """The checks of one instance; ``table`` has the state of the servers.

    Where ``spaced(work)`` is true, the first check for a prompt that waits to
    be prefilled comes later by the time that its prefill takes, and the
    intervals between further ones double.  Where prompts wait long, most
    silent servers are only busy, and each check opens a connection.

    ``unreachable`` are the servers whose path is lost, the first of them since
    ``lost_since``.
    """

    def __init__(self, table, peer_paths, rng, spaced=lambda work: False):
        self._table = table
        self._spaced = spaced
        self._peer_paths = peer_paths
        self._rng = rng
        self._wanted = set()
        self._pending = set()
        self._pending_through_peers = set()
        self._next_peer_check = 0.0
        self._peer_check_seconds = PEER_CHECK_SECONDS
        self._next_spread = 0.0
        self.unreachable = set()
        self.lost_since = 0.0

    @property
    def all_suspect(self):
        """Whether all paths may be lost of which nothing was heard since."""
        return len(self.unreachable) >= MIN_LOST_PATHS

    def want(self, server):
        """Check a server at the next opportunity."""
        self._wanted.add(server)

    def due(self, attempts, now):
        """Return the checks that are due, given the outstanding attempts."""
        found = {}
        for attempt in attempts:
            name = attempt.server
            health = self._table.server(name).health
            last_sign = max(
                attempt.placed_at, health.heard_at, health.checked_at
            )
            is_silent = now - last_sign >= self._interval(attempt, health)
            if is_silent and not attempt.peer and not health.backoff:
                found[name] = Check(name, SILENT_SECONDS)
        for name in self._wanted | self.unreachable:
            health = self._table.server(name).health
            if name in self._wanted or health.usable(now):
                found[name] = Check(name)
        self._wanted.clear()
        direct = [
            self._begin(check, now)
            for name, check in found.items()
            if name not in self._pending
        ]
        return direct + self._due_through_peers(now)

    def _interval(self, attempt, health):
        """Return after how many silent seconds a server is checked."""
        if not attempt.unread or not self._spaced(attempt.work):
            return SILENT_SECONDS
        first = SILENT_SECONDS + attempt.unread / PREFILL_TOKENS_PER_SECOND
        checked_after = health.checked_at - attempt.placed_at
        return min(MAX_SPACED_SECONDS, max(first, checked_after))

    def _begin(self, check, now):
        health = self._table.server(check.server).health
        health.checked_at = now
        health.record_attempt(now)
        self._pending.add(check.server)
        return check

    def _due_through_peers(self, now):
        """Return a check that finds out whether a peer reaches a lost server.

        Without it a request would have to find out.
        """
        if now < self._next_peer_check:
            return []
        names = sorted(self.unreachable - self._pending_through_peers)
        # In random order, so that servers that are down do not keep the others
        # from being asked about.
        for name in self._rng.sample(names, len(names)):
            if self._peer_paths.is_confirmed(name, now):
                continue
            if not self._peer_paths.exists(name, now):
                continue
            self._next_peer_check = now + self._peer_check_seconds
            self._pending_through_peers.add(name)
            peer = self._peer_paths.choose(name, "", now)
            return [Check(name, peer=peer)]
        return []

    def end(self, server, peer=""):
        """Record that the check of a server has ended."""
        if peer:
            self._pending_through_peers.discard(server)
        else:
            self._pending.discard(server)

    def record_peer_check(self, reached):
        """Record whether a peer that reaches servers reaches a lost one."""
        if reached:
            self._peer_check_seconds = PEER_CHECK_SECONDS
        else:
            self._peer_check_seconds = min(
                MAX_PEER_CHECK_SECONDS, 2 * self._peer_check_seconds
            )

    def record_unreachable(self, server, since, now):
        """Record that a server cannot be reached.

        Wants checks of some others of which nothing has been heard since
        ``since``, if the server was reachable before or the last such checks
        are ``SPREAD_SECONDS`` ago.
        """
        health = self._table.server(server).health
        health.record_unreachable(now)
        delay = min(MAX_INTERVAL_SECONDS, health.backoff)
        health.blocked_until = now + delay * self._rng.uniform(*JITTER_RANGE)
        if not self.unreachable:
            self.lost_since = since
        if server not in self.unreachable:
            self._peer_check_seconds = PEER_CHECK_SECONDS
        elif now < self._next_spread:
            return
        self.unreachable.add(server)
        self._next_spread = now + SPREAD_SECONDS
        unheard = [
            name
            for name in self._table.names()
            if name not in self.unreachable
            and name not in self._pending
            and self._table.server(name).health.heard_at < since
        ]
        count = min(SPREAD_CHECKS, len(unheard))
        self._wanted.update(self._rng.sample(unheard, count))

    def record_reached(self, server):
        """Record that a server can be reached."""
        self._table.server(server).health.record_reached()
        self.unreachable.discard(server)

    def forget(self, server):
        """Drop what is known of a server that is gone or has restarted."""
        self._wanted.discard(server)
        self.unreachable.discard(server)
