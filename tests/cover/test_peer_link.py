"""The peer link between instances, over real sockets."""

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


def alive_count(instance):
    return len(instance.host.state.members.alive(instance.host.clock.now()))


def test_instances_reach_each_other_over_mutual_tls():
    tls = settings.Tls(
        str(CERTIFICATES / "instance.pem"),
        str(CERTIFICATES / "instance.key"),
        str(CERTIFICATES / "ca.pem"),
    )
    with world.World() as deployment:
        started = [
            deployment.instance(name, tls={"peers": tls})
            for name in ("i1", "i2")
        ]
        world.wait_until(
            lambda: all(alive_count(item) == 1 for item in started)
        )


def test_unresponsive_connection_is_replaced():
    # A middlebox between two instances drops the state of their connection:
    # the connection accepts bytes but never answers, while a new one works.
    with world.World() as deployment:
        first, second = deployment.instance("i1"), deployment.instance("i2")
        world.wait_until(
            lambda: alive_count(first) == alive_count(second) == 1
        )
        silent = socket.socket()
        silent.bind(("127.0.0.1", 0))
        silent.listen(1)
        sender = first.host._peer_link._senders[second.addresses["peers"]]
        dead = socket.create_connection(silent.getsockname())
        world.wait_until(lambda: sender._conn is not None)
        sender._conn.close()
        sender._conn._sock = dead
        counters = first.host.metrics.counters
        world.wait_until(lambda: counters["peer_failed_batches_total"] > 0)
        member = second.host.state.members.members["i1"]
        last_heard = member.heard
        world.wait_until(lambda: member.heard > last_heard)
        assert member.record.refutations == 0
        dead.close()
        silent.close()


def test_answer_to_a_question_comes_back_in_the_same_exchange():
    # Two hundred instances ask a keeper twice a second how recent their
    # state is.  If each answer were a separate batch over a second connection,
    # the keeper would do twice the work: 0.19 core at 36 instances.
    with world.World() as deployment:
        first, second = deployment.instance("i1"), deployment.instance("i2")
        world.wait_until(
            lambda: alive_count(first) == alive_count(second) == 1
        )
        address = second.addresses["peers"]
        for sender in second.host._peer_link._senders.values():
            sender._post = lambda body, headers: True
        member = first.host.state.members.members["i2"]
        gevent.sleep(0.2)
        last_heard = member.heard
        first.host._peer_link.send(address, messages.Heartbeat(ask=True))
        world.wait_until(lambda: member.heard > last_heard, 1.0)


def test_answer_with_a_wrong_signature_is_rejected(tmp_path):
    # Otherwise an attacker between two instances could forge messages in the
    # answers, which is impossible in batches without the key.
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
    received = []
    link.receive_batch = received.append
    body, headers = link.pack(
        [outbox.QueuedMessage(messages.Heartbeat(), 0.0)]
    )
    answer = answer_parser.Answer()
    answer.headers = [
        (peer_link.SIGNATURE_HEADER.lower(), "sha256:" + "0" * 64)
    ]
    with pytest.raises(packing.BadBatch):
        link.process_answer(answer, body)
    answer.headers = [(name.lower(), value) for name, value in headers.items()]
    link.process_answer(answer, body)
    assert [item.messages for item in received] == [[messages.Heartbeat()]]


def test_older_release_gets_messages_as_separate_batches():
    # During an upgrade, a release that ignores messages in answers must not
    # lose them: an instance that does not send the header gets none there.
    with world.World() as deployment:
        first = deployment.instance("i1")
        sender = messages.Sender("i2", "127.0.0.1:1", "fd1", "r1", 1)
        link = first.host._peer_link
        envelope = codec.Envelope(sender, [messages.Heartbeat(ask=True)])
        body = codec.encode(envelope)
        conn = peer_connection.PeerConnection(
            first.addresses["peers"], peer_link.PATH, 1.0
        )
        signature = {peer_link.SIGNATURE_HEADER: link._key.sign(body)}
        answer, data = conn.post(body, signature)
        assert (answer.status, data) == (200, b"{}")
        answers = {**signature, peer_link.ANSWERS_HEADER: "1"}
        answer, data = conn.post(body, answers)
        conn.close()
        received, unknown_count = codec.decode(data)
        assert any(
            isinstance(item, messages.Heartbeat) for item in received.messages
        )


def test_unknown_message_does_not_drop_the_heartbeat():
    # A newer release sends a message of an unknown type in the same batch as
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
    envelope, unknown_count = codec.decode(body)
    assert envelope.messages == [messages.Heartbeat()]
    assert unknown_count == 1
    with pytest.raises(msgspec.DecodeError):
        codec.decode(b'{"sender": 1}')


def test_exhausted_budget_drops_load_and_repairs_first():
    queue = outbox.Outbox()
    renewal = servers.Renewal("e1", 1, 2, 3, 0.1, [1, 2, 3, 4.0])
    queue.put(codec.dissemination.SyncWant("servers", ["e1"]), 0.0)
    queue.put(servers.Renewals([renewal]), 0.0)
    queue.put(messages.Heartbeat(), 0.0)
    batch = [item.message for item in queue.take(within_budget=False)]
    assert [type(item) for item in batch] == [
        servers.Renewals,
        messages.Heartbeat,
    ]
    assert batch[0].renewals[0].load == []
    assert queue.shed == 1
    registry = servers.ServerRegistry()
    assert registry.renew(batch[0].renewals[0], 0.1, 1.0) is None


def test_full_outbox_drops_the_least_important_first():
    queue = outbox.Outbox()
    for _ in range(outbox.MAX_MESSAGES):
        queue.put(codec.dissemination.SyncWant("servers", ["e1"]), 0.0)
    for _ in range(10):
        queue.put(messages.Heartbeat(), 0.0)
    batch = [item.message for item in queue.take(within_budget=True)]
    assert len(batch) == outbox.MAX_MESSAGES
    assert batch[:10] == [messages.Heartbeat()] * 10
