"""Engines that run other software than their instance knows of."""

import gevent
import pytest

from dandeliontrail_lab import client

from tests.common import world
from tests.cover import test_streams_resume


def engine_announced_as(cluster, name, announced, actual):
    """Start an engine that is back with other software, unknown so far."""
    engine = cluster.engine(
        name, step=0.01, announce=False, software_version=actual
    )
    cluster.raw_server(name, engine.url, software_version=announced)
    return engine


@pytest.mark.parametrize("sampled", [False, True])
@pytest.mark.parametrize("announced, actual", [("v1", "v2"), ("", "v2")])
def test_a_stream_that_is_sent_there_first_gets_events_of_one_version(
    announced, actual, sampled
):
    with world.World() as cluster:
        cluster.instance("i1")
        first = engine_announced_as(cluster, "e1", announced, actual)
        cluster.apply(test_streams_resume.LOOKUP)
        ask = test_streams_resume.ask(cluster)
        job = gevent.spawn(client.send, ask)
        # It has begun to write, or has turned the request away.
        world.wait_until(lambda: first.arrivals)
        gevent.sleep(0.1)
        other = cluster.engine("e2", step=0.01, software_version=announced)
        first.sampled = other.sampled = sampled
        first.stop()
        answer = job.get(timeout=8.0)
        assert answer.complete
        assert len(answer.versions) == 1


@pytest.mark.parametrize("sampled", [False, True])
@pytest.mark.parametrize("announced, actual", [("v1", "v2"), ("", "v2")])
def test_a_stream_that_goes_on_there_gets_no_events_of_two_versions(
    announced, actual, sampled
):
    with world.World() as cluster:
        cluster.instance("i1")
        first = cluster.engine("e1", step=0.01, software_version=announced)
        cluster.apply(test_streams_resume.LOOKUP)
        job = test_streams_resume.start(cluster)
        other = engine_announced_as(cluster, "e2", announced, actual)
        first.sampled = other.sampled = sampled
        first.stop()
        world.wait_until(lambda: other.arrivals)
        third = cluster.engine("e3", step=0.01, software_version=announced)
        third.sampled = sampled
        answer = job.get(timeout=8.0)
        assert answer.complete
        assert answer.versions == {announced}
        assert not other.ran


def test_a_request_that_begins_elsewhere_instead_is_complete():
    with world.World() as cluster:
        cluster.instance("i1")
        first = engine_announced_as(cluster, "e1", "v1", "v2")
        cluster.engine("e2", step=0.01, software_version="v1")
        cluster.apply(test_streams_resume.LOOKUP)
        ask = test_streams_resume.ask(cluster)
        jobs = [gevent.spawn(client.send, ask) for _ in range(12)]
        answers = [job.get(timeout=8.0) for job in jobs]
        assert all(answer.complete for answer in answers)
        assert all(answer.versions == {"v1"} for answer in answers)
        assert not first.ran
