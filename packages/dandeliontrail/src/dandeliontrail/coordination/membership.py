"""Which other instances there are, and where.

An instance starts from a few seed addresses and learns the rest from
the greetings that instances exchange.
"""

import dataclasses

# Greetings go out once a second; three missed ones and a half make a peer
# silent.
HELLO_INTERVAL = 1.0
SILENT_AFTER = 3.5


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance; ``heard`` is on this instance's clock."""

    instance: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    heard: float
    applied: int = 0


class Membership:
    """The members heard of, by name, and the seeds not yet heard of."""

    __slots__ = ("members", "seeds")

    def __init__(self, seeds):
        self.members = {}
        self.seeds = set(seeds)

    def hear(self, sender, now):
        """Take note of a message of ``sender``."""
        held = self.members.get(sender.instance)
        if held and sender.incarnation < held.incarnation:
            return held
        applied = held.applied if held else 0
        member = Member(
            sender.instance,
            sender.address,
            sender.failure_domain,
            sender.region,
            sender.incarnation,
            now,
            applied,
        )
        self.members[sender.instance] = member
        return member

    def alive(self, now):
        """Return the members that were heard of lately."""
        return [
            item
            for item in self.members.values()
            if now - item.heard < SILENT_AFTER
        ]

    def address_of(self, instance):
        """Return the peer address of an instance, or ''."""
        member = self.members.get(instance)
        return member.address if member else ""

    def addresses(self):
        """Return every address worth greeting."""
        known = {item.address for item in self.members.values()}
        return sorted(known | self.seeds)
