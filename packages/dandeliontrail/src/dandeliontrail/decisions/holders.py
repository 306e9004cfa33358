"""Which instance holds the permits or the prefill queue of a server.

The holder is chosen by rendezvous hashing (Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998): all instances that know the
same members choose the same one, the servers are spread over all instances,
and a member that comes or goes moves only its own servers.
"""

import collections
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
        instance = _highest_hash(server, self._candidates)
        since = self._changed_at
        if (
            before is not None
            and before.instance == instance
            and before.version == self._version - 1
        ):
            since = before.since
        return Holder(instance, since, self._version)


class DomainHolders:
    """The holders of servers, each among the instances of a failure domain.

    A holder in the server's own failure domain is usually lost only together
    with the server.  The holder may act as soon as it is chosen: for a moment
    a server may have two.

    >>> chosen = DomainHolders("i1", "a")
    >>> chosen.set_domains({"i2": "b"})
    >>> chosen.of("s1", "b")
    'i2'
    """

    __slots__ = (
        "_own",
        "_domain",
        "_domain_of",
        "_busy",
        "_by_domain",
        "_chosen",
    )

    def __init__(self, own, domain):
        self._own = own
        self._domain = domain
        self._domain_of = {}
        self._busy = frozenset()
        self._by_domain = {}
        self._chosen = {}
        self._group({own: domain}, self._busy)

    def set_domains(self, domain_of, busy=()):
        """Choose from this instance and the keys of ``domain_of``.

        The values are the failure domains of the instances.  Those in
        ``busy`` are chosen only where a domain has no others.
        """
        domain_of = {**domain_of, self._own: self._domain}
        busy = frozenset(busy)
        if (domain_of, busy) != (self._domain_of, self._busy):
            self._group(domain_of, busy)

    def _group(self, domain_of, busy):
        self._domain_of = domain_of
        self._busy = busy
        self._chosen.clear()
        by_domain = collections.defaultdict(list)
        for instance, domain in sorted(domain_of.items()):
            by_domain[domain].append(instance)
        self._by_domain = {
            domain: [item for item in names if item not in busy] or names
            for domain, names in by_domain.items()
        }

    def of(self, server, domain):
        """Return the holder of a server in a failure domain.

        It is one of all instances if the domain is '' or has none.
        """
        key = (server, domain)
        holder = self._chosen.get(key)
        if holder is None:
            holder = self._chosen[key] = _highest_hash(
                server, self._candidates(domain)
            )
        return holder

    def _candidates(self, domain):
        if domain and domain in self._by_domain:
            return self._by_domain[domain]
        return sorted(self._domain_of)


def _highest_hash(server, candidates):
    """Return the candidate with the highest hash of server and candidate."""

    def weight(instance):
        data = f"{server} {instance}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(candidates, key=weight)
