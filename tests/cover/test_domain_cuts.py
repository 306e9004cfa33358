"""What a cut between failure domains costs the requests outside of it."""

import random
import types

from dandeliontrail.components import members as members_component
from dandeliontrail.coordination import membership
from dandeliontrail.decisions import domain_reach
from dandeliontrail.decisions import server_health
from dandeliontrail.decisions import work as work_module

from tests.common import shared_play

CONNECT = 0.2


def cut_play():
    """Return a play in which fd1 has just been cut off from fd0."""
    play = shared_play.Play(count=6)
    play.view.heard = {"fd1": 0.0, "fd2": 0.0}
    play.now = 10.0
    play.view.heard["fd2"] = 10.0
    return play


def heard_at(moment):
    """Return a view in which all domains were heard at ``moment``."""
    found = shared_play.View()
    if moment is not None:
        found.heard = {"fd0": moment, "fd1": moment}
    return found


def domain_of(play, name):
    for server in play.directory.servers:
        if server.announcement.backend_server == name:
            return server.announcement.failure_domain
    raise KeyError(name)


def tried(play, calls):
    """Place ``calls`` requests one after the other; return what was lost.

    A connection to fd1 takes ``CONNECT`` to fail; answers come at once.
    """
    lost = 0
    for thing in range(calls):
        work = play.review(thing)
        while True:
            name = play.next()[work.request_id]
            if domain_of(play, name) != "fd1":
                break
            lost += 1
            play.now += CONNECT
            play.view.heard["fd2"] = play.now
            ended = work_module.Ended(work.request_id, name, unreachable=True)
            play.policy.ended(ended, play.now)
            work.avoid.add(name)
            play.policy.requeue(work, play.now)
        play.policy.first_output(work.request_id, play.now)
        play.policy.ended(work_module.Ended(work.request_id, name), play.now)
        play.now += 0.05
    return lost


def test_one_request_finds_out_that_a_domain_is_cut_off():
    # A domain with two idle engines is cut off.  Outside of it they look the
    # best, and each request that is sent there waits for a connection in
    # vain.  Before, each engine was found out and tried again by itself: in
    # these 5 s 10 requests of 100 waited so, and half a second each.
    play = cut_play()
    assert tried(play, 100) <= 3
    texts = [item.text for item in play.policy.take_beliefs()]
    assert "failure domain avoided" in texts


def test_a_domain_is_used_again_as_soon_as_it_is_heard():
    # The cut heals while a domain is avoided.  Its engines must not stay
    # idle for seconds while the others have twice their load.
    play = cut_play()
    tried(play, 10)
    play.view.heard["fd1"] = play.now
    play.now += server_health.LONGEST_PAUSE
    names = set()
    for thing in range(100, 112):
        work = play.review(thing)
        names.add(play.next()[work.request_id])
        play.policy.first_output(work.request_id, play.now)
    assert {domain_of(play, name) for name in names} >= {"fd1"}


def test_a_crashed_server_does_not_take_its_domain_along():
    # One engine of fd1 crashes and answers no more; instances there are
    # heard all the while, and its other engine goes on serving.
    reach = domain_reach.DomainReach("fd0", heard_at(9.9))
    assert not reach.unreachable("fd1", "e1", 9.8, 10.0)
    assert not reach.is_cut("fd1", 10.0)


def test_where_nobody_is_heard_two_servers_tell_of_a_cut():
    # Above a full mesh most instances hear nobody of another domain.
    reach = domain_reach.DomainReach("fd0", heard_at(None))
    assert not reach.unreachable("fd1", "e1", 0.0, 0.2)
    assert reach.unreachable("fd1", "e4", 0.1, 0.3)
    assert reach.is_cut("fd1", 0.3)
    reach.reached("fd1")
    assert not reach.is_cut("fd1", 0.3)
    assert not reach.unreachable("fd1", "e1", 0.0, 1.0)
    assert not reach.unreachable("fd1", "e4", 9.0, 10.0)


def test_the_own_domain_is_never_cut_off_from_itself():
    reach = domain_reach.DomainReach("fd0", heard_at(0.0))
    assert not reach.unreachable("fd0", "e0", 1.0, 1.2)
    assert not reach.unreachable("fd0", "e3", 1.0, 1.2)
    assert not reach.is_cut("fd0", 1.2)


def test_where_all_that_is_left_is_cut_off_it_is_tried():
    # All engines of the own domain are gone; the only others are in a domain
    # that seems cut off.  A try may serve the caller, a refusal cannot.
    play = cut_play()
    play.directory.servers = [
        server
        for server in play.directory.servers
        if server.announcement.failure_domain == "fd1"
    ]
    work = play.chat()
    name = play.next()[work.request_id]
    ended = work_module.Ended(work.request_id, name, unreachable=True)
    play.now += CONNECT
    play.policy.ended(ended, play.now)
    again = play.chat()
    assert domain_of(play, play.next()[again.request_id]) == "fd1"


def test_one_request_at_a_time_finds_out_whether_a_server_is_back():
    # A server could not be reached and its pause is over.  Of the requests
    # that come then all but one would wait for a connection in vain.
    health = server_health.Health()
    health.unreachable(0.0)
    assert not health.usable(0.4)
    assert health.usable(0.6)
    health.tried(0.6)
    assert not health.usable(0.7)
    health.answers()
    assert health.usable(0.7)


def two_domains(seconds):
    """Return a membership that heard fd1 and fd2 each 0.1 s for so long."""
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


def test_a_domain_that_falls_silent_gets_no_work_by_kept_connections():
    # A domain is cut off.  Requests go there over connections that are open
    # since before, and none of them ever fails: in the users' deployment 30
    # streams that may not be repeated were lost so in each cut.
    members = two_domains(5.0)
    assert not members.has_fallen_silent("fd1", 5.0)
    for step in range(50, 60):
        members.hear(sender_in("fd2", step / 10), step / 10)
    assert members.has_fallen_silent("fd1", 5.6)
    assert not members.has_fallen_silent("fd2", 5.9)
    # Nobody can tell for how long: its instances may be down, not cut off.
    members.hear(sender_in("fd2", 9.0), 9.0)
    assert not members.has_fallen_silent("fd1", 9.0)


def test_a_domain_that_speaks_in_volleys_is_not_taken_for_silent():
    # At light load the instances of a domain speak at their heartbeats, all
    # within some hundredths of a second, and are silent until the next: its
    # servers got no work for three tenths of a second at a time.
    identity = types.SimpleNamespace(
        instance="i0", failure_domain="fd0", address="a0", incarnation=1
    )
    members = membership.Membership(identity, ())
    for volley in range(20):
        now = volley * 0.5
        for number in range(8):
            at = now + number * 0.005
            members.hear(sender_in("fd1", at), at)
            members.hear(sender_in("fd2", at), at)
        members.hear(sender_in("fd2", now + 0.4), now + 0.4)
        assert not members.has_fallen_silent("fd1", now + 0.45)
    # A cut is found out all the same.
    for step in range(30):
        at = 10.0 + step * 0.1
        members.hear(sender_in("fd2", at), at)
    assert members.has_fallen_silent("fd1", 12.4)


def test_a_pause_of_this_instance_makes_no_domain_more_patient():
    # This instance is frozen for some seconds.  Nobody was silent meanwhile;
    # counted as a gap of theirs, the next cut would be found out late.
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
    # An operator looks for why a domain got no work for two seconds.
    members = two_domains(5.0)
    told = []
    component = members_component.Members(
        types.SimpleNamespace(members=members, rng=random.Random(1))
    )
    for step in range(50, 100):
        now = step / 10
        members.hear(sender_in("fd2", now), now)
        if step >= 80:
            members.hear(sender_in("fd1", now), now)
        told.extend(component._report_silence(now))
    assert [item.message for item in told] == [
        "failure domain fell silent",
        "failure domain is no longer taken for silent",
    ]
    assert {item.fields["server_domain"] for item in told} == {"fd1"}


def test_an_instance_that_hears_nobody_blames_itself():
    members = two_domains(5.0)
    assert not members.has_fallen_silent("fd1", 6.0)
