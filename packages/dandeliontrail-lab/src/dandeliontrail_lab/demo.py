"""``make demo``: instances, engines and requests on one host."""

import contextlib
import time

from dandeliontrail_ctl import api
from dandeliontrail_ctl.commands import overview
from dandeliontrail_ctl import tables
import gevent
import rich.console

from . import batch
from . import client
from . import engine
from . import processes

INSTANCE_NAMES = ("i1", "i2", "i3")
DOMAINS = ("fd1", "fd2", "fd3")
API_KEYS = {"transformer-lab": "demo-key-1", "reports": "demo-key-2"}
REQUEST_COUNT = 8

POOLS = {"models": {"select": {"kind": "model_engine"}}}
CLASSES = {
    "lookup": {
        "priority": 0,
        "targets": {"first_token_ms": 300},
        "minimum_share": 0.2,
        "pools": ["models"],
    },
    "review": {
        "priority": 3,
        "repeatable": False,
        "sheddable": True,
        "minimum_share": 0.1,
        "pools": ["models"],
    },
}


def organisations():
    """Return the specs of the two sample organisations, by name."""
    return {
        name: {
            "keys": [engine.key_hash(key)],
            "classes": list(CLASSES),
            "default_class": "lookup",
        }
        for name, key in API_KEYS.items()
    }


def run():
    """Start everything, send requests, show the status and stop.

    Returns the exit code.
    """
    console = rich.console.Console()
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(
            processes.Deployment(INSTANCE_NAMES, DOMAINS)
        )
        _start_engines(stack, deployment)
        _declare_objects(deployment)
        console.print("3 instances in 3 failure domains are up.")
        _send_requests(console, deployment)
        _show_status(console, deployment)
    console.print(f"Exit codes: {deployment.exit_codes}")
    return 0 if not any(deployment.exit_codes) else 1


def _start_engines(stack, deployment):
    addresses = deployment.addresses("backend_servers")
    for index, domain in enumerate(DOMAINS):
        started = engine.Engine(
            f"e{index + 1}", domain, ["small"], 8, batch.Pace()
        )
        started.start()
        stack.callback(started.stop)
        announcer = gevent.spawn(started.announce, addresses)
        stack.callback(announcer.kill)


def _declare_objects(deployment):
    servers = [
        api.Api(f"http://{address}")
        for address in deployment.addresses("operators")
    ]
    for kind, objects in (
        ("backendpools", POOLS),
        ("requestclasses", CLASSES),
        ("organisations", organisations()),
    ):
        for name, spec in objects.items():
            servers[0].put(kind, name, spec)
    wait_until(lambda: all(_is_in_sync(item) for item in servers))


def _is_in_sync(server):
    status = server.get("status")
    listed = server.get("organisations")["items"]
    return len(listed) == len(API_KEYS) and (
        status["serving_backend_servers"] == len(DOMAINS)
    )


def wait_until(condition, seconds=20.0):
    """Wait until ``condition()`` is true.

    Raises :class:`RuntimeError` after ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError("the condition was not met in time")
        gevent.sleep(0.1)


def _send_requests(console, deployment):
    callers = deployment.addresses("callers")
    jobs = []
    for number in range(REQUEST_COUNT):
        organisation = list(API_KEYS)[number % 2]
        class_name = list(CLASSES)[number // 2 % 2]
        ask = client.Ask(
            callers[number % len(callers)],
            API_KEYS[organisation],
            class_name,
            f"sample {number}",
            stream=number % 3 != 0,
        )
        jobs.append((organisation, ask, gevent.spawn(client.send, ask)))
    for organisation, ask, job in jobs:
        answer = job.get()
        console.print(
            f"{organisation}/{ask.class_name}: {answer.status}"
            f" from {answer.backend_server}: {answer.text[:40]}…"
        )


def _show_status(console, deployment):
    servers = [
        api.Api(f"http://{address}")
        for address in deployment.addresses("operators")
    ]
    found = overview.collect_overview(servers)
    console.print(tables.latency(found.latency))
    console.print(tables.status(found.instances))
