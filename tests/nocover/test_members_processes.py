"""Membership and usage between real processes."""

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
LONG = 60.0
LEASE_SECONDS = 3.0


def operators(running, index):
    address = running.instances[index].addresses["operators"]
    return api.Api(f"http://{address}")


def heard(running, index):
    return operators(running, index).get("status")["instances_heard"]


def servers(running, index):
    items = operators(running, index).get("backendservers")["items"]
    return {item["name"]: item["serving"] for item in items}


def used(running, index):
    items = operators(running, index).get("usage")["items"]
    return sum(item["requests"] for item in items)


def declare(running):
    server = operators(running, 0)
    server.put("backendpools", "all", {"select": {}})
    server.put("requestclasses", "lookup", {"pools": ["all"]})
    spec = {
        "keys": [engine.key_hash(world.KEY)],
        "classes": ["lookup"],
        "default_class": "lookup",
    }
    server.put("organisations", "lab", spec)


def ask(running, index):
    address = running.instances[index].addresses["callers"]
    asked = client.Ask(address, world.KEY, "", "hello", max_tokens=2)
    return client.send(asked)


def test_paused_instance_is_noticed_and_gives_no_work_to_who_left():
    # A process stands still while a backend server leaves.  When it wakes
    # up, what waits in its sockets must not bring the server back.
    with processes.Deployment(NAMES, DOMAINS, KEEPERS) as running:
        for index in range(9):
            world.wait_until(lambda: heard(running, index) == 8, LONG)
        served = engine.Engine("e1", "fd0", ["small"], 4, batch.Pace())
        served.start()
        addresses = running.addresses("backend_servers")
        announcer = gevent.spawn(served.announce, addresses)
        for index in range(9):
            world.wait_until(lambda: servers(running, index).get("e1"), LONG)
        paused = running.instances[8].process
        os.kill(paused.pid, signal.SIGSTOP)
        try:
            announcer.kill()
            # The last announcement may have gone to the paused instance
            # alone, whose lease then ends later than the others'.
            silent_since = time.monotonic()
            world.wait_until(lambda: heard(running, 0) == 7, LONG)
            world.wait_until(lambda: not servers(running, 0)["e1"], LONG)
            world.wait_until(
                lambda: time.monotonic() - silent_since > LEASE_SECONDS, LONG
            )
        finally:
            os.kill(paused.pid, signal.SIGCONT)
        for _ in range(50):
            assert not servers(running, 8)["e1"]
            gevent.sleep(0.05)
        served.stop()
        for index in range(9):
            world.wait_until(lambda: heard(running, index) == 8, LONG)


def test_usage_outlives_a_kill_and_a_full_restart():
    with processes.Deployment(NAMES[:3], DOMAINS[::3][:3], KEEPERS) as running:
        served = engine.Engine("e1", "fd0", ["small"], 4, batch.Pace())
        served.start()
        addresses = running.addresses("backend_servers")
        announcer = gevent.spawn(served.announce, addresses)
        for index in range(3):
            world.wait_until(lambda: servers(running, index).get("e1"), LONG)
        world.wait_until(lambda: _try(declare, running), LONG)
        world.wait_until(lambda: ask(running, 0).complete, LONG)
        done = 1 + sum(ask(running, 0).complete for _ in range(5))
        gevent.sleep(3.0)
        running.instances[0].process.kill()
        world.wait_until(lambda: used(running, 1) == done, LONG)
        world.wait_until(lambda: used(running, 2) == done, LONG)
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
            world.wait_until(lambda: used(running, index) == done, LONG)


def _try(act, *args):
    try:
        act(*args)
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
            world.wait_until(lambda: heard(running, index) == 2, LONG)
        items = operators(running, 0).get("instances")["items"]
        assert len(items) == 3
