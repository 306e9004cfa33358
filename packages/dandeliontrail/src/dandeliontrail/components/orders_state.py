"""What is known about orders to engines, and the log entries behind it."""

import msgspec

from ..coordination import downloads
from ..coordination import leases
from ..coordination import quorum_log_machine as machine
from ..decisions import prefix_index


class TableApplier(machine.Applier):
    """Applies one kind of entry to a table with a snapshot of its own."""

    def __init__(self, table, result_type):
        self._table = table
        self.result_type = result_type

    def apply(self, version, entry):
        """Apply one entry."""
        return self._table.apply(version, entry)

    def dump(self):
        """Return the table as JSON."""
        return msgspec.json.encode(self._table.snapshot())

    def load(self, state):
        """Take over the table."""
        self._table.restore(msgspec.json.decode(state))


class OrdersState(msgspec.Struct):
    """Owned by the orders component; others only read it.

    ``attainment`` counts, by ``(model, version)``, how often the requests
    that this instance relayed met their class's targets; the request
    component fills it in.
    """

    lease: leases.LeaseHolder
    leases: leases.LeaseTable
    downloads: downloads.DownloadTable
    prefixes: prefix_index.PrefixIndex
    reports: dict = msgspec.field(default_factory=dict)
    attainment: dict = msgspec.field(default_factory=dict)


def new_orders_state(identity):
    """Return the state of an instance that has seen nothing yet."""
    return OrdersState(
        leases.LeaseHolder(identity),
        leases.LeaseTable(),
        downloads.DownloadTable(),
        prefix_index.PrefixIndex(),
    )


def register(log, state):
    """Have the log's lease and download entries applied to ``state``."""
    leased = TableApplier(state.leases, leases.LeaseResult)
    log.register(leases.LeaseRequest, leased)
    slots = TableApplier(state.downloads, downloads.DownloadResult)
    log.register(downloads.DownloadEntry, slots)
