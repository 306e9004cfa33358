"""Orders from a declared placement to an engine, over real sockets."""

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


def declare(made, **fields):
    server = api.Api(f"http://{made.instances[0].addresses['operators']}")
    spec = {"model": "medium", "minimum_copies": 1, **fields}
    server.put("modelplacements", "medium", spec)
    return server


def has_model(served, version):
    found = {"name": "medium", "version": version}
    return any(found.items() <= item.items() for item in served.desk.models)


def test_declared_model_is_loaded_and_serves():
    with world.World() as made:
        one = made.instance("i1")
        served = made.engine("e1")
        made.apply(LOOKUP)
        server = declare(made, version="1")
        world.wait_until(lambda: has_model(served, "1"))
        asked = client.Ask(
            one.addresses["callers"], world.KEY, "", "x", model="medium"
        )
        world.wait_until(lambda: client.send(asked).complete)
        world.wait_until(lambda: "as declared" in conditions(server))


def conditions(server):
    found = server.get("modelplacements", "medium")
    return " ".join(found["status"]["conditions"])


def test_successor_goes_on_when_the_holder_is_lost():
    # The instance that orders fd2's engines is lost.  The other one of its
    # failure domain must take over, with a larger fencing number, and must
    # not load again what is loaded.
    with world.World() as made:
        made.instance("i1", "fd1")
        holder = made.instance("i2", "fd2")
        made.instance("i3", "fd2")
        served = made.engine("e1", "fd2")
        made.apply(LOOKUP)
        declare(made, version="1")
        world.wait_until(lambda: has_model(served, "1"))
        holder.__exit__(None, None, None)
        declare(made, version="2")
        world.wait_until(lambda: has_model(served, "2"), 40.0)
        world.wait_until(lambda: not has_model(served, "1"))
        numbers = [item.body.fencing for item in served.desk.obeyed]
        assert numbers == sorted(numbers)
        assert len(set(numbers)) == 2
        assert not served.desk.refused


def test_engine_refuses_the_order_of_an_earlier_holder():
    desk = loading.OrderDesk([], checks_fencing=True)
    body = b'{"order":"a","kind":"role","role":"decode","fencing":%d}'
    assert desk.take(body % 5)[0].startswith("202")
    assert desk.take(body % 4)[0].startswith("409")


def test_does_not_send_an_order_after_a_pause():
    # The process is stopped between the decision to order and the sending,
    # and goes on when its lease is long over and another one orders.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", announce=False)
        identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
        lease = leases.LeaseHolder(identity)
        table = leases.LeaseTable()
        started = clock.MonotonicClock().now()
        request = lease.ask(table.holding("fd1"), started)
        lease.answered(table.apply(1, request), started)
        paused = PausedClock(started + leases.LEASE)
        answers = []
        sender = order_client.OrderClient(lease, paused, answers.append)
        order = model_orders.Order(
            model_orders.OrderKind.LOAD, "e1", "medium", "1"
        )
        sender.give(effects.GiveOrder(order, served.url, 1, True))
        assert answers[0].answer is events.OrderAnswer.NOT_SENT
        gevent.sleep(0)
        assert served.desk.obeyed == []


class PausedClock(clock.MonotonicClock):
    """Shows the time after a pause."""

    def __init__(self, shown):
        self._shown = shown

    def now(self):
        return self._shown
