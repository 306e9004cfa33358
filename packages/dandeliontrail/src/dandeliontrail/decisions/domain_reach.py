"""Whether a whole failure domain is cut off from this instance.

Made for the minutes in which a failure domain is partitioned from the
others.  Its servers look idle from outside, so each request that is placed
finds one of them out at the cost of a connection that never comes about, and
each server is tried again by itself.  A cut is an event of the domain: once
its instances are silent and a server there cannot be reached, or two of its
servers cannot, none of its servers gets new work while others can.

A request that is sent over a connection that is kept finds out nothing: it
is lost without a word.  So the silence of the instances counts by itself,
for a while, from a few tenths of a second on.
"""

# A domain counts as cut off for so long after the last sign of it; then one
# request may try again.  Cuts last seconds; a wrong verdict costs this long
# of the domain's servers, whose work others take meanwhile.
SUSPECTED_SECONDS = 3.0
# So many servers out of reach, with none reached in between, are taken for a
# cut without the silence of instances, which not everybody hears.
MANY_SERVERS = 2
# Failures further apart than this have nothing to do with one another.
TOGETHER_SECONDS = 2.0
NEVER = float("-inf")


class _Signs:
    """What was seen of one domain."""

    __slots__ = ("until", "servers", "since")

    def __init__(self):
        self.until = NEVER
        self.servers = set()
        self.since = NEVER


class DomainReach:
    """Judges by failed attempts and by what is heard of instances.

    ``view`` (:class:`.view.ClusterView`) tells what is heard of them.
    """

    def __init__(self, own, view):
        self._own = own
        self._view = view
        self._domains = {}

    def unreachable(self, domain, server, began, now):
        """Take in that no connection came about, tried since ``began``.

        Returns whether the domain counts as cut off from now on, and did
        not before.
        """
        if domain == self._own:
            return False
        signs = self._domains.setdefault(domain, _Signs())
        if now - signs.since > TOGETHER_SECONDS:
            signs.servers.clear()
        signs.since = now
        signs.servers.add(server)
        heard = self._view.heard_from(domain)
        silent = heard is not None and heard < began
        if not silent and len(signs.servers) < MANY_SERVERS:
            return False
        before = now < signs.until
        signs.until = now + SUSPECTED_SECONDS
        return not before

    def reached(self, domain):
        """Take in that a server of the domain answered."""
        self._domains.pop(domain, None)

    def is_cut(self, domain, now):
        """Tell whether servers of the domain should get no new work."""
        if domain != self._own and self._view.has_fallen_silent(domain, now):
            return True
        signs = self._domains.get(domain)
        if signs is None or now >= signs.until:
            return False
        heard = self._view.heard_from(domain)
        if heard is not None and heard > signs.since:
            # An instance there is heard again: the cut is over.
            del self._domains[domain]
            return False
        return True
