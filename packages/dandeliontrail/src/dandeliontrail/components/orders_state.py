"""State of the orders to engines, and how log entries are applied to it."""

import copy

import msgspec

from ..coordination import downloads
from ..coordination import leases
from ..coordination import quorum_log_machine as machine
from ..decisions import prefix_index


class TableApplier(machine.Applier):
    """Applies one kind of log entry to a table that has its own snapshot."""

    def __init__(self, table, result_type):
        self._table = table
        self.result_type = result_type

    def apply(self, version, entry):
        """Apply one entry."""
        return self._table.apply(version, entry)

    def dump(self):
        """Return the table as JSON."""
        return msgspec.json.encode(self._table.snapshot())

    def prepare(self, state):
        """Read a snapshot of the table.

        It is tried on a shallow copy: tables replace what they hold.
        """
        snapshot = msgspec.json.decode(state)
        copy.copy(self._table).restore(snapshot)
        return lambda: self._table.restore(snapshot)


class OrdersState(msgspec.Struct):
    """The state of orders, written by the orders component.

    Two fields are written by others.  The caches component updates
    ``prefixes``.  The request component updates ``attainment``, which counts,
    by ``(model, version)``, how often the requests that this instance relayed
    met the targets of their class.
    """

    lease: leases.LeaseHolder
    leases: leases.LeaseTable
    downloads: downloads.DownloadTable
    prefixes: prefix_index.PrefixIndex
    reports: dict = msgspec.field(default_factory=dict)
    attainment: dict = msgspec.field(default_factory=dict)


def new_orders_state(identity):
    """Return the initial state of an instance."""
    return OrdersState(
        leases.LeaseHolder(identity),
        leases.LeaseTable(),
        downloads.DownloadTable(),
        prefix_index.PrefixIndex(),
    )


def register(log, state):
    """Register the appliers of the log's lease and download entries."""
    lease_applier = TableApplier(state.leases, leases.LeaseResult)
    log.register(leases.LeaseRequest, lease_applier)
    download_applier = TableApplier(state.downloads, downloads.DownloadResult)
    log.register(downloads.DownloadEntry, download_applier)
