"""Streams that break, fall silent or are slow, over real sockets."""

import gevent
import pytest

from dandeliontrail_lab import client
from dandeliontrail_node import engine_client
from dandeliontrail_node import silence

from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}
SUMMARY = {"summary": {"repeatable": False}}
TOKENS = 60


def expected(count=TOKENS):
    return "".join(f"w{number} " for number in range(count))


def ask(made, **fields):
    address = made.instances[0].addresses["callers"]
    fields.setdefault("max_tokens", TOKENS)
    return client.Ask(address, world.KEY, "", "hello", **fields)


def start(made, **fields):
    """Send a request and return its job once it streams somewhere."""
    job = gevent.spawn(client.send, ask(made, **fields))
    world.wait_until(lambda: any(_streaming(item) for item in made.engines))
    return job


def _streaming(served):
    return any(
        5 < len(item.tokens) and not item.finished
        for item in served.batch.streams.values()
    )


def streaming_engine(made):
    (found,) = [item for item in made.engines if _streaming(item)]
    return found


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(silence, "FIRST_SECONDS", 0.4)
    monkeypatch.setattr(silence, "LEAST_GAP_SECONDS", 0.3)
    monkeypatch.setattr(engine_client, "PROBE_SECONDS", 0.3)


def test_stream_goes_on_over_another_connection_to_the_same_engine():
    # A switch between instance and engine resets the connection.  Nobody
    # ran twice, and the caller has every word once: also of a summary,
    # since reading on is not running again.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", step=0.01, fragile=True)
        made.apply(SUMMARY)
        job = start(made)
        served.path.cut()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(served.ran) == 1


@pytest.mark.parametrize("streamed", [True, False])
def test_stream_on_a_path_that_lost_it_goes_on_over_a_new_one(quick, streamed):
    # Something in between has lost track of the connection: it stays open
    # and silent for good, while new connections work.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", step=0.01, fragile=True)
        made.apply(SUMMARY)
        job = start(made, stream=streamed)
        served.path.lose()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(served.ran) == 1
        assert client.send(ask(made, max_tokens=3)).complete


def test_slow_but_living_stream_is_not_cut(quick):
    # An engine under load takes longer between two words than its path
    # would need to be taken for dead; every word still arrives, once.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", step=0.01)
        made.apply(SUMMARY)
        job = start(made)
        served.batch.pace.step = 0.7
        gevent.sleep(1.0)
        served.batch.pace.step = 0.01
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(served.ran) == 1


@pytest.mark.parametrize("sampled", [False, True])
def test_stream_goes_on_from_another_engine_when_its_own_died(sampled):
    # The engine crashes in the middle.  Another one goes on: with the same
    # words where it writes the same, else from the text in the prompt.
    with world.World() as made:
        made.instance("i1")
        for name in ("e1", "e2"):
            made.engine(name, step=0.01).sampled = sampled
        made.apply(LOOKUP)
        job = start(made)
        streaming_engine(made).stop()
        answer = job.get()
        assert answer.complete
        words = [word.split("w")[-1] for word in answer.text.split()]
        assert words == [str(number) for number in range(TOKENS)]
        assert sum(len(item.ran) for item in made.engines) == 2 + sampled


def test_whole_answer_is_had_from_another_engine_when_its_own_died():
    with world.World() as made:
        made.instance("i1")
        for name in ("e1", "e2"):
            made.engine(name, step=0.01)
        made.apply(LOOKUP)
        job = start(made, stream=False)
        streaming_engine(made).stop()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()


def test_engine_that_accepts_and_says_nothing_is_given_up(quick):
    # The engine takes the connection and hangs, health check and all.  The
    # caller gets its answer from another one.
    with world.World() as made:
        made.instance("i1", connect_seconds=0.3)
        made.hung_engine("e1")
        made.apply(LOOKUP)
        job = gevent.spawn(client.send, ask(made))
        gevent.sleep(0.3)
        made.engine("e2", step=0.002)
        answer = job.get()
        assert answer.complete
        assert answer.backend_server == "e2"


def test_request_sent_into_a_lost_connection_is_served_elsewhere(quick):
    # A kept connection was lost track of while it was idle.  The request
    # went into it and never arrived; a health check, over a new connection,
    # says that all is well.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", fragile=True)
        made.apply(LOOKUP)
        assert client.send(ask(made)).complete
        engines = made.instances[0]._engines
        world.wait_until(lambda: engines.resumable(served.path.url, True))
        served.path.lose()
        made.engine("e2")
        answer = client.send(ask(made))
        assert answer.complete
        assert answer.text == expected()
        assert sum(len(item.ran) for item in made.engines) == 2


def test_slow_engine_that_cannot_resume_is_not_cut(quick):
    # An engine without resuming answers 404 also for streams that it is
    # working on.  That must not be taken for a request that never arrived.
    with world.World() as made:
        made.instance("i1")
        served = made.engine("e1", step=0.01)
        served.resumes = False
        made.apply(SUMMARY)
        served.batch.pace.step = 0.7
        job = gevent.spawn(client.send, ask(made, max_tokens=4))
        answer = job.get()
        assert answer.complete
        assert answer.text == expected(4)
        assert len(served.ran) == 1
