"""How the first keepers found a log, and how later ones find it.

The first voters are the keepers that the settings name, each with the
folder that it shows.  A keeper with an empty folder votes only if *all* of
them had empty folders.  So one that lost its disk, and is still named in
the settings, finds a log founded without its new folder and does not vote:
what its lost folder had promised cannot be broken by the new one.
"""

import hashlib

from . import quorum_log_entries as entries
from . import quorum_log_messages as messages

HELLO_INTERVAL = 0.5
LATER_INTERVAL = 2.0


def log_id_of(founders):
    """Return the identity of the log that ``founders`` found together."""
    text = " ".join(f"{item.name}:{item.folder}" for item in founders)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Founding:
    """Shows the own folder and learns of those of the others."""

    def __init__(self, core, bootstrap):
        self._core = core
        self._bootstrap = sorted(bootstrap)
        self._next_hello = 0.0
        self.folders = {}

    def missing(self):
        """Return the first keepers that have not been heard of yet."""
        core = self._core
        if core.log_id:
            return []
        return [
            name
            for name in self._bootstrap
            if name not in self.folders and name != core.name
        ]

    def alone(self):
        """Found a log with this replica as its one voter."""
        self._found([self._core.me])

    def tick(self, now):
        """Show the own folder to the others where that is due."""
        core = self._core
        if not core.disk or core.halted:
            return None
        if now < self._next_hello or core.is_voter():
            return None
        interval = LATER_INTERVAL if core.log_id else HELLO_INTERVAL
        self._next_hello = now + interval
        if not core.log_id:
            self._maybe_found()
        return self.greeting()

    def greeting(self):
        """Return the message that shows the own folder."""
        core = self._core
        return messages.KeeperHello(core.folder, core.log_id, core.founders)

    def hello(self, source, message, now):
        """Take in another keeper's folder."""
        core = self._core
        if core.log_id:
            if message.log_id in ("", core.log_id):
                self.folders[source.instance] = message.folder
            if not message.log_id and core.disk:
                core.send(source.instance, self.greeting())
            return
        if not core.disk:
            return
        if message.log_id:
            self._join(message)
            return
        if self.folders.get(source.instance) != message.folder:
            # It may not have heard of this one's folder yet.
            core.send(source.instance, self.greeting())
        self.folders[source.instance] = message.folder
        self._maybe_found()

    def _maybe_found(self):
        core = self._core
        if core.name not in self._bootstrap or self.missing():
            return
        held = {**self.folders, core.name: core.folder}
        founders = [
            entries.Voter(name, held[name]) for name in self._bootstrap
        ]
        self._found(founders)

    def _join(self, message):
        """Take part in a log that others founded.

        The founders are the voters at its beginning.  Where this folder is
        none of them, this replica does not vote; it learns who votes by
        now with the log itself.
        """
        self._found(message.founders)

    def _found(self, founders):
        core = self._core
        core.founders = list(founders)
        core.log_id = log_id_of(founders)
        core.log.reset(0, 0, founders)
        if core.disk:
            core.rewrite()
        core.rest()
