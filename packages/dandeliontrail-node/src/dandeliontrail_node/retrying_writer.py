"""Retries writes on a disk that may refuse them for a while.

A full disk refuses all writes, for seconds or hours.  The writer blocks
meanwhile: nothing is synced, so nothing is acknowledged, and the instance
continues to serve from memory.  The queued writes are bounded by the size of
the log, since a new checkpoint replaces them.  Ending the process and
restarting it once the disk works would lose a voter that has all its state,
and the connections of its callers.
"""

import time

import gevent

import dandeliontrail

# Retry interval: a keeper resumes at most this long after its disk accepts
# writes again; a truncation and two syncs four times a second cost little.
RETRY_INTERVAL_SECONDS = 0.25


class RetryingWriter:
    """Executes writes on a thread of the hub's pool, with retries."""

    def __init__(self, storage, logger):
        self._storage = storage
        self._logger = logger
        self._pool = gevent.get_hub().threadpool
        self._stopped = False

    def stop_retrying(self):
        """Stop retrying a refused write, because the process ends."""
        self._stopped = True

    def execute(self, call, args):
        """Call ``call(*args)`` until the disk accepts the write.

        Returns false if :meth:`stop_retrying` was called before that.  Raises
        :class:`dandeliontrail.StorageError` if the storage is lost.
        """
        refused_at = None
        while True:
            steps = [(call, args)]
            if refused_at is not None:
                steps.insert(0, (self._storage.recover, ()))
            refusal = self._pool.apply(_run_steps, (steps,))
            if refusal is None:
                if refused_at is not None:
                    self._log_accepted(time.monotonic() - refused_at)
                return True
            if refused_at is None:
                refused_at = time.monotonic()
                self._log_refused(refusal)
            if self._stopped:
                return False
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _log_refused(self, exc):
        self._logger.error(
            "the disk refuses writes: nothing is acknowledged until it works",
            extra={"error": exc.message, "remedy": exc.remedy},
        )

    def _log_accepted(self, seconds):
        self._logger.warning(
            "the disk takes writes again",
            extra={"refused_seconds": round(seconds, 3)},
        )


def _run_steps(steps):
    """Run ``steps`` on a pool thread; return the refusal of the disk or None.

    The exception is returned instead of raised, because the pool prints the
    traceback of every exception on its threads, here four times a second.
    """
    try:
        for call, args in steps:
            call(*args)
    except dandeliontrail.StorageRefused as exc:
        return exc
    return None


def open_when_writable(new_storage, logger):
    """Return ``new_storage()``; retry while the disk is full.

    A keeper that starts on a full disk cannot rewrite the log that it has
    read, so it cannot acknowledge anything.  If the process ended, it would
    only be started again.
    """
    logged = False
    while True:
        try:
            return new_storage()
        except dandeliontrail.StorageRefused as exc:
            if not logged:
                logged = True
                logger.error(
                    "the disk refuses writes: the start waits for it",
                    extra={"error": exc.message, "remedy": exc.remedy},
                )
            gevent.sleep(RETRY_INTERVAL_SECONDS)
