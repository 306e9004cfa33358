"""Accepts connections during the start if no other instance is up.

After all processes were killed or all hosts lost power, each start imports
modules for 0.2 s of processor time, 0.4 s and more on a host with half a
core.  Meanwhile every instance refuses connections, and most callers try at
most twice.  A socket that listens from the first lines of the program on lets
callers wait in the backlog of the kernel until the instance runs.

If other instances are up, they can serve a caller at once, so connections are
refused here until the instance runs.  A few known addresses show whether they
are up: these accept connections unless the whole system is down.  This module
has no import that takes time.
"""

import errno
import select
import socket
import time

# Time for probing the other addresses.  Within a region a connection is
# refused in a few milliseconds; a host without power does not answer at all.
PROBE_SECONDS = 0.03
# Backlog of the socket; the busiest instance gets a few hundred connections
# per second.
BACKLOG = 256

_listening = {}


def hold(address, others):
    """Listen at ``address`` if none of ``others`` accepts connections.

    Addresses are ``IP:port``, all IPv4.  Without ``others``, nothing is done.
    """
    if not others or _any_accepts(others):
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(_parse(address))
        sock.listen(BACKLOG)
    except OSError:
        # The listener that the instance opens later fails with the same
        # error and reports it.
        sock.close()
        return
    _listening[address] = sock


def take(address):
    """Return the descriptor of the socket for ``address``, or ``None``.

    The caller then owns the descriptor.
    """
    sock = _listening.pop(address, None)
    return None if sock is None else sock.detach()


def _any_accepts(addresses):
    """Return whether any of ``addresses`` accepts a connection."""
    probes = [_start_connecting(address) for address in addresses]
    waiting = [sock for sock in probes if sock is not None]
    until = time.monotonic() + PROBE_SECONDS
    try:
        while waiting:
            left = until - time.monotonic()
            _, ready, _ = select.select([], waiting, [], max(0.0, left))
            if any(_is_connected(sock) for sock in ready):
                return True
            if not ready:
                return False
            waiting = [sock for sock in waiting if sock not in ready]
        return False
    finally:
        for sock in probes:
            if sock is not None:
                sock.close()


def _start_connecting(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    error = sock.connect_ex(_parse(address))
    if error in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None


def _is_connected(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def _parse(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)
