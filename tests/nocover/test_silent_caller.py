"""Tests a caller whose connection falls silent forever."""

import gevent

from dandeliontrail_lab import client

from tests.common import world


def test_caller_that_takes_nothing_holds_up_its_own_stream_only():
    # A caller stops reading but keeps its connection open. Its stream is given
    # up once nothing was accepted for ``write_seconds``; others are
    # unaffected.
    with world.World() as cluster:
        instance = cluster.instance("i1", write_seconds=0.5)
        engine = cluster.engine("e1", step=0.0005)
        cluster.apply({"lookup": {"priority": 0}})
        asked = _ask(instance, max_tokens=500_000)
        host, port = asked.address.split(":")
        stalled = gevent.socket.create_connection((host, int(port)))
        body = client.body_of(asked)
        head = "".join(
            f"{name}: {value}\r\n"
            for name, value in client.headers_of(asked).items()
        )
        stalled.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\n"
            + f"Content-Length: {len(body)}\r\n{head}\r\n".encode()
            + body
        )
        world.wait_until(lambda: _running(engine))
        assert client.send(_ask(instance, max_tokens=20)).complete
        world.wait_until(lambda: not _running(engine), 60.0)
        stalled.close()


def _ask(instance, **fields):
    address = instance.addresses["callers"]
    return client.Ask(address, world.KEY, "", "hello", **fields)


def _running(engine):
    return [item for item in engine.batch.running if not item.cancelled]
