"""The data folder of a keeper: crashes, corruption and failing calls."""

import os
import pathlib

import pytest

import dandeliontrail
from dandeliontrail_node import disk

RECORDS = [b'{"n":1}', b'{"n":2}', b'{"n":3}']
CHECKPOINT = b'{"state":"all"}'


def open_storage(path):
    return disk.FileStorage(path)


def write_sample_log(path):
    """Write a checkpoint and two appends; return the path of the log."""
    storage = open_storage(path)
    storage.replace(CHECKPOINT, RECORDS[:1])
    storage.append(RECORDS[1:2])
    storage.append(RECORDS[2:])
    storage.close()
    return pathlib.Path(path) / "log"


def load(path):
    storage = open_storage(path)
    loaded = storage.load()
    storage.close()
    return loaded


def last_frame_offset(data):
    return data.rindex(disk.MARK)


def test_can_read_back_what_was_synced(tmp_path):
    write_sample_log(tmp_path)
    assert load(tmp_path) == (CHECKPOINT, RECORDS)


def test_cuts_a_torn_tail_at_every_byte(tmp_path):
    # The power fails during the last append.  The append was not
    # acknowledged, so the keeper starts without it and continues.
    log = write_sample_log(tmp_path)
    data = log.read_bytes()
    for length in range(last_frame_offset(data), len(data)):
        log.write_bytes(data[:length])
        assert load(tmp_path) == (CHECKPOINT, RECORDS[:2])
        storage = open_storage(tmp_path)
        storage.append([b'{"n":9}'])
        storage.close()
        assert load(tmp_path)[1] == [*RECORDS[:2], b'{"n":9}']


def test_drops_a_damaged_last_record(tmp_path):
    # One bit of the last frame is flipped: the whole frame is dropped.
    log = write_sample_log(tmp_path)
    data = log.read_bytes()
    for offset in range(last_frame_offset(data), len(data)):
        damaged = bytearray(data)
        damaged[offset] ^= 0x10
        log.write_bytes(damaged)
        assert load(tmp_path) == (CHECKPOINT, RECORDS[:2])


def test_refuses_a_damaged_middle_at_every_byte(tmp_path):
    # An acknowledged record is damaged and valid ones follow it.  Skipping it
    # would lose acknowledged data, so the keeper must not start.
    log = write_sample_log(tmp_path)
    data = log.read_bytes()
    first = data.index(disk.MARK)
    for offset in range(first, last_frame_offset(data)):
        damaged = bytearray(data)
        damaged[offset] ^= 0x10
        log.write_bytes(damaged)
        with pytest.raises(dandeliontrail.StorageError) as caught:
            load(tmp_path)
        assert "damaged" in caught.value.message
        assert "keepers.md" in caught.value.remedy
        assert log.read_bytes() == damaged


def test_refuses_a_format_of_another_release(tmp_path):
    log = write_sample_log(tmp_path)
    log.write_bytes(log.read_bytes().replace(b"-log 1 ", b"-log 2 ", 1))
    with pytest.raises(dandeliontrail.StorageError, match="format 2"):
        load(tmp_path)


def test_does_not_share_a_folder(tmp_path):
    storage = open_storage(tmp_path)
    with pytest.raises(dandeliontrail.StorageError, match="another process"):
        open_storage(tmp_path)
    storage.close()
    load(tmp_path)


def test_folder_keeps_its_identity_and_a_new_one_gets_another(tmp_path):
    identities = []
    for folder in ("a", "a", "b"):
        storage = open_storage(tmp_path / folder)
        identities.append(storage.folder)
        storage.close()
    assert identities[0] == identities[1] != identities[2]


@pytest.mark.parametrize("call", ["fdatasync", "fsync", "rename", "write"])
def test_refuses_writes_after_a_failed_call(tmp_path, monkeypatch, call):
    # One call fails and the disk seems to work again at once.  No later sync
    # restores what a failed sync has lost, so later writes must be refused.
    storage = open_storage(tmp_path)
    storage.replace(CHECKPOINT, RECORDS[:1])

    def fail(*args, **kwargs):
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patched:
        if call == "rename":
            patched.setattr(pathlib.Path, "rename", fail)
        elif call == "write":
            patched.setattr(disk, "_frame", fail)
        else:
            patched.setattr(os, call, fail)
        with pytest.raises(dandeliontrail.StorageError):
            if call in ("fdatasync", "write"):
                storage.append(RECORDS[1:])
            else:
                storage.replace(b'{"state":"new"}', [])
    with pytest.raises(dandeliontrail.StorageError):
        storage.append(RECORDS[1:])
    storage.close()
    checkpoint, records = load(tmp_path)
    assert checkpoint in (CHECKPOINT, b'{"state":"new"}')
    assert records in (RECORDS[:1], RECORDS, [])
