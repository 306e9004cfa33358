"""Membership over pure reducers: failures, partitions, refutation."""

from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import messages
from dandeliontrail import events
from dandeliontrail_lab import pure_nodes

Standing = member_records.Standing


def nine(**options):
    made = pure_nodes.Network(**options)
    for index in range(9):
        made.add(f"i{index}", f"fd{index // 3}")
    made.run(5.0)
    return made


def standing(made, viewer, target):
    return made.nodes[viewer].state.members.members[target].standing


def everyone_alive(made):
    return all(
        len(node.state.members.alive(made.now + node.skew)) == 8
        for node in made.nodes.values()
    )


def nobody_was_suspected(made):
    return all(
        node.state.identity.refutations == 0 for node in made.nodes.values()
    )


def test_instances_find_each_other_from_a_few_seeds():
    assert everyone_alive(nine())


def test_tables_that_agree_are_not_compared_any_further():
    made = nine(count_bytes=True)
    assert everyone_alive(made)
    for node in made.nodes.values():
        node.by_kind.clear()
    made.run(10.0)
    quiet = {"Heartbeat", "UsageHave"}
    assert all(set(node.by_kind) == quiet for node in made.nodes.values())


def test_does_not_evict_an_instance_over_one_bad_path():
    # Two instances cannot reach each other, all others reach both: each
    # asks others, who answer for it, and nobody is taken for failed.
    made = nine()
    made.separate(["i0"], ["i5"])
    made.run(30.0)
    assert everyone_alive(made)
    assert nobody_was_suspected(made)


def test_crashed_instance_is_failed_everywhere_and_may_return():
    made = nine()
    made.nodes["i4"].up = False
    made.run(12.0)
    others = [name for name in made.nodes if name != "i4"]
    assert all(
        standing(made, name, "i4") is Standing.FAILED for name in others
    )
    made.add("i4", "fd1")
    made.nodes["i4"].state.identity.incarnation = 1 << 50
    made.nodes["i4"].state.members.note_own()
    made.run(8.0)
    assert everyone_alive(made)


def test_restart_with_an_older_wall_clock_counts_as_newer():
    # The machine's wall clock was set back between two starts, so the new
    # process has a smaller incarnation.  Others must not ignore it for
    # good: told of the greater number, it outbids that.
    made = nine()
    made.nodes["i4"].up = False
    made.run(2.0)
    made.add("i4", "fd1")
    own = made.nodes["i4"].state.identity
    own.incarnation = 0
    made.nodes["i4"].state.members.note_own()
    made.run(8.0)
    assert everyone_alive(made)
    assert made.nodes["i1"].state.members.members["i4"].heard > made.now - 2
    held = made.nodes["i1"].state.members.members["i4"]
    assert held.incarnation == own.incarnation > 0


def test_isolated_instance_knows_it_and_blames_nobody():
    # A partition silently cuts one instance off.  It must know that it
    # hears nobody, and must not call eight others failed.
    made = nine()
    rest = [name for name in made.nodes if name != "i0"]
    made.separate(["i0"], rest)
    made.run(30.0)
    members = made.nodes["i0"].state.members
    assert not members.hears_anybody(made.now)
    assert not members.hears_majority(made.now)
    assert members.reach(made.now) is member_records.Reach.NOBODY
    assert all(
        item.standing is Standing.ALIVE for item in members.members.values()
    )
    assert standing(made, "i1", "i0") is Standing.FAILED
    assert made.nodes["i1"].state.members.hears_majority(made.now)
    made.heal()
    made.run(8.0)
    assert everyone_alive(made)


def test_lost_failure_domain_is_known_on_both_sides_and_joins_again():
    made = nine()
    inside = ["i0", "i1", "i2"]
    outside = [name for name in made.nodes if name not in inside]
    made.separate(inside, outside)
    made.run(20.0)
    own = made.nodes["i0"].state.members
    assert own.hears_anybody(made.now)
    assert not own.hears_other_domain(made.now)
    assert not own.hears_majority(made.now)
    assert own.reach(made.now) is member_records.Reach.OWN_DOMAIN
    other = made.nodes["i5"].state.members
    assert other.reach(made.now) is member_records.Reach.ALL
    made.heal()
    made.run(12.0)
    assert everyone_alive(made)


def test_hearing_one_way_only_fails_nobody_who_can_be_reached():
    # Nothing that the others send reaches i0 although they hear it, as
    # when a filter drops one direction.  i0 must see its own fault.
    made = nine()
    rest = [name for name in made.nodes if name != "i0"]
    made.separate(rest, ["i0"], both_ways=False)
    made.run(20.0)
    assert not made.nodes["i0"].state.members.hears_anybody(made.now)
    for name in rest[1:]:
        assert standing(made, rest[0], name) is Standing.ALIVE


def test_paused_instance_does_not_blame_the_others():
    # The process stands still for ten seconds, then wakes up to eight
    # silent peers whose messages still wait in its sockets.
    made = nine()
    node = made.nodes["i0"]
    node.up = False
    made.run(10.0)
    node.up = True
    made.run(15.0)
    assert everyone_alive(made)
    others = [item for item in made.nodes.values() if item is not node]
    assert all(item.state.identity.refutations == 0 for item in others)


def test_leaving_instance_is_gone_at_once_and_is_not_suspected():
    made = nine()
    made.apply(made.nodes["i3"], events.Left())
    made.nodes["i3"].up = False
    made.run(1.0)
    assert standing(made, "i8", "i3") is Standing.LEFT
    made.run(10.0)
    assert standing(made, "i8", "i3") is Standing.LEFT


def test_fifty_instances_agree_over_few_links_and_loss():
    made = pure_nodes.Network(seed=7, loss=0.05)
    for index in range(50):
        made.add(f"i{index}", f"fd{index % 5}")
    made.run(15.0)
    sizes = [len(node.state.members.members) for node in made.nodes.values()]
    assert sizes == [49] * 50
    made.nodes["i7"].up = False
    made.run(20.0)
    for name, node in made.nodes.items():
        if name != "i7":
            found = node.state.members.members["i7"]
            assert found.standing is Standing.FAILED
            own = node.state.members
            assert len(own.links()) <= (17 if own.is_relay() else 2)
    failed = sum(
        item.standing is not Standing.ALIVE
        for item in made.nodes["i0"].state.members.members.values()
    )
    assert failed == 1


def test_suspended_machine_is_not_late_for_ever():
    # A machine is suspended for an hour, and its monotonic clock with it.
    # Afterwards all it sends looks an hour late; leases that it passes on
    # must count again after a while.
    made = nine()
    node = made.nodes["i0"]
    node.up = False
    made.run(20.0)
    node.skew -= 3600.0
    node.up = True
    made.run(1.0)
    members = made.nodes["i1"].state.members
    sender = messages.Sender("i0", "i0", "fd0", "r1", 1, made.now + node.skew)
    assert members.delay(sender, made.now) > 3000.0
    made.run(65.0)
    sender.clock = made.now + node.skew
    assert members.delay(sender, made.now) < 0.1
