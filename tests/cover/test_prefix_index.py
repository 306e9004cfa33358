"""The prefix index, fed with late and lossy cache events."""

from dandeliontrail.decisions import prefix_index
from dandeliontrail.resources import announcements


def stored(epoch, first, *hashes):
    events = [announcements.CacheEvent("stored", item, 100) for item in hashes]
    return announcements.CacheEvents("e1", epoch, first, events)


def test_repeated_and_late_batches_change_nothing():
    index = prefix_index.PrefixIndex(64)
    index.apply("e1", stored(1, 0, "a", "b"))
    index.apply("e1", stored(1, 2, "c"))
    index.apply("e1", stored(1, 0, "a", "b"))
    assert index.expected("e1", "c").confidence == 1.0
    assert index.expected("e1", "a").tokens == 100
    assert not index.expected("e2", "a").tokens


def test_gap_in_the_events_lowers_the_confidence():
    # Half of an engine's events are lost.  Any of them may have removed the
    # prefix, so the prefix may no longer be a reason to send work there.
    index = prefix_index.PrefixIndex(4096)
    index.apply("e1", stored(1, 0, "a"))
    index.apply("e1", stored(1, 129, "b"))
    trust = index.expected("e1", "a").confidence
    assert 0.4 < trust < 0.6
    later = [f"x{number}" for number in range(256)]
    index.apply("e1", stored(1, 130, *later))
    assert index.expected("e1", "a").confidence > trust


def test_restarted_engine_has_lost_its_cache():
    index = prefix_index.PrefixIndex(64)
    index.apply("e1", stored(1, 0, "a"))
    index.apply("e1", stored(2, 0, "b"))
    assert not index.expected("e1", "a").tokens
    assert index.expected("e1", "b").tokens
    # A batch from before the restart arrives late.
    index.apply("e1", stored(1, 1, "c"))
    assert not index.expected("e1", "c").tokens


def test_memory_is_bounded_and_the_newest_stay():
    index = prefix_index.PrefixIndex(1 << 10)
    before = index.memory_bytes()
    for number in range(5000):
        index.dispatched("e1", f"p{number}", 10)
    assert index.memory_bytes() == before
    assert index.expected("e1", "p4999").tokens == 10


def test_table_grows_with_the_engines_and_keeps_what_it_holds():
    index = prefix_index.PrefixIndex()
    first = index.memory_bytes()
    for number in range(64):
        index.dispatched(f"e{number}", "shared", 100 + number)
    assert first < index.memory_bytes() <= 4 * first
    kept = [index.expected(f"e{n}", "shared").tokens for n in range(64)]
    assert kept == [100 + number for number in range(64)]
