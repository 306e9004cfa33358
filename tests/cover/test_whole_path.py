"""Requests from a caller to an engine and back over loopback sockets."""

import gevent
import geventhttpclient
import msgspec

from dandeliontrail_ctl import api
from dandeliontrail_lab import client

from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}


def ask(instance, **fields):
    address = instance.addresses["callers"]
    return client.Ask(address, world.KEY, "", "hello", **fields)


def test_can_serve_streamed_and_whole_answers():
    with world.World() as test_world:
        one = test_world.instance("i1")
        test_world.engine("e1")
        test_world.apply(LOOKUP)
        for streamed in (True, False):
            answer = client.send(ask(one, stream=streamed, max_tokens=5))
            assert answer.complete
            assert answer.tokens == 5
            assert answer.backend_server == "e1"
        server = api.Api(f"http://{one.addresses['operators']}")
        (used,) = server.get("usage")["items"]
        assert used["requests"] == 2
        assert used["output_tokens"] == 10


def test_cut_stream_never_looks_whole():
    # The engine fails in the middle of an answer.  A non-repeatable request
    # cannot be retried, so the caller must get an error and no [DONE].
    with world.World() as test_world:
        one = test_world.instance("i1")
        served = test_world.engine("e1", step=0.02)
        test_world.apply({"summary": {"repeatable": False}})
        job = gevent.spawn(client.send, ask(one, max_tokens=500))
        world.wait_until(lambda: served.batch.begun)
        gevent.sleep(0.1)
        served.batch.cancel(served.ran[0])
        answer = job.get()
        assert not answer.complete
        assert answer.outcome == "unknown"
        assert answer.error == "backend_server_failed"


def test_unknown_key_is_told_so_without_a_run():
    with world.World() as test_world:
        one = test_world.instance("i1")
        served = test_world.engine("e1")
        test_world.apply(LOOKUP)
        asked = ask(one)
        asked.key = "wrong"
        answer = client.send(asked)
        assert answer.status == 401
        assert answer.outcome == "not-run"
        assert served.ran == []


def test_instances_learn_of_each_others_backend_servers():
    with world.World() as test_world:
        test_world.instance("i1", "fd1")
        test_world.instance("i2", "fd2")
        test_world.engine("e1")
        assert test_world.knows("e1")


def test_refusal_before_intake_carries_an_id_and_not_run():
    # Requests with unreadable bodies were answered without a request id, so
    # that callers could not report them, and with a server error.
    with world.World() as test_world:
        one = test_world.instance("i1")
        found = geventhttpclient.HTTPClient(
            *one.addresses["callers"].rsplit(":", 1)
        )
        for path, body in (("/v1/completions", b"{"), ("/elsewhere", b"")):
            reply = found.post(path, body)
            error = msgspec.json.decode(reply.read())["error"]
            assert reply["X-Request-Id"] == error["request_id"] != ""
            assert reply["X-Outcome"] == "not-run"
            assert error["type"] in ("invalid_request", "not_found")
        found.close()
