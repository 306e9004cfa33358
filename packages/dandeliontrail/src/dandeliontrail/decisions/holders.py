"""Which instance holds the permits of a limited server.

The holder is chosen by rendezvous hashing (Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998): all instances that know the
same members choose the same one, the servers are spread over all instances,
and a member that comes or goes moves only its own servers.
"""

import hashlib

import msgspec

# A holder issues nothing for this long after it became the holder, in which
# the former one learns of the change and its last permits expire.
TAKEOVER_SECONDS = 2.0


class Holder(msgspec.Struct):
    """The holder of a server's permits, and since when it is the holder.

    ``version`` is the version of the candidates that it was chosen from.
    """

    instance: str
    since: float
    version: int


class Holders:
    """The holders of all servers, chosen from the known instances.

    >>> holders = Holders("i1")
    >>> holders.of("s1").instance
    'i1'
    """

    __slots__ = ("_own", "_candidates", "_version", "_changed_at", "_chosen")

    def __init__(self, own, now=0.0):
        self._own = own
        self._candidates = (own,)
        self._version = 0
        self._changed_at = now
        self._chosen = {}

    def set_candidates(self, others, now):
        """Choose from this instance and ``others`` from now on."""
        candidates = tuple(sorted({self._own, *others}))
        if candidates == self._candidates:
            return
        if len(self._candidates) == 1:
            # It knew no other instance: one of them may be the holder still.
            self._chosen.clear()
        self._candidates = candidates
        self._version += 1
        self._changed_at = now

    def __len__(self):
        return len(self._candidates)

    def rank(self):
        """Return the position of this instance among the candidates."""
        return self._candidates.index(self._own)

    def of(self, server):
        """Return the :class:`Holder` of a server's permits."""
        held = self._chosen.get(server)
        if held is None or held.version != self._version:
            held = self._chosen[server] = self._choose(server, held)
        return held

    def may_grant(self, server, now):
        """Return whether this instance may issue permits for a server."""
        held = self.of(server)
        return (
            held.instance == self._own and now >= held.since + TAKEOVER_SECONDS
        )

    def remove(self, server):
        """Drop what is kept about a server."""
        self._chosen.pop(server, None)

    def _choose(self, server, before):
        def weight(instance):
            data = f"{server} {instance}".encode()
            return hashlib.blake2b(data, digest_size=8).digest()

        instance = max(self._candidates, key=weight)
        since = self._changed_at
        if (
            before is not None
            and before.instance == instance
            and before.version == self._version - 1
        ):
            since = before.since
        return Holder(instance, since, self._version)
