"""The data folder of a keeper: an append-only log with checksums.

Layout of the folder::

    lock       held by the one process that uses the folder
    log        a header, then frames
    log.new    a log that ``replace`` is writing; ignored at the start

The header is a line with the name and version of the format and the identity
of the folder.  A frame consists of ``MARK``, the length and the CRC-32 of its
payload, and the payload, a JSON array of records.  One ``append`` writes all
its records as one frame, so a crash during it damages at most the last frame.
The first frame holds the checkpoint.
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
_MAX_HEADER_BYTES = 128

# Errors for a full disk and for an exhausted disk quota.
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)
FREE_DISK_REMEDY = (
    "free space on the disk, or repair it; the instance then continues by"
    " itself"
)
REPLACE_KEEPER_REMEDY = (
    "stop the instance, move the folder away and bring the keeper back as a"
    " new one; see docs/operators/keepers.md"
)


NULL = b"null"


class Frame(msgspec.Struct):
    """The payload of a frame; ``checkpoint`` is null in all but the first.

    The type of the field is not ``Raw | None``, because msgspec encodes such
    a field but refuses to decode it.
    """

    records: list[msgspec.Raw]
    checkpoint: msgspec.Raw = msgspec.Raw(NULL)


class FileStorage(interfaces.Storage):
    """An append-only log file in a folder of its own.

    ``folder`` is the identity that the folder got when it was created.
    Raises :class:`dandeliontrail.StorageError` if the folder cannot be used,
    and its subclass :class:`dandeliontrail.StorageRefused` if the disk
    accepts no writes at present.  After a refused write all later writes are
    refused too, until :meth:`recover` has removed what the write left::

        try:
            storage.append(records)
        except dandeliontrail.StorageRefused:
            storage.recover()  # Raises StorageRefused while the disk does.
            storage.append(records)
    """

    def __init__(self, data_dir):
        self._path = pathlib.Path(data_dir)
        self._refusal = ""
        self._file = None
        # Length of the synced part: everything that was acknowledged.
        self._synced_bytes = 0
        self.folder = ""
        with contextlib.ExitStack() as stack:
            with _storage_errors(self._path):
                self._path.mkdir(parents=True, exist_ok=True)
                _sync_folder(self._path.parent)
                self._acquire_lock(stack)
                stack.callback(self._close_file)
                self._loaded = self._open()
            self._stack = stack.pop_all()

    def load(self):
        """Return ``(checkpoint, records)`` as read when the log was opened."""
        return self._loaded

    def append(self, records):
        """Write ``records`` as one frame and sync them before returning."""
        with self._guarded_write():
            data = _frame(records)
            _write_all(self._file, data)
            os.fdatasync(self._file.fileno())
            self._synced_bytes += len(data)

    def replace(self, checkpoint, records):
        """Atomically replace the log by ``checkpoint`` and ``records``."""
        with self._guarded_write():
            self._write_new(checkpoint, records)

    def recover(self):
        """Undo a refused write, so that writing can continue.

        It guards against a disk that is full for some seconds.  What a
        failed write or sync has left in the file is unknown, and a second
        sync may report success without having written it (Rebello et al.,
        "Can Applications Recover from fsync Failures?", 2020).  So the file
        is truncated to the length of the last successful sync and the caller
        repeats its write: only bytes written after the failure are synced
        then.

        Raises :class:`dandeliontrail.StorageRefused` while the disk refuses
        writes, and another :class:`dandeliontrail.StorageError`, which is
        permanent, if the file is shorter than what was synced.
        """
        with self._guarded_write(recovering=True):
            handle = self._file.fileno()
            held = os.fstat(handle).st_size
            if held < self._synced_bytes:
                raise dandeliontrail.StorageError(
                    f"{self._path}/log has {held} bytes of"
                    f" {self._synced_bytes} that were synced.",
                    REPLACE_KEEPER_REMEDY,
                )
            os.ftruncate(handle, self._synced_bytes)
            os.lseek(handle, self._synced_bytes, os.SEEK_SET)
            os.fsync(handle)
            _sync_folder(self._path)
        self._refusal = ""

    def close(self):
        """Close the log and release the lock of the folder."""
        self._stack.close()

    def _close_file(self):
        if self._file:
            self._file.close()

    def _acquire_lock(self, stack):
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
        # The data that was read may exist only in the page cache: after a
        # failed sync the kernel marks its pages clean, and a power loss
        # drops them.  So the log is rewritten and synced before anything is
        # acknowledged, which also removes a torn tail.
        self._write_new(checkpoint, records)
        return checkpoint, records

    def _read_header(self, data):
        found = _HEADER.match(data[:_MAX_HEADER_BYTES])
        if not found or found[1].decode() != FORMAT:
            raise dandeliontrail.StorageError(
                f"{self._path}/log does not begin with the header of a log.",
                REPLACE_KEEPER_REMEDY,
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
        offset = start
        while offset < len(data):
            payload = _payload_at(data, offset)
            if payload is None:
                self._check_torn(data, offset, start)
                break
            frame = msgspec.json.decode(payload, type=Frame)
            if bytes(frame.checkpoint) != NULL:
                checkpoint = bytes(frame.checkpoint)
            records.extend(bytes(item) for item in frame.records)
            offset += _FRAME.size + len(payload)
        return checkpoint, records

    def _check_torn(self, data, offset, start):
        """Raise ``StorageError`` for a bad frame that is not the last.

        An append that was interrupted by a crash was never acknowledged and
        may be dropped.  Damage before good frames must not be skipped: the
        frames after it were acknowledged, so skipping a part would lose
        records that this keeper has acknowledged.
        """
        next_mark = data.find(MARK, offset + 1)
        while next_mark >= 0:
            if _payload_at(data, next_mark) is not None:
                raise dandeliontrail.StorageError(
                    f"{self._path}/log is damaged at byte {offset}, with good"
                    f" records after it at byte {next_mark}.",
                    REPLACE_KEEPER_REMEDY,
                )
            next_mark = data.find(MARK, next_mark + 1)
        if offset == start:
            # The first frame was complete before the file was renamed.
            raise dandeliontrail.StorageError(
                f"{self._path}/log is damaged at byte {offset}, in its"
                " checkpoint.",
                REPLACE_KEEPER_REMEDY,
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
        # Without this sync a crash may lose the rename, and with it every
        # append to the new file.
        _sync_folder(self._path)

    @contextlib.contextmanager
    def _guarded_write(self, recovering=False):
        """Turn an ``OSError`` into ``StorageRefused``, then refuse writes.

        After a failure every write is refused, except with ``recovering``:
        after a failed sync the kernel may drop the pages and report success
        the next time, so a second sync alone proves nothing.
        """
        if self._refusal and not recovering:
            raise dandeliontrail.StorageRefused(
                self._refusal, FREE_DISK_REMEDY
            )
        try:
            yield
        except OSError as exc:
            self._refusal = f"{self._path} refused a write: {exc.strerror}."
            raise dandeliontrail.StorageRefused(
                self._refusal, FREE_DISK_REMEDY
            )


@contextlib.contextmanager
def _storage_errors(path):
    try:
        yield
    except OSError as exc:
        if exc.errno in DISK_FULL_ERRORS:
            raise dandeliontrail.StorageRefused(
                f"{path} refused a write: {exc.strerror}.", FREE_DISK_REMEDY
            )
        raise dandeliontrail.StorageError(
            f"{path} cannot be used: {exc.strerror}.",
            "give this user a folder that it may read and write",
        )


def _write_all(file, data):
    """Write all of ``data`` to an unbuffered file.

    A buffered file would keep the bytes that the disk refused and write them
    before the data of the next call.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[file.write(remaining) :]


def _frame(records, checkpoint=None):
    raw = [msgspec.Raw(item) for item in records]
    state = msgspec.Raw(checkpoint or NULL)
    payload = msgspec.json.encode(Frame(raw, state))
    return _FRAME.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def _payload_at(data, offset):
    """Return the payload of a complete, valid frame at ``offset``, or None."""
    if offset + _FRAME.size > len(data):
        return None
    mark, length, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
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
