"""Usage on the disk of a keeper survives a restart."""

import logging

import pytest

from dandeliontrail.coordination import ledger
from dandeliontrail.coordination import usage
from dandeliontrail import effects
from dandeliontrail_node import disk
from dandeliontrail_node import usage_disk


def load_ledger(folder):
    storage = disk.FileStorage(folder)
    writer = usage_disk.UsageDisk(storage, logging.getLogger("test"))
    event = writer.load()
    restored_ledger = ledger.UsageLedger(usage.Publisher("i1", 99))
    restored_ledger.restore(event.snapshot, event.journal)
    writer.close()
    storage.close()
    return restored_ledger


@pytest.mark.parametrize("snapshot", [False, True])
def test_usage_is_read_back_from_snapshot_and_journal(tmp_path, snapshot):
    original = ledger.UsageLedger(usage.Publisher("i1", 1))
    storage = disk.FileStorage(tmp_path)
    writer = usage_disk.UsageDisk(storage, logging.getLogger("test"))
    for day in ("2026-03-14", "2026-03-15"):
        original.day = day
        original.count("lab", "lookup", usage.Totals(1, 10, 5, 0))
        if snapshot:
            writer.put(effects.ReplaceUsage(original.snapshot()))
            original.unsaved()
    original.count("lab", "lookup", usage.Totals(1, 10, 5, 2))
    writer.put(effects.AppendUsage(original.unsaved()))
    writer.close()
    storage.close()
    loaded = load_ledger(tmp_path)
    assert loaded.used_by("lab") == original.used_by("lab")
    assert loaded.version() == original.version()
    loaded.day = "2026-03-15"
    assert loaded.used_today("lab").requests == 2
