"""The component that brings accepted changes into force."""

from .. import effects
from .. import events
from .. import interfaces


class Configuration(interfaces.Component):
    """Applies changes in the order of the log."""

    def __init__(self, state):
        self._state = state

    def handlers(self):
        """Return the handlers of operators' writes."""
        return {events.WriteSubmitted: self._write}

    def _write(self, event, now):
        store = self._state.store
        result = store.apply(store.version + 1, event.change)
        self._state.directory.invalidate()
        return [effects.WriteAnswered(event.write_id, result)]
