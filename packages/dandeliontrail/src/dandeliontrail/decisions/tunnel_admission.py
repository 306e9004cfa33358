"""Decides whether an instance opens a tunnel to a server for another one."""

import enum

# An instance that helps keeps room for its own callers: each tunnel has two
# sockets and holds up to 32 KB.
MAX_TUNNELS = 256


class Refusal(enum.Enum):
    """Why an instance opens no tunnel.

    ``UNKNOWN_SERVER``: its registry has no such start at this address, or the
    server leaves.  ``NO_SERVERS``: it reaches no server itself.  ``SERVER``:
    it does not reach this one.  ``REST``: this one asked it for rest.
    ``FULL``: it has as many tunnels as it takes.
    ``NOT_SERVING``: it serves no routes.
    """

    UNKNOWN_SERVER = "unknown_server"
    NO_SERVERS = "no_servers"
    SERVER = "server"
    REST = "rest"
    FULL = "full"
    DRAINING = "draining"
    NOT_SERVING = "not_serving"


class Reach(enum.Enum):
    """Which servers an instance reaches over paths of its own."""

    SERVER = "server"
    OTHERS = "others"
    NONE = "none"


_REFUSALS = {Reach.OTHERS: Refusal.SERVER, Reach.NONE: Refusal.NO_SERVERS}


def refusal_of(server, epoch, url, reach, open_tunnels, now, most=MAX_TUNNELS):
    """Return the :class:`Refusal` of a tunnel, ``None`` if it is opened.

    ``server`` is the record in the own registry (:class:`.servers.Server`),
    or ``None``; ``epoch`` and ``url`` are those that were asked for.  So an
    instance connects only to servers that it knows itself, and to none that
    it knows to leave.  It has at most ``most`` tunnels at a time.
    """
    if server is None or not server.serves(now):
        return Refusal.UNKNOWN_SERVER
    announcement = server.announcement
    if (announcement.epoch, announcement.url) != (epoch, url):
        return Refusal.UNKNOWN_SERVER
    if server.rests(now):
        return Refusal.REST
    if open_tunnels >= most:
        return Refusal.FULL
    return _REFUSALS.get(reach)
