"""Carries out writes on a disk that may refuse them for a while.

A full disk refuses every write, for seconds or for hours.  Whoever writes
here waits: nothing is acknowledged meanwhile, since nothing is synced, and
the instance goes on serving from memory.  What waits is bounded by the log
itself, of which a new checkpoint takes the place.  Ending the process, to
start anew once the disk works, would cost a voter that has all its state,
and the callers of its listeners.
"""

import time

import gevent

import dandeliontrail

# How often a disk that refuses is asked again: a keeper is back within so
# long of its disk, and a cut and two syncs four times a second cost nothing.
INTERVAL = 0.25


class PatientWrites:
    """Does writes on a thread of the hub's pool, again while refused."""

    def __init__(self, storage, logger):
        self._storage = storage
        self._logger = logger
        self._pool = gevent.get_hub().threadpool
        self._closing = False

    def give_up(self):
        """Give up a write that is refused, as the process is to end."""
        self._closing = True

    def carry_out(self, call, args):
        """Return whether the write was taken, once that is known.

        Raises :class:`dandeliontrail.StorageError` where the storage is lost.
        """
        refused_at = None
        while True:
            steps = [(call, args)]
            if refused_at is not None:
                steps.insert(0, (self._storage.recover, ()))
            refused = self._pool.apply(_refusal_of, (steps,))
            if refused is None:
                if refused_at is not None:
                    self._tell_taken(time.monotonic() - refused_at)
                return True
            if refused_at is None:
                refused_at = time.monotonic()
                self._tell_refused(refused)
            if self._closing:
                return False
            gevent.sleep(INTERVAL)

    def _tell_refused(self, exc):
        self._logger.error(
            "the disk refuses writes: nothing is acknowledged until it works",
            extra={"error": exc.message, "remedy": exc.remedy},
        )

    def _tell_taken(self, seconds):
        self._logger.warning(
            "the disk takes writes again",
            extra={"refused_seconds": round(seconds, 3)},
        )


def _refusal_of(steps):
    """Take ``steps`` on a thread; return why the disk refused, or None.

    It is returned and not raised: the pool would print the traceback of
    whatever is raised on its threads, four times a second.
    """
    try:
        for call, args in steps:
            call(*args)
    except dandeliontrail.StorageRefused as exc:
        return exc
    return None


def opened(new_storage, logger):
    """Return ``new_storage()``, once the disk is not full any more.

    A keeper that starts on a full disk cannot write anew what it read, and
    may promise nothing.  Ending would only have it started again.
    """
    told = False
    while True:
        try:
            return new_storage()
        except dandeliontrail.StorageRefused as exc:
            if not told:
                told = True
                logger.error(
                    "the disk refuses writes: the start waits for it",
                    extra={"error": exc.message, "remedy": exc.remedy},
                )
            gevent.sleep(INTERVAL)
