"""Chooses a plain server, one that is not a model engine, for a request."""

from . import idle_connections

# Costs as fractions of a server's slots.  With the first, servers of another
# failure domain are used once those of the own one are about a third busy.
# The second is the range of a random tie-break, without which all instances
# would choose the same server.
REMOTE_DOMAIN_COST = 0.3
TIE_BREAK_COST = 0.01
# What an idle connection to a server is worth: the same as the distance to
# another failure domain.
CONNECTION_VALUE = 0.3


def choose(usable, table, domain, rng, through_peers=(), connected=()):
    """Return the name of the cheapest of the ``usable`` servers.

    The cost adds up load, the share of failures, and the distance to another
    failure domain than ``domain``, or to a server that is reached through a
    peer.  ``connected`` are the names of the servers to which this instance
    has idle connections.
    """

    def cost(name):
        announcement = usable[name].announcement
        load = table.running(name) / max(1, announcement.slots)
        is_remote = (
            announcement.failure_domain != domain or name in through_peers
        )
        is_connected = (
            name in connected
            and name not in through_peers
            and idle_connections.may_be_preferred(name, announcement, table)
        )
        return (
            load
            + REMOTE_DOMAIN_COST * is_remote
            + table.server(name).health.failure_share
            + TIE_BREAK_COST * rng.random()
            - CONNECTION_VALUE * is_connected
        )

    return min(usable, key=cost)
