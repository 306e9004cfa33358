"""The links between instances, and which instances are relays.

Which members are linked follows from the members alone (:mod:`.links`), so
all instances that know the same members choose alike.
"""

from . import links

# Where relays are used, a relay that missed a heartbeat is replaced.
RELAY_SILENT_AFTER_SECONDS = 1.6


class MemberLinks:
    """The links of one instance to the ``members``, which it shares.

    They are chosen anew when they are next used after :meth:`invalidate`.
    """

    __slots__ = (
        "_identity",
        "_members",
        "_links",
        "_linked_members",
        "_silent_names",
    )

    def __init__(self, identity, members):
        self._identity = identity
        self._members = members
        self._links = None
        self._linked_members = []
        self._silent_names = set()

    def linked(self):
        """Return the members that this instance exchanges heartbeats with."""
        if self._links is None:
            self._update()
        return self._linked_members

    def invalidate(self):
        """Choose the links anew before their next use."""
        self._links = None

    def _update(self):
        own = self._identity
        domain_of = {
            name: item.failure_domain
            for name, item in self._members.items()
            if not item.gone()
        }
        self._links = links.choose(
            own.instance, own.failure_domain, domain_of, self._silent_names
        )
        self._linked_members = [
            self._members[name] for name in sorted(self._links.names)
        ]

    def note_silent(self, now):
        """Exclude silent members from relay duty before they are failed.

        A lease lasts 3 s, of which the propagation of a renewal may take up
        2.4 s, so a lost relay must be replaced quickly.  A surplus relay for
        a moment costs little.
        """
        if self.full_mesh():
            return
        silent = {
            name
            for name, item in self._members.items()
            if item.linked and now - item.heard > RELAY_SILENT_AFTER_SECONDS
        }
        if silent != self._silent_names:
            self._silent_names = silent
            self._links = None

    def full_mesh(self):
        """Return whether every instance is linked to every other."""
        self.linked()
        return not self._links.relays

    def is_relay(self):
        """Return whether this instance is a relay of its failure domain."""
        self.linked()
        return self._links.is_relay

    def is_first_relay(self):
        """Return whether this instance is the first relay of its domain."""
        self.linked()
        own = self._identity
        return self._links.relays[own.failure_domain][0] == own.instance

    def relays_of(self, domain):
        """Return the other members that are relays of a failure domain."""
        self.linked()
        names = self._links.relays.get(domain, ())
        return [self._members[name] for name in names if name in self._members]

    def relayed_domains(self):
        """Return the failure domains that have relays."""
        self.linked()
        return list(self._links.relays)

    def silent_relays_of(self, domain):
        """Return the names of a domain's members that are silent.

        These are not eligible as relays.
        """
        return sorted(
            name
            for name in self._silent_names & self._members.keys()
            if self._members[name].failure_domain == domain
        )

    def is_relay_of(self, member):
        """Return whether a member is a relay of its failure domain."""
        return member in self.relays_of(member.failure_domain)

    def spread_to(self, source=""):
        """Return the links to forward an update to.

        ``source`` is the instance that the update came from, empty if it
        originated here.

        In a full mesh the update goes to all others, since any two instances
        may have no path to each other.  With relays, an instance does not
        forward what a relay of its own domain sent, as that was the last
        hop.  A relay forwards everything to its own domain, but to the other
        relays only what comes from its own domain.
        """
        out = [item for item in self.linked() if item.instance != source]
        if not source or self.full_mesh():
            return out
        domain = self._identity.failure_domain
        sender = self._members[source]
        if self.is_relay():
            if sender.failure_domain == domain:
                return out
            return [item for item in out if item.failure_domain == domain]
        if sender in self.relays_of(domain):
            return []
        return out
