"""Which parts of prompts are blocked because servers crash on them."""

import random

from dandeliontrail.coordination import fingerprints
from dandeliontrail.coordination import server_ends
from dandeliontrail.coordination import servers
from dandeliontrail.decisions import crash_parts
from dandeliontrail.resources import announcements
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import crash_news

NOW = 100.0
VERSION = "v1"
BAD = ("first", "bad")
SOUND = ("first", "topic")


def marks_of(parts, organisation="acme"):
    return [fingerprints.of_part(organisation, "llm", name) for name in parts]


class Crashes:
    """A table of crashes, each under some prompts."""

    def __init__(self):
        self.table = server_ends.EndsTable()
        self.count = 0

    def crash(self, *prompts, at=NOW, version=VERSION, organisation="acme"):
        self.count += 1
        incarnation = (f"s{self.count}", 0)
        for parts in prompts:
            for mark in marks_of(parts, organisation):
                self.table.record_end(mark, incarnation, at, at, version)

    def answered(self, parts, at=NOW, version=VERSION, organisation="acme"):
        for mark in marks_of(parts, organisation):
            self.table.record_sound(mark, version, at, at)

    def blocks(self, parts, now=NOW + 1.0, organisation="acme"):
        verdicts = crash_parts.assess(
            self.table, servers.ServerRegistry(), now
        )
        marks = marks_of(parts, organisation)
        own = {*marks, *map(fingerprints.of_any_sender, marks)}
        return any(
            verdicts[mark].blocks(own) for mark in own if mark in verdicts
        )


def test_a_part_is_blocked_after_three_crashes_whatever_else_is_asked():
    crashes = Crashes()
    for number in range(3):
        assert not crashes.blocks(BAD)
        crashes.crash(BAD, ("other", f"topic{number}"))
    crashes.answered(("first", "other"))
    assert crashes.blocks(BAD)
    assert crashes.blocks(("elsewhere", "bad"))
    assert not crashes.blocks(SOUND)


def test_a_crash_counts_only_once_all_reports_should_have_come():
    crashes = Crashes()
    for _ in range(3):
        crashes.crash(BAD)
    assert not crashes.blocks(BAD, NOW + 0.1)
    assert crashes.blocks(BAD, NOW + 0.3)


def test_requests_with_both_of_two_parts_are_blocked_until_one_is_sound():
    crashes = Crashes()
    for _ in range(4):
        crashes.crash(BAD)
    assert crashes.blocks(BAD)
    assert not crashes.blocks(SOUND)
    assert not crashes.blocks(("other", "bad"))
    crashes.answered(SOUND)
    assert crashes.blocks(("other", "bad"))


def test_a_part_that_is_always_beside_the_cause_is_not_blocked():
    crashes = Crashes()
    beside = ("second", "beside")
    for _ in range(3):
        crashes.crash(BAD, beside)
    assert not crashes.blocks(beside)
    crashes.crash(BAD)
    assert crashes.blocks(BAD)
    assert not crashes.blocks(beside)


def test_two_bad_parts_are_both_blocked():
    crashes = Crashes()
    other = ("first", "worse")
    for _ in range(3):
        crashes.crash(BAD, SOUND)
        crashes.crash(other, SOUND)
    crashes.answered(SOUND)
    assert crashes.blocks(BAD) and crashes.blocks(other)
    assert not crashes.blocks(SOUND)


def test_crashes_under_ever_other_requests_block_nobody():
    crashes = Crashes()
    for number in range(12):
        crashes.crash(("first", f"topic{number % 6}"), ("second", "x"))
    crashes.answered(("first",))
    crashes.answered(("second", "x"))
    for number in range(6):
        assert not crashes.blocks(("first", f"topic{number}"))
    assert not crashes.blocks(("second", "x"))


def test_many_servers_that_end_at_one_moment_block_no_part():
    # Guards against a refusal of a whole class of requests that no server has
    # answered yet, because a failure of many servers hit a few of its own.
    crashes = Crashes()
    for number in range(4):
        crashes.crash(BAD, at=NOW + 0.03 * number)
        crashes.crash(("second", f"topic{number}"), at=NOW)
        crashes.crash(("third", f"topic{number}"), at=NOW + 0.1)
    assert not crashes.blocks(BAD)


def test_a_part_that_ends_servers_again_and_again_is_blocked_beside_others():
    # Guards against a bad part that stays unknown since servers fail anyway.
    crashes = Crashes()
    for number in range(3):
        at = NOW - 2.0 + number
        crashes.crash(BAD, at=at)
        for other in range(4):
            crashes.crash((f"other{number}{other}",), at=at)
    assert crashes.blocks(BAD)
    assert not crashes.blocks(("other00",))


def test_a_part_that_was_sound_long_ago_may_crash_servers_now():
    crashes = Crashes()
    crashes.crash(BAD, at=NOW - 3600.0)
    crashes.answered(BAD, at=NOW - 3600.0)
    for _ in range(3):
        crashes.crash(BAD)
    assert crashes.blocks(BAD)


def test_an_answer_of_another_version_clears_nothing():
    crashes = Crashes()
    for _ in range(3):
        crashes.crash(BAD, version="v2")
    crashes.answered(BAD, version="v1")
    assert crashes.blocks(BAD)
    crashes.answered(BAD, version="v2")
    assert not crashes.blocks(BAD)


def test_crashes_of_a_version_that_is_gone_do_not_count():
    crashes = Crashes()
    for _ in range(3):
        crashes.crash(BAD, version="v1")
    registry = servers.ServerRegistry()
    for version, blocks in (("v1", True), ("v2", False)):
        announcement = announcements.Announcement(
            "s0", 1, 7, "service", "http://s0", software_version=version
        )
        registry.servers.clear()
        registry.learn(announcement, 0.0, NOW)
        verdicts = crash_parts.assess(crashes.table, registry, NOW + 1.0)
        assert bool(verdicts) is blocks


def test_nobody_has_the_parts_of_another_organisation_blocked():
    crashes = Crashes()
    for _ in range(6):
        crashes.crash(BAD, organisation="mallory")
    assert crashes.blocks(BAD, organisation="mallory")
    assert not crashes.blocks(BAD)


def test_nobody_clears_a_part_for_another_organisation():
    crashes = Crashes()
    for _ in range(3):
        crashes.crash(BAD)
    crashes.answered(("first",))
    crashes.answered(BAD, organisation="mallory")
    assert crashes.blocks(BAD)


def test_a_part_that_crashes_servers_for_several_is_blocked_for_all():
    crashes = Crashes()
    for name in ("one", "two", "three"):
        crashes.crash(BAD, organisation=name)
    crashes.answered(("first",), organisation="four")
    assert crashes.blocks(BAD, organisation="four")
    assert not crashes.blocks(SOUND, organisation="four")


def test_an_answer_for_anybody_keeps_a_part_open_for_the_others():
    crashes = Crashes()
    for name in ("one", "two", "three"):
        crashes.crash(SOUND, organisation=name)
    crashes.answered(SOUND, organisation="one")
    assert not crashes.blocks(SOUND, organisation="four")


def verdict_of(count, alternatives=()):
    crashed = frozenset((f"s{number}", 0) for number in range(count))
    return crash_parts.PartVerdict(
        [frozenset()] * count, crashed, NOW, frozenset(alternatives)
    )


def test_trials_become_rarer_with_each_crash():
    waits = [verdict_of(n).trial_seconds(frozenset()) for n in range(3, 12)]
    assert waits[0] == crash_parts.FIRST_TRIAL_SECONDS
    assert waits == sorted(waits)
    assert waits[-1] == crash_parts.LAST_TRIAL_SECONDS


def test_a_request_without_the_other_suspects_is_tried_soon():
    verdict = verdict_of(5, {"other"})
    assert verdict.trial_seconds(frozenset()) == crash_parts.TEST_SECONDS
    wait = verdict.trial_seconds(frozenset({"other"}))
    assert wait == crash_parts.FIRST_TRIAL_SECONDS


def test_a_caller_cannot_fill_the_table_with_parts_of_one_request():
    parts = [(f"part{number}", 1) for number in range(1000)]
    found = fingerprints.of_shared_parts("acme", "llm", parts)
    assert len(found) == fingerprints.MAX_SHARED_PARTS


# -- how instances come to know ----------------------------------------------


def crash_three(news, nodes):
    for number, node in enumerate(nodes):
        news.ended(node, f"f{number}", f"s{number}", BAD)


@pytest.mark.parametrize("count", (12, 40))
def test_all_instances_block_the_part(count):
    news = crash_news.CrashNews(count)
    news.served(news.nodes[0], "x", SOUND)
    crash_three(news, news.nodes[3:6])
    news.net.run(2.0)
    assert len(news.blocking_instances("new", BAD)) == count
    assert not news.blocking_instances("new", SOUND)
    assert len(news.blocking_instances("new", ("other", "bad"))) == count


@pytest.mark.parametrize("count", (12, 40))
def test_lost_messages_about_parts_are_repaired(count):
    news = crash_news.CrashNews(count, loss=0.5)
    crash_three(news, news.nodes[3:6])
    news.net.run(3.0)
    news.net.loss = 0.0
    news.net.run(3.0)
    assert len(news.blocking_instances("new", BAD)) == count
    roots = {node.state.ends.digest.root for node in news.nodes}
    assert len(roots) == 1


@pytest.mark.parametrize("count", (12, 40))
def test_a_domain_that_was_cut_off_blocks_the_part_when_it_is_back(count):
    news = crash_news.CrashNews(count)
    inside = [node.name for node in news.nodes if node.domain == "fd0"]
    outside = [node.name for node in news.nodes if node.domain != "fd0"]
    news.net.partition(inside, outside)
    crash_three(news, [news.net.nodes[name] for name in outside[:3]])
    news.net.run(5.0)
    assert news.blocking_instances("new", BAD) == set(outside)
    news.net.heal()
    news.net.run(3.0)
    assert len(news.blocking_instances("new", BAD)) == count


@pytest.mark.parametrize("count", (12, 40))
def test_an_instance_that_starts_again_blocks_the_part(count):
    news = crash_news.CrashNews(count)
    crash_three(news, news.nodes[3:6])
    news.net.run(1.0)
    started = news.net.add(
        news.nodes[7].name, news.nodes[7].domain, seeds=["i000", "i001"]
    )
    news.net.run(3.0)
    assert started.name in news.blocking_instances("new", BAD)


def test_evidence_that_one_instance_has_clears_a_part_everywhere():
    news = crash_news.CrashNews(12)
    news.served(news.nodes[0], "x", BAD)
    crash_three(news, news.nodes[3:6])
    news.net.run(1.0)
    assert not news.blocking_instances("new", BAD)


def test_one_request_tries_a_blocked_part_and_the_others_wait():
    news = crash_news.CrashNews(12)
    crash_three(news, news.nodes[3:6])
    news.net.run(1.0)
    wait = crash_parts.FIRST_TRIAL_SECONDS * (1 + crash_parts.TRIAL_SPREAD)
    news.net.run(wait)
    component = news.component_of(news.nodes[0])
    works = [crash_news.work_of(f"n{n}", BAD, f"r{n}") for n in range(5)]
    blocked = [component.is_blocked(work, news.net.now) for work in works]
    assert blocked.count(False) == 1
    passed = works[blocked.index(False)]
    assert not component.is_blocked(passed, news.net.now)
    news.ended(news.nodes[0], passed.fingerprint, "s9", BAD)
    news.net.run(1.0)
    assert len(news.blocking_instances("new", BAD)) == 12


def test_a_request_that_was_withdrawn_is_a_suspect_when_its_server_ends():
    # Else those beside it seem to end more servers than it does.
    news = crash_news.CrashNews(12)
    crash_three(news, news.nodes[3:6])
    withdrawn = crash_news.attempt_of("w", "s7", BAD)
    component = news.component_of(news.nodes[0])
    component.record_withdrawn(withdrawn, news.net.now)
    news.ended(news.nodes[1], "beside", "s7", SOUND)
    news.net.run(1.0)
    bad, first = (
        news.nodes[2].state.ends.suspects[mark]
        for mark in reversed(marks_of(BAD))
    )
    assert len(bad.ends) == len(first.ends) == 4


PROMPTS = st.lists(
    st.lists(
        st.tuples(st.sampled_from("fgh"), st.sampled_from("abcd")),
        min_size=1,
        max_size=4,
    ),
    max_size=12,
)


@given(PROMPTS, st.integers(0, 2**32))
def test_the_order_of_reports_does_not_matter(prompts, seed):
    reports = [
        (mark, (f"s{number}", 0))
        for number, crash in enumerate(prompts)
        for parts in crash
        for mark in marks_of(parts)
    ]
    found = []
    for _ in range(2):
        table = server_ends.EndsTable()
        random.Random(seed).shuffle(reports)
        for mark, incarnation in reports:
            table.record_end(mark, incarnation, NOW, NOW, VERSION)
        found.append(
            crash_parts.assess(table, servers.ServerRegistry(), NOW + 1.0)
        )
        seed += 1
    assert found[0].keys() == found[1].keys()
    for mark, verdict in found[0].items():
        assert verdict.crashed == found[1][mark].crashed
        others = frozenset(marks_of(("f", "a")))
        assert verdict.blocks(others) == found[1][mark].blocks(others)


@given(PROMPTS)
def test_what_was_answered_after_all_crashes_is_never_blocked(prompts):
    crashes = Crashes()
    for crash in prompts:
        crashes.crash(*crash)
    for crash in prompts:
        for parts in crash:
            crashes.answered(parts, at=NOW + 0.5)
    for crash in prompts:
        for parts in crash:
            assert not crashes.blocks(parts)
