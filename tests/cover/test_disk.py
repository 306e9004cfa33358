"""The data folder of a keeper under crashes, damage and failing calls."""

import os
import pathlib

import pytest

import dandeliontrail
from dandeliontrail_node import disk

RECORDS = [b'{"n":1}', b'{"n":2}', b'{"n":3}']
CHECKPOINT = b'{"state":"all"}'


def open_folder(path):
    return disk.FileStorage(path)


def filled(path):
    """Return the log file of a folder with a checkpoint and appends."""
    storage = open_folder(path)
    storage.replace(CHECKPOINT, RECORDS[:1])
    storage.append(RECORDS[1:2])
    storage.append(RECORDS[2:])
    storage.close()
    return pathlib.Path(path) / "log"


def load(path):
    storage = open_folder(path)
    found = storage.load()
    storage.close()
    return found


def last_frame(data):
    return data.rindex(disk.MARK)


def test_can_read_back_what_was_synced(tmp_path):
    filled(tmp_path)
    assert load(tmp_path) == (CHECKPOINT, RECORDS)


def test_cuts_a_torn_tail_at_every_byte(tmp_path):
    # Power fails in the middle of the last append.  It was never
    # acknowledged, so the keeper comes up without it, and goes on.
    log = filled(tmp_path)
    data = log.read_bytes()
    for length in range(last_frame(data), len(data)):
        log.write_bytes(data[:length])
        assert load(tmp_path) == (CHECKPOINT, RECORDS[:2])
        storage = open_folder(tmp_path)
        storage.append([b'{"n":9}'])
        storage.close()
        assert load(tmp_path)[1] == [*RECORDS[:2], b'{"n":9}']


def test_never_takes_a_damaged_last_record_for_good(tmp_path):
    # One flipped bit anywhere in the last record: it is left out whole.
    log = filled(tmp_path)
    data = log.read_bytes()
    for at in range(last_frame(data), len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 0x10
        log.write_bytes(damaged)
        assert load(tmp_path) == (CHECKPOINT, RECORDS[:2])


def test_refuses_a_damaged_middle_at_every_byte(tmp_path):
    # A record that was acknowledged is damaged, with good ones after it.
    # To skip it would break a promise; the keeper must not start.
    log = filled(tmp_path)
    data = log.read_bytes()
    first = data.index(disk.MARK)
    for at in range(first, last_frame(data)):
        damaged = bytearray(data)
        damaged[at] ^= 0x10
        log.write_bytes(damaged)
        with pytest.raises(dandeliontrail.StorageError) as caught:
            load(tmp_path)
        assert "damaged" in caught.value.message
        assert "keepers.md" in caught.value.remedy
        assert log.read_bytes() == damaged


def test_refuses_a_format_of_another_release(tmp_path):
    log = filled(tmp_path)
    log.write_bytes(log.read_bytes().replace(b"-log 1 ", b"-log 2 ", 1))
    with pytest.raises(dandeliontrail.StorageError, match="format 2"):
        load(tmp_path)


def test_does_not_share_a_folder(tmp_path):
    storage = open_folder(tmp_path)
    with pytest.raises(dandeliontrail.StorageError, match="another process"):
        open_folder(tmp_path)
    storage.close()
    load(tmp_path)


def test_folder_keeps_its_identity_and_a_new_one_gets_another(tmp_path):
    names = []
    for folder in ("a", "a", "b"):
        storage = open_folder(tmp_path / folder)
        names.append(storage.folder)
        storage.close()
    assert names[0] == names[1] != names[2]


@pytest.mark.parametrize("call", ["fdatasync", "fsync", "rename", "write"])
def test_first_failing_call_is_the_last(tmp_path, monkeypatch, call):
    # The disk fails once and seems well again at once.  What a failed sync
    # has lost no later sync brings back, so the keeper must stop there.
    storage = open_folder(tmp_path)
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
