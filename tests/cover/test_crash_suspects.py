"""Which requests are blocked because servers crash on them."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from dandeliontrail.coordination import server_ends
from dandeliontrail.coordination import servers
from dandeliontrail.decisions import crash_suspects
from dandeliontrail.resources import announcements

NOW = 100.0


def table_of(ends):
    """Return an ``EndsTable``; ``ends`` maps fingerprints to server names."""
    table = server_ends.EndsTable()
    for fingerprint, names in ends.items():
        for name in names:
            table.record_end(fingerprint, (name, 0), NOW, NOW)
    return table


def is_blocked(table, fingerprint, registry=None, now=NOW):
    registry = registry or servers.ServerRegistry()
    return crash_suspects.is_blocked(table, fingerprint, registry, now)


def announce(registry, name, now, epoch=0):
    announcement = announcements.Announcement(
        name, epoch, int(now * 10), "model_engine", "http://10.0.0.1:1"
    )
    registry.learn(announcement, 0.0, now)


def test_is_blocked_after_three_crashes():
    assert not is_blocked(table_of({"p": "ab"}), "p")
    assert is_blocked(table_of({"p": "abc"}), "p")


def test_request_beside_one_with_more_crashes_is_not_blocked():
    table = table_of({"p": "abcdef", "beside": "abc"})
    assert is_blocked(table, "p")
    assert not is_blocked(table, "beside")


def test_crashes_without_a_likelier_cause_count():
    table = table_of({"p": "abcdef", "other": "abxyz"})
    assert is_blocked(table, "other")


def test_requests_that_always_run_together_are_both_blocked():
    table = table_of({"p": "abcde", "worse": "abcdef"})
    assert is_blocked(table, "worse")
    assert is_blocked(table, "p")


def test_completed_request_is_never_blocked_again():
    table = table_of({"p": "abc"})
    assert table.clear("p", NOW, NOW)
    assert not is_blocked(table, "p")
    assert not table.record_end("p", ("d", 0), NOW, NOW)


def test_a_server_that_is_heard_of_later_has_not_crashed():
    # Connections may be reset without a crash, but an announcement sent
    # before a crash may arrive late, so a recent one shows nothing.
    registry = servers.ServerRegistry()
    table = table_of({"p": "abc"})
    announce(registry, "a", NOW + 1.0)
    assert is_blocked(table, "p", registry, NOW + 1.0)
    announce(registry, "a", NOW + 2.5)
    assert not is_blocked(table, "p", registry, NOW + 2.5)


def test_a_server_that_restarted_under_its_name_has_crashed():
    registry = servers.ServerRegistry()
    announce(registry, "a", NOW + 2.5, epoch=7)
    assert is_blocked(table_of({"p": "abc"}), "p", registry, NOW + 2.5)


def test_blocked_request_is_tried_once_more_after_a_while():
    table = table_of({"p": "abc"})
    later = NOW + crash_suspects.BLOCK_SECONDS + 1.0
    assert not is_blocked(table, "p", now=later)
    table.record_end("p", ("d", 0), later, later)
    assert is_blocked(table, "p", now=later)


@pytest.mark.parametrize(
    "closed, output_at, suspect",
    [
        (True, 0.0, True),
        (True, NOW - 0.1, True),
        (True, NOW - 5.0, False),
        (False, 0.0, False),
    ],
)
def test_only_a_request_that_hardly_began_is_suspect(
    closed, output_at, suspect
):
    assert crash_suspects.is_suspect(closed, output_at, NOW) is suspect


FINGERPRINTS = st.sampled_from("pqr")
STEPS = st.lists(
    st.one_of(
        st.tuples(FINGERPRINTS, st.sampled_from("abcdef")),
        st.tuples(FINGERPRINTS, st.none()),
    ),
    max_size=30,
)


@given(STEPS, st.integers(0, 2**32))
def test_tables_converge_whatever_the_order_of_messages(steps, seed):
    rng = random.Random(seed)
    tables = [server_ends.EndsTable() for _ in range(3)]
    for fingerprint, name in steps:
        table = rng.choice(tables)
        if name is None:
            table.clear(fingerprint, NOW, NOW)
        else:
            table.record_end(fingerprint, (name, 0), NOW, NOW)
        _send_records(rng.choice(tables), rng.choice(tables))
    for _ in range(2):
        for one in tables:
            for other in tables:
                _send_records(one, other)
    for table in tables:
        table.settle(NOW + server_ends.SETTLE_SECONDS)
    assert len({table.digest.root for table in tables}) == 1
    for fingerprint in "pqr":
        assert len({is_blocked(table, fingerprint) for table in tables}) == 1


def _send_records(sender, receiver):
    """Apply all records of one table to another."""
    if sender is receiver:
        return
    for fingerprint, record in sender.suspects.items():
        receiver.enter(fingerprint, NOW, NOW)
        if record.served:
            receiver.clear(fingerprint, NOW, NOW)
        for incarnation in list(record.ends):
            receiver.record_end(fingerprint, incarnation, NOW, NOW)


def test_forgotten_record_does_not_come_back():
    table = table_of({"p": "a"})
    other = table_of({"p": "a"})
    later = NOW + server_ends.ONE_END_RETENTION_SECONDS + 1.0
    assert table.remove_expired(later) == ["p"]
    assert table.is_forgotten(other.record_of("p", later), 0.0)
    assert table.digest.root == 0


def test_table_is_bounded():
    table = server_ends.EndsTable()
    surplus = 100
    for number in range(server_ends.MAX_RECORDS + surplus):
        at = NOW + number / 1e4
        table.record_end(f"f{number}", (f"s{number % 50}", 0), at, at)
    assert len(table.remove_expired(NOW + 1.0)) == surplus
    assert "f0" not in table.suspects
    for number in range(2 * server_ends.MAX_ENDS_PER_RECORD):
        table.record_end("p", (f"s{number}", 0), NOW, NOW)
    assert len(table.suspects["p"].ends) == server_ends.MAX_ENDS_PER_RECORD
