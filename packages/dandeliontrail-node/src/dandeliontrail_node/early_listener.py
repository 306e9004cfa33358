"""Takes callers in while the program still loads, where nobody else can.

After all processes were killed or all machines lost their power, each start
loads modules for 0.3 s of processor time, 0.6 s and more on a machine with
half a core.  Whoever connects meanwhile is turned away by every instance, and
most callers try twice at most.  A socket that listens from the first lines on
lets them wait in the kernel's queue for the instance to run.

Where others are up a caller is better served by them at once, and is turned
away here as before.  Whether they are is told by a few known addresses: these
take connections unless everything is down.  This module imports nothing that
takes time.
"""

import errno
import select
import socket
import time

# Refusals come within a few milliseconds inside a region; a machine without
# power answers nothing.
ASK_SECONDS = 0.03
# What may wait: a few hundred callers a second at the busiest instance.
BACKLOG = 256

_held = {}


def hold(address, others):
    """Listen at ``address`` if nobody takes connections at ``others``.

    Addresses are ``IP:port``, all IPv4.
    """
    if not others or _anyone_up(others):
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(_parsed(address))
        sock.listen(BACKLOG)
    except OSError:
        # The listener that the instance opens itself meets the same error
        # and says so.
        sock.close()
        return
    _held[address] = sock


def take(address):
    """Return the descriptor of the socket held for ``address``, or ``None``.

    It belongs to the caller from then on.
    """
    sock = _held.pop(address, None)
    return None if sock is None else sock.detach()


def _anyone_up(addresses):
    """Tell whether a connection to any of ``addresses`` comes about."""
    asked = [_begin_to_connect(address) for address in addresses]
    waiting = [sock for sock in asked if sock is not None]
    until = time.monotonic() + ASK_SECONDS
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
        for sock in asked:
            if sock is not None:
                sock.close()


def _begin_to_connect(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    failed = sock.connect_ex(_parsed(address))
    if failed in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None


def _is_connected(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def _parsed(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)
