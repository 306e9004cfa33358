"""Which prompt parts went to which engine, as the others are told."""

from ..coordination import server_loads

# That a part is still in use where all know it to be is said this often, by
# whichever instance is the first to use it then.  A part in use is pushed out
# later than that; said at each use, it was half of what a relay's link of
# 5 Mbit/s carries at 90 instances.
RETELL_SECONDS = 10.0
MOST_TOLD = 10_000
NEVER = float("-inf")


class ReadNews:
    """Notes what engines read, and gathers what of it is news to others."""

    __slots__ = ("_table", "_news", "_told")

    def __init__(self, table):
        self._table = table
        self._news = []
        self._told = {}

    def take(self):
        """Return what was sent to engines since the last call."""
        news, self._news = self._news, []
        return news

    def heard(self, reads, now):
        """Take in what the others sent to engines; all know it by now."""
        for item in reads:
            self._table.server(item.server).cache.read(item.parts)
            if item.parts:
                self._told[(item.server, item.parts[-1][0])] = now

    def sent(self, name, shared, now):
        """Take note that an engine reads the parts ``shared`` with others."""
        cache = self._table.server(name).cache
        news = cache.missing(shared) > 0
        cache.read(shared)
        key = (name, shared[-1][0])
        if not news and now - self._told.get(key, NEVER) < RETELL_SECONDS:
            return
        if len(self._told) > MOST_TOLD:
            self._told.clear()
        self._told[key] = now
        self._news.append(server_loads.Read(name, shared))
