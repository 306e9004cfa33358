"""How connections to other instances and backend servers come about."""

import contextlib

from dandeliontrail_node import connection
from dandeliontrail_node.forwarding import connections
import gevent
from gevent import server as gevent_server
import pytest


@contextlib.contextmanager
def listener():
    """Yield the address of a server that takes connections."""
    made = gevent_server.StreamServer(("127.0.0.1", 0), lambda *args: None)
    made.start()
    try:
        yield f"127.0.0.1:{made.server_port}"
    finally:
        made.stop(0)


@contextlib.contextmanager
def no_lookups():
    """Fail each lookup of an address."""

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
    # Half of all requests at 73 entries need a new connection.  Each had its
    # address looked up on a thread although it is a number: where threads
    # take turns on a busy core, the request waits for two turns.
    with listener() as address, no_lookups():
        conn = connections.Connections(0.2).open(address)
        conn.close()


def test_name_is_still_looked_up():
    with listener() as address:
        port = address.rsplit(":", 1)[1]
        connection.connect(f"localhost:{port}", 1.0).close()


def test_refused_connection_is_an_error_of_the_system():
    with listener() as address:
        pass
    with pytest.raises(OSError):
        connection.connect(address, 0.2)
