"""Writes the replicated log to disk without blocking the event loop.

A sync takes milliseconds, sometimes seconds, while streams deliver a token
every 29 ms.  So the blocking system calls run on a thread of the gevent hub's
thread pool; the reducer and all its state stay on the thread of the loop.
"""

import collections

import gevent
from gevent import event as gevent_event

import dandeliontrail
from dandeliontrail import effects
from dandeliontrail import events

from . import retrying_writer


class DiskWriter:
    """Executes writes in order and batches those that are queued."""

    def __init__(self, storage, submit, logger):
        self._storage = storage
        self._submit = submit
        self._queue = collections.deque()
        self._has_work = gevent_event.Event()
        self._greenlet = gevent.spawn(self._write_forever)
        # One write at a time, so that writes are not reordered.
        self._writer = retrying_writer.RetryingWriter(storage, logger)

    def put(self, effect):
        """Queue an ``AppendLog`` or ``ReplaceLog``.

        A ``ReplaceLog`` contains everything queued before it, so the queue
        is cleared: while the disk refuses writes, it never grows larger than
        the log.
        """
        if isinstance(effect, effects.ReplaceLog):
            self._queue.clear()
        self._queue.append(effect)
        self._has_work.set()

    def close(self):
        """Finish the current write, unless the disk refuses it, and stop."""
        self._writer.stop_retrying()
        self._queue.append(None)
        self._has_work.set()
        self._greenlet.join()

    def _write_forever(self):
        while True:
            self._has_work.wait()
            self._has_work.clear()
            while self._queue:
                if self._queue[0] is None:
                    return
                if not self._write_next():
                    return

    def _write_next(self):
        ticket, call, args = self._dequeue()
        try:
            if not self._writer.execute(call, args):
                return False
        except dandeliontrail.StorageError as exc:
            self._submit(events.StorageFailed(str(exc)))
            return False
        self._submit(events.LogSynced(ticket))
        return True

    def _dequeue(self):
        """Dequeue the next write; consecutive appends share one sync.

        Returns its ticket, the method of the storage and the arguments.
        """
        first = self._queue.popleft()
        if isinstance(first, effects.ReplaceLog):
            args = (first.checkpoint, first.records)
            return first.ticket, self._storage.replace, args
        ticket = first.ticket
        records = list(first.records)
        while self._queue and isinstance(self._queue[0], effects.AppendLog):
            next_append = self._queue.popleft()
            ticket = next_append.ticket
            records.extend(next_append.records)
        return ticket, self._storage.append, (records,)
