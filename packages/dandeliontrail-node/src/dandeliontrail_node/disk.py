"""The data folder of a keeper: one log file, checked and synced.

Layout of the folder::

    lock       held by the one process that uses the folder
    log        a header, then frames
    log.new    a log being written by ``replace``; of no account

The header is a line with the format's name and version and the folder's
identity.  A frame is ``MARK``, the length and the CRC-32 of its payload,
and the payload: a JSON array of records.  All records of one ``append`` are
one frame, so a crash in the middle of it leaves at most one bad frame, the
last.  The first frame is the checkpoint.
"""

import contextlib
import errno
import fcntl
import os
import pathlib
import re
import struct
import uuid
import zlib

import msgspec

import dandeliontrail
from dandeliontrail import interfaces

FORMAT = "dandeliontrail-log"
FORMAT_VERSION = 1
MARK = b"\xd7LG\x01"
_FRAME = struct.Struct("<4sII")
_HEADER = re.compile(rb"([a-z-]+) (\d+) ([0-9a-f]{32})\n")
_LONGEST_HEADER = 128

# What the kernel says of a disk without room, or of a user's share of it.
FULL = (errno.ENOSPC, errno.EDQUOT)
FREE_THE_DISK = (
    "make room on the disk, or mend it; the instance goes on by itself then"
)
REPLACE_KEEPER = (
    "stop the instance, move the folder away and bring the keeper back as a"
    " new one; see docs/operators/keepers.md"
)


NULL = b"null"


class Frame(msgspec.Struct):
    """The payload of a frame; ``checkpoint`` is null in all but the first.

    The field is no ``Raw | None``, which msgspec encodes and then refuses
    to decode.
    """

    records: list[msgspec.Raw]
    checkpoint: msgspec.Raw = msgspec.Raw(NULL)


class FileStorage(interfaces.Storage):
    """An append-only file in a folder of its own.

    ``folder`` is the identity that the folder was given when it was new.
    Raises :class:`dandeliontrail.StorageError` where the folder cannot be
    used, and of its kinds :class:`dandeliontrail.StorageRefused` where the
    disk takes no writes at present.  After a refused write every later one
    is refused too, until :meth:`recover` has taken back what it left::

        try:
            storage.append(records)
        except dandeliontrail.StorageRefused:
            storage.recover()  # Raises the same while the disk refuses.
            storage.append(records)
    """

    def __init__(self, data_dir):
        self._path = pathlib.Path(data_dir)
        self._broken = ""
        self._file = None
        # Up to where the file was synced: all that was ever promised.
        self._synced_bytes = 0
        self.folder = ""
        with contextlib.ExitStack() as stack:
            with _explained(self._path):
                self._path.mkdir(parents=True, exist_ok=True)
                _sync_folder(self._path.parent)
                self._lock(stack)
                stack.callback(self._close_file)
                self._loaded = self._open()
            self._stack = stack.pop_all()

    def load(self):
        """Return ``(checkpoint, records)`` as they were when opened."""
        return self._loaded

    def append(self, records):
        """Write ``records`` as one frame; return once they are synced."""
        with self._refusing():
            data = _frame(records)
            _write_all(self._file, data)
            os.fdatasync(self._file.fileno())
            self._synced_bytes += len(data)

    def replace(self, checkpoint, records):
        """Write a new log with ``checkpoint`` and put it in place."""
        with self._refusing():
            self._write_new(checkpoint, records)

    def recover(self):
        """Take back what a refused write left; then write again.

        Failure guarded against: a disk that was full for some seconds.  What
        a failed write or sync left behind it is unknown, and a second sync
        may report success without having written it (Rebello et al., "Can
        Applications Recover from fsync Failures?", 2020).  So the file is
        cut back to where a sync had succeeded, and whoever wrote writes the
        same again: only bytes written after the failure are synced then.
        Raises :class:`dandeliontrail.StorageRefused` while the disk refuses,
        and another :class:`dandeliontrail.StorageError` for good where less
        is there than was promised.
        """
        with self._refusing(again=True):
            handle = self._file.fileno()
            held = os.fstat(handle).st_size
            if held < self._synced_bytes:
                raise dandeliontrail.StorageError(
                    f"{self._path}/log has {held} bytes of"
                    f" {self._synced_bytes} that were synced.",
                    REPLACE_KEEPER,
                )
            os.ftruncate(handle, self._synced_bytes)
            os.lseek(handle, self._synced_bytes, os.SEEK_SET)
            os.fsync(handle)
            _sync_folder(self._path)
        self._broken = ""

    def close(self):
        """Release the folder."""
        self._stack.close()

    def _close_file(self):
        if self._file:
            self._file.close()

    def _lock(self, stack):
        lock = stack.enter_context((self._path / "lock").open("w"))
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise dandeliontrail.StorageError(
                f"{self._path} is in use by another process.",
                "stop that process, or give this instance another folder",
            )

    def _open(self):
        path = self._path / "log"
        if not path.exists():
            self.folder = uuid.uuid4().hex
            self._write_new(b"", [])
        data = path.read_bytes()
        start = self._read_header(data)
        checkpoint, records = self._read_frames(data, start)
        # What was read may be in the kernel's memory alone: after a failed
        # sync its pages count as clean and are lost with the power.  Written
        # anew and synced, it may be promised; a torn end goes with it.
        self._write_new(checkpoint, records)
        return checkpoint, records

    def _read_header(self, data):
        found = _HEADER.match(data[:_LONGEST_HEADER])
        if not found or found[1].decode() != FORMAT:
            raise dandeliontrail.StorageError(
                f"{self._path}/log does not begin with the header of a log.",
                REPLACE_KEEPER,
            )
        if int(found[2]) != FORMAT_VERSION:
            raise dandeliontrail.StorageError(
                f"{self._path}/log has format {int(found[2])}; this release"
                f" reads {FORMAT_VERSION}.",
                "run the release that wrote it, or a newer one",
            )
        self.folder = found[3].decode()
        return found.end()

    def _read_frames(self, data, start):
        checkpoint = b""
        records = []
        at = start
        while at < len(data):
            payload = _payload_at(data, at)
            if payload is None:
                self._check_torn(data, at, start)
                break
            frame = msgspec.json.decode(payload, type=Frame)
            if bytes(frame.checkpoint) != NULL:
                checkpoint = bytes(frame.checkpoint)
            records.extend(bytes(item) for item in frame.records)
            at += _FRAME.size + len(payload)
        return checkpoint, records

    def _check_torn(self, data, at, start):
        """Refuse a bad frame that is not the last.

        An append that a crash cut short was never acknowledged and may be
        dropped.  Damage further up is another matter: what follows it was
        acknowledged, and leaving out a part would break the promise that
        this keeper gave; so it is never skipped.
        """
        following = data.find(MARK, at + 1)
        while following >= 0:
            if _payload_at(data, following) is not None:
                raise dandeliontrail.StorageError(
                    f"{self._path}/log is damaged at byte {at}, with good"
                    f" records after it at byte {following}.",
                    REPLACE_KEEPER,
                )
            following = data.find(MARK, following + 1)
        if at == start:
            # The first frame was in place before the file got its name.
            raise dandeliontrail.StorageError(
                f"{self._path}/log is damaged at byte {at}, in its"
                " checkpoint.",
                REPLACE_KEEPER,
            )

    def _write_new(self, checkpoint, records):
        new = self._path / "log.new"
        header = f"{FORMAT} {FORMAT_VERSION} {self.folder}\n".encode()
        data = header + _frame(records, checkpoint)
        with contextlib.ExitStack() as stack:
            file = stack.enter_context(new.open("wb", buffering=0))
            _write_all(file, data)
            os.fsync(file.fileno())
            new.rename(self._path / "log")
            stack.pop_all()
        if self._file:
            self._file.close()
        self._file = file
        self._synced_bytes = len(data)
        # Without this the rename itself may be lost in a crash, and with it
        # every append to the new file.
        _sync_folder(self._path)

    @contextlib.contextmanager
    def _refusing(self, again=False):
        """Refuse every write after one that failed, until ``again``.

        After a failed sync the kernel may drop the pages and report
        success the next time, so a mere second sync proves nothing.
        """
        if self._broken and not again:
            raise dandeliontrail.StorageRefused(self._broken, FREE_THE_DISK)
        try:
            yield
        except OSError as exc:
            self._broken = f"{self._path} took no write: {exc.strerror}."
            raise dandeliontrail.StorageRefused(self._broken, FREE_THE_DISK)


@contextlib.contextmanager
def _explained(path):
    try:
        yield
    except OSError as exc:
        if exc.errno in FULL:
            raise dandeliontrail.StorageRefused(
                f"{path} took no write: {exc.strerror}.", FREE_THE_DISK
            )
        raise dandeliontrail.StorageError(
            f"{path} cannot be used: {exc.strerror}.",
            "give this user a folder that it may read and write",
        )


def _write_all(file, data):
    """Write all of ``data`` to an unbuffered file.

    A buffer would keep what the disk refused, and write it later in front
    of what is written then.
    """
    left = memoryview(data)
    while left:
        left = left[file.write(left) :]


def _frame(records, checkpoint=None):
    raw = [msgspec.Raw(item) for item in records]
    state = msgspec.Raw(checkpoint or NULL)
    payload = msgspec.json.encode(Frame(raw, state))
    return _FRAME.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def _payload_at(data, at):
    """Return the payload of a whole and good frame at ``at``, or None."""
    if at + _FRAME.size > len(data):
        return None
    mark, length, checksum = _FRAME.unpack_from(data, at)
    start = at + _FRAME.size
    if mark != MARK or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _sync_folder(path):
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
