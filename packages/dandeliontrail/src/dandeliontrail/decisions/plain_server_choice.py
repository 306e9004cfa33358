"""Chooses a plain server, one that is not a model engine, for a request."""

# Costs as fractions of a server's slots.  With the first, servers of another
# failure domain are used once those of the own one are about a third busy.
# The second is the range of a random tie-break, without which all instances
# would choose the same server.
REMOTE_DOMAIN_COST = 0.3
TIE_BREAK_COST = 0.01


def choose(usable, table, domain, rng, through_peers=()):
    """Return the name of the cheapest of the ``usable`` servers.

    The cost adds up load, the share of failures, and the distance to another
    failure domain than ``domain``, or to a server that is reached through a
    peer.
    """

    def cost(name):
        announcement = usable[name].announcement
        load = table.running(name) / max(1, announcement.slots)
        is_remote = (
            announcement.failure_domain != domain or name in through_peers
        )
        return (
            load
            + REMOTE_DOMAIN_COST * is_remote
            + table.server(name).health.failure_share
            + TIE_BREAK_COST * rng.random()
        )

    return min(usable, key=cost)
