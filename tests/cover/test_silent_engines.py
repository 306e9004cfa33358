"""Engines that seem to be gone and are not, over the own interface."""

import gevent
from gevent import server as gevent_server
import pytest

from dandeliontrail_lab import client
from dandeliontrail_node import connection
from dandeliontrail_node import engine_client
from dandeliontrail_node import silence

from tests.common import world

CLASSES = {"lookup": {}, "summary": {"repeatable": False}}
TOKENS = 40
STEP = 0.01
# Two health checks and the pauses between them are over by then.
FROZEN_SECONDS = 3.0


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(silence, "FIRST_SECONDS", 0.4)
    monkeypatch.setattr(silence, "LEAST_GAP_SECONDS", 0.3)
    monkeypatch.setattr(engine_client, "PROBE_SECONDS", 0.3)
    monkeypatch.setattr(connection, "DEFAULT_SECONDS", 0.2)


@pytest.fixture
def made():
    with world.World() as found:
        yield found


def expected():
    return "".join(f"w{number} " for number in range(TOKENS))


def start(made, limits=None, **fields):
    """Return an engine in the middle of its answer, and the job of it."""
    made.instance("i1", **(limits or {}))
    served = made.engine("e1", step=STEP, fragile=True)
    made.apply(CLASSES)
    return served, begin(made, served, **fields)


def begin(made, served, class_name="lookup", **fields):
    address = made.instances[0].addresses["callers"]
    asked = client.Ask(
        address,
        world.KEY,
        class_name,
        "hello",
        max_tokens=TOKENS,
        **fields,
    )
    job = gevent.spawn(client.send, asked)
    world.wait_until(
        lambda: any(
            5 < len(item.tokens) for item in served.batch.streams.values()
        )
    )
    return job


def freeze(served):
    served.path.pause()
    gevent.spawn_later(FROZEN_SECONDS, served.path.go_on)


def nothing_is_left(made):
    host = made.instances[0].host
    world.wait_until(lambda: not host.open_exchanges())
    fleet = host.reducer.policy._fleet
    assert not host.reducer.lives
    assert not fleet.attempts and not fleet.attempts.hedges
    assert not any(engine.own for engine in fleet._engines.values())


@pytest.mark.parametrize("class_name", CLASSES)
@pytest.mark.parametrize("stream", [True, False])
def test_an_engine_that_is_frozen_for_a_while_ends_no_answer(
    made, class_name, stream
):
    served, job = start(made, class_name=class_name, stream=stream)
    freeze(served)
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(served.ran) == 1
    nothing_is_left(made)


def test_an_engine_that_takes_no_new_connections_ends_no_answer(made):
    served, job = start(made, class_name="summary")
    freeze(served)
    served.path.refuse()
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(served.ran) == 1


@pytest.mark.parametrize("stream", [True, False])
def test_another_engine_goes_on_while_one_is_frozen(made, stream):
    served, job = start(made, stream=stream)
    served.path.pause()
    other = made.engine("e2", step=STEP)
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(other.ran) == 1
    served.path.go_on()
    nothing_is_left(made)


def test_another_engine_that_fails_ends_no_answer_of_a_frozen_one(made):
    def fails(sock, address):
        sock.recv(65536)
        failed.append(address)

    failed = []
    served, job = start(made)
    freeze(served)
    listening = gevent_server.StreamServer(("127.0.0.1", 0), fails)
    listening.start()
    made.raw_server("e2", f"http://127.0.0.1:{listening.server_port}")
    answer = job.get()
    listening.stop(0.1)
    assert failed
    assert answer.complete
    assert answer.text == expected()
    nothing_is_left(made)


def test_an_engine_that_is_silent_for_good_ends_by_the_limit(made):
    served, job = start(made, limits={"backend_silent_seconds": 2.0})
    served.path.pause()
    answer = job.get(timeout=15.0)
    assert not answer.complete
    served.path.go_on()
    nothing_is_left(made)
