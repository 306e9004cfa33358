"""A worker runs a request that was smuggled inside another one's body.

A requester sends a request whose body is the text of another request.  The
line with the length of the body is malformed: a space stands before the
colon.  The entry drops that line and all headers after it instead of turning
the request away, takes the body for a second request and passes both on.
"""

import contextlib
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    CannotRun,
    HELD,
    HOST,
    ID,
    KEY,
    Site,
    Worker,
    answer_bytes,
    body_of,
    main,
    manifest,
    new_id,
    read_answer,
    request_bytes,
    route,
)

# TROUBLE=0 does the same without the disruption.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 5


def serve(worker, arrived):
    """Run an order."""
    worker.run(arrived)
    worker.bodies[arrived.id] = arrived.body
    time.sleep(0.05)
    arrived.sock.sendall(answer_bytes(200, body_of(arrived.id), arrived.id))


def send(site, entry):
    """Send an order; return its id and body, and the id inside the body."""
    outer, inner = new_id(), new_id()
    body = request_bytes("POST", "/order/inner", inner)
    colon = " :" if TROUBLED else ":"
    head = (
        f"POST /order/outer HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {outer}\r\n"
        f"X-Dandeliontrail-Deadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\n"
        f"Content-Length{colon} {len(body)}\r\n\r\n"
    )
    site.record.note("send", outer, "whose body holds the text of", inner)
    sock = site.connect(entry, 5.0)
    with contextlib.closing(sock):
        sock.sendall(head.encode() + body)
        file = sock.makefile("rb")
        answer = read_answer(file)
        site.record.note("answer to", outer, answer.status, answer.get(ID))
        sock.settimeout(0.5)
        second = read_answer(file)
        site.record.note("second answer on its channel", second.status,
                         second.get(ID))
    return outer, body, inner


def case(folder):
    """Return whether a worker ran what no requester had sent."""
    with Site(folder, keepers=3, entries=2) as site:
        site.apply(manifest(1, [route("order", "non_idempotent")]))
        worker = Worker(site, serve)
        worker.bodies = {}
        site.wait_ready()
        site.wait_served("/order/x")
        broken = False
        outers = []
        for number in range(REQUESTS):
            outer, body, inner = send(site, site.entries[number % 2])
            time.sleep(0.2)
            outers.append(outer)
            if inner in worker.ran:
                broken = True
                site.record.note("UNASKED: ran", inner, "which no one sent")
                print(f"{inner} was run, which was the body of {outer}")
            if worker.bodies.get(outer, body) != body:
                broken = True
                site.record.note("UNASKED: body changed of", outer)
                print(f"{outer} was run with another body than was sent")
        if not TROUBLED and not set(outers) <= set(worker.ran):
            raise CannotRun("a proper request was not served")
        return BROKEN if broken else HELD


main(case, pathlib.Path(__file__).parent)
