"""The link between instances over real sockets."""

import pathlib

from gevent import socket
import msgspec
import pytest

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import servers
from dandeliontrail_node import outbox
from dandeliontrail_node import settings

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
        pool = line._client._connection_pool
        sock = pool.get_socket()
        sock.close()
        dead = socket.create_connection(silent.getsockname())
        pool.return_socket(dead)
        counters = one.host.metrics.counters
        world.wait_until(lambda: counters["peer_failed_batches_total"] > 0)
        held = two.host.state.members.members["i1"]
        seen = held.heard
        world.wait_until(lambda: held.heard > seen)
        assert held.record.refutations == 0
        dead.close()
        silent.close()


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
