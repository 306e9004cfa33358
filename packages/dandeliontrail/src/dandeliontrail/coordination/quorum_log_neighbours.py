"""Whom the quorum log can reach, as the membership knows it."""

import abc


class Neighbours(abc.ABC):
    """The other instances, by name."""

    @abc.abstractmethod
    def alive(self, now):
        """Return the set of names heard of lately."""

    @abc.abstractmethod
    def domain_of(self, name):
        """Return the failure domain of ``name``, or ''."""

    @abc.abstractmethod
    def same_domain(self, name):
        """Tell whether ``name`` is in the own failure domain."""

    @abc.abstractmethod
    def address_of(self, name):
        """Return where ``name`` is reached, or ''."""

    @abc.abstractmethod
    def addresses(self):
        """Return every known address but the own, heard of or not."""


class KnownMembers(Neighbours):
    """Neighbours as :class:`.membership.Membership` has them."""

    def __init__(self, identity, members):
        self._identity = identity
        self._members = members

    def alive(self, now):
        """Return the set of names heard of lately."""
        own = self._identity.instance
        names = {item.instance for item in self._members.alive(now)}
        return names - {own}

    def domain_of(self, name):
        """Return the failure domain of ``name``, or ''."""
        if name == self._identity.instance:
            return self._identity.failure_domain
        member = self._members.members.get(name)
        return member.failure_domain if member else ""

    def same_domain(self, name):
        """Tell whether ``name`` is in the own failure domain."""
        return self.domain_of(name) == self._identity.failure_domain

    def address_of(self, name):
        """Return where ``name`` is reached, or ''."""
        return self._members.address_of(name)

    def addresses(self):
        """Return every known address but the own, heard of or not."""
        own = self._identity.address
        return [item for item in self._members.addresses() if item != own]
