"""Leases, updates and usage in deployments that use relays."""

from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import servers
from dandeliontrail import effects
from dandeliontrail.resources import announcements
from dandeliontrail_lab import members_costs as costs


def make_deployment():
    workload = costs.Workload(24, 3, 1, 12, 5, 2, 10.0, 0.0)
    deployment = costs.Deployment(workload, count_bytes=False)
    deployment.run(8.0)
    return deployment


def min_servers_served(deployment):
    """Return the lowest number of serving servers over all nodes."""
    return min(
        len(node.state.registry.serving(deployment.net.now))
        for node in deployment.nodes
    )


def stop_node(deployment, node):
    deployment.nodes.remove(node)
    node.up = False


def relays_of(deployment, domain):
    relays = deployment.split()[1]
    return [node for node in relays if node.domain == domain]


def test_every_domain_has_two_relays_and_all_leases_hold():
    deployment = make_deployment()
    for domain in ("fd0", "fd1", "fd2"):
        assert len(relays_of(deployment, domain)) == 2
    counts = []
    deployment.run(10.0, lambda: counts.append(min_servers_served(deployment)))
    assert min(counts) == 12


def test_leases_hold_while_a_relay_is_lost():
    # Instances send renewals to either relay, and one of the relays crashes.
    # Until its silence is detected, every second renewal of the domain is
    # lost.
    deployment = make_deployment()
    stop_node(deployment, relays_of(deployment, "fd1")[0])
    deployment.run(15.0)
    assert min_servers_served(deployment) == 12
    assert len(relays_of(deployment, "fd1")) == 2


def test_domain_that_loses_both_relays_at_once_gets_new_ones():
    deployment = make_deployment()
    for node in relays_of(deployment, "fd1"):
        stop_node(deployment, node)
    deployment.run(15.0)
    assert min_servers_served(deployment) == 12
    assert len(relays_of(deployment, "fd1")) == 2


def test_leaving_server_gets_no_work_at_any_instance():
    deployment = make_deployment()
    took = costs.leave_seconds(deployment, 4)
    assert len(took) == len(deployment.nodes)
    assert max(took) <= 0.5
    deployment.run(5.0)
    assert min_servers_served(deployment) == 11


def test_silent_server_gets_no_work_after_its_lease():
    # Relays renew the leases of all servers of a domain with one digest and
    # one age.  That must not renew the lease of a silent server.
    deployment = make_deployment()
    took = costs.silence_seconds(deployment, 4)
    assert len(took) == len(deployment.nodes)
    assert max(took) <= 3.0
    deployment.run(5.0)
    assert min_servers_served(deployment) == 11


def test_change_reaches_everybody_and_leases_hold_meanwhile():
    deployment = make_deployment()
    counts = []
    for index in range(6):
        deployment.change(index)
        deployment.run(
            1.0, lambda: counts.append(min_servers_served(deployment))
        )
    assert min(counts) == 12
    for node in deployment.nodes:
        held = node.state.registry.servers["e0003"].announcement
        assert held.models[0].version == "2"


def test_relays_hold_all_usage():
    deployment = make_deployment()
    for node in deployment.nodes:
        node.state.usage.count("one", "class0", costs.usage.Totals(1, 1, 1, 0))
    deployment.run(15.0)
    for node in deployment.split()[1]:
        assert node.state.usage.used_by("one").requests == 24


def test_partition_of_a_domain_is_detected_by_all_instances():
    deployment = make_deployment()
    inside = [node.name for node in deployment.nodes if node.domain == "fd1"]
    outside = [node.name for node in deployment.nodes if node.domain != "fd1"]
    deployment.net.partition(inside, outside)
    deployment.run(20.0)
    for node in deployment.nodes:
        reach = node.state.members.reach(deployment.net.now)
        if node.domain == "fd1":
            assert reach is member_records.Reach.OWN_DOMAIN
        else:
            assert reach is member_records.Reach.ALL
    deployment.net.heal()
    deployment.run(15.0)
    assert min_servers_served(deployment) == 12
    for node in deployment.nodes:
        reach = node.state.members.reach(deployment.net.now)
        assert reach is member_records.Reach.ALL


def test_relays_report_a_partitioned_domain_to_their_instances():
    # A domain of eight instances is partitioned.  The other instances hear it
    # through relays only.  Without the relays' reports they detected the
    # partition only by losing requests of their own: one or two streams, which
    # must not be repeated, for each instance.
    deployment = make_deployment()
    inside = [node.name for node in deployment.nodes if node.domain == "fd1"]
    outside = [node for node in deployment.nodes if node.domain != "fd1"]

    def observers_of_silence():
        return [
            node.name
            for node in outside
            if node.state.members.has_fallen_silent("fd1", deployment.net.now)
        ]

    observers_before = []
    deployment.run(
        3.0, lambda: observers_before.append(len(observers_of_silence()))
    )
    assert max(observers_before) == 0
    deployment.net.partition(inside, [node.name for node in outside])
    deployment.run(2.5)
    assert len(observers_of_silence()) == len(outside)
    deployment.net.heal()
    deployment.run(2.0)
    assert observers_of_silence() == []


def test_vouch_renews_nothing_if_the_relay_knows_another_state():
    # The relay knows that e1 is leaving; this instance missed that update.
    # The vouch covers the servers that run according to the relay, which do
    # not include e1.
    def announce(name, sequence, **fields):
        return announcements.Announcement(
            name, 1, sequence, "model_engine", "http://e", "fd1", **fields
        )

    relay, other = servers.ServerRegistry(), servers.ServerRegistry()
    for registry in (relay, other):
        registry.learn(announce("e1", 1), 0.0, 1.0)
        registry.learn(announce("e2", 1), 0.0, 1.0)
    relay.learn(announce("e2", 2), 0.0, 2.0)
    assert other.apply_vouch(relay.vouch("fd1", 2.0), 0.0, 2.0)
    # Ages are rounded up, never down.
    assert 1.98 <= other.servers["e2"].heard_at <= 2.0
    relay.learn(announce("e1", 2, leaving=True), 0.0, 3.0)
    assert not other.apply_vouch(relay.vouch("fd1", 3.0), 0.0, 3.0)
    assert not other.servers["e1"].serves(4.1)


def test_instance_logs_that_it_became_a_relay():
    # One instance of many is busier than the others.  Its log must show that
    # it is a relay of its domain, since when, and which instance it replaces.
    deployment = make_deployment()
    first, second = relays_of(deployment, "fd1")
    stop_node(deployment, first)
    lines_by_name = {}
    for node in deployment.nodes:
        if node.domain != "fd1" or node is second:
            continue
        member = node.reducer.components[0]
        member.tick = record_relay_lines(
            member.tick, lines_by_name.setdefault(node.name, [])
        )
    deployment.run(6.0)
    lines = [
        (name, found)
        for name, lines in lines_by_name.items()
        for found in lines
    ]
    ((name, fields),) = lines
    assert fields["relay"] is True
    assert fields["others"] == [second.name]
    assert first.name in fields["silent"]
    assert name in [node.name for node in relays_of(deployment, "fd1")]


def record_relay_lines(tick, lines):
    """Wrap ``tick`` so that log lines about relays go to ``lines``."""

    def call(now):
        out = tick(now)
        lines.extend(
            item.fields
            for item in out
            if isinstance(item, effects.Log)
            and item.message == "relay of the failure domain"
        )
        return out

    return call
