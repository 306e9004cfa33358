"""Tests engines that seem to be dead but are not (standard interface)."""

import gevent
from gevent import server as gevent_server
import pytest

from dandeliontrail_lab import client
from dandeliontrail_node import connection
from dandeliontrail_node import engine_client
from dandeliontrail_node import silence_monitor

from tests.common import world

CLASSES = {"lookup": {}, "summary": {"repeatable": False}}
TOKENS = 40
STEP_SECONDS = 0.01
# Long enough for two health checks and the pauses between them.
FROZEN_SECONDS = 3.0


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(silence_monitor, "FIRST_SECONDS", 0.4)
    monkeypatch.setattr(silence_monitor, "LEAST_GAP_SECONDS", 0.3)
    monkeypatch.setattr(engine_client, "PROBE_SECONDS", 0.3)
    monkeypatch.setattr(connection, "DEFAULT_SECONDS", 0.2)


@pytest.fixture
def made():
    with world.World() as found:
        yield found


def expected():
    return "".join(f"w{number} " for number in range(TOKENS))


def start(made, limits=None, **fields):
    """Return an engine in the middle of its answer, and the request's job."""
    made.instance("i1", **(limits or {}))
    engine = made.engine("e1", step=STEP_SECONDS, fragile=True)
    made.apply(CLASSES)
    return engine, begin(made, engine, **fields)


def begin(made, engine, class_name="lookup", **fields):
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
            5 < len(stream.tokens) for stream in engine.batch.streams.values()
        )
    )
    return job


def freeze(engine):
    engine.path.pause()
    gevent.spawn_later(FROZEN_SECONDS, engine.path.go_on)


def assert_no_request_is_left(made):
    host = made.instances[0].host
    world.wait_until(lambda: not host.open_exchange_count())
    fleet = host.reducer.policy._fleet
    assert not host.reducer.lives
    assert not fleet.attempts and not fleet.attempts.hedges
    assert not any(engine.own for engine in fleet._engines.values())


@pytest.mark.parametrize("class_name", CLASSES)
@pytest.mark.parametrize("stream", [True, False])
def test_an_engine_that_is_frozen_for_a_while_ends_no_answer(
    made, class_name, stream
):
    engine, job = start(made, class_name=class_name, stream=stream)
    freeze(engine)
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(engine.ran) == 1
    assert_no_request_is_left(made)


def test_an_engine_that_takes_no_new_connections_ends_no_answer(made):
    engine, job = start(made, class_name="summary")
    freeze(engine)
    engine.path.refuse()
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(engine.ran) == 1


@pytest.mark.parametrize("stream", [True, False])
def test_another_engine_goes_on_while_one_is_frozen(made, stream):
    engine, job = start(made, stream=stream)
    engine.path.pause()
    other = made.engine("e2", step=STEP_SECONDS)
    answer = job.get()
    assert answer.complete
    assert answer.text == expected()
    assert len(other.ran) == 1
    engine.path.go_on()
    assert_no_request_is_left(made)


def test_another_engine_that_fails_ends_no_answer_of_a_frozen_one(made):
    def fail(sock, address):
        sock.recv(65536)
        failed.append(address)

    failed = []
    engine, job = start(made)
    freeze(engine)
    failing_server = gevent_server.StreamServer(("127.0.0.1", 0), fail)
    failing_server.start()
    made.raw_server("e2", f"http://127.0.0.1:{failing_server.server_port}")
    answer = job.get()
    failing_server.stop(0.1)
    assert failed
    assert answer.complete
    assert answer.text == expected()
    assert_no_request_is_left(made)


def test_an_engine_that_is_silent_for_good_ends_by_the_limit(made):
    engine, job = start(made, limits={"backend_silent_seconds": 2.0})
    engine.path.pause()
    answer = job.get(timeout=15.0)
    assert not answer.complete
    engine.path.go_on()
    assert_no_request_is_left(made)
