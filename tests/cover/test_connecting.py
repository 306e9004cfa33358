"""Opening connections to other instances and to backend servers."""

import contextlib

from dandeliontrail_node import connection
from dandeliontrail_node.forwarding import connections
import gevent
from gevent import server as gevent_server
import pytest


@contextlib.contextmanager
def listener():
    """Yield the address of a server that accepts connections."""
    server = gevent_server.StreamServer(("127.0.0.1", 0), lambda *args: None)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.stop(0)


@contextlib.contextmanager
def no_lookups():
    """Make every address lookup fail."""

    class Resolver:
        def getaddrinfo(self, *args):
            raise AssertionError(f"{args} was looked up")

    hub = gevent.get_hub()
    before, hub.resolver = hub.resolver, Resolver()
    try:
        yield
    finally:
        hub.resolver = before


def test_numeric_address_is_not_looked_up():
    # With 73 instances taking requests, half of all requests need a new
    # connection.  Looking up a numeric address used a resolver thread, and on
    # a busy core the request waited for two thread switches.
    with listener() as address, no_lookups():
        conn = connections.ConnectionPool(0.2).open(address)
        conn.close()


def test_name_is_still_looked_up():
    with listener() as address:
        port = address.rsplit(":", 1)[1]
        connection.connect(f"localhost:{port}", 1.0).close()


def test_refused_connection_raises_oserror():
    with listener() as address:
        pass
    with pytest.raises(OSError):
        connection.connect(address, 0.2)
