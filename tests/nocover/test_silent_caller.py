"""A caller whose connection went silent for good."""

import gevent

from dandeliontrail_lab import client

from tests.common import world


def test_caller_that_takes_nothing_holds_up_its_own_stream_only():
    # A caller's connection went silent for good.  Its stream is given up
    # once nothing was taken for a while, others are not touched.
    with world.World() as made:
        one = made.instance("i1", write_seconds=0.5)
        served = made.engine("e1", step=0.0005)
        made.apply({"lookup": {"priority": 0}})
        asked = _ask(one, max_tokens=500_000)
        host, port = asked.address.split(":")
        stuck = gevent.socket.create_connection((host, int(port)))
        body = client.body_of(asked)
        head = "".join(
            f"{name}: {value}\r\n"
            for name, value in client.headers_of(asked).items()
        )
        stuck.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\n"
            + f"Content-Length: {len(body)}\r\n{head}\r\n".encode()
            + body
        )
        world.wait_until(lambda: _running(served))
        assert client.send(_ask(one, max_tokens=20)).complete
        world.wait_until(lambda: not _running(served), 60.0)
        stuck.close()


def _ask(instance, **fields):
    address = instance.addresses["callers"]
    return client.Ask(address, world.KEY, "", "hello", **fields)


def _running(served):
    return [item for item in served.batch.running if not item.cancelled]
