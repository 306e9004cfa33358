"""Detects that a whole failure domain is partitioned from this instance.

Seen from outside, the servers of a partitioned failure domain look idle, so
requests would be sent to each of them, wait for a connection that is never
established, and each server would be probed by itself.  A partition is an
event of the domain: once the instances of a domain are silent and a server
there cannot be reached, or two of its servers cannot, none of its servers
gets new work while other domains have usable servers.

A request that is sent over a kept-alive connection detects nothing: it is
lost without an error.  So silence of the domain's instances also counts by
itself, for a while, from a few tenths of a second on.
"""

# How long a domain counts as partitioned after the last evidence; then one
# request may try it again.  Partitions last seconds; a wrong verdict costs
# the domain's servers for this long, while others take over their work.
SUSPICION_SECONDS = 3.0
# This many unreachable servers, with none reached in between, are taken for a
# partition without the silence of instances, which not every instance hears
# directly.
MIN_UNREACHABLE_SERVERS = 2
# Failures further apart than this are not taken for one event.
CORRELATION_SECONDS = 2.0
NEVER = float("-inf")


class _Evidence:
    """The evidence for a partition of one domain.

    The domain is suspected until ``until``; ``servers`` could not be reached,
    the last of them at ``since``.
    """

    __slots__ = ("until", "servers", "since")

    def __init__(self):
        self.until = NEVER
        self.servers = set()
        self.since = NEVER


class DomainReachability:
    """Judges domains by failed connections and by the silence of instances.

    ``own`` is the failure domain of this instance, which is never suspected;
    ``view`` (:class:`.view.ClusterView`) has the times at which messages
    of the instances arrived.
    """

    def __init__(self, own, view):
        self._own = own
        self._view = view
        self._domains = {}

    def record_unreachable(self, domain, server, attempted_at, now):
        """Record that a connection attempted at ``attempted_at`` failed.

        Returns whether the domain counts as partitioned from now on and did
        not before.
        """
        if domain == self._own:
            return False
        evidence = self._domains.setdefault(domain, _Evidence())
        if now - evidence.since > CORRELATION_SECONDS:
            evidence.servers.clear()
        evidence.since = now
        evidence.servers.add(server)
        heard = self._view.heard_from(domain)
        silent = heard is not None and heard < attempted_at
        if not silent and len(evidence.servers) < MIN_UNREACHABLE_SERVERS:
            return False
        was_suspected = now < evidence.until
        evidence.until = now + SUSPICION_SECONDS
        return not was_suspected

    def record_reached(self, domain):
        """Record that a server of the domain answered."""
        self._domains.pop(domain, None)

    def is_partitioned(self, domain, now):
        """Return whether servers of the domain should get no new work."""
        if domain != self._own and self._view.has_fallen_silent(domain, now):
            return True
        evidence = self._domains.get(domain)
        if evidence is None or now >= evidence.until:
            return False
        heard = self._view.heard_from(domain)
        if heard is not None and heard > evidence.since:
            # An instance there is heard again: the partition has healed.
            del self._domains[domain]
            return False
        return True
