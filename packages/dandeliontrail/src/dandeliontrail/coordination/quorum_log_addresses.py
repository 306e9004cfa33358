"""The addresses of the keepers, kept on the disk of each keeper.

The settings name a few instances as they were when they were written.  After
all keepers were replaced and all lost power, these lead nowhere; what each
keeper has on its disk still does.
"""

CHECK_INTERVAL_SECONDS = 1.0
# After a start, spares announce themselves within this time; what is stored
# and still unknown then belongs to former keepers.
DROP_AFTER_SECONDS = 10.0


class Addresses:
    """Looks up addresses, and stores those of the keepers."""

    def __init__(self, core, founding, neighbours):
        self._core = core
        self._founding = founding
        self._neighbours = neighbours
        self._next_check_at = float("-inf")
        self._started_at = None

    def address_of(self, name):
        """Return the address of an instance, or '' if unknown.

        What the membership knows is newer than what is stored.
        """
        known = self._neighbours.address_of(name)
        return known or self._core.addresses.get(name, "")

    def tick(self, now):
        """Store the addresses of the keepers if they have changed."""
        core = self._core
        if now < self._next_check_at or not core.log_id or not core.has_disk:
            return
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        if self._started_at is None:
            self._started_at = now
        found = self._known_addresses()
        if now - self._started_at < DROP_AFTER_SECONDS:
            found = {**core.addresses, **found}
        if found != core.addresses and not core.halted:
            core.addresses = found
            core.rewrite_log()

    def _known_addresses(self):
        """Return the addresses of the other voters and of spares."""
        core = self._core
        names = core.voter_names() | set(self._founding.folders)
        found = {name: self.address_of(name) for name in names - {core.name}}
        return {name: address for name, address in found.items() if address}
