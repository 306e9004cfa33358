"""State shared by several components, where each part has one owner.

Only the owning component changes its part; the others read it.
"""

import random

import msgspec

from .. import failures
from ..coordination import instance_counts
from ..coordination import ledger
from ..coordination import membership
from ..coordination import quorum_log
from ..coordination import quorum_log_options
from ..coordination import quorum_log_peers
from ..coordination import server_ends
from ..coordination import server_limits
from ..coordination import server_loads
from ..coordination import servers
from ..coordination import software_versions
from ..coordination import stream_records
from ..coordination import usage
from ..decisions import directory
from ..decisions import permits as permits_module
from ..decisions import prefill_asks
from . import duties_state
from . import held_queues
from . import orders_state
from ..resources import store
from . import revisions


class Identity(msgspec.Struct):
    """The identity of this instance in the membership.

    ``address`` is that of its peer listener.  ``incarnation`` increases with
    each start, ``refutations`` each time this instance refutes a report that
    it has failed.
    """

    instance: str
    failure_domain: str
    region: str
    incarnation: int
    address: str = ""
    refutations: int = 0


class State(msgspec.Struct):
    """Shared state of one instance.

    Owning components:

    - ``store`` and ``log``: configuration
    - ``registry``: backend servers
    - ``members``: membership
    - ``routing``: revisions
    - ``loads``: server loads
    - ``ends``: server ends
    - ``limits`` and ``permits``: server limits; policies use the permits
    - ``prefill`` and ``held_queues``: prefill queues; policies ask through
      ``prefill``
    - ``usage``: usage; the request component adds its counts
    - ``orders``: orders
    - ``duties``: duties
    - ``software_versions``: version admission
    - ``instance_counts``: retry loans
    - ``streams`` and ``stream_counts``: stream versions; the request
      component adds its counts

    ``failure_handler`` is the embedder's; it is told of all failures.
    """

    identity: Identity
    rng: random.Random
    store: store.ResourceStore
    registry: servers.ServerRegistry
    members: membership.Membership
    usage: ledger.UsageLedger
    directory: directory.Directory
    log: quorum_log.QuorumLog
    orders: orders_state.OrdersState
    routing: revisions.RoutingState
    loads: server_loads.LoadTable
    duties: duties_state.DutiesState
    ends: server_ends.EndsTable
    limits: server_limits.LimitTable
    permits: permits_module.Permits
    software_versions: software_versions.AdmittedVersions
    instance_counts: instance_counts.InstanceCounts
    streams: stream_records.StreamTable
    stream_counts: stream_records.StreamCounts
    prefill: prefill_asks.PrefillAsks
    held_queues: held_queues.HeldQueues
    draining: bool = False
    failure_handler: failures.FailureHandler = msgspec.field(
        default_factory=failures.RaiseFailures
    )


def new_state(
    identity,
    rng,
    seeds=(),
    keeper=None,
    bootstrap=(),
    log_options=quorum_log_options.DEFAULT,
    routing_options=revisions.RoutingOptions(),
    longest_lease=servers.MAX_LEASE_SECONDS,
    duty_options=duties_state.DutyOptions(),
):
    """Return the state of an instance that knows only its seed peers.

    ``keeper`` is the data loaded from its disk
    (``quorum_log_records.Keeper``), if it has one; ``bootstrap`` names the
    first keepers.
    """
    limits = server_limits.LimitTable()
    objects = store.ResourceStore()
    registry = servers.ServerRegistry(longest_lease)
    publisher = usage.Publisher(identity.instance, identity.incarnation)
    members = membership.Membership(identity, seeds)
    log = quorum_log.QuorumLog(
        identity.instance,
        rng,
        quorum_log_peers.KnownMembers(identity, members),
        keeper,
        bootstrap,
        log_options,
    )
    return State(
        identity,
        rng,
        objects,
        registry,
        members,
        ledger.UsageLedger(publisher),
        directory.Directory(registry, objects),
        log,
        orders_state.new_orders_state(identity),
        revisions.RoutingState(routing_options),
        server_loads.LoadTable(),
        duties_state.new_duties_state(identity, duty_options),
        server_ends.EndsTable(),
        limits,
        permits_module.Permits(limits),
        software_versions.AdmittedVersions(),
        instance_counts.InstanceCounts(),
        stream_records.StreamTable(),
        stream_records.StreamCounts(),
        prefill_asks.PrefillAsks(),
        held_queues.HeldQueues(),
    )
