"""Carries the log's writes to the disk without holding up the loop.

A sync takes milliseconds, and on a bad day seconds, while streams want a
token every 29 ms.  So the one system call that waits runs on a thread of
the hub's pool; the reducer and all its state stay on the loop's thread.
"""

import collections

import gevent
from gevent import event as gevent_event

import dandeliontrail
from dandeliontrail import effects
from dandeliontrail import events

from . import patient_writes


class DiskWriter:
    """Does writes in order, joining those that gathered meanwhile."""

    def __init__(self, storage, submit, logger):
        self._storage = storage
        self._submit = submit
        self._waiting = collections.deque()
        self._filled = gevent_event.Event()
        self._greenlet = gevent.spawn(self._write_forever)
        # One write at a time, so that none overtakes another.
        self._writes = patient_writes.PatientWrites(storage, logger)

    def put(self, effect):
        """Queue an ``AppendLog`` or ``ReplaceLog``.

        A ``ReplaceLog`` holds all that was to be written before it, so that
        what waits for a disk that refuses stays as small as the log.
        """
        if isinstance(effect, effects.ReplaceLog):
            self._waiting.clear()
        self._waiting.append(effect)
        self._filled.set()

    def close(self):
        """Finish the write under way, unless it is refused, and stop."""
        self._writes.give_up()
        self._waiting.append(None)
        self._filled.set()
        self._greenlet.join()

    def _write_forever(self):
        while True:
            self._filled.wait()
            self._filled.clear()
            while self._waiting:
                if self._waiting[0] is None:
                    return
                if not self._write_next():
                    return

    def _write_next(self):
        ticket, call, args = self._next()
        try:
            if not self._writes.carry_out(call, args):
                return False
        except dandeliontrail.StorageError as exc:
            self._submit(events.StorageFailed(str(exc)))
            return False
        self._submit(events.LogSynced(ticket))
        return True

    def _next(self):
        """Return the next write; appends in a row share one sync."""
        first = self._waiting.popleft()
        if isinstance(first, effects.ReplaceLog):
            args = (first.checkpoint, first.records)
            return first.ticket, self._storage.replace, args
        ticket = first.ticket
        records = list(first.records)
        while self._waiting and isinstance(
            self._waiting[0], effects.AppendLog
        ):
            following = self._waiting.popleft()
            ticket = following.ticket
            records.extend(following.records)
        return ticket, self._storage.append, (records,)
