"""The health of backend servers as shown by an instance's own attempts.

Servers report neither load nor health here.  A failed attempt is the first
sign of a crash, of a network partition, or of a server that answers requests
with errors while its health check passes.  Health decides only where the next
request goes: a server that failed is soon probed, by one request at a time.
"""

import msgspec

# A server that could not be reached gets no requests for the first figure,
# twice as long after each further failure, up to the second: a restart takes
# from one to several seconds, and a probe with a live request costs its
# caller little.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# While one request probes an unreachable server, the others avoid it for this
# long: a connection is established within it, or not at all.
PROBE_SECONDS = 0.5
# A server that refused a request because it is full gets none for this long:
# one of its requests ends every few tens of milliseconds.
FULL_BACKOFF_SECONDS = 0.15
# After a rest a server gets one request that waits for output, one more with
# each output, up to this number; then as many as it takes.
MAX_PROBES = 16
# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.15


class Health(msgspec.Struct):
    """The health of one server.

    It gets no requests before ``blocked_until``.  ``backoff`` is the present
    backoff in seconds, 0 for a server that can be reached.
    ``failure_share`` is a moving average of the share of failed answers.
    ``unreachable_at`` is when a connection to it last failed,
    ``full_until`` is until when it counts as full, ``heard_at`` when it was
    last heard and ``checked_at`` when its path was last checked.  After a
    rest, ``probe_limit`` is how many of the requests sent since then may wait
    for output, ``None`` at other times, and ``probes`` how many do.
    """

    blocked_until: float = float("-inf")
    backoff: float = 0.0
    failure_share: float = 0.0
    unreachable_at: float = float("-inf")
    full_until: float = float("-inf")
    heard_at: float = float("-inf")
    checked_at: float = float("-inf")
    probe_limit: int | None = None
    probes: int = 0

    def usable(self, now):
        """Return whether the server may get new work."""
        return now >= self.blocked_until

    def usable_through_peer(self, now):
        """Return whether the server may get new work over another path."""
        return now >= self.full_until

    def has_room(self):
        """Return whether it may get one more request after a rest."""
        return self.probe_limit is None or self.probes < self.probe_limit

    def record_rest(self):
        """Record that the server asked for rest: begin again with one."""
        self.probe_limit = 1

    def begin_probe(self):
        """Record a request after a rest; return whether it is a probe."""
        if self.probe_limit is None:
            return False
        self.probes += 1
        return True

    def end_probe(self, has_output):
        """Record that a probe has output, or has ended without."""
        self.probes -= 1
        if has_output and self.probe_limit is not None:
            self.probe_limit += 1
            if self.probe_limit > MAX_PROBES:
                self.probe_limit = None

    def record_unreachable(self, now):
        """Record that a connection could not be established."""
        self.backoff = min(
            MAX_BACKOFF_SECONDS,
            max(INITIAL_BACKOFF_SECONDS, 2 * self.backoff),
        )
        self.blocked_until = now + self.backoff
        self.unreachable_at = now

    def record_attempt(self, now):
        """Record that a request is sent, which probes a server in backoff."""
        if self.backoff:
            self.blocked_until = max(self.blocked_until, now + PROBE_SECONDS)

    def record_reached(self):
        """Record that the server answers; end its backoff."""
        if self.backoff:
            self.backoff = 0.0
            self.blocked_until = float("-inf")

    def record_replaced(self):
        """Block the server for good: another one has taken its address."""
        self.blocked_until = float("inf")
        self.full_until = float("inf")

    def record_full(self, now):
        """Record that the server refused a request because it is full."""
        self.full_until = now + FULL_BACKOFF_SECONDS
        self.blocked_until = max(self.blocked_until, self.full_until)

    def record_failure(self):
        """Record an attempt that failed."""
        self._update_failure_share(failed=True)

    def record_success(self):
        """Record a complete answer."""
        self._update_failure_share(failed=False)

    def _update_failure_share(self, failed):
        change = FAILURE_WEIGHT * (float(failed) - self.failure_share)
        self.failure_share += change
