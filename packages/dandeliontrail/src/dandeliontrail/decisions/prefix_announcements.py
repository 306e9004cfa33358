"""Announces to the other instances which prefixes went to which engine."""

from ..coordination import server_loads

# The use of a prefix that all instances know an engine to have is announced
# again after this long, by the first instance that uses it then; engines
# evict a prefix in use later than that.  Announced at each use, it took half
# of a relay's 5 Mbit/s link with 90 instances.
REANNOUNCE_SECONDS = 10.0
MAX_ANNOUNCED = 10_000
NEVER = float("-inf")


class PrefixAnnouncements:
    """Records which engine got which prefix, and what of it to announce."""

    __slots__ = ("_table", "_news", "_told")

    def __init__(self, table):
        self._table = table
        self._news = []
        # When a prefix at a server was last announced by any instance, by
        # (server, name of the last shared part).
        self._told = {}

    def take(self):
        """Return the announcements (``Read``) since the last call."""
        reads, self._news = self._news, []
        return reads

    def receive(self, reads, now):
        """Record announcements of other instances, which all have heard."""
        for read in reads:
            self._table.server(read.server).cache.record(read.parts)
            if read.parts:
                self._told[(read.server, read.parts[-1][0])] = now

    def record_sent(self, name, shared, now):
        """Record that the ``shared`` parts of a prompt go to an engine.

        They are announced if the engine was not known to have all of them,
        or if the last announcement is old.
        """
        cache = self._table.server(name).cache
        is_new = cache.missing_tokens(shared) > 0
        cache.record(shared)
        key = (name, shared[-1][0])
        if (
            not is_new
            and now - self._told.get(key, NEVER) < REANNOUNCE_SECONDS
        ):
            return
        if len(self._told) > MAX_ANNOUNCED:
            self._told.clear()
        self._told[key] = now
        self._news.append(server_loads.Read(name, shared))
