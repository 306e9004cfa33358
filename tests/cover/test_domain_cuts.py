"""Requests while a failure domain is partitioned from the others."""

import random
import types

from dandeliontrail.components import members as members_component
from dandeliontrail.coordination import membership
from dandeliontrail.decisions import domain_reachability
from dandeliontrail.decisions import server_health
from dandeliontrail.decisions import work as work_module

from tests.common import shared_policy_harness

# How long a connection to a partitioned domain takes to fail.
CONNECT_SECONDS = 0.2


def partitioned_harness():
    """Return a ``PolicyHarness``; fd1 was just partitioned from fd0."""
    harness = shared_policy_harness.PolicyHarness(count=6)
    harness.view.heard = {"fd1": 0.0, "fd2": 0.0}
    harness.now = 10.0
    harness.view.heard["fd2"] = 10.0
    return harness


def heard_at(when):
    """Return a view that heard fd0 and fd1 at ``when``, if at all."""
    view = shared_policy_harness.View()
    if when is not None:
        view.heard = {"fd0": when, "fd1": when}
    return view


def domain_of(harness, name):
    for server in harness.directory.servers:
        if server.announcement.backend_server == name:
            return server.announcement.failure_domain
    raise KeyError(name)


def count_failed_attempts(harness, calls):
    """Run ``calls`` requests in sequence; return the failed attempts.

    A connection to fd1 takes ``CONNECT_SECONDS`` to fail; answers from
    elsewhere come at once.
    """
    failed = 0
    for prefix_id in range(calls):
        work = harness.review(prefix_id)
        while True:
            name = harness.next()[work.request_id]
            if domain_of(harness, name) != "fd1":
                break
            failed += 1
            harness.now += CONNECT_SECONDS
            harness.view.heard["fd2"] = harness.now
            ended = work_module.AttemptEnd(
                work.request_id, name, unreachable=True
            )
            harness.policy.ended(ended, harness.now)
            work.excluded_servers.add(name)
            harness.policy.requeue(work, harness.now)
        harness.policy.first_output(work.request_id, harness.now)
        harness.policy.ended(
            work_module.AttemptEnd(work.request_id, name), harness.now
        )
        harness.now += 0.05
    return failed


def test_one_request_detects_that_a_domain_is_partitioned():
    # A domain with two idle engines is partitioned off.  From outside they
    # look best, and each request sent there waits for a connection that is
    # never established.  When each engine was detected and probed by itself,
    # 10 of 100 requests waited half a second each in these 5 s.
    harness = partitioned_harness()
    assert count_failed_attempts(harness, 100) <= 3
    texts = [item.text for item in harness.policy.take_beliefs()]
    assert "failure domain avoided" in texts


def test_a_domain_is_used_again_as_soon_as_it_is_heard():
    # The partition heals while a domain is avoided.  Its engines must not
    # stay idle for seconds while the others have twice their usual load.
    harness = partitioned_harness()
    count_failed_attempts(harness, 10)
    harness.view.heard["fd1"] = harness.now
    harness.now += server_health.MAX_BACKOFF_SECONDS
    names = set()
    for prefix_id in range(100, 112):
        work = harness.review(prefix_id)
        names.add(harness.next()[work.request_id])
        harness.policy.first_output(work.request_id, harness.now)
    assert {domain_of(harness, name) for name in names} >= {"fd1"}


def test_a_crashed_server_does_not_make_its_domain_suspect():
    # One engine of fd1 crashes; instances there are heard all the time, and
    # its other engine continues to serve.
    reachability = domain_reachability.DomainReachability("fd0", heard_at(9.9))
    assert not reachability.record_unreachable("fd1", "e1", 9.8, 10.0)
    assert not reachability.is_partitioned("fd1", 10.0)


def test_without_heard_instances_two_servers_show_a_partition():
    # In a cluster too large for a full mesh, most instances hear no instance
    # of another domain directly.
    reachability = domain_reachability.DomainReachability(
        "fd0", heard_at(None)
    )
    assert not reachability.record_unreachable("fd1", "e1", 0.0, 0.2)
    assert reachability.record_unreachable("fd1", "e4", 0.1, 0.3)
    assert reachability.is_partitioned("fd1", 0.3)
    reachability.record_reached("fd1")
    assert not reachability.is_partitioned("fd1", 0.3)
    assert not reachability.record_unreachable("fd1", "e1", 0.0, 1.0)
    assert not reachability.record_unreachable("fd1", "e4", 9.0, 10.0)


def test_the_own_domain_never_counts_as_partitioned():
    reachability = domain_reachability.DomainReachability("fd0", heard_at(0.0))
    assert not reachability.record_unreachable("fd0", "e0", 1.0, 1.2)
    assert not reachability.record_unreachable("fd0", "e3", 1.0, 1.2)
    assert not reachability.is_partitioned("fd0", 1.2)


def test_a_partitioned_domain_is_tried_if_no_other_is_left():
    # All engines of the own domain are gone; the only others are in a domain
    # that seems partitioned.  An attempt may serve the caller, a refusal
    # cannot.
    harness = partitioned_harness()
    harness.directory.servers = [
        server
        for server in harness.directory.servers
        if server.announcement.failure_domain == "fd1"
    ]
    work = harness.chat()
    name = harness.next()[work.request_id]
    ended = work_module.AttemptEnd(work.request_id, name, unreachable=True)
    harness.now += CONNECT_SECONDS
    harness.policy.ended(ended, harness.now)
    again = harness.chat()
    assert domain_of(harness, harness.next()[again.request_id]) == "fd1"


def test_one_request_at_a_time_probes_an_unreachable_server():
    # A server could not be reached and its backoff is over.  Without the
    # limit, all requests that come then would wait for a connection that may
    # never be established.
    health = server_health.Health()
    health.record_unreachable(0.0)
    assert not health.usable(0.4)
    assert health.usable(0.6)
    health.record_attempt(0.6)
    assert not health.usable(0.7)
    health.record_reached()
    assert health.usable(0.7)


def two_domains(seconds):
    """Return a ``Membership`` that heard fd1 and fd2 every 0.1 s."""
    identity = types.SimpleNamespace(
        instance="i0", failure_domain="fd0", address="a0", incarnation=1
    )
    members = membership.Membership(identity, ())
    for step in range(round(seconds * 10)):
        for domain in ("fd1", "fd2"):
            members.hear(sender_in(domain, step / 10), step / 10)
    return members


def sender_in(domain, clock):
    return types.SimpleNamespace(
        instance=f"i-{domain}",
        address=f"a-{domain}",
        failure_domain=domain,
        region="r",
        incarnation=1,
        clock=clock,
    )


def test_a_domain_that_falls_silent_counts_as_silent_for_a_while():
    # A domain is partitioned off.  Requests sent there over kept-alive
    # connections get neither an answer nor an error.  In the users'
    # deployment, 30 streams that may not be repeated were lost in this way in
    # each partition.
    members = two_domains(5.0)
    assert not members.has_fallen_silent("fd1", 5.0)
    for step in range(50, 60):
        members.hear(sender_in("fd2", step / 10), step / 10)
    assert members.has_fallen_silent("fd1", 5.6)
    assert not members.has_fallen_silent("fd2", 5.9)
    # The verdict expires: the instances may be down, not partitioned off.
    members.hear(sender_in("fd2", 9.0), 9.0)
    assert not members.has_fallen_silent("fd1", 9.0)


def test_a_domain_with_simultaneous_heartbeats_is_not_silent():
    # At light load the instances of a domain send only heartbeats, all within
    # some hundredths of a second, and nothing until the next ones.  Taken for
    # silent, its servers got no work for three tenths of a second at a time.
    identity = types.SimpleNamespace(
        instance="i0", failure_domain="fd0", address="a0", incarnation=1
    )
    members = membership.Membership(identity, ())
    for heartbeat in range(20):
        now = heartbeat * 0.5
        for number in range(8):
            at = now + number * 0.005
            members.hear(sender_in("fd1", at), at)
            members.hear(sender_in("fd2", at), at)
        members.hear(sender_in("fd2", now + 0.4), now + 0.4)
        assert not members.has_fallen_silent("fd1", now + 0.45)
    # A partition is still detected.
    for step in range(30):
        at = 10.0 + step * 0.1
        members.hear(sender_in("fd2", at), at)
    assert members.has_fallen_silent("fd1", 12.4)


def test_a_pause_of_this_instance_does_not_delay_detection():
    # This instance is suspended for some seconds.  If that time counted as a
    # gap of the other domains, the next partition would be detected late.
    members = two_domains(5.0)
    members.shift(20.0)
    for step in range(20):
        at = 25.0 + step / 10
        for domain in ("fd1", "fd2"):
            members.hear(sender_in(domain, at), at)
    for step in range(20, 30):
        at = 25.0 + step / 10
        members.hear(sender_in("fd2", at), at)
    assert members.has_fallen_silent("fd1", 27.4)


def test_the_log_says_which_domain_fell_silent():
    # An operator must be able to see why a domain got no work for 2 s.
    members = two_domains(5.0)
    lines = []
    component = members_component.Members(
        types.SimpleNamespace(members=members, rng=random.Random(1))
    )
    for step in range(50, 100):
        now = step / 10
        members.hear(sender_in("fd2", now), now)
        if step >= 80:
            members.hear(sender_in("fd1", now), now)
        lines.extend(component._report_silence(now))
    assert [item.message for item in lines] == [
        "failure domain fell silent",
        "failure domain is no longer taken for silent",
    ]
    assert {item.fields["server_domain"] for item in lines} == {"fd1"}


def test_an_instance_that_hears_no_domain_takes_none_for_silent():
    members = two_domains(5.0)
    assert not members.has_fallen_silent("fd1", 6.0)
