"""The choice of peers and of path checks, without a network."""

import random
import types

from dandeliontrail.decisions import path_checks
from dandeliontrail.decisions import peer_paths
from dandeliontrail.decisions import tunnel_admission
from dandeliontrail.decisions import view
from dandeliontrail.decisions import work as work_module
from dandeliontrail_node.forwarding import tunnels
from dandeliontrail_node import tunnel_messages

from tests.common import shared_policy_harness

PathFailure = peer_paths.PathFailure
Refusal = tunnel_admission.Refusal
# From the first request on.
DETECTION_SECONDS = 0.5
RETURN_SECONDS = 3.0
CONNECT_SECONDS = 0.2
TICK_SECONDS = 0.1


class Peers(view.ClusterView):
    """``names`` maps the other instances to their failure domains."""

    def __init__(self, names):
        self.names = names

    def instances(self, now):
        return 1 + len(self.names)

    def peers(self, now):
        return [
            types.SimpleNamespace(instance=name, failure_domain=domain)
            for name, domain in self.names.items()
        ]


def domains(count):
    return {f"i{number}": f"fd{number % 3}" for number in range(1, count)}


def peer_paths_of(count, seed=1):
    peers = Peers(domains(count))
    return peer_paths.PeerPaths(peers, "fd0", random.Random(seed))


def find_peer(paths, helpers, now):
    """Ask peers until one of ``helpers`` is chosen; return the asks."""
    asks = 0
    while True:
        peer = paths.choose("e0", "fd0", now)
        if not peer:
            return None
        asks += 1
        if peer in helpers:
            paths.record_reached(peer, "e0", now)
            return asks
        paths.record_failure(peer, "e0", PathFailure.NO_SERVERS, now)


def test_where_most_are_cut_a_helper_is_found_and_remembered():
    for count, helper_count in ((9, 3), (100, 33), (530, 176)):
        paths = peer_paths_of(count)
        names = sorted(domains(count))
        helpers = set(random.Random(2).sample(names, helper_count))
        first = find_peer(paths, helpers, 0.0)
        assert first is not None and first <= 8, (count, first)
        later = [find_peer(paths, helpers, 0.5 * n) for n in range(1, 40)]
        assert sum(later) <= 1.2 * len(later), (count, later)


def test_tunnels_are_spread_over_the_helpers_and_near_ones_come_first():
    paths = peer_paths_of(9)
    first = paths.choose("e0", "fd0", 0.0)
    assert domains(9)[first] == "fd0"
    opened = []
    for _ in range(24):
        peer = paths.choose("e0", "fd0", 0.0)
        paths.record_opening(peer)
        opened.append(peer)
    counts = [opened.count(name) for name in domains(9)]
    assert max(counts) - min(counts) <= 1


def test_a_domain_whose_instances_cannot_help_is_asked_last():
    paths = peer_paths_of(9)
    near = [name for name, domain in domains(9).items() if domain == "fd0"]
    for name in near[:1]:
        paths.record_failure(name, "e0", PathFailure.NO_SERVERS, 0.0)
    assert paths.choose("e0", "fd0", 0.0) not in near


def test_a_server_that_nobody_reaches_is_not_asked_for_again_at_once():
    paths = peer_paths_of(100)
    for name in sorted(domains(100))[: peer_paths.MIN_PEERS_FOR_DOWN]:
        assert paths.exists("e0", 0.0)
        paths.record_failure(name, "e0", PathFailure.SERVER, 0.0)
    assert not paths.exists("e0", 0.0)
    assert paths.exists("e1", 0.0)
    assert paths.exists("e0", peer_paths.DOWN_SECONDS)


def test_a_peer_that_lost_one_server_still_helps_with_others():
    paths = peer_paths_of(2)
    paths.record_failure("i1", "e0", PathFailure.SERVER, 0.0)
    assert not paths.exists("e0", 0.0)
    assert paths.choose("e1", "fd0", 0.0) == "i1"


class Instance:
    """The policy of one instance, with checks that succeed or fail.

    ``lost`` are the servers it cannot reach, ``crashed`` those that nobody
    reaches.  ``hears_others`` is true while bytes of servers arrive.
    """

    def __init__(self, servers=9, instances=9):
        self.harness = shared_policy_harness.PolicyHarness(servers)
        peers = Peers(domains(instances))
        self.harness.view.peers = peers.peers
        self.policy = self.harness.policy
        self.lost = set()
        self.crashed = set()
        self.hears_others = False
        self.checked = []
        self.peer_checks = 0
        self.reached_through_peers = set()
        self._running = []

    @property
    def names(self):
        return {
            item.announcement.backend_server
            for item in self.harness.directory.servers
        }

    def lose_all(self):
        self.lost = set(self.names)

    def tick(self):
        """Run the checks that are due, each in the time that it takes."""
        now = self.harness.now = self.harness.now + TICK_SECONDS
        for check, ends in list(self._running):
            if now >= ends:
                self._running.remove((check, ends))
                self.finish(check, now)
        for check in self.policy.due_checks(now):
            is_lost = self._is_lost(check) and not check.peer
            self.checked.append(check.server)
            self.peer_checks += bool(check.peer)
            if is_lost:
                self._running.append((check, now + CONNECT_SECONDS))
            else:
                self.finish(check, now)

    def finish(self, check, now):
        result = types.SimpleNamespace(
            backend_server=check.server,
            epoch=0,
            reached=self._result_of(check),
            peer=check.peer,
            path_failure=PathFailure.SERVER,
        )
        if check.peer and result.reached:
            self.reached_through_peers.add(check.server)
        self.policy.path_checked(result, now)

    def _is_lost(self, check):
        lost = set() if check.peer else self.lost
        return check.server in lost | self.crashed

    def _result_of(self, check):
        if check.silent_seconds and self.hears_others:
            return None
        return not self._is_lost(check)

    def place(self):
        """Place one chat; return the placement or ``None``."""
        self.harness.chat()
        decisions = self.policy.next(self.harness.now, self.harness.directory)
        for item in decisions:
            if isinstance(item, work_module.Placement):
                return item
        return None

    def end(self, placement, **details):
        ended = work_module.AttemptEnd(
            placement.work.request_id, placement.server, **details
        )
        self.policy.ended(ended, self.harness.now)


def observed(instance):
    for server in instance.harness.directory.servers:
        instance.policy.observe(server, instance.harness.now)


def test_one_request_that_hangs_shows_that_all_paths_are_lost():
    instance = Instance()
    observed(instance)
    instance.lose_all()
    # It was sent over a connection that was open already.
    assert instance.place().peer == ""
    began = instance.harness.now
    while instance.harness.now - began < 2 * DETECTION_SECONDS:
        instance.tick()
    assert all(instance.place().peer for _ in range(5))


def test_a_crashed_server_costs_few_checks_and_no_tunnel():
    instance = Instance()
    observed(instance)
    placement = instance.place()
    instance.crashed = {placement.server}
    instance.end(placement, failed=True, unreachable=True)
    instance.policy.requeue(placement.work, instance.harness.now)
    for _ in range(3):
        instance.tick()
    assert len(instance.checked) <= 2 + 2 * path_checks.SPREAD_CHECKS
    assert instance.place().peer == ""


def test_servers_that_stay_down_cost_few_checks_of_the_others():
    # Guards against connections that are opened again and again to sound
    # servers while others are down.
    instance = Instance(servers=40)
    observed(instance)
    instance.crashed = set(sorted(instance.names)[:7])
    for name in sorted(instance.crashed):
        instance.finish(path_checks.Check(name), instance.harness.now)
    for _ in range(round(6.0 / TICK_SECONDS)):
        instance.tick()
    sound = [name for name in instance.checked if name not in instance.crashed]
    spreads = len(instance.crashed) + 6.0 / path_checks.SPREAD_SECONDS
    assert len(sound) <= spreads * path_checks.SPREAD_CHECKS


def test_peers_are_asked_ever_less_often_about_servers_that_are_down():
    # Guards against questions that take a quarter of the processor time of all
    # instances while some servers are down.
    instance = Instance(servers=40, instances=40)
    observed(instance)
    instance.crashed = set(sorted(instance.names)[:7])
    for name in sorted(instance.crashed):
        instance.finish(path_checks.Check(name), instance.harness.now)
    for _ in range(round(6.0 / TICK_SECONDS)):
        instance.tick()
    seconds = path_checks.MAX_PEER_CHECK_SECONDS
    assert 6.0 / seconds <= instance.peer_checks <= 6.0 / seconds + 5


def test_a_server_that_peers_reach_is_found_beside_some_that_are_down():
    # Guards against servers that are never asked about after those that no
    # peer reaches, which have the first names.
    instance = Instance(servers=40, instances=40)
    observed(instance)
    instance.crashed = set(sorted(instance.names)[:5])
    instance.lost = set(sorted(instance.names)[5:10])
    for name in sorted(instance.crashed | instance.lost):
        instance.finish(path_checks.Check(name), instance.harness.now)
    for _ in range(round(3.0 / TICK_SECONDS)):
        instance.tick()
    assert instance.lost <= instance.reached_through_peers


def test_calm_servers_are_not_checked():
    instance = Instance()
    observed(instance)
    for _ in range(20):
        placement = instance.place()
        instance.tick()
        instance.policy.first_output(
            placement.work.request_id, instance.harness.now
        )
        instance.end(placement)
    assert not instance.checked


def test_a_healed_path_is_used_again_soon_and_checks_are_spread():
    checked_at = []
    for _ in range(9):
        instance = Instance()
        observed(instance)
        instance.lose_all()
        placement = instance.place()
        instance.end(placement, failed=True, unreachable=True)
        for _ in range(80):
            instance.tick()
        instance.lost = set()
        healed = instance.harness.now
        while instance.place().peer:
            instance.tick()
            assert instance.harness.now - healed < RETURN_SECONDS
        checked_at.append(instance.harness.now - healed)
    assert max(checked_at) <= RETURN_SECONDS


def admission(**changes):
    announcement = types.SimpleNamespace(epoch=3, url="http://h:1")
    server = types.SimpleNamespace(
        announcement=announcement,
        serves=lambda now: True,
        rests=lambda now: False,
    )
    fields = {
        "server": server,
        "epoch": 3,
        "url": "http://h:1",
        "reach": tunnel_admission.Reach.SERVER,
        "open_tunnels": 0,
        "now": 0.0,
        **changes,
    }
    return tunnel_admission.refusal_of(**fields)


def test_a_tunnel_leads_to_a_known_start_of_a_server_and_nowhere_else():
    assert admission() is None
    assert admission(server=None) is Refusal.UNKNOWN_SERVER
    assert admission(epoch=4) is Refusal.UNKNOWN_SERVER
    assert admission(url="http://h:2") is Refusal.UNKNOWN_SERVER
    full = tunnel_admission.MAX_TUNNELS
    assert admission(open_tunnels=full) is Refusal.FULL
    reach = tunnel_admission.Reach
    assert admission(reach=reach.OTHERS) is Refusal.SERVER
    assert admission(reach=reach.NONE) is Refusal.NO_SERVERS


def test_a_peer_that_a_server_asked_for_rest_is_asked_again_soon():
    paths = peer_paths_of(2)
    for now in (0.0, 0.2, 0.4):
        assert paths.choose("e0", "fd0", now) == "i1"
        paths.record_failure("i1", "e0", PathFailure.REST, now)
        assert not paths.exists("e0", now)
    assert paths.exists("e0", 0.6)


def test_rest_at_many_peers_does_not_count_as_the_end_of_a_server():
    paths = peer_paths_of(100)
    for name in sorted(domains(100))[: peer_paths.MIN_PEERS_FOR_DOWN]:
        paths.record_failure(name, "e0", PathFailure.REST, 0.0, True)
    assert paths.exists("e0", 0.0)


def test_a_resting_server_has_a_refusal_of_its_own():
    resting = types.SimpleNamespace(
        announcement=types.SimpleNamespace(epoch=3, url="http://h:1"),
        serves=lambda now: True,
        rests=lambda now: True,
    )
    refused = tunnel_messages.refused(admission(server=resting))
    # Instances of earlier releases know no other refusal for it.
    assert refused.refusal is Refusal.SERVER
    assert tunnels.path_failure_of(refused) is PathFailure.REST
    refused = tunnel_messages.refused(Refusal.SERVER)
    assert tunnels.path_failure_of(refused) is PathFailure.SERVER


def test_health_of_a_server_is_not_judged_by_its_old_connections():
    instance = Instance(servers=1, instances=1)
    observed(instance)
    old = instance.place()
    new = instance.place()
    instance.end(new, failed=True, unreachable=True)
    instance.harness.now += TICK_SECONDS
    instance.policy.first_output(old.work.request_id, instance.harness.now)
    state = instance.policy.reach_of(old.server)
    assert state is tunnel_admission.Reach.NONE
