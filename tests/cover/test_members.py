"""Membership of simulated instances: failures, partitions, refutation."""

from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import messages
from dandeliontrail import events
from dandeliontrail_lab import simulated_nodes

Standing = member_records.Standing


def make_network(**options):
    network = simulated_nodes.Network(**options)
    for index in range(9):
        network.add(f"i{index}", f"fd{index // 3}")
    network.run(5.0)
    return network


def standing(network, viewer, target):
    return network.nodes[viewer].state.members.members[target].standing


def all_alive(network):
    return all(
        len(node.state.members.alive(network.now + node.skew)) == 8
        for node in network.nodes.values()
    )


def none_refuted(network):
    return all(
        node.state.identity.refutations == 0 for node in network.nodes.values()
    )


def test_instances_discover_each_other_from_a_few_seeds():
    assert all_alive(make_network())


def test_tables_that_agree_are_not_compared_any_further():
    network = make_network(count_bytes=True)
    assert all_alive(network)
    for node in network.nodes.values():
        node.by_kind.clear()
    network.run(10.0)
    idle_kinds = {"Heartbeat", "UsageHave"}
    assert all(
        set(node.by_kind) == idle_kinds for node in network.nodes.values()
    )


def test_does_not_evict_an_instance_over_one_bad_path():
    # Two instances cannot reach each other, but all others reach both.  Each
    # of the two has others probe its peer, so nobody is considered failed.
    network = make_network()
    network.partition(["i0"], ["i5"])
    network.run(30.0)
    assert all_alive(network)
    assert none_refuted(network)


def test_crashed_instance_is_failed_everywhere_and_may_return():
    network = make_network()
    network.nodes["i4"].up = False
    network.run(12.0)
    others = [name for name in network.nodes if name != "i4"]
    assert all(
        standing(network, name, "i4") is Standing.FAILED for name in others
    )
    network.add("i4", "fd1")
    network.nodes["i4"].state.identity.incarnation = 1 << 50
    network.nodes["i4"].state.members.note_own()
    network.run(8.0)
    assert all_alive(network)


def test_restart_with_an_older_wall_clock_counts_as_newer():
    # The wall clock was set back between two starts, so the new process has
    # a smaller incarnation.  The others must not ignore it for ever: when it
    # learns of the greater incarnation, it takes an even greater one.
    network = make_network()
    network.nodes["i4"].up = False
    network.run(2.0)
    network.add("i4", "fd1")
    own = network.nodes["i4"].state.identity
    own.incarnation = 0
    network.nodes["i4"].state.members.note_own()
    network.run(8.0)
    assert all_alive(network)
    assert (
        network.nodes["i1"].state.members.members["i4"].heard > network.now - 2
    )
    held = network.nodes["i1"].state.members.members["i4"]
    assert held.incarnation == own.incarnation > 0


def test_isolated_instance_detects_it_and_suspects_nobody():
    # A partition isolates one instance.  It must detect that it hears nobody
    # and must not consider the eight others failed.
    network = make_network()
    others = [name for name in network.nodes if name != "i0"]
    network.partition(["i0"], others)
    network.run(30.0)
    members = network.nodes["i0"].state.members
    assert not members.hears_anybody(network.now)
    assert not members.hears_majority(network.now)
    assert members.reach(network.now) is member_records.Reach.NOBODY
    assert all(
        item.standing is Standing.ALIVE for item in members.members.values()
    )
    assert standing(network, "i1", "i0") is Standing.FAILED
    assert network.nodes["i1"].state.members.hears_majority(network.now)
    network.heal()
    network.run(8.0)
    assert all_alive(network)


def test_partitioned_failure_domain_is_detected_on_both_sides_and_rejoins():
    network = make_network()
    inside = ["i0", "i1", "i2"]
    outside = [name for name in network.nodes if name not in inside]
    network.partition(inside, outside)
    network.run(20.0)
    own = network.nodes["i0"].state.members
    assert own.hears_anybody(network.now)
    assert not own.hears_other_domain(network.now)
    assert not own.hears_majority(network.now)
    assert own.reach(network.now) is member_records.Reach.OWN_DOMAIN
    other = network.nodes["i5"].state.members
    assert other.reach(network.now) is member_records.Reach.ALL
    network.heal()
    network.run(12.0)
    assert all_alive(network)


def test_hearing_one_way_only_fails_nobody_who_can_be_reached():
    # Nothing that the others send reaches i0, although they hear it, as when
    # a packet filter drops one direction.  i0 must detect that the fault is
    # its own.
    network = make_network()
    others = [name for name in network.nodes if name != "i0"]
    network.partition(others, ["i0"], both_ways=False)
    network.run(20.0)
    assert not network.nodes["i0"].state.members.hears_anybody(network.now)
    for name in others[1:]:
        assert standing(network, others[0], name) is Standing.ALIVE


def test_paused_instance_does_not_suspect_the_others():
    # The process is paused for ten seconds.  When it resumes, its eight peers
    # seem silent, as their messages still wait in its sockets.
    network = make_network()
    node = network.nodes["i0"]
    node.up = False
    network.run(10.0)
    node.up = True
    network.run(15.0)
    assert all_alive(network)
    others = [item for item in network.nodes.values() if item is not node]
    assert all(item.state.identity.refutations == 0 for item in others)


def test_leaving_instance_is_gone_at_once_and_is_not_suspected():
    network = make_network()
    network.apply(network.nodes["i3"], events.Left())
    network.nodes["i3"].up = False
    network.run(1.0)
    assert standing(network, "i8", "i3") is Standing.LEFT
    network.run(10.0)
    assert standing(network, "i8", "i3") is Standing.LEFT


def test_fifty_instances_agree_over_few_links_and_loss():
    network = simulated_nodes.Network(seed=7, loss=0.05)
    for index in range(50):
        network.add(f"i{index}", f"fd{index % 5}")
    network.run(15.0)
    sizes = [
        len(node.state.members.members) for node in network.nodes.values()
    ]
    assert sizes == [49] * 50
    network.nodes["i7"].up = False
    network.run(20.0)
    for name, node in network.nodes.items():
        if name != "i7":
            found = node.state.members.members["i7"]
            assert found.standing is Standing.FAILED
            own = node.state.members
            assert len(own.links()) <= (17 if own.is_relay() else 2)
    failed = sum(
        item.standing is not Standing.ALIVE
        for item in network.nodes["i0"].state.members.members.values()
    )
    assert failed == 1


def test_instance_of_a_suspended_host_is_not_late_for_ever():
    # A host is suspended for an hour, and its monotonic clock with it.  Then
    # all that its instance sends looks an hour late.  After a while, its
    # messages must be able to renew leases again.
    network = make_network()
    node = network.nodes["i0"]
    node.up = False
    network.run(20.0)
    node.skew -= 3600.0
    node.up = True
    network.run(1.0)
    members = network.nodes["i1"].state.members
    sender = messages.Sender(
        "i0", "i0", "fd0", "r1", 1, network.now + node.skew
    )
    assert members.delay(sender, network.now) > 3000.0
    network.run(65.0)
    sender.clock = network.now + node.skew
    assert members.delay(sender, network.now) < 0.1
