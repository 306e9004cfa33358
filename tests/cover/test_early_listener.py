"""Connections are accepted early if no other instance is up."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import time

from dandeliontrail_node import early_listener
from dandeliontrail_platform import early_settings
import pytest

from tests.common import platform_world

ROOT = pathlib.Path(__file__).parents[2]
START_SECONDS = 20.0
# Addresses of this process alone: the metrics port of programs is fixed.
IP = f"{platform_world.NETWORK}.201"
SEED = f"{platform_world.NETWORK}.202"


@pytest.fixture
def address():
    """Yield an address for callers; close its early socket afterwards."""
    (port,) = platform_world.free_ports(1)
    yield f"{IP}:{port}"
    descriptor = early_listener.take(f"{IP}:{port}")
    if descriptor is not None:
        os.close(descriptor)


@contextlib.contextmanager
def seed():
    """Yield the address of an instance that is up."""
    with socket.socket() as sock:
        sock.bind((SEED, 0))
        sock.listen(1)
        yield f"{SEED}:{sock.getsockname()[1]}"


def address_of_stopped_instance():
    """Return the address of an instance that is down."""
    with seed() as found:
        return found


def connect(address):
    """Return a connection, or ``None`` if the address refuses it."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    if sock.connect_ex((host, int(port))) == 0:
        return sock
    sock.close()
    return None


def test_callers_are_let_in_where_everybody_is_down(address):
    early_listener.hold(
        address, [address_of_stopped_instance(), address_of_stopped_instance()]
    )
    with connect(address):
        pass


def test_callers_go_elsewhere_where_another_is_up(address):
    # One of many entries is killed and restarts: a caller that it refuses is
    # served by another at once, so it must not wait here.
    with seed() as up:
        early_listener.hold(address, [address_of_stopped_instance(), up])
    assert connect(address) is None


def test_callers_go_elsewhere_where_no_other_is_known(address):
    early_listener.hold(address, [])
    assert connect(address) is None


def test_instance_that_answers_nothing_counts_as_down(address):
    # A host without power neither accepts nor refuses connections.  This one
    # has a full backlog, so it does not answer either.
    with contextlib.ExitStack() as stack:
        unresponsive = stack.enter_context(socket.socket())
        unresponsive.bind((SEED, 0))
        unresponsive.listen(0)
        port = unresponsive.getsockname()[1]
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((SEED, port))
        began = time.monotonic()
        early_listener.hold(address, [f"{SEED}:{port}"])
        assert time.monotonic() - began < 1.0
        with connect(address):
            pass


def test_address_in_use_is_left_to_the_instance(address):
    host, port = address.rsplit(":", 1)
    with socket.socket() as sock:
        sock.bind((host, int(port)))
        sock.listen(1)
        early_listener.hold(address, [address_of_stopped_instance()])
        assert early_listener.take(address) is None


def test_callers_are_served_who_came_before_the_program_was_loaded(tmp_path):
    # All hosts lose power and restart.  During the second in which an entry
    # imports its modules, each caller is refused, tries once more at another
    # entry, is refused there too and gives up: 366 requests of one day at 79
    # instances.
    ports = platform_world.new_ports()
    text = platform_world.SETTINGS.format(
        node="entry-1",
        ip=IP,
        zone="a",
        seed=f"{SEED}:{ports['control']}",
        data_dir="",
        revoke_ms=5000,
        tolerated=0,
        **ports,
    )
    path = tmp_path / "settings"
    path.write_text(text)
    program = subprocess.Popen(
        [sys.executable, str(ROOT / "platform/launch.py"), "entry"],
        env={**os.environ, "DANDELIONTRAIL_CONFIG": str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        sock = connect_with_retries(f"{IP}:{ports['callers']}")
        sock.settimeout(START_SECONDS)
        headers = platform_world.caller_headers("r1")
        headers = [*headers, ("Connection", "close")]
        platform_world.send(sock, "GET", "/read/x", headers)
        reply = platform_world.Reply(platform_world.read_to_end(sock))
        sock.close()
    finally:
        program.kill()
        program.wait()
    # Without a keeper no configuration is in force: the request was not run.
    assert reply.status == 503
    assert reply.whole
    assert b"not-run" in reply.body


def connect_with_retries(address):
    """Connect repeatedly and return the first connection."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        sock = connect(address)
        if sock is not None:
            return sock
        time.sleep(0.005)
    raise AssertionError(f"{address} refused all connections")


@pytest.mark.parametrize("role, holds", [("entry", True), ("keeper", False)])
def test_only_an_entry_lets_callers_in_early(tmp_path, address, role, holds):
    # Servers and operators that are refused by a keeper try the next one at
    # once; with an early socket they would wait a second for an answer.
    path = tmp_path / "settings"
    lines = [f"{early_settings.CALLERS}={address}"]
    lines.append(f"{early_settings.SEEDS}={address_of_stopped_instance()}")
    path.write_text("\n".join(lines))
    code = (
        f"import sys; sys.argv = ['launch.py', {role!r}];"
        f"sys.path.insert(0, {str(ROOT / 'platform')!r});"
        "import launch; from dandeliontrail_node import early_listener;"
        f"print(early_listener.take({address!r}) is not None)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "DANDELIONTRAIL_CONFIG": str(path)},
    )
    assert done.stdout.split() == [str(holds)]


@pytest.mark.parametrize("text", [None, b"\xff\xfe", b"", b"seed_nodes=a"])
def test_file_that_says_nothing_of_use_is_left_to_the_program(tmp_path, text):
    path = tmp_path / "file"
    if text is not None:
        path.write_bytes(text)
    callers, _ = early_settings.callers_and_seeds(str(path))
    assert callers == ""
