"""Resource use of an instance by role, extrapolated to a given size.

The costs come from the measured fits and flows.  Processor, network and memory
figures are split into two kinds.  *Control* is all that an instance does
without any caller: learning of backend servers and other instances,
configuration, the usage ledger, histograms.  *Traffic* is what it does for the
requests themselves: relaying, decisions, open streams and the memory of
answers.
"""

import dataclasses

MB = 1e6
MEMORY_LIMIT_MB = 64.0
PROCESSOR_LIMIT_PERCENT = 1.7
SENT_LIMIT_BYTES_PER_SECOND = 4000.0
MAX_DEDICATED_INSTANCES = 23
TICKS_PER_SECOND = 10.0
CLASSES_PER_ORGANISATION = 4
MAX_KEPT_CHANGES = 1024
PREFIX_ENTRIES = 1 << 19
MICROSECONDS_PER_SECOND = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """A deployment at its peak; ``flow`` names the run that matches it."""

    name: str
    flow: str
    nodes: int
    servers: int
    organisations: int
    classes: int
    requests: float
    tokens: float
    changes_a_day: float
    starts_a_day: float

    @property
    def relays(self):
        """The number of nodes that aggregate for their failure domain."""
        return 0 if self.nodes <= 16 else 20

    def streams(self, between_tokens=0.029, first=0.31):
        """Return the number of open streams per node at the peak.

        ``between_tokens`` and ``first`` are the seconds between two tokens and
        up to the first.
        """
        length = self.tokens / self.requests
        return self.requests * (first + length * between_tokens) / self.nodes


TODAY = Size("today", "9", 9, 13, 10, 5, 20.0, 6_000.0, 20.0, 5.0)
TARGET_SIZE = Size(
    "at size", "530", 530, 2500, 1600, 4, 1e4, 3.1e6, 2100.0, 231.0
)
SIZES = (TODAY, TARGET_SIZE)


@dataclasses.dataclass(slots=True, frozen=True)
class CostLine:
    """One contribution to the resource use of a role."""

    what: str
    carried_by: str
    amount: float


def memory(size, data, role):
    """Return the contributions to a node's control memory, in MB."""

    def slope(name, count):
        return data.fit(name).slope * count / MB

    # Within a day every node serves every organisation and class.  A relay,
    # and each instance of a full mesh, holds the rows of every publisher.
    rows = size.organisations * CLASSES_PER_ORGANISATION
    holds_all_rows = role == "relay" or size.relays == 0
    held_rows = rows * size.nodes if holds_all_rows else rows
    lines = [
        CostLine(
            "Python, libraries and an idle instance",
            "`dandeliontrail_node.instance`",
            data.fit("idle_memory").start / MB
            - slope("prefix_bytes", PREFIX_ENTRIES),
        ),
        CostLine(
            "other instances",
            "member table, `coordination.membership`",
            slope("member_bytes", size.nodes),
        ),
        CostLine(
            "backend servers",
            "records with leases, `coordination.servers`",
            slope("server_bytes", size.servers),
        ),
        CostLine(
            "organisations",
            "objects of the log, `resources.store`",
            slope("organisation_bytes", size.organisations),
        ),
        CostLine(
            "changes kept",
            "history for watches, `resources.history`",
            slope("change_bytes", min(MAX_KEPT_CHANGES, size.changes_a_day)),
        ),
        CostLine(
            "histograms",
            "pages of an octave, `dandeliontrail_node.paged_counts`",
            slope("histogram_bytes", size.organisations + size.classes),
        ),
        CostLine(
            "usage",
            "rows by publisher, organisation and class, `coordination.ledger`",
            slope("usage_row_bytes", held_rows),
        ),
        CostLine(
            "prompt prefixes",
            "table of fixed size, `decisions.prefix_index`",
            slope("prefix_bytes", PREFIX_ENTRIES),
        ),
    ]
    return lines


def processor(size, data, role):
    """Return the contributions to a node's control processor time.

    They are in percent of one core.
    """
    flow = _flow(size, data, role)
    announcements = size.servers / size.nodes
    receive = data.fit("batch_receive_us")
    send = data.fit("batch_send_us")
    batch_bytes = flow.sent_bytes / flow.batches if flow.batches else 0.0
    http_us = (receive.at(batch_bytes) + send.at(batch_bytes)) * flow.batches
    lines = [
        CostLine(
            "ticks, records, codec",
            "all components of the reducer",
            flow.busy_share * 100.0,
        ),
        CostLine(
            "HTTP between instances",
            "`peer_link`, `listeners.peers`",
            _core_percent(http_us),
        ),
        CostLine(
            "HTTP of announcements",
            "`listeners.backend_servers`",
            _core_percent(receive.at(500.0) * announcements),
        ),
        CostLine(
            "configuration changes",
            "learner of the log, `coordination.quorum_log`",
            _core_percent(
                data.fit("change_us").at(size.organisations)
                * size.changes_a_day
                / 86_400.0
            ),
        ),
        CostLine(
            "fetching the log",
            "`quorum_log_catch_up`, asked every 0.5 to 1 s",
            _core_percent(receive.at(400.0) + send.at(400.0)),
        ),
    ]
    return lines


def keeper_processor(size, data):
    """Return what the keepers' leader spends on the log.

    It is in percent of one core, on top of what an idle instance spends.
    """
    fit = data.fit("keeper_share")
    idle = data.fit("idle_share")
    return max(0.0, fit.at(size.nodes) - idle.at(size.nodes))


def keeper_bytes(size, data):
    """Return what the keepers' leader sends for the log, in bytes/s."""
    fit = data.fit("keeper_bytes")
    idle = data.fit("idle_bytes")
    return max(0.0, fit.at(size.nodes) - idle.at(size.nodes))


def network(size, data, role):
    """Return the contributions to a node's control traffic, in bytes/s."""
    flow = _flow(size, data, role)
    lines = [
        CostLine(_MESSAGE_DESCRIPTIONS.get(kind, kind), _component(kind), sent)
        for kind, sent in sorted(flow.by_kind.items(), key=_descending_amount)
        if sent >= 1.0
    ]
    known_bytes = sum(line.amount for line in lines)
    lines.append(
        CostLine(
            "HTTP and envelopes", "`peer_link`", flow.sent_bytes - known_bytes
        )
    )
    return lines


def _descending_amount(item):
    return -item[1]


_MESSAGE_DESCRIPTIONS = {
    "UsageRows": "usage rows",
    "UsageHave": "what usage is held",
    "Renewals": "renewed leases",
    "Vouches": "leases vouched for",
    "Heartbeat": "heartbeats",
    "ServerRecords": "changed servers",
    "SyncBuckets": "repair, digests of a table",
    "SyncKeys": "repair, keys of a bucket",
    "SyncWant": "repair, rows asked for",
}
_COMPONENTS_BY_PREFIX = {
    "Usage": "`components.usage`",
    "Renew": "`components.renewals`",
    "Vouch": "`components.renewals`",
    "Heart": "`components.members`",
    "Probe": "`components.probes`",
    "Serve": "`components.backend_servers`",
    "Sync": "`components.repair`",
}


def _component(kind):
    for prefix, component in _COMPONENTS_BY_PREFIX.items():
        if kind.startswith(prefix):
            return component
    return "`coordination`"


def traffic(size, data):
    """Return a node's work for requests as (what, amount, unit) rows."""
    relay = data.fit("relay_us")
    requests = size.requests / size.nodes
    tokens = size.tokens / size.nodes
    decisions = data.fit("decision_us").at(size.servers)
    streams = size.streams()
    return [
        ("requests", requests, "a second"),
        ("relayed events", tokens, "a second"),
        (
            "HTTP of requests",
            _core_percent(requests * relay.start),
            "% of a core",
        ),
        (
            "relaying events",
            _core_percent(tokens * relay.slope),
            "% of a core",
        ),
        ("decisions", _core_percent(requests * decisions), "% of a core"),
        ("open streams", streams, "at once"),
        (
            "memory of open streams",
            streams * data.fit("stream_bytes").slope / MB,
            "MB",
        ),
    ]


def _core_percent(microseconds):
    return microseconds / MICROSECONDS_PER_SECOND * 100.0


def _flow(size, data, role):
    flow = data.flow(size.flow, role)
    return flow or data.flow(size.flow, "entry")


def total(lines):
    """Return the sum of the amounts of lines."""
    return sum(line.amount for line in lines)
