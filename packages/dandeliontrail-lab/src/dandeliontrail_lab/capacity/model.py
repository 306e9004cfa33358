"""What a node of each role spends, from the slopes, at a given size.

The processor's, the network's and the memory's shares of *control* are all
that an instance does without any caller: hearing of backend servers and of
other instances, configuration, the ledger, histograms.  What it does for
the requests themselves is *traffic*: relaying, deciding, open streams and
the memory of answers.
"""

import dataclasses

MB = 1e6
MEMORY_LIMIT = 64.0
PROCESSOR_LIMIT = 1.7
BYTES_LIMIT = 4000.0
SET_ASIDE_LIMIT = 23
TICKS_A_SECOND = 10.0
CLASSES_OF_AN_ORGANISATION = 4
KEPT_CHANGES = 1024
PREFIX_ENTRIES = 1 << 19
MICROSECONDS = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """A deployment at its peak; ``flow`` names the run that fits it."""

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
        """The nodes that gather for their failure domain."""
        return 0 if self.nodes <= 16 else 20

    def streams(self, between_tokens=0.029, first=0.31):
        """Return the streams open on one node at the peak."""
        length = self.tokens / self.requests
        return self.requests * (first + length * between_tokens) / self.nodes


TODAY = Size("today", "9", 9, 13, 10, 5, 20.0, 6_000.0, 20.0, 5.0)
AT_SIZE = Size("at size", "530", 530, 2500, 1600, 4, 1e4, 3.1e6, 2100.0, 231.0)
SIZES = (TODAY, AT_SIZE)


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a role's sum."""

    what: str
    carried_by: str
    amount: float


def memory(size, data, role):
    """Return the lines of a node's control memory, in MB."""

    def slope(name, count):
        return data.fit(name).slope * count / MB

    # In a day every node serves every organisation and class.  A relay, and
    # each instance of a full mesh, holds the rows of every publisher.
    rows = size.organisations * CLASSES_OF_AN_ORGANISATION
    holds_all = role == "relay" or size.relays == 0
    held_rows = rows * size.nodes if holds_all else rows
    lines = [
        Line(
            "Python, libraries and an idle instance",
            "`dandeliontrail_node.instance`",
            data.fit("idle_memory").start / MB
            - slope("prefix_bytes", PREFIX_ENTRIES),
        ),
        Line(
            "other instances",
            "member table, `coordination.membership`",
            slope("member_bytes", size.nodes),
        ),
        Line(
            "backend servers",
            "records with leases, `coordination.servers`",
            slope("server_bytes", size.servers),
        ),
        Line(
            "organisations",
            "objects of the log, `resources.store`",
            slope("organisation_bytes", size.organisations),
        ),
        Line(
            "changes kept",
            "history for watches, `resources.history`",
            slope("change_bytes", min(KEPT_CHANGES, size.changes_a_day)),
        ),
        Line(
            "histograms",
            "pages of an octave, `dandeliontrail_node.paged_counts`",
            slope("histogram_bytes", size.organisations + size.classes),
        ),
        Line(
            "usage",
            "rows by publisher, organisation and class, `coordination.ledger`",
            slope("usage_row_bytes", held_rows),
        ),
        Line(
            "prompt prefixes",
            "table of fixed size, `decisions.prefix_index`",
            slope("prefix_bytes", PREFIX_ENTRIES),
        ),
    ]
    return lines


def processor(size, data, role):
    """Return the lines of a node's control processor time, in % of a core."""
    flow = _flow(size, data, role)
    announcements = size.servers / size.nodes
    receive = data.fit("batch_receive_us")
    send = data.fit("batch_send_us")
    batch_bytes = flow.sent_bytes / flow.batches if flow.batches else 0.0
    http = (receive.at(batch_bytes) + send.at(batch_bytes)) * flow.batches
    lines = [
        Line(
            "ticks, records, codec",
            "all components of the reducer",
            flow.busy_share * 100.0,
        ),
        Line(
            "HTTP between instances",
            "`peer_link`, `listeners.peers`",
            _percent(http),
        ),
        Line(
            "HTTP of announcements",
            "`listeners.backend_servers`",
            _percent(receive.at(500.0) * announcements),
        ),
        Line(
            "configuration changes",
            "learner of the log, `coordination.quorum_log`",
            _percent(
                data.fit("change_us").at(size.organisations)
                * size.changes_a_day
                / 86_400.0
            ),
        ),
        Line(
            "fetching the log",
            "`quorum_log_catch_up`, asked every 0.5 to 1 s",
            _percent(receive.at(400.0) + send.at(400.0)),
        ),
    ]
    return lines


def keeper_processor(size, data):
    """Return what the leader of the keepers spends on the log, in %."""
    fit = data.fit("keeper_share")
    idle = data.fit("idle_share")
    return max(0.0, fit.at(size.nodes) - idle.at(size.nodes))


def keeper_bytes(size, data):
    """Return what the leader sends for the log, in bytes a second."""
    fit = data.fit("keeper_bytes")
    idle = data.fit("idle_bytes")
    return max(0.0, fit.at(size.nodes) - idle.at(size.nodes))


def network(size, data, role):
    """Return the lines of a node's control bytes sent, a second."""
    flow = _flow(size, data, role)
    lines = [
        Line(_KIND_TEXT.get(kind, kind), _carrier(kind), sent)
        for kind, sent in sorted(flow.by_kind.items(), key=_by_amount)
        if sent >= 1.0
    ]
    named = sum(line.amount for line in lines)
    lines.append(
        Line("HTTP and envelopes", "`peer_link`", flow.sent_bytes - named)
    )
    return lines


def _by_amount(item):
    return -item[1]


_KIND_TEXT = {
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
_CARRIERS = {
    "Usage": "`components.usage`",
    "Renew": "`components.renewals`",
    "Vouch": "`components.renewals`",
    "Heart": "`components.members`",
    "Probe": "`components.probes`",
    "Serve": "`components.backend_servers`",
    "Sync": "`components.repair`",
}


def _carrier(kind):
    for start, text in _CARRIERS.items():
        if kind.startswith(start):
            return text
    return "`coordination`"


def traffic(size, data):
    """Return the lines of a node's traffic: (what, amount, unit)."""
    relay = data.fit("relay_us")
    requests = size.requests / size.nodes
    tokens = size.tokens / size.nodes
    decisions = data.fit("decision_us").at(size.servers)
    streams = size.streams()
    return [
        ("requests", requests, "a second"),
        ("relayed events", tokens, "a second"),
        ("HTTP of requests", _percent(requests * relay.start), "% of a core"),
        ("relaying events", _percent(tokens * relay.slope), "% of a core"),
        ("decisions", _percent(requests * decisions), "% of a core"),
        ("open streams", streams, "at once"),
        (
            "memory of open streams",
            streams * data.fit("stream_bytes").slope / MB,
            "MB",
        ),
    ]


def _percent(microseconds):
    return microseconds / MICROSECONDS * 100.0


def _flow(size, data, role):
    found = data.flow(size.flow, role)
    return found or data.flow(size.flow, "entry")


def total(lines):
    """Return the sum of lines."""
    return sum(line.amount for line in lines)
