"""The component that learns how many requests backend servers take."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import server_limits


class ServerLimits(interfaces.Component):
    """Maintains the table of the limits that servers name."""

    def __init__(self, state):
        self._state = state
        self._table = state.limits
        self._logged_bad = set()

    def handlers(self):
        """Return the handler of answers that name a limit."""
        return {events.LimitRead: self._handle_read}

    def tick(self, now):
        """Drop the limits of servers that have restarted or are forgotten."""
        if not self._table.held:
            return []
        servers = self._state.registry.servers
        for name, held in list(self._table.held.items()):
            server = servers.get(name)
            if server is None or (
                server.announcement.epoch > held.record.epoch
            ):
                self._table.remove(name)
        return []

    def _handle_read(self, event, now):
        try:
            limit = server_limits.parse(event.texts)
        except server_limits.BadLimit as exc:
            return self._report_bad(event, exc)
        before = self._table.limit_of(event.backend_server)
        reading = server_limits.Reading(
            event.backend_server,
            event.epoch,
            limit,
            event.sent_at,
            event.refused,
        )
        record = self._table.read(reading, now)
        if record is None:
            return []
        source = "refusal" if event.refused else "answer"
        return [_log_effect(record, before, source, now - event.sent_at)]

    def _report_bad(self, event, exc):
        """Log, once for each incarnation, a limit that cannot be read."""
        incarnation = (event.backend_server, event.epoch)
        if incarnation in self._logged_bad:
            return []
        self._logged_bad.add(incarnation)
        fields = {
            "backend_server": event.backend_server,
            "detail": str(exc),
            "important": True,
        }
        return [effects.Log("warning", "backend server limit ignored", fields)]


def _log_effect(record, before, source, age):
    """Return the log effect of a limit that was named, changed or lifted.

    ``age`` is an upper bound of how long ago the server named it, in seconds.
    """
    fields = {
        "backend_server": record.server,
        "limit": record.limit,
        "before": before,
        "source": source,
        "age": round(age, 3),
        "version": record.version,
        "important": True,
    }
    return effects.Log("info", "backend server limit", fields)
