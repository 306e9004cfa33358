"""Aggregated lease renewals: one message for all servers of a domain.

With 2,500 backend servers that announce themselves every second, sending
each renewal to each instance would take over 100 KB a second.  Every instance
has the records of the servers anyway.  So a relay vouches for all running
servers of a failure domain with one digest of them and one age, which renews
all their leases.
"""

import heapq

import msgspec

from . import digests

# Number of the servers heard least recently that are listed with ages of their
# own, so that one silent server does not raise the common age of all others.
MAX_LATE = 8


class Vouch(msgspec.Struct, array_like=True):
    """Renews the leases of all running servers of a failure domain.

    ``root`` is the digest of these servers.  Each was heard at most ``age``
    seconds ago, except those in ``late``, which maps their names to their
    ages.
    """

    failure_domain: str
    root: int
    age: float
    late: dict[str, float]


class Vouches(msgspec.Struct, tag="vouches"):
    """Lease renewals for whole failure domains."""

    vouches: list[Vouch]


class RunningServers:
    """The running servers of one failure domain.

    These are the servers that are not leaving and whose leases have not
    expired.  ``servers`` maps their names to the registry's entries.
    """

    __slots__ = ("digest", "servers")

    def __init__(self):
        self.digest = digests.TableDigest()
        self.servers = {}

    def put(self, name, server):
        """Add a server or update its content."""
        self.digest.put(name, server.content_hash)
        self.servers[name] = server

    def drop(self, name):
        """Remove a server if present."""
        if self.servers.pop(name, None):
            self.digest.drop(name)

    def vouch(self, domain, now):
        """Return the vouch for all of them."""
        heard = [(item.heard_at, name) for name, item in self.servers.items()]
        oldest = heapq.nsmallest(MAX_LATE + 1, heard)
        common, _ = oldest[-1] if oldest else (now, "")
        # An age is rounded up: it may be too great, but never too small.
        age = max(0.0, round(now - common + 0.005, 2))
        late = {
            name: round(now - moment + 0.005, 2)
            for moment, name in oldest
            if now - moment > age
        }
        return Vouch(domain, self.digest.root, age, late)

    def renew(self, vouch, delay, now):
        """Renew the leases that a vouch covers; return whether it applies.

        ``delay`` is the transit time of the vouch, in seconds.  If this
        instance knows other servers in that failure domain than the relay,
        or other contents, nothing is renewed.  Anti-entropy will soon repair
        the difference; until then the present leases run on.
        """
        if self.digest.root != vouch.root:
            return False
        heard = now - vouch.age - delay
        for name, server in self.servers.items():
            # Hot path: runs for every server and relay once a second.
            if server.heard_at < heard and name not in vouch.late:
                server.heard_at = heard
                server.expires = heard + server.lease
        for name, age in vouch.late.items():
            server = self.servers[name]
            server.heard_at = max(server.heard_at, now - age - delay)
            server.expires = server.heard_at + server.lease
        return True
