"""Orders, from a declared placement to an engine, over real sockets."""

import gevent

import dandeliontrail
from dandeliontrail.coordination import leases
from dandeliontrail.decisions import model_orders
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail_ctl import api
from dandeliontrail_lab import client
from dandeliontrail_lab import loading
from dandeliontrail_node import clock
from dandeliontrail_node import order_client

from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}


def declare(deployment, **fields):
    server = api.Api(
        f"http://{deployment.instances[0].addresses['operators']}"
    )
    spec = {"model": "medium", "minimum_copies": 1, **fields}
    server.put("modelplacements", "medium", spec)
    return server


def has_model(engine, version):
    model = {"name": "medium", "version": version}
    return any(model.items() <= item.items() for item in engine.desk.models)


def test_declared_model_is_loaded_and_serves():
    with world.World() as deployment:
        instance = deployment.instance("i1")
        engine = deployment.engine("e1")
        deployment.apply(LOOKUP)
        server = declare(deployment, version="1")
        world.wait_until(lambda: has_model(engine, "1"))
        ask = client.Ask(
            instance.addresses["callers"], world.KEY, "", "x", model="medium"
        )
        world.wait_until(lambda: client.send(ask).complete)
        world.wait_until(lambda: "as declared" in conditions(server))


def conditions(server):
    placement = server.get("modelplacements", "medium")
    return " ".join(placement["status"]["conditions"])


def test_successor_takes_over_when_the_holder_fails():
    # The instance that gives orders to the engines of fd2 fails.  The other
    # instance of that failure domain must take over with a larger fencing
    # token, and must not load models again that are already loaded.
    with world.World() as deployment:
        deployment.instance("i1", "fd1")
        holder = deployment.instance("i2", "fd2")
        deployment.instance("i3", "fd2")
        engine = deployment.engine("e1", "fd2")
        deployment.apply(LOOKUP)
        declare(deployment, version="1")
        world.wait_until(lambda: has_model(engine, "1"))
        holder.__exit__(None, None, None)
        declare(deployment, version="2")
        world.wait_until(lambda: has_model(engine, "2"), 40.0)
        world.wait_until(lambda: not has_model(engine, "1"))
        fencing_tokens = [item.body.fencing for item in engine.desk.obeyed]
        assert fencing_tokens == sorted(fencing_tokens)
        assert len(set(fencing_tokens)) == 2
        assert not engine.desk.refused


def test_engine_refuses_the_order_of_an_earlier_holder():
    desk = loading.OrderDesk([], checks_fencing=True)
    body = b'{"order":"a","kind":"role","role":"decode","fencing":%d}'
    assert desk.take(body % 5)[0].startswith("202")
    assert desk.take(body % 4)[0].startswith("409")


def test_does_not_send_an_order_after_a_pause():
    # The process is paused between deciding on an order and sending it.  When
    # it continues, its lease has expired and another instance gives orders.
    with world.World() as deployment:
        deployment.instance("i1")
        engine = deployment.engine("e1", announce=False)
        identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
        lease = leases.LeaseHolder(identity)
        table = leases.LeaseTable()
        started = clock.MonotonicClock().now()
        request = lease.ask(table.holding("fd1"), started)
        lease.answered(table.apply(1, request), started)
        paused = PausedClock(started + leases.LEASE_SECONDS)
        answers = []
        sender = order_client.OrderClient(lease, paused, answers.append)
        order = model_orders.Order(
            model_orders.OrderKind.LOAD, "e1", "medium", "1"
        )
        sender.give(effects.GiveOrder(order, engine.url, 1, True))
        assert answers[0].answer is events.OrderAnswer.NOT_SENT
        gevent.sleep(0)
        assert engine.desk.obeyed == []


class PausedClock(clock.MonotonicClock):
    """A clock that always returns ``shown``, the time after a pause."""

    def __init__(self, shown):
        self._shown = shown

    def now(self):
        return self._shown
