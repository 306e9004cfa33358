"""Membership and usage across real processes."""

import os
import signal
import time

import gevent

from dandeliontrail_ctl import api
from dandeliontrail_lab import batch
from dandeliontrail_lab import client
from dandeliontrail_lab import engine
from dandeliontrail_lab import processes

from tests.common import world

NAMES = [f"i{index}" for index in range(9)]
DOMAINS = [f"fd{index // 3}" for index in range(9)]
KEEPERS = {"bootstrap_keepers": ["i0", "i1", "i2"]}
TIMEOUT_SECONDS = 60.0
LEASE_SECONDS = 3.0


def operator_api(running, index):
    address = running.instances[index].addresses["operators"]
    return api.Api(f"http://{address}")


def instances_heard(running, index):
    return operator_api(running, index).get("status")["instances_heard"]


def serving_by_name(running, index):
    items = operator_api(running, index).get("backendservers")["items"]
    return {item["name"]: item["serving"] for item in items}


def requests_used(running, index):
    items = operator_api(running, index).get("usage")["items"]
    return sum(item["requests"] for item in items)


def apply_configuration(running):
    server = operator_api(running, 0)
    server.put("backendpools", "all", {"select": {}})
    server.put("requestclasses", "lookup", {"pools": ["all"]})
    spec = {
        "keys": [engine.key_hash(world.KEY)],
        "classes": ["lookup"],
        "default_class": "lookup",
    }
    server.put("organisations", "lab", spec)


def send_request(running, index):
    address = running.instances[index].addresses["callers"]
    request = client.Ask(address, world.KEY, "", "hello", max_tokens=2)
    return client.send(request)


def test_paused_instance_is_noticed_and_sends_no_work_to_a_gone_server():
    # A process is stopped while a backend server goes away.  When it resumes,
    # the messages that wait in its sockets must not bring the server back.
    with processes.Deployment(NAMES, DOMAINS, KEEPERS) as running:
        for index in range(9):
            world.wait_until(
                lambda: instances_heard(running, index) == 8, TIMEOUT_SECONDS
            )
        served = engine.Engine("e1", "fd0", ["small"], 4, batch.Pace())
        served.start()
        addresses = running.addresses("backend_servers")
        announcer = gevent.spawn(served.announce, addresses)
        for index in range(9):
            world.wait_until(
                lambda: serving_by_name(running, index).get("e1"),
                TIMEOUT_SECONDS,
            )
        paused = running.instances[8].process
        os.kill(paused.pid, signal.SIGSTOP)
        try:
            announcer.kill()
            # The paused instance may have been the only one to receive the
            # last announcement, so its lease of the server may end later than
            # that of the others.
            silent_since = time.monotonic()
            world.wait_until(
                lambda: instances_heard(running, 0) == 7, TIMEOUT_SECONDS
            )
            world.wait_until(
                lambda: not serving_by_name(running, 0)["e1"], TIMEOUT_SECONDS
            )
            world.wait_until(
                lambda: time.monotonic() - silent_since > LEASE_SECONDS,
                TIMEOUT_SECONDS,
            )
        finally:
            os.kill(paused.pid, signal.SIGCONT)
        for _ in range(50):
            assert not serving_by_name(running, 8)["e1"]
            gevent.sleep(0.05)
        served.stop()
        for index in range(9):
            world.wait_until(
                lambda: instances_heard(running, index) == 8, TIMEOUT_SECONDS
            )


def test_usage_survives_a_kill_and_a_full_restart():
    with processes.Deployment(NAMES[:3], DOMAINS[::3][:3], KEEPERS) as running:
        served = engine.Engine("e1", "fd0", ["small"], 4, batch.Pace())
        served.start()
        addresses = running.addresses("backend_servers")
        announcer = gevent.spawn(served.announce, addresses)
        for index in range(3):
            world.wait_until(
                lambda: serving_by_name(running, index).get("e1"),
                TIMEOUT_SECONDS,
            )
        world.wait_until(
            lambda: _succeeds(apply_configuration, running), TIMEOUT_SECONDS
        )
        world.wait_until(
            lambda: send_request(running, 0).complete, TIMEOUT_SECONDS
        )
        done = 1 + sum(send_request(running, 0).complete for _ in range(5))
        gevent.sleep(3.0)
        running.instances[0].process.kill()
        world.wait_until(
            lambda: requests_used(running, 1) == done, TIMEOUT_SECONDS
        )
        world.wait_until(
            lambda: requests_used(running, 2) == done, TIMEOUT_SECONDS
        )
        gevent.sleep(1.5)
        for index in (1, 2):
            running.instances[index].process.kill()
        announcer.kill()
        served.stop()
        for index in range(3):
            running.instances[index].process.wait()
        for index in range(3):
            ports = running.instances[index].addresses
            running.start(index, ports)
        for index in range(3):
            world.wait_until(
                lambda: requests_used(running, index) == done, TIMEOUT_SECONDS
            )


def _succeeds(action, *args):
    try:
        action(*args)
    except (api.ApiError, OSError):
        return False
    return True


def test_instance_restarted_often_is_one_member():
    with processes.Deployment(NAMES[:3], DOMAINS[::3][:3], KEEPERS) as running:
        ports = running.instances[2].addresses
        for _ in range(12):
            running.instances[2].process.kill()
            running.instances[2].process.wait()
            running.start(2, ports)
        for index in range(3):
            world.wait_until(
                lambda: instances_heard(running, index) == 2, TIMEOUT_SECONDS
            )
        items = operator_api(running, 0).get("instances")["items"]
        assert len(items) == 3
