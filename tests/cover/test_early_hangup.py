"""A SIGHUP that arrives while the program is still starting."""

import signal
import socket
import time

from tests.common import platform_world
from tests.soak import processes

START_SECONDS = 20.0
IP = f"{platform_world.NETWORK}.203"


def test_a_reload_during_the_start_does_not_end_the_program(tmp_path):
    # The settings of all hosts change while one of them starts: SIGHUP arrives
    # before the program has imported its modules.  Its default action ends the
    # process without a log line, and no instance serves on that host.
    ports = platform_world.new_ports()
    settings = {
        "seed": f"{IP}:{ports['control']}",
        "revoke_ms": 5000,
        "tolerated": 0,
        **ports,
    }
    program = processes.Program(tmp_path, "keeper", IP, settings)
    program.start()
    try:
        deadline = time.monotonic() + START_SECONDS
        while not program.catches(signal.SIGHUP):
            assert program.running and time.monotonic() < deadline
            time.sleep(0.002)
        # The handler is installed before the program listens.
        with socket.socket() as sock:
            assert sock.connect_ex((program.ip, ports["control"])) != 0
        program.signal(signal.SIGHUP)
        while '"reloaded"' not in program.log():
            assert program.running and time.monotonic() < deadline
            time.sleep(0.02)
        assert "listening" in program.log()
    finally:
        program.close()
