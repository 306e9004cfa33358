"""The path of an entry to the backend servers, which a test can cut."""

import contextlib
import enum

import gevent

from dandeliontrail_node import connection

from tests.soak import proxy


class Cut(enum.Enum):
    """How a cut path shows at an entry.

    ``HANG``: nothing arrives and no connection is established.  ``RESET``:
    open connections are reset and new ones refused.  ``REFUSE_NEW``: open
    connections live on and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class ServerPath:
    """Connects one entry to servers over proxies of its own.

    ``opened`` counts the connections by server address.
    """

    def __init__(self, stack, entry):
        self._stack = stack
        self._proxies = {}
        self._cut = None
        self._unreachable = None
        self.opened = 0
        (self._pool,) = entry.host.connection_pools
        self._pool.connect = self.connect

    def connect(self, address, seconds):
        """Return a connection to a server, or fail as the cut does."""
        if self._cut is not None and self._is_affected(address):
            if self._cut is Cut.HANG:
                gevent.sleep(seconds)
                raise TimeoutError("timed out")
            raise ConnectionRefusedError("refused")
        self.opened += 1
        if address not in self._proxies:
            self._proxies[address] = proxy.Proxy(address)
            self._stack.callback(self._proxies[address].close)
        return connection.connect(self._proxies[address].address, seconds)

    def _is_affected(self, address):
        return self._unreachable is None or address in self._unreachable

    def bypass(self):
        """Connect without proxies from now on."""
        self._pool.connect = connection.connect

    def cut(self, cut, servers=None):
        """Cut the path to ``servers``, by default to all of them."""
        self._cut = cut
        if servers is not None:
            self._unreachable = {item.address for item in servers}
        for address, item in self._proxies.items():
            if not self._is_affected(address):
                continue
            if cut is Cut.HANG:
                item.mode = proxy.Mode.SILENT
            elif cut is Cut.RESET:
                item.reset()

    def heal(self):
        """Restore the path."""
        self._cut = None
        self._unreachable = None
        for item in self._proxies.values():
            item.mode = proxy.Mode.PASS


@contextlib.contextmanager
def paths_of(entries):
    """Yield the :class:`ServerPath` of each entry."""
    with contextlib.ExitStack() as stack:
        yield [ServerPath(stack, entry) for entry in entries]
