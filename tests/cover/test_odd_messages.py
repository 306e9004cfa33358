"""Messages that an instance should not get fail nothing, or change nothing."""

import copy
import functools

from dandeliontrail.coordination import claim_votes
from dandeliontrail.coordination import claims
from dandeliontrail.coordination import digests
from dandeliontrail.coordination import dissemination
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import usage
from dandeliontrail import errors
from dandeliontrail import events
from dandeliontrail import failures
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tests.common import odd_messages
from tests.common import reducers
from tests.common import stream_network

LEADER = "k1"
ENTRY = "i0"
DAY = "2026-03-14"
# What handlers raise on purpose, before they have changed anything: a broken
# invariant, and a checkpoint of the log that cannot be decoded.
REJECTIONS = (errors.InvariantBroken, msgspec.ValidationError)
SENDER = messages.Sender("i2", "127.0.0.1:2", "fd1", "r1", 1)


@functools.lru_cache(maxsize=None)
def busy_network():
    """Return a network with servers, streams, usage and a leader."""
    network = stream_network.StreamNetwork(2)
    for name in ("s1", "s2"):
        network.add_server("v1", name)
    network.run(1.0)
    for _ in range(3):
        network.begin()
    for node in network.nodes.values():
        network.apply(node, events.DayBegan(DAY))
        node.state.usage.count("lab", "chat", usage.Totals(1, 2, 3, 0))
    network.run(3.0)
    return network


@functools.lru_cache(maxsize=None)
def odd_envelopes():
    """Return the strategy for messages made of what the network knows."""
    network = busy_network()
    leader = network.nodes[LEADER].state.log.leader(network.now)
    progress = network.nodes[LEADER].state.log.question(network.now)
    incarnations = [
        node.state.identity.incarnation for node in network.nodes.values()
    ]
    odd = odd_messages.OddMessages(
        [LEADER, "k2", ENTRY, leader],
        ["s1", "s2", "llm", "lab", "chat", DAY, "fd1", "v1", "folder-k2"],
        [*incarnations, progress.applied, progress.applied + 1],
        {"log_id": progress.log_id},
    )
    return odd.envelopes()


def tables_of(state):
    """Return what replicated messages change, in a form to compare."""
    return msgspec.json.encode(
        [
            state.usage.snapshot(),
            sorted(
                (list(msgspec.to_builtins(key)), totals)
                for key, totals in state.usage.totals.daily.items()
                if any(totals.counts())
            ),
            [state.registry.servers[key] for key in state.registry.servers],
            state.members.digest.root,
            state.limits.digest.root,
            state.ends.digest.root,
            state.store.dump(),
            [state.store.version, state.log.applied],
        ]
    )


class Rejections(failures.FailureHandler):
    """Accepts what is raised on purpose, and raises the rest."""

    def component_failed(self, failure):
        if not isinstance(failure.error, REJECTIONS):
            raise failure.error
        self.failed = True


class Receiver:
    """A copy of an instance that checks what a rejection has changed."""

    def __init__(self, name):
        network = busy_network()
        self.now = network.now
        self.reducer = copy.deepcopy(network.nodes[name].reducer)
        self.reducer.failure_handler = self.rejections = Rejections()

    def receive(self, envelope):
        envelope = odd_messages.received(envelope)
        for message in envelope.messages:
            self.apply(envelope.sender, message)
        self.now += 0.3
        self.reducer.tick(self.now)

    def apply(self, sender, message):
        state = self.reducer.state
        if sender.instance != state.identity.instance:
            state.members.hear(sender, self.now)
        before = tables_of(state)
        self.rejections.failed = False
        event = events.PeerMessageReceived(sender, message)
        self.reducer.apply(event, self.now)
        assert not self.rejections.failed or tables_of(state) == before


@pytest.mark.parametrize("name", [LEADER, ENTRY])
def test_odd_messages_fail_nothing_or_change_nothing(name):
    @hypothesis.settings(
        max_examples=150,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(st.lists(odd_envelopes(), min_size=2, max_size=6))
    def run(envelopes):
        receiver = Receiver(name)
        for envelope in envelopes:
            receiver.receive(envelope)

    run()


def receive(reducer, message, sender=SENDER):
    return reducer.apply(events.PeerMessageReceived(sender, message), 1.0)


def test_a_message_of_this_instance_to_itself_is_dropped():
    reducer = reducers.new_reducer("i2")
    assert receive(reducer, messages.Heartbeat(ask=True)) == []
    assert not reducer.state.members.members


def test_buckets_of_another_release_are_passed_over():
    reducer = reducers.new_reducer()
    table = dissemination.Table.MEMBERS
    keys = dissemination.SyncKeys(table, [digests.BUCKETS, -1], {})
    assert receive(reducer, keys) == []


def test_rows_of_an_unknown_publisher_cannot_be_sent():
    reducer = reducers.new_reducer()
    unknown = usage.PublisherVersion(usage.Publisher("i9", 1), -1)
    have = usage.UsageHave([unknown], {}, ask=False, whole=False)
    assert receive(reducer, have) == []


def test_an_empty_page_of_claims_that_is_not_the_last_changes_nothing():
    table = claim_votes.VoterTable("i1", ("i1", "i2", "i3"), 0.0, False)
    page = claims.RecoveryTold(1, "", [], False, False, 1.0, 1.0)
    table.merge_page("i2", page, 1.0)
    assert table.page_after("i2") == ""
