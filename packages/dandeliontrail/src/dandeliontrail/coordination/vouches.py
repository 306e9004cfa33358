"""A relay's word for all running servers of a failure domain at once.

At 2,500 backend servers that announce themselves every second, telling
each instance of each renewal would be above 100 KB a second.  What changes
is known everywhere from the records; so one digest of the running servers
and one age renew all their leases.
"""

import heapq

import msgspec

from . import digests

# So many of the servers heard longest ago are named with ages of their own,
# so that one that has fallen silent does not age all the others.
MOST_LATE = 8


class Vouch(msgspec.Struct, array_like=True):
    """All running servers of a failure domain, and when they were heard.

    They are those that ``root`` stands for, and each was heard ``age``
    seconds ago at most, but for those in ``late``, which has their ages.
    """

    failure_domain: str
    root: int
    age: float
    late: dict[str, float]


class Vouches(msgspec.Struct, tag="vouches"):
    """Renewed leases of whole failure domains."""

    vouches: list[Vouch]


class RunningServers:
    """The servers of one failure domain that neither leave nor lapsed.

    ``servers`` has them by name, as the registry holds them.
    """

    __slots__ = ("digest", "servers")

    def __init__(self):
        self.digest = digests.TableDigest()
        self.servers = {}

    def put(self, name, server):
        """Enter a server, or its new content."""
        self.digest.put(name, server.content)
        self.servers[name] = server

    def drop(self, name):
        """Take a server out, if it is there."""
        if self.servers.pop(name, None):
            self.digest.drop(name)

    def vouch(self, domain, now):
        """Return the word for all of them."""
        heard = [(item.heard, name) for name, item in self.servers.items()]
        oldest = heapq.nsmallest(MOST_LATE + 1, heard)
        common, _ = oldest[-1] if oldest else (now, "")
        # Rounded up: an age may be too great, never too small.
        age = max(0.0, round(now - common + 0.005, 2))
        late = {
            name: round(now - moment + 0.005, 2)
            for moment, name in oldest
            if now - moment > age
        }
        return Vouch(domain, self.digest.root, age, late)

    def renew(self, vouch, delay, now):
        """Renew all that a vouch covers; return whether it could be taken.

        Where this instance knows of other servers in that failure domain
        than the relay, or of other contents, nothing is renewed: the
        difference is about to be repaired, and until then the leases that
        are held run on.
        """
        if self.digest.root != vouch.root:
            return False
        heard = now - vouch.age - delay
        for name, server in self.servers.items():
            # This loop is run for every server and relay once a second.
            if server.heard < heard and name not in vouch.late:
                server.heard = heard
                server.expires = heard + server.lease
        for name, age in vouch.late.items():
            server = self.servers[name]
            server.heard = max(server.heard, now - age - delay)
            server.expires = server.heard + server.lease
        return True
