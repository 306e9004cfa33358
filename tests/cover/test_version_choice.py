"""The choice of servers by software version, in the policy of one instance."""

import pytest

from dandeliontrail.decisions import work as work_module
from dandeliontrail import sentinels

from tests.common import shared_policy_harness


def harness_of(*versions, admitted=None):
    """Return the policy before engines that run these versions in turn."""
    harness = shared_policy_harness.PolicyHarness(len(versions))
    admitted = set(versions) if admitted is None else admitted
    for version in sorted(admitted):
        change = shared_policy_harness.software_versions.VersionChange(
            "llm", version, True
        )
        harness.admitted.apply(1, change)
    for server, version in zip(
        harness.directory.servers, versions, strict=True
    ):
        server.announcement.software_version = version
    return harness


def begin(harness, version=None, **more):
    """Offer a short stream, which may be bound to a version already."""
    fields = {"pause": 0.3, "streamed": True, "repeatable": True, **more}
    work = harness.ask([("p", 300)], **fields)
    work.software_version = version
    return work


def decide(harness):
    return harness.policy.next(harness.now, harness.directory)


def version_at(harness, decision):
    (version,) = [
        server.announcement.software_version
        for server in harness.directory.servers
        if server.announcement.backend_server == decision.server
    ]
    return version


def test_a_stream_goes_on_at_its_version_though_only_others_were_heard():
    # After a broken connection servers that were heard since come first.
    harness = harness_of("v1", "v1", "v2", "v2")
    for server in harness.directory.servers[2:]:
        name = server.announcement.backend_server
        state = harness.policy._table.server(name)
        state.health.heard_at = harness.now + 1.0
    work = begin(harness, "v1")
    work.unreached_since = harness.now + 0.5
    (placed,) = decide(harness)
    assert isinstance(placed, work_module.Placement)
    assert version_at(harness, placed) == "v1"


def test_a_stream_is_refused_at_once_where_its_version_is_gone():
    harness = harness_of("v2", "v2")
    begin(harness, "v1")
    (refused,) = decide(harness)
    assert refused.nothing == sentinels.Nothing(sentinels.Reason.NO_VERSION)


def test_an_empty_version_is_a_version_of_its_own():
    harness = harness_of("", "v1")
    begin(harness, "")
    (placed,) = decide(harness)
    assert version_at(harness, placed) == ""


@pytest.mark.parametrize("more", [{"streamed": False}, {"repeatable": False}])
def test_what_cannot_be_resumed_goes_to_a_version_that_is_not_admitted(more):
    harness = harness_of("v1", "v1", admitted={"v0"})
    begin(harness, **more)
    (placed,) = decide(harness)
    assert version_at(harness, placed) == "v1"


def test_a_stream_waits_until_a_version_is_admitted():
    harness = harness_of("v1", "v1", admitted=set())
    begin(harness)
    assert decide(harness) == []
    change = shared_policy_harness.software_versions.VersionChange(
        "llm", "v1", True
    )
    harness.admitted.apply(1, change)
    (placed,) = decide(harness)
    assert version_at(harness, placed) == "v1"


def test_new_streams_leave_the_last_server_of_a_version_alone():
    harness = harness_of("v1", "v1", "v2")
    for _ in range(12):
        begin(harness)
    assert {version_at(harness, item) for item in decide(harness)} == {"v1"}


def test_new_streams_use_the_last_server_of_a_version_once_others_are_full():
    harness = harness_of("v1", "v1", "v2")
    slots = harness.directory.servers[0].announcement.slots
    for _ in range(2 * slots + 8):
        begin(harness)
    versions = [version_at(harness, item) for item in decide(harness)]
    assert versions.count("v2") > 0
    assert versions[: 2 * slots].count("v2") == 0


def test_returning_streams_go_before_new_ones_of_their_priority():
    harness = harness_of("v1", "v1")
    urgent = begin(harness, priority=1)
    new = begin(harness, priority=2)
    returning = begin(harness, "v1", priority=2)
    decided = [item.work for item in decide(harness)]
    assert [item.request_id for item in decided] == [
        urgent.request_id,
        returning.request_id,
        new.request_id,
    ]


def test_the_last_server_of_a_version_is_asked_again_once_it_was_heard():
    harness = harness_of("v1", "v2")
    (server, _) = harness.directory.servers
    work = begin(harness, "v1")
    work.is_continuing = True
    work.excluded_servers.add(server.announcement.backend_server)
    assert decide(harness) == []
    harness.now += 0.5
    server.heard_at = harness.now
    assert decide(harness) == []
    (placed,) = decide(harness)
    assert version_at(harness, placed) == "v1"
