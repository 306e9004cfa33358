"""Bootstrap: the first keepers found a log, and later ones join it.

The initial voters (the *founders*) are the keepers named in the settings,
each with the data folder that it announces.  A new log is founded only if
*all* of them start with empty folders.  A keeper that lost its disk and is
still named in the settings therefore finds a log whose founders do not
include its new folder, and does not vote: the new folder cannot break the
promises of the lost one.
"""

import hashlib

from . import quorum_log_entries as entries
from . import quorum_log_messages as messages

HELLO_INTERVAL_SECONDS = 0.5
LEARNER_HELLO_INTERVAL_SECONDS = 2.0


def log_id_of(founders):
    """Return the identity of a log, derived from its founders."""
    identity = " ".join(f"{item.name}:{item.folder}" for item in founders)
    return hashlib.sha256(identity.encode()).hexdigest()[:16]


class Founding:
    """Announces the local data folder and collects those of other keepers."""

    def __init__(self, core, bootstrap):
        self._core = core
        self._bootstrap = sorted(bootstrap)
        self._next_hello = 0.0
        self.folders = {}

    def missing_founders(self):
        """Return the founders from which no hello has arrived yet."""
        core = self._core
        if core.log_id:
            return []
        return [
            name
            for name in self._bootstrap
            if name not in self.folders and name != core.name
        ]

    def found_alone(self):
        """Found a log with this replica as its only voter."""
        self._initialise_log([self._core.own_voter])

    def tick(self, now):
        """Return the hello message to broadcast, or ``None`` if not due."""
        core = self._core
        if not core.has_disk or core.halted:
            return None
        if now < self._next_hello or core.is_voter():
            return None
        interval = (
            LEARNER_HELLO_INTERVAL_SECONDS
            if core.log_id
            else HELLO_INTERVAL_SECONDS
        )
        self._next_hello = now + interval
        if not core.log_id:
            self._found_if_complete()
        return self.hello_message()

    def hello_message(self):
        """Return the message that announces the local data folder."""
        core = self._core
        return messages.KeeperHello(
            core.folder, core.log_id, core.founders, core.leaving
        )

    def handle_hello(self, source, message, now):
        """Process the announcement of another keeper's data folder."""
        core = self._core
        if core.log_id:
            if message.leaving:
                self.folders.pop(source.instance, None)
            elif message.log_id in ("", core.log_id):
                self.folders[source.instance] = message.folder
            if not message.log_id and core.has_disk:
                core.send(source.instance, self.hello_message())
            return
        if not core.has_disk:
            return
        if message.log_id:
            self._join_log(message)
            return
        if self.folders.get(source.instance) != message.folder:
            # The sender may not know the local folder yet.
            core.send(source.instance, self.hello_message())
        self.folders[source.instance] = message.folder
        self._found_if_complete()

    def _found_if_complete(self):
        core = self._core
        if core.name not in self._bootstrap or self.missing_founders():
            return
        folders = {**self.folders, core.name: core.folder}
        founders = [
            entries.Voter(name, folders[name]) for name in self._bootstrap
        ]
        self._initialise_log(founders)

    def _join_log(self, message):
        """Join a log that others founded.

        The founders are its initial voters.  If the local folder is not one
        of them, this replica does not vote; it learns the current voters
        from the log itself.
        """
        self._initialise_log(message.founders)

    def _initialise_log(self, founders):
        core = self._core
        core.founders = list(founders)
        core.log_id = log_id_of(founders)
        core.log.reset(0, 0, entries.VoterSet(tuple(founders)))
        if core.has_disk:
            core.rewrite_log()
        core.reset_role()
