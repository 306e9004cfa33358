"""A keeper whose disk failed for a while comes back."""

from dandeliontrail_node import disk
from dandeliontrail_node import storage_watch
import gevent
import pytest

import dandeliontrail
from tests.common import platform_world
from tests.common import world


def test_a_keeper_ends_once_its_failed_disk_works_again(monkeypatch):
    # A disk is full for some seconds.  The keeper rightly stops voting; were
    # it to stay so for good, a second such day would end every change.
    with platform_world.PlatformWorld() as made:
        assert made.apply(platform_world.manifest(1)).status == 200
        works = []
        monkeypatch.setattr(
            storage_watch, "takes_writes", lambda folder: bool(works)
        )
        broken = OSError(28, "No space left on device")

        def fail(handle):
            raise broken

        monkeypatch.setattr(disk.os, "fdatasync", fail)
        made.apply(platform_world.manifest(2))
        keeper = made.keeper
        world.wait_until(lambda: keeper.host.state.log._core.halted)
        gevent.sleep(0.2)
        assert not keeper.drain_state.draining
        works.append(True)
        world.wait_until(lambda: keeper.drain_state.hurried)


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


def test_a_disk_that_takes_no_writes_is_told_apart(tmp_path):
    assert storage_watch.takes_writes(tmp_path)
    assert not list(tmp_path.iterdir())
    assert not storage_watch.takes_writes(tmp_path / "nowhere")


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
