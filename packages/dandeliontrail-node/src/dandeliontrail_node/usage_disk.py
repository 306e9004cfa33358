"""Stores the usage ledger on the disk of a keeper.

Unlike the configuration, usage counts before it is synced: copies in other
failure domains protect it against a crash, and the disk protects it against
a simultaneous stop of all instances.
"""

import typing

import gevent
from gevent import queue
import msgspec

import dandeliontrail
from dandeliontrail.coordination import usage
from dandeliontrail import effects
from dandeliontrail import events

from . import retrying_writer

_ENTRY_DECODER = msgspec.json.Decoder(
    typing.Union[usage.UsageRows, usage.UsageCheckpoint]
)
_SNAPSHOT_DECODER = msgspec.json.Decoder(usage.LedgerSnapshot)


class UsageDisk:
    """Writes usage in order, on a thread of the gevent hub's pool."""

    def __init__(self, storage, logger):
        self._storage = storage
        self._logger = logger
        self._writer = retrying_writer.RetryingWriter(storage, logger)
        self._queue = queue.SimpleQueue()
        self._greenlet = gevent.spawn(self._write_forever)

    def load(self):
        """Return the stored usage as an ``events.UsageLoaded``.

        Raises :class:`dandeliontrail.StorageError` if a record cannot be
        decoded.
        """
        checkpoint, records = self._storage.load()
        try:
            snapshot = usage.LedgerSnapshot([], [])
            if checkpoint:
                snapshot = _SNAPSHOT_DECODER.decode(checkpoint)
            journal = [_ENTRY_DECODER.decode(data) for data in records]
        except msgspec.DecodeError as exc:
            raise dandeliontrail.StorageError(
                f"The usage folder has a record of another release: {exc}.",
                "run the release that wrote it, or a newer one",
            )
        return events.UsageLoaded(snapshot, journal)

    def put(self, effect):
        """Queue an ``AppendUsage`` or ``ReplaceUsage``."""
        # Encoded at once: the rows may change while the disk is busy.
        if isinstance(effect, effects.ReplaceUsage):
            data = msgspec.json.encode(effect.snapshot)
            self._queue.put((self._storage.replace, (data, [])))
        else:
            data = [msgspec.json.encode(item) for item in effect.entries]
            self._queue.put((self._storage.append, (data,)))

    def close(self):
        """Finish the queued writes, unless the disk refuses, and stop."""
        self._writer.stop_retrying()
        self._queue.put(None)
        self._greenlet.join()

    def _write_forever(self):
        while True:
            write = self._queue.get()
            if write is None:
                return
            try:
                if not self._writer.execute(*write):
                    return
            except dandeliontrail.StorageError as exc:
                # Usage is still kept in memory, with copies elsewhere.
                self._logger.error(
                    "usage is no longer kept on disk",
                    extra={"error": str(exc)},
                )
                return
