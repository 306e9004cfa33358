"""A keeper recovers after its disk has refused writes for a while."""

import logging

from dandeliontrail_node import disk
from dandeliontrail_node import retrying_writer
import gevent
import pytest

import dandeliontrail
from tests.common import platform_world
from tests.common import world


class FullDisk:
    """Makes every write of this process fail while ``full`` is set."""

    def __init__(self, monkeypatch):
        self.full = False
        self._write_all = disk._write_all
        self._sync = disk.os.fdatasync
        self._sync_all = disk.os.fsync
        monkeypatch.setattr(disk, "_write_all", self._write_or_fail)
        monkeypatch.setattr(disk.os, "fdatasync", self._sync_or_fail)
        monkeypatch.setattr(disk.os, "fsync", self._sync_all_or_fail)

    def _fail_if_full(self):
        if self.full:
            raise OSError(28, "No space left on device")

    def _write_or_fail(self, file, data):
        if self.full:
            # A part of the data still fits on the disk.
            self._write_all(file, data[: len(data) // 2])
        self._fail_if_full()
        self._write_all(file, data)

    def _sync_or_fail(self, handle):
        self._fail_if_full()
        self._sync(handle)

    def _sync_all_or_fail(self, handle):
        self._fail_if_full()
        self._sync_all(handle)


def fill_disk(storage, monkeypatch):
    """Append one record, then fill the disk so that the next is refused."""
    storage.append([b"1"])
    full = FullDisk(monkeypatch)
    full.full = True
    with pytest.raises(dandeliontrail.StorageRefused):
        storage.append([b"2"])
    return full


def test_a_keeper_holds_on_while_its_disk_is_full(monkeypatch):
    # A disk is full for some seconds while an operator sends a change.  The
    # keeper must not acknowledge what it cannot store.  It must not end,
    # since its callers and its vote would be lost with it.  Once there is
    # space it must continue by itself, without losing anything.
    with platform_world.PlatformWorld() as deployment:
        assert deployment.apply(platform_world.manifest(1)).status == 200
        full = FullDisk(monkeypatch)
        full.full = True
        assert deployment.apply(platform_world.manifest(2)).status == 503
        keeper = deployment.keeper
        assert not keeper.host.state.log._core.halted
        assert not keeper.drain_state.draining
        full.full = False
        world.wait_until(
            lambda: deployment.apply(platform_world.manifest(3)).status == 200
        )
        assert not keeper.drain_state.draining
        read = deployment.control("GET", "/api/config")
        assert b'"version":3' in read.body


def test_what_was_acknowledged_survives_a_full_disk(tmp_path, monkeypatch):
    # Half of a record is written before the disk is full.  The record is
    # written again once there is space; a restart reads each record once.
    storage = disk.FileStorage(tmp_path)
    full = fill_disk(storage, monkeypatch)
    with pytest.raises(dandeliontrail.StorageRefused):
        storage.recover()
    full.full = False
    storage.recover()
    storage.append([b"2"])
    storage.append([b"3"])
    storage.close()
    again = disk.FileStorage(tmp_path)
    assert again.load()[1] == [b"1", b"2", b"3"]
    again.close()


@pytest.mark.parametrize("failing", ["_write_all", "fsync", "rename"])
def test_a_new_log_that_was_refused_can_be_written_again(
    tmp_path, monkeypatch, failing
):
    # The disk fills up while a checkpoint replaces the log, before or after
    # the new file is renamed.
    storage = disk.FileStorage(tmp_path)
    storage.append([b"1"])

    def fail(*args, **kwargs):
        raise OSError(28, "No space left on device")

    owners = {
        "_write_all": disk,
        "fsync": disk.os,
        "rename": disk.pathlib.Path,
    }
    with monkeypatch.context() as patched:
        patched.setattr(owners[failing], failing, fail)
        with pytest.raises(dandeliontrail.StorageRefused):
            storage.replace(b'{"at":1}', [b"2"])
    storage.recover()
    storage.replace(b'{"at":1}', [b"2"])
    storage.append([b"3"])
    storage.close()
    again = disk.FileStorage(tmp_path)
    assert again.load() == (b'{"at":1}', [b"2", b"3"])
    again.close()


def test_a_log_that_lost_what_was_synced_is_never_used_again(
    tmp_path, monkeypatch
):
    # After the failure the file is shorter than what the keeper has synced:
    # continuing would acknowledge records after a gap.
    storage = disk.FileStorage(tmp_path)
    full = fill_disk(storage, monkeypatch)
    full.full = False
    path = tmp_path / "log"
    with path.open("r+b") as file:
        file.truncate(path.stat().st_size // 2)
    with pytest.raises(dandeliontrail.StorageError) as caught:
        storage.recover()
    assert not isinstance(caught.value, dandeliontrail.StorageRefused)
    storage.close()


def test_a_start_waits_for_a_full_disk(tmp_path, monkeypatch):
    # A keeper is killed while its disk is full.  If the new process ended at
    # once, it would be restarted again and again until there is space.
    disk.FileStorage(tmp_path).close()
    full = FullDisk(monkeypatch)
    full.full = True
    starting = gevent.spawn(
        retrying_writer.open_when_writable,
        lambda: disk.FileStorage(tmp_path),
        logging.getLogger("test"),
    )
    gevent.sleep(0.1)
    assert not starting.ready()
    full.full = False
    storage = starting.get(timeout=2.0)
    storage.append([b"1"])
    storage.close()


def test_an_instance_ends_while_its_disk_is_full(tmp_path, monkeypatch):
    # SIGTERM arrives while a write is refused: the process must not wait for
    # the disk beyond its grace period.
    storage = disk.FileStorage(tmp_path)
    writer = retrying_writer.RetryingWriter(storage, logging.getLogger("test"))
    full = FullDisk(monkeypatch)
    full.full = True
    writing = gevent.spawn(writer.execute, storage.append, ([b"1"],))
    gevent.sleep(0.1)
    assert not writing.ready()
    writer.stop_retrying()
    assert writing.get(timeout=2.0) is False
    full.full = False
    assert writer.execute(storage.recover, ()) is True
    storage.close()


def test_what_a_new_process_read_is_synced_before_it_counts(
    tmp_path, monkeypatch
):
    # A sync failed and the process ended.  The next process reads records
    # that exist only in the page cache; a power loss right after that would
    # lose what it has acknowledged since.
    first = disk.FileStorage(tmp_path)
    first.append([b"1"])
    first.close()
    synced = []
    fsync = disk.os.fsync
    monkeypatch.setattr(
        disk.os, "fsync", lambda handle: synced.append(fsync(handle))
    )
    second = disk.FileStorage(tmp_path)
    assert second.load()[1] == [b"1"]
    assert second.folder == first.folder
    second.close()
    # The file, and the folder in which it was renamed.
    assert len(synced) >= 2


def test_a_failed_storage_refuses_every_later_write(tmp_path, monkeypatch):
    storage = disk.FileStorage(tmp_path)

    def fail(handle):
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(disk.os, "fdatasync", fail)
    with pytest.raises(dandeliontrail.StorageError):
        storage.append([b"1"])
    monkeypatch.undo()
    with pytest.raises(dandeliontrail.StorageError):
        storage.append([b"2"])
    storage.close()
