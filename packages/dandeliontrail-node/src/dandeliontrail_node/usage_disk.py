"""Keeps the usage ledger on the disk of a keeper.

Unlike the configuration, usage waits for no sync before it counts: copies
in other failure domains are what a crash is survived by, and the disk is
for the day on which all instances stop at once.
"""

import typing

import gevent
from gevent import queue
import msgspec

import dandeliontrail
from dandeliontrail.coordination import usage
from dandeliontrail import effects
from dandeliontrail import events

from . import patient_writes

_ENTRIES = msgspec.json.Decoder(
    typing.Union[usage.UsageRows, usage.UsageCheckpoint]
)
_SNAPSHOTS = msgspec.json.Decoder(usage.LedgerSnapshot)


class UsageDisk:
    """Writes usage in order, on a thread of the hub's pool."""

    def __init__(self, storage, logger):
        self._storage = storage
        self._logger = logger
        self._writes = patient_writes.PatientWrites(storage, logger)
        self._waiting = queue.SimpleQueue()
        self._greenlet = gevent.spawn(self._write_forever)

    def load(self):
        """Return what the disk holds as an event."""
        checkpoint, records = self._storage.load()
        try:
            snapshot = usage.LedgerSnapshot([], [])
            if checkpoint:
                snapshot = _SNAPSHOTS.decode(checkpoint)
            journal = [_ENTRIES.decode(data) for data in records]
        except msgspec.DecodeError as exc:
            raise dandeliontrail.StorageError(
                f"The usage folder holds a record of another release: {exc}.",
                "run the release that wrote it, or a newer one",
            )
        return events.UsageLoaded(snapshot, journal)

    def put(self, effect):
        """Queue an ``AppendUsage`` or ``ReplaceUsage``."""
        # Encoded now: the rows go on growing while the disk is busy.
        if isinstance(effect, effects.ReplaceUsage):
            data = msgspec.json.encode(effect.snapshot)
            self._waiting.put((self._storage.replace, (data, [])))
        else:
            data = [msgspec.json.encode(item) for item in effect.entries]
            self._waiting.put((self._storage.append, (data,)))

    def close(self):
        """Finish the writes that wait, unless they are refused, and stop."""
        self._writes.give_up()
        self._waiting.put(None)
        self._greenlet.join()

    def _write_forever(self):
        while True:
            work = self._waiting.get()
            if work is None:
                return
            try:
                if not self._writes.carry_out(*work):
                    return
            except dandeliontrail.StorageError as exc:
                # Usage goes on in memory, with its copies elsewhere.
                self._logger.error(
                    "usage is no longer kept on disk",
                    extra={"error": str(exc)},
                )
                return
