"""A checkpoint of the usage ledger is adopted whole or not at all."""

from dandeliontrail.coordination import ledger
from dandeliontrail.coordination import usage
from dandeliontrail.coordination import usage_totals
from dandeliontrail import errors
import pytest

from tests.common import usage_nodes

REQUEST = usage_nodes.request_totals(1)
# An attempt that failed before anything of its answer was relayed.
FAILED_ATTEMPT = usage.Totals(wasted_tokens=0)


def new_ledger(instance, incarnation=1):
    made = ledger.UsageLedger(usage.Publisher(instance, incarnation))
    made.day = usage_nodes.DAY
    return made


def bring_up_to_date(one, other):
    for message in one.answer(other.have()):
        if isinstance(message, usage.UsageCheckpoint):
            other.adopt(message)
        else:
            other.merge(message)


class Restarted:
    """An instance that counts a request and starts again, and two others.

    ``folding`` holds the checkpoint of the first start, ``other`` only its
    rows.
    """

    def __init__(self, counts):
        self.first = new_ledger("i1")
        self.folding = new_ledger("i2")
        self.other = new_ledger("i3")
        for class_name, amount in counts:
            self.first.count("lab", class_name, amount)
        bring_up_to_date(self.first, self.folding)
        bring_up_to_date(self.first, self.other)
        self.second = new_ledger("i1", 2)
        self.fold(self.first.own)

    def fold(self, publisher):
        self.folding.finish(publisher)
        assert self.folding.fold() == 1

    def checkpoint(self):
        return self.folding.checkpoint_message("i1")

    def requests(self):
        return self.other.used_by("lab").requests


def test_a_checkpoint_covers_a_row_without_counts():
    site = Restarted([("chat", FAILED_ATTEMPT), ("lookup", REQUEST)])
    site.other.adopt(site.checkpoint())
    assert site.requests() == 1
    assert site.other.version() == site.folding.version()


@pytest.mark.parametrize("failing_call", range(4))
def test_no_request_counts_twice_after_a_checkpoint_that_failed(
    monkeypatch, failing_call
):
    site = Restarted([("chat", REQUEST), ("lookup", REQUEST)])
    calls = []

    def fail_once(original):
        def counted(self, other):
            calls.append(original)
            if len(calls) == failing_call + 1:
                raise KeyError("failed in the middle")
            return original(self, other)

        return counted

    with monkeypatch.context() as patched:
        for name in ("add", "plus", "minus"):
            original = getattr(usage.Totals, name)
            patched.setattr(usage.Totals, name, fail_once(original))
        with pytest.raises(KeyError):
            site.other.adopt(site.checkpoint())
    assert site.requests() == 2
    site.second.count("lab", "chat", REQUEST)
    bring_up_to_date(site.second, site.folding)
    site.fold(site.second.own)
    site.other.adopt(site.checkpoint())
    assert site.requests() == 3
    assert site.other.version() == site.folding.version()


def test_sums_that_would_fall_below_zero_are_refused_whole():
    totals = usage_totals.UsageTotals()
    keys = [usage.UsageKey(usage_nodes.DAY, "lab", name) for name in "ab"]
    totals.add(keys[0], REQUEST)
    with pytest.raises(errors.InvariantBroken):
        totals.replace([(keys[0], REQUEST), (keys[1], REQUEST)], [])
    assert totals.of_organisation("lab") == REQUEST
    assert totals.of_class("lab", "a") == REQUEST


def test_a_bad_stored_record_takes_no_others_with_it():
    bad = usage.UsageRow(
        usage.UsageKey(usage_nodes.DAY, "lab", "chat"),
        1,
        usage.Totals(requests=-1),
    )
    kept = new_ledger("i1")
    kept.count("lab", "chat", REQUEST)
    snapshot = usage.LedgerSnapshot(
        [kept.rows_since(kept.own, 0)],
        [usage.UsageCheckpoint("i9", 1, 1, 1, [bad])],
    )
    restored = new_ledger("i2")
    with pytest.raises(errors.InvariantBroken):
        restored.restore(snapshot)
    assert restored.used_by("lab") == REQUEST
