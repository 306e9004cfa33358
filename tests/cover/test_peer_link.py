"""The link between instances over real sockets."""

import collections
import pathlib

import dandeliontrail
import gevent
from gevent import socket
import msgspec
import pytest

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import servers
from dandeliontrail_node import clock
from dandeliontrail_node.forwarding import answer_parser
from dandeliontrail_node import outbox
from dandeliontrail_node import packing
from dandeliontrail_node import peer_connection
from dandeliontrail_node import peer_link
from dandeliontrail_node import settings
from dandeliontrail_node import tokens

from tests.common import world

CERTIFICATES = pathlib.Path(__file__).parent.parent / "common/certificates"


def alive(instance):
    return len(instance.host.state.members.alive(instance.host.clock.now()))


def test_instances_reach_each_other_over_mutual_tls():
    tls = settings.Tls(
        str(CERTIFICATES / "instance.pem"),
        str(CERTIFICATES / "instance.key"),
        str(CERTIFICATES / "ca.pem"),
    )
    with world.World() as made:
        started = [
            made.instance(name, tls={"peers": tls}) for name in ("i1", "i2")
        ]
        world.wait_until(lambda: all(alive(item) == 1 for item in started))


def test_connection_that_went_silent_is_replaced():
    # Something between two instances loses track of their connection: it
    # takes bytes and answers nothing, for good, while a new one works.
    with world.World() as made:
        one, two = made.instance("i1"), made.instance("i2")
        world.wait_until(lambda: alive(one) == alive(two) == 1)
        silent = socket.socket()
        silent.bind(("127.0.0.1", 0))
        silent.listen(1)
        line = one.host._peer_link._lines[two.addresses["peers"]]
        dead = socket.create_connection(silent.getsockname())
        world.wait_until(lambda: line._conn is not None)
        line._conn.close()
        line._conn._sock = dead
        counters = one.host.metrics.counters
        world.wait_until(lambda: counters["peer_failed_batches_total"] > 0)
        held = two.host.state.members.members["i1"]
        seen = held.heard
        world.wait_until(lambda: held.heard > seen)
        assert held.record.refutations == 0
        dead.close()
        silent.close()


def test_answer_to_a_question_comes_back_in_the_same_exchange():
    # Two hundred instances ask a keeper twice a second how recent their
    # state is.  Each answer was a batch of its own, over a second
    # connection: twice the work for the keeper, 0.19 core at 36 instances.
    with world.World() as made:
        one, two = made.instance("i1"), made.instance("i2")
        world.wait_until(lambda: alive(one) == alive(two) == 1)
        address = two.addresses["peers"]
        for line in two.host._peer_link._lines.values():
            line._post = lambda body, headers: True
        held = one.host.state.members.members["i2"]
        gevent.sleep(0.2)
        seen = held.heard
        one.host._peer_link.send(address, messages.Heartbeat(ask=True))
        world.wait_until(lambda: held.heard > seen, 1.0)


def test_answer_with_a_foreign_signature_is_not_taken_in(tmp_path):
    # Whoever stands between two instances could else put words into the
    # answers, which no batch could carry without the key.
    path = tmp_path / "key"
    path.write_text("a key that all instances share")
    identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
    link = peer_link.HttpPeerLink(
        identity,
        tokens.PeerKey(str(path)),
        clock.MonotonicClock(),
        collections.Counter(),
        1e6,
    )
    taken = []
    link.take_in = taken.append
    body, headers = link.pack([outbox.Waiting(messages.Heartbeat(), 0.0)])
    answer = answer_parser.Answer()
    answer.headers = [
        (peer_link.SIGNATURE_HEADER.lower(), "sha256:" + "0" * 64)
    ]
    with pytest.raises(packing.BadBatch):
        link.open_answer(answer, body)
    answer.headers = [(name.lower(), held) for name, held in headers.items()]
    link.open_answer(answer, body)
    assert [item.messages for item in taken] == [[messages.Heartbeat()]]


def test_release_before_gets_what_it_is_told_as_batches():
    # While releases are mixed, one that reads nothing in an answer must not
    # lose what it is told: an instance without the header is not answered.
    with world.World() as made:
        one = made.instance("i1")
        sender = messages.Sender("i2", "127.0.0.1:1", "fd1", "r1", 1)
        link = one.host._peer_link
        envelope = codec.Envelope(sender, [messages.Heartbeat(ask=True)])
        body = codec.encode(envelope)
        conn = peer_connection.PeerConnection(
            one.addresses["peers"], peer_link.PATH, 1.0
        )
        signature = {peer_link.SIGNATURE_HEADER: link._key.sign(body)}
        answer, data = conn.post(body, signature)
        assert (answer.status, data) == (200, b"{}")
        answers = {**signature, peer_link.ANSWERS_HEADER: "1"}
        answer, data = conn.post(body, answers)
        conn.close()
        found, left_out = codec.decode(data)
        assert any(
            isinstance(item, messages.Heartbeat) for item in found.messages
        )


def test_unknown_message_does_not_take_the_heartbeat_along():
    # A newer release sends what this one does not know, in one batch with
    # its heartbeat.
    sender = messages.Sender("i1", "127.0.0.1:1", "fd1", "r1", 1)
    body = msgspec.json.encode(
        {
            "sender": sender,
            "messages": [
                {"type": "of_a_newer_release", "field": 1},
                messages.Heartbeat(),
            ],
        }
    )
    envelope, left_out = codec.decode(body)
    assert envelope.messages == [messages.Heartbeat()]
    assert left_out == 1
    with pytest.raises(msgspec.DecodeError):
        codec.decode(b'{"sender": 1}')


def test_short_budget_leaves_out_load_and_repairs_first():
    box = outbox.Outbox()
    renewal = servers.Renewal("e1", 1, 2, 3, 0.1, [1, 2, 3, 4.0])
    box.put(codec.dissemination.SyncWant("servers", ["e1"]), 0.0)
    box.put(servers.Renewals([renewal]), 0.0)
    box.put(messages.Heartbeat(), 0.0)
    batch = [item.message for item in box.take(rich=False)]
    assert [type(item) for item in batch] == [
        servers.Renewals,
        messages.Heartbeat,
    ]
    assert batch[0].renewals[0].load == []
    assert box.shed == 1
    registry = servers.ServerRegistry()
    assert registry.renew(batch[0].renewals[0], 0.1, 1.0) is None


def test_full_outbox_drops_the_least_important_first():
    box = outbox.Outbox()
    for _ in range(outbox.LONGEST):
        box.put(codec.dissemination.SyncWant("servers", ["e1"]), 0.0)
    for _ in range(10):
        box.put(messages.Heartbeat(), 0.0)
    batch = [item.message for item in box.take(rich=True)]
    assert len(batch) == outbox.LONGEST
    assert batch[:10] == [messages.Heartbeat()] * 10
