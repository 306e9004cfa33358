"""Log lines about the leader that a replica knows, and about stale state."""

from .. import effects


class StateReport:
    """Logs each change of the known leader, and of staleness."""

    def __init__(self, core):
        self._core = core
        self._logged_stale = False
        self._logged_leader = ""

    def lines(self, leader, is_stale):
        """Return the log lines that are due; ``leader`` may be ''."""
        return self._staleness(is_stale) + self._leader(leader)

    def _staleness(self, is_stale):
        if is_stale == self._logged_stale:
            return []
        self._logged_stale = is_stale
        if not is_stale:
            return [effects.Log("info", "state is fresh again")]
        fields = {"applied": self._core.commit}
        text = "state is stale: no majority of keepers is heard"
        return [effects.Log("warning", text, fields)]

    def _leader(self, leader):
        if leader == self._logged_leader:
            return []
        fields = {
            "leader": leader,
            "before": self._logged_leader,
            "term": self._core.term,
        }
        self._logged_leader = leader
        return [effects.Log("info", "leader of the keepers", fields)]
