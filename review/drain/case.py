"""Requests reach a worker long after its departure was acknowledged.

A worker that is taken away sends its DELETE to a keeper, which acknowledges
it.  The keeper is killed right after that, and starts again with its disk.  It
had kept the departure in memory alone and told nobody yet, so all entries go
on sending requests to the worker.
"""

import contextlib
import os
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    CannotRun,
    HELD,
    Site,
    Worker,
    ZONES,
    answer_bytes,
    body_of,
    main,
    manifest,
    new_id,
    route,
)

# TROUBLE=0 does the same without the disruption.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"
# One of nine workers leaves at a time, a share of 0.11.
WORKERS = 9
ENTRIES = 3
DOWN_SECONDS = 0.3
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# Requests are judged from this long after the keeper's start: everything is
# in touch again after ``contact_ms``.
JUDGED_AFTER_SECONDS = CONTACT_SECONDS + 0.5
REQUESTS = 120
ROUNDS = 10
HEARTBEATS_KNOWN_SECONDS = 1.5


def serve(worker, arrived):
    """Run an order."""
    worker.run(arrived)
    time.sleep(0.005)
    arrived.sock.sendall(answer_bytes(200, body_of(arrived.id), arrived.id))


def leave(site, worker, keeper):
    """Send the DELETE of a worker; return its status and when it was acked."""
    worker.leave()
    sock = socket.create_connection(
        (keeper.ip, site.ports["control"]), timeout=1.0
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.closing(sock):
        sock.sendall(
            f"DELETE /api/instances/{worker.id} HTTP/1.1\r\n"
            f"Host: {keeper.ip}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        status = sock.recv(4096).split()[1]
        if TROUBLED:
            keeper.process.send_signal(signal.SIGKILL)
        acked = time.monotonic()
        site.record.note("DELETE of", worker.id, "acked by", keeper.node,
                         status.decode())
    return status, acked


class LeavingWorker(Worker):
    """A worker that goes on serving for some seconds after its DELETE."""

    def leave(self):
        """Send no heartbeat from now on."""
        self._closed = True
        time.sleep(0.1)


def case(folder):
    """Return whether a worker got work too late after its departure."""
    with Site(folder, keepers=3, entries=ENTRIES) as site:
        site.apply(manifest(1, [route("order", "non_idempotent")]))
        staying = [
            Worker(site, serve, zone=ZONES[i % 3]) for i in range(WORKERS - 1)
        ]
        site.wait_ready()
        site.wait_served("/order/x")
        time.sleep(CONTACT_SECONDS)
        broken, acked_rounds = False, 0
        for number in range(ROUNDS):
            worker = LeavingWorker(site, serve, zone=ZONES[number % 3])
            time.sleep(HEARTBEATS_KNOWN_SECONDS)
            keeper = site.keepers[number % len(site.keepers)]
            status, acked = leave(site, worker, keeper)
            acked_rounds += status == b"200"
            if TROUBLED:
                site.record.note("killed", keeper.node)
                keeper.process.wait()
                time.sleep(DOWN_SECONDS)
                keeper.start()
            time.sleep(JUDGED_AFTER_SECONDS)
            since = time.monotonic() - acked
            before = len(worker.ran)
            for index in range(REQUESTS):
                entry = site.entries[index % ENTRIES]
                site.call(entry, "POST", "/order/x", new_id())
            late = len(worker.ran) - before
            site.record.note("requests at", worker.id, "later than",
                             f"{since:.1f} s after the ack:", late)
            worker.go_dark()
            if status == b"200" and since > DRAIN_SECONDS and late:
                print(f"{late} requests reached a worker later than"
                      f" {since:.1f} s after the ack that it is gone")
                broken = True
                break
        if not acked_rounds or not sum(len(item.ran) for item in staying):
            raise CannotRun("no departure was acknowledged, or nothing served")
        return BROKEN if broken else HELD


main(case, pathlib.Path(__file__).parent)
