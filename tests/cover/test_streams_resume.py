"""Tests streams that break, fall silent or are slow, over real sockets."""

import gevent
import pytest

from dandeliontrail_lab import client
from dandeliontrail_node import engine_client
from dandeliontrail_node import silence_monitor

from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}
SUMMARY = {"summary": {"repeatable": False}}
TOKENS = 60


def expected(count=TOKENS):
    return "".join(f"w{number} " for number in range(count))


def ask(cluster, **fields):
    address = cluster.instances[0].addresses["callers"]
    fields.setdefault("max_tokens", TOKENS)
    return client.Ask(address, world.KEY, "", "hello", **fields)


def start(cluster, **fields):
    """Send a request and return its job once an engine streams the answer."""
    job = gevent.spawn(client.send, ask(cluster, **fields))
    world.wait_until(
        lambda: any(_is_streaming(engine) for engine in cluster.engines)
    )
    return job


def _is_streaming(engine):
    return any(
        5 < len(stream.tokens) and not stream.finished
        for stream in engine.batch.streams.values()
    )


def streaming_engine(cluster):
    (found,) = [engine for engine in cluster.engines if _is_streaming(engine)]
    return found


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(silence_monitor, "FIRST_SECONDS", 0.4)
    monkeypatch.setattr(silence_monitor, "LEAST_GAP_SECONDS", 0.3)
    monkeypatch.setattr(engine_client, "PROBE_SECONDS", 0.3)


def test_stream_goes_on_over_another_connection_to_the_same_engine():
    # A switch between instance and engine resets the connection. The caller
    # gets every word once and nothing runs twice. This holds for a summary,
    # too, since resuming a stream does not run the request again.
    with world.World() as cluster:
        cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01, fragile=True)
        cluster.apply(SUMMARY)
        job = start(cluster)
        engine.path.cut()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(engine.ran) == 1


@pytest.mark.parametrize("streamed", [True, False])
def test_stream_on_a_path_that_lost_it_goes_on_over_a_new_one(quick, streamed):
    # A device on the path loses track of the connection: it stays open and
    # silent forever, while new connections work.
    with world.World() as cluster:
        cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01, fragile=True)
        cluster.apply(SUMMARY)
        job = start(cluster, stream=streamed)
        engine.path.lose()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(engine.ran) == 1
        assert client.send(ask(cluster, max_tokens=3)).complete


def test_slow_but_living_stream_is_not_cut(quick):
    # An engine under load pauses between two words for longer than the silence
    # after which a connection is checked. Every word arrives once.
    with world.World() as cluster:
        cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(SUMMARY)
        job = start(cluster)
        engine.batch.pace.step = 0.7
        gevent.sleep(1.0)
        engine.batch.pace.step = 0.01
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()
        assert len(engine.ran) == 1


@pytest.mark.parametrize("sampled", [False, True])
def test_stream_goes_on_from_another_engine_when_its_own_died(sampled):
    # The engine crashes midway. Another one continues: by repeating the answer
    # if it writes the same words, else from the text in the prompt.
    with world.World() as cluster:
        cluster.instance("i1")
        for name in ("e1", "e2"):
            cluster.engine(name, step=0.01).sampled = sampled
        cluster.apply(LOOKUP)
        job = start(cluster)
        streaming_engine(cluster).stop()
        answer = job.get()
        assert answer.complete
        words = [word.split("w")[-1] for word in answer.text.split()]
        assert words == [str(number) for number in range(TOKENS)]
        assert sum(len(item.ran) for item in cluster.engines) == 2 + sampled


@pytest.mark.parametrize("sampled", [False, True])
def test_stream_of_an_engine_that_died_goes_on_at_its_software_version(
    sampled,
):
    with world.World() as cluster:
        cluster.instance("i1")
        for name, version in (("e1", "v1"), ("e2", "v2"), ("e3", "v1")):
            cluster.engine(
                name, step=0.01, software_version=version
            ).sampled = sampled
        cluster.apply(LOOKUP)
        jobs = [start(cluster) for _ in range(6)]
        cluster.engines[0].stop()
        answers = [job.get() for job in jobs]
        assert all(answer.complete for answer in answers)
        assert all(len(answer.versions) == 1 for answer in answers)


def test_stream_is_cut_off_where_no_engine_runs_its_software_version():
    with world.World() as cluster:
        cluster.instance("i1")
        for name, version in (("e1", "v1"), ("e2", "v2")):
            cluster.engine(name, step=0.01, software_version=version)
        cluster.apply(LOOKUP)
        job = start(cluster)
        engine = streaming_engine(cluster)
        engine.stop()
        answer = job.get(timeout=5.0)
        assert not answer.complete
        assert answer.versions == {engine.software_version}


def test_whole_answer_is_had_from_another_engine_when_its_own_died():
    with world.World() as cluster:
        cluster.instance("i1")
        for name in ("e1", "e2"):
            cluster.engine(name, step=0.01)
        cluster.apply(LOOKUP)
        job = start(cluster, stream=False)
        streaming_engine(cluster).stop()
        answer = job.get()
        assert answer.complete
        assert answer.text == expected()


def test_engine_that_accepts_and_says_nothing_is_given_up(quick):
    # The engine accepts connections and hangs, including its health check. The
    # caller gets its answer from another engine.
    with world.World() as cluster:
        cluster.instance("i1", connect_seconds=0.3)
        cluster.hung_engine("e1")
        cluster.apply(LOOKUP)
        job = gevent.spawn(client.send, ask(cluster))
        gevent.sleep(0.3)
        cluster.engine("e2", step=0.002)
        answer = job.get()
        assert answer.complete
        assert answer.backend_server == "e2"


def test_request_sent_into_a_lost_connection_is_served_elsewhere(quick):
    # A device on the path loses track of an idle kept-alive connection. The
    # request is sent on it and never arrives, while a health check over a new
    # connection succeeds.
    with world.World() as cluster:
        cluster.instance("i1")
        engine = cluster.engine("e1", fragile=True)
        cluster.apply(LOOKUP)
        assert client.send(ask(cluster)).complete
        engines = cluster.instances[0]._engines
        world.wait_until(lambda: engines.is_resumable(engine.path.url, True))
        engine.path.lose()
        cluster.engine("e2")
        answer = client.send(ask(cluster))
        assert answer.complete
        assert answer.text == expected()
        assert sum(len(item.ran) for item in cluster.engines) == 2


def test_slow_engine_that_cannot_resume_is_not_cut(quick):
    # An engine that cannot resume streams answers 404 even for those it is
    # working on. This must not be taken to mean that the request never
    # arrived.
    with world.World() as cluster:
        cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01)
        engine.resumes = False
        cluster.apply(SUMMARY)
        engine.batch.pace.step = 0.7
        job = gevent.spawn(client.send, ask(cluster, max_tokens=4))
        answer = job.get()
        assert answer.complete
        assert answer.text == expected(4)
        assert len(engine.ran) == 1
