"""The peers of the replicated log, as the membership knows them."""

import abc


class Neighbours(abc.ABC):
    """Looks up the addresses and failure domains of the other instances."""

    @abc.abstractmethod
    def alive(self, now):
        """Return the names of the instances that are alive."""

    @abc.abstractmethod
    def domain_of(self, name):
        """Return the failure domain of ``name``, or '' if unknown."""

    @abc.abstractmethod
    def same_domain(self, name):
        """Return whether ``name`` is in the local failure domain."""

    @abc.abstractmethod
    def address_of(self, name):
        """Return the address of ``name``, or '' if unknown."""

    @abc.abstractmethod
    def own_address(self):
        """Return the address of this instance."""

    @abc.abstractmethod
    def addresses(self):
        """Return all other known addresses, alive or not."""


class KnownMembers(Neighbours):
    """Looks up the other instances in a :class:`.membership.Membership`."""

    def __init__(self, identity, members):
        self._identity = identity
        self._members = members

    def alive(self, now):
        """Return the names of the instances that are alive."""
        own = self._identity.instance
        names = {item.instance for item in self._members.alive(now)}
        return names - {own}

    def domain_of(self, name):
        """Return the failure domain of ``name``, or '' if unknown."""
        if name == self._identity.instance:
            return self._identity.failure_domain
        member = self._members.members.get(name)
        return member.failure_domain if member else ""

    def same_domain(self, name):
        """Return whether ``name`` is in the local failure domain."""
        return self.domain_of(name) == self._identity.failure_domain

    def address_of(self, name):
        """Return the address of ``name``, or '' if unknown."""
        return self._members.address_of(name)

    def own_address(self):
        """Return the address of this instance."""
        return self._identity.address

    def addresses(self):
        """Return all other known addresses, alive or not."""
        own = self._identity.address
        return [item for item in self._members.addresses() if item != own]
