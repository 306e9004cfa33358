"""The component that has the log admit and retire software versions.

The leader of the log proposes both (:mod:`..coordination.software_versions`).
A version is retired only if no server of it can have been seen anywhere:
announcements enter through voters, so the leader must have heard all of them
for as long as a stream of that version may last.
"""

from .. import effects
from .. import interfaces
from ..coordination import software_versions
from . import orders_state
from . import proposer

# A stream lasts until the timeout of its route and is resumed for a while
# after; the factor covers both, the least value short timeouts.
RETIREMENT_TIMEOUTS = 2.0
MIN_RETIREMENT_SECONDS = 60.0
CHECK_INTERVAL_SECONDS = 1.0
# A voter that was not heard for this long may have taken announcements that
# the leader does not know.  Voters send two heartbeats a second.
MAX_VOTER_SILENCE_SECONDS = 3.0
# A server that announces another version each time must not fill the log.
MAX_VERSIONS = 1024


class VersionAdmission(interfaces.Component):
    """Proposes changes of the admitted versions while it is the leader."""

    def __init__(self, state):
        self._state = state
        self._admitted = state.software_versions
        self._proposer = proposer.Proposer(state, "versions")
        self._pending = set()
        # The servers of each service as last looked through.
        self._seen_lists = {}
        self._last_seen = {}
        self._next_check = float("-inf")
        state.log.register(
            software_versions.VersionChange,
            orders_state.TableApplier(
                self._admitted, software_versions.VersionResult
            ),
        )

    def handlers(self):
        """Return no handlers: the registry is looked through in ``tick``."""
        return {}

    def tick(self, now):
        """Admit versions that are new and retire those long unseen."""
        table = self._state.routing.table
        own = self._state.identity.instance
        log = self._state.log
        if table is None or not log.ready or log.leader(now) != own:
            self._last_seen.clear()
            self._seen_lists.clear()
            return []
        out = []
        for service in table.revision.services:
            out.extend(self._admit(service.name, now))
        if now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL_SECONDS
            out.extend(self._retire_unseen(table.revision, now))
        return out

    def _admit(self, service, now):
        servers = self._state.directory.of_service(service)
        if self._seen_lists.get(service) is servers:
            return []
        self._seen_lists[service] = servers
        announced = {
            item.announcement.software_version
            for item in servers
            if item.serves(now)
        }
        admitted = self._admitted.of(service)
        out = []
        for version in sorted(announced.difference(admitted)):
            if len(admitted) < MAX_VERSIONS:
                out.extend(self._propose(service, version, True, now))
        return out

    def _propose(self, service, version, admitted, now):
        if (service, version) in self._pending:
            return []
        self._pending.add((service, version))

        def settled(result, settled_at):
            self._pending.discard((service, version))
            # If it failed, the servers are looked through again.
            self._seen_lists.pop(service, None)
            return []

        change = software_versions.VersionChange(service, version, admitted)
        fields = {
            "service": service,
            "software_version": version,
            "admitted": admitted,
        }
        return [
            effects.Log("info", "software version", fields),
            *self._proposer.propose(change, now, settled),
        ]

    def _retire_unseen(self, revision, now):
        if not self._hears_all_voters(now):
            self._last_seen.clear()
            return []
        longest = max((item.timeout for item in revision.routes), default=0.0)
        retirement = max(MIN_RETIREMENT_SECONDS, RETIREMENT_TIMEOUTS * longest)
        out = []
        for service in self._admitted.services():
            serving = {
                item.announcement.software_version
                for item in self._state.directory.of_service(service)
                if item.serves(now)
            }
            for version in self._admitted.of(service):
                key = (service, version)
                if version in serving or key not in self._last_seen:
                    self._last_seen[key] = now
                elif now - self._last_seen[key] >= retirement:
                    out.extend(self._propose(service, version, False, now))
        return out

    def _hears_all_voters(self, now):
        members = self._state.members.members
        own = self._state.identity.instance
        for name in self._state.log.voter_names():
            if name == own:
                continue
            member = members.get(name)
            if (
                member is None
                or now - member.heard > MAX_VOTER_SILENCE_SECONDS
            ):
                return False
        return True
