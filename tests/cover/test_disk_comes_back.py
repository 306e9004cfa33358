"""A keeper whose disk refused writes for a while comes back."""

import logging

from dandeliontrail_node import disk
from dandeliontrail_node import patient_writes
import gevent
import pytest

import dandeliontrail
from tests.common import platform_world
from tests.common import world


class FullDisk:
    """Makes every write of this process fail while it is full."""

    def __init__(self, monkeypatch):
        self.full = False
        self._write_all = disk._write_all
        self._sync = disk.os.fdatasync
        self._sync_all = disk.os.fsync
        monkeypatch.setattr(disk, "_write_all", self._writes)
        monkeypatch.setattr(disk.os, "fdatasync", self._syncs)
        monkeypatch.setattr(disk.os, "fsync", self._syncs_all)

    def _refuse(self):
        if self.full:
            raise OSError(28, "No space left on device")

    def _writes(self, file, data):
        if self.full:
            # Some of it finds room before the disk is full.
            self._write_all(file, data[: len(data) // 2])
        self._refuse()
        self._write_all(file, data)

    def _syncs(self, handle):
        self._refuse()
        self._sync(handle)

    def _syncs_all(self, handle):
        self._refuse()
        self._sync_all(handle)


def fill_up(held, monkeypatch):
    """Append one record; then have the disk be full and refuse the next."""
    held.append([b"1"])
    full = FullDisk(monkeypatch)
    full.full = True
    with pytest.raises(dandeliontrail.StorageRefused):
        held.append([b"2"])
    return full


def test_a_keeper_holds_on_while_its_disk_is_full(monkeypatch):
    # A disk is full for some seconds while the operator sends a change.  The
    # keeper must not acknowledge what it cannot keep, must not end, since
    # its callers and its vote would go with it, and must go on by itself,
    # with nothing lost, as soon as there is room.
    with platform_world.PlatformWorld() as made:
        assert made.apply(platform_world.manifest(1)).status == 200
        full = FullDisk(monkeypatch)
        full.full = True
        assert made.apply(platform_world.manifest(2)).status == 503
        keeper = made.keeper
        assert not keeper.host.state.log._core.halted
        assert not keeper.drain_state.draining
        full.full = False
        world.wait_until(
            lambda: made.apply(platform_world.manifest(3)).status == 200
        )
        assert not keeper.drain_state.draining
        read = made.control("GET", "/api/config")
        assert b'"version":3' in read.body


def test_what_was_acknowledged_survives_a_full_disk(tmp_path, monkeypatch):
    # Half of a record finds room before the disk is full.  It is written
    # again once there is room; a restart reads each record once.
    held = disk.FileStorage(tmp_path)
    full = fill_up(held, monkeypatch)
    with pytest.raises(dandeliontrail.StorageRefused):
        held.recover()
    full.full = False
    held.recover()
    held.append([b"2"])
    held.append([b"3"])
    held.close()
    again = disk.FileStorage(tmp_path)
    assert again.load()[1] == [b"1", b"2", b"3"]
    again.close()


@pytest.mark.parametrize("failing", ["_write_all", "fsync", "rename"])
def test_a_new_log_that_was_refused_can_be_written_again(
    tmp_path, monkeypatch, failing
):
    # The disk fills up while a checkpoint takes the place of the log, before
    # or after the new file got its name.
    held = disk.FileStorage(tmp_path)
    held.append([b"1"])

    def fail(*args, **kwargs):
        raise OSError(28, "No space left on device")

    places = {
        "_write_all": disk,
        "fsync": disk.os,
        "rename": disk.pathlib.Path,
    }
    with monkeypatch.context() as patched:
        patched.setattr(places[failing], failing, fail)
        with pytest.raises(dandeliontrail.StorageRefused):
            held.replace(b'{"at":1}', [b"2"])
    held.recover()
    held.replace(b'{"at":1}', [b"2"])
    held.append([b"3"])
    held.close()
    again = disk.FileStorage(tmp_path)
    assert again.load() == (b'{"at":1}', [b"2", b"3"])
    again.close()


def test_a_log_that_lost_what_was_synced_is_never_used_again(
    tmp_path, monkeypatch
):
    # The disk comes back with less than the keeper has promised: to go on
    # would acknowledge on top of a hole.
    held = disk.FileStorage(tmp_path)
    full = fill_up(held, monkeypatch)
    full.full = False
    path = tmp_path / "log"
    with path.open("r+b") as file:
        file.truncate(path.stat().st_size // 2)
    with pytest.raises(dandeliontrail.StorageError) as caught:
        held.recover()
    assert not isinstance(caught.value, dandeliontrail.StorageRefused)
    held.close()


def test_a_start_waits_for_a_full_disk(tmp_path, monkeypatch):
    # A keeper is killed while its disk is full.  Ending at once, it would be
    # started and end again until there is room.
    disk.FileStorage(tmp_path).close()
    full = FullDisk(monkeypatch)
    full.full = True
    starting = gevent.spawn(
        patient_writes.opened,
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
    # SIGTERM comes while a write is refused: the process must not wait for
    # the disk beyond its grace time.
    held = disk.FileStorage(tmp_path)
    writes = patient_writes.PatientWrites(held, logging.getLogger("test"))
    full = FullDisk(monkeypatch)
    full.full = True
    writing = gevent.spawn(writes.carry_out, held.append, ([b"1"],))
    gevent.sleep(0.1)
    assert not writing.ready()
    writes.give_up()
    assert writing.get(timeout=2.0) is False
    full.full = False
    assert writes.carry_out(held.recover, ()) is True
    held.close()


def test_what_a_new_process_read_is_synced_before_it_counts(
    tmp_path, monkeypatch
):
    # A sync failed and the process ended.  The next one reads records that
    # only the kernel's memory holds; a loss of power right after takes back
    # what it has meanwhile promised.
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
    # The file, and the folder that its new name is in.
    assert len(synced) >= 2


def test_a_failed_storage_refuses_every_later_write(tmp_path, monkeypatch):
    held = disk.FileStorage(tmp_path)

    def fail(handle):
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(disk.os, "fdatasync", fail)
    with pytest.raises(dandeliontrail.StorageError):
        held.append([b"1"])
    monkeypatch.undo()
    with pytest.raises(dandeliontrail.StorageError):
        held.append([b"2"])
    held.close()
