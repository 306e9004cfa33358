"""Statuses of plain services on the product's own interface.

Guards against an order whose answer has a status that is none, or has one
without a name, and costs its caller a 500 or the time of the request.
"""

import geventhttpclient
import pytest

from tests.common import sockets
from tests.common import world


def answer_with(status):
    """Return the status, outcome and connections of an order's answer."""
    seen = []

    def handle(sock, address):
        seen.append(sockets.read_request(sock))
        sock.sendall(
            f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        sock.close()

    with world.World() as cluster, sockets.raw_server(handle) as url:
        instance = cluster.instance("i1")
        cluster.raw_server("dock", url, kind="service", service="dock")
        cluster.apply({"order": {"repeatable": False}})
        caller = geventhttpclient.HTTPClient(
            *instance.addresses["callers"].split(":")
        )
        headers = {
            "Authorization": f"Bearer {world.KEY}",
            "X-Request-Timeout": "3",
        }
        response = caller.put("/services/dock/orders/7", b"{}", headers)
        body = response.read()
        world.wait_until(lambda: not instance.host.open_exchange_count())
    assert len(seen) == 1
    return response.status_code, response.get("X-Outcome"), bytes(body)


@pytest.mark.parametrize("status", [299, 430])
def test_a_status_without_a_name_is_passed_on(status):
    assert answer_with(status) == (status, "complete", b"ok")


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_a_status_that_is_none_is_no_answer(status):
    status_code, outcome, _ = answer_with(status)
    assert (status_code, outcome) == (502, "unknown")
