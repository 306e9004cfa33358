"""Usage on a keeper's disk, over a restart."""

import logging

import pytest

from dandeliontrail.coordination import ledger
from dandeliontrail.coordination import usage
from dandeliontrail import effects
from dandeliontrail_node import disk
from dandeliontrail_node import usage_disk


def restored(folder):
    storage = disk.FileStorage(folder)
    keeping = usage_disk.UsageDisk(storage, logging.getLogger("test"))
    event = keeping.load()
    made = ledger.UsageLedger(usage.Publisher("i1", 99))
    made.restore(event.snapshot, event.journal)
    keeping.close()
    storage.close()
    return made


@pytest.mark.parametrize("snapshot", [False, True])
def test_usage_is_read_back_from_snapshot_and_journal(tmp_path, snapshot):
    held = ledger.UsageLedger(usage.Publisher("i1", 1))
    storage = disk.FileStorage(tmp_path)
    keeping = usage_disk.UsageDisk(storage, logging.getLogger("test"))
    for day in ("2026-03-14", "2026-03-15"):
        held.day = day
        held.count("lab", "lookup", usage.Totals(1, 10, 5, 0))
        if snapshot:
            keeping.put(effects.ReplaceUsage(held.snapshot()))
            held.unsaved()
    held.count("lab", "lookup", usage.Totals(1, 10, 5, 2))
    keeping.put(effects.AppendUsage(held.unsaved()))
    keeping.close()
    storage.close()
    found = restored(tmp_path)
    assert found.used_by("lab") == held.used_by("lab")
    assert found.version() == held.version()
    found.day = "2026-03-15"
    assert found.used_today("lab").requests == 2
