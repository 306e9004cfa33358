"""The tables of docs/CAPACITY.md, made from the data file.

The page is prose with marked places; only what stands between the marks of
a table is replaced.
"""

import re

from . import breaks
from . import model

PLACE = re.compile(
    r"(<!-- table (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)
ROLES = ("entry", "relay")


def remade(text, data):
    """Return the page with every table made anew."""

    def table(found):
        lines = TABLES[found["name"]](data)
        return f"{found[1]}{lines}{found[3]}"

    return PLACE.sub(table, text)


def _table(headings, rows):
    marks = ["---"] * len(headings)
    lines = [headings, marks, *rows]
    return "".join(f"| {' | '.join(map(str, row))} |\n" for row in lines)


def _number(value):
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    if abs(value) >= 1:
        return f"{value:.1f}"
    return f"{value:.3g}"


def measured(data):
    """Return when nothing else is known: how it was measured."""
    rows = [
        ["command", f"`{data.command}`"],
        ["Python", data.python],
        ["cores of the machine", data.cores],
        ["load of the machine at the end", data.load_average],
    ]
    return _table(["What", "Value"], rows)


def slopes(data):
    """Return the table of all fits."""
    rows = [
        [
            item.what,
            _number(item.start),
            f"{_number(item.slope)} a {item.per}",
            item.unit,
            ", ".join(f"{size:,}" for size in item.sizes),
            f"{item.spread:.0%}",
            f"{item.residual:.1%}",
        ]
        for item in data.fits
    ]
    headings = [
        "What",
        "At zero",
        "Slope",
        "Unit",
        "Sizes",
        "Spread",
        "Residual",
    ]
    return _table(headings, rows)


def layers(data):
    """Return what each layer of code adds to an interpreter."""
    rows = []
    before = 0.0
    for item in data.layers:
        added = (item.bytes - before) / model.MB
        rows.append([item.name, _number(added), _number(item.bytes / 1e6)])
        before = item.bytes
    idle = data.fit("idle_memory").start
    rows.append(
        [
            "running, idle",
            _number((idle - before) / 1e6),
            _number(idle / 1e6),
        ]
    )
    return _table(["Layer", "Adds, MB", "Sum, MB"], rows)


def flows(data):
    """Return what nodes send and work at each size."""
    rows = [
        [
            item.nodes,
            item.kind,
            item.count,
            _number(item.sent_bytes),
            _number(item.worst_sent_bytes),
            _number(item.received_bytes),
            _number(item.batches),
            f"{item.busy_share:.2%}",
            f"{item.serving_at_worst} of {item.servers}",
            f"{item.nodes_with_all} of {item.nodes}",
        ]
        for item in data.flows
    ]
    headings = [
        "Nodes",
        "Role",
        "Of them",
        "Sent, B/s",
        "Worst",
        "Received, B/s",
        "Batches/s",
        "Core",
        "Servers in view at the worst node",
        "Nodes with all",
    ]
    return _table(headings, rows)


def _role_table(lines_of, limit, unit):
    """Return a function that makes the table of one resource by role."""

    def made(data):
        parts = []
        for role in ROLES:
            by_size = [lines_of(size, data, role) for size in model.SIZES]
            parts.append(_sums(role, by_size, limit, unit))
        return "\n".join(parts)

    return made


def _sums(role, by_size, limit, unit):
    amounts = {}
    for index, lines in enumerate(by_size):
        for line in lines:
            key = (line.what, line.carried_by)
            amounts.setdefault(key, [0.0] * len(by_size))
            amounts[key][index] = line.amount
    rows = [
        [what, carried, *map(_number, values)]
        for (what, carried), values in amounts.items()
    ]
    sums = [model.total(lines) for lines in by_size]
    rows.append(["**sum**", "", *[f"**{_number(item)}**" for item in sums]])
    rows.append(["limit", "", *[_number(limit)] * len(sums)])
    rows.append(
        ["margin", "", *[f"{(limit - item) / limit:+.0%}" for item in sums]]
    )
    headings = [f"{role}: {unit}", "Carried by", "Today", "At size"]
    return _table(headings, rows)


def traffic(data):
    """Return what a node does for requests, which is not control."""
    by_size = [model.traffic(size, data) for size in model.SIZES]
    rows = [
        [today[0], _number(today[1]), _number(later[1]), today[2]]
        for today, later in zip(*by_size)
    ]
    return _table(["Traffic of a node", "Today", "At size", "Unit"], rows)


def keeper(data):
    """Return what the leader of the keepers spends above an instance."""
    rows = []
    for size in model.SIZES:
        rows.append(
            [
                size.name,
                _number(model.keeper_processor(size, data)),
                _number(model.keeper_bytes(size, data)),
                _number(size.changes_a_day),
            ]
        )
    headings = ["Size", "% of a core", "Sent, B/s", "Changes a day"]
    return _table(headings, rows)


def breaking(data):
    """Return the lines that break a limit at size, with their remedies."""
    headings = [
        "Role",
        "What",
        "At size",
        "Limit",
        "Largest line",
        "Mechanism that would carry it",
        "Its cost",
    ]
    return _table(headings, breaks.rows(data))


def holder(data):
    """Return what giving orders adds to an instance."""
    rows = [[what, _number(amount)] for what, amount in breaks.holder(data)]
    return _table(["What", "Amount"], rows)


def worst(data):
    """Return the worst hours, as measured."""
    rows = [
        [
            item.name,
            f"{item.struck} of {item.nodes}",
            _number(item.mean_bytes),
            _number(item.peak_bytes),
            _number(item.received_by_struck / model.MB),
            f"{item.settled_s:g} s"
            if item.settled_s >= 0
            else f"not within {item.seconds:g} s",
        ]
        for item in data.worst
    ]
    headings = [
        "What",
        "Struck",
        "Mean sent, B/s",
        "Most sent in a second, B",
        "Received by one struck, MB",
        "Settled after",
    ]
    return _table(headings, rows)


def latency(data):
    """Return where the time to the first token goes, in ms."""
    request = data.fit("relay_us").start / 1000.0
    decision = data.fit("decision_us").at(model.AT_SIZE.servers) / 1000.0
    busy = sum(
        amount
        for _, amount, unit in model.traffic(model.AT_SIZE, data)
        if unit == "% of a core"
    )
    share = min(0.95, busy / 100.0)
    waits = share / (1.0 - share) * request
    ours = request + waits
    rows = [
        ["caller to instance and back", "3", "3", "the users' figure"],
        ["work on the request", _number(request), _number(request), "ours"],
        ["of it decisions", _number(decision), _number(decision), "ours"],
        [
            f"waiting for the one core, {share:.0%} busy",
            _number(waits),
            _number(waits),
            "ours, M/M/1 mean",
        ],
        ["instance to engine and back", "2", "80", "assumed"],
        [
            "left for the engine's queue and prompt",
            _number(310 - 5 - ours),
            _number(310 - 83 - ours),
            "the rest of 310",
        ],
    ]
    headings = ["Part", "In region, ms", "Across regions, ms", "Whose"]
    return _table(headings, rows)


TABLES = {
    "breaks": breaking,
    "holder": holder,
    "worst": worst,
    "latency": latency,
    "measured": measured,
    "slopes": slopes,
    "layers": layers,
    "flows": flows,
    "memory": _role_table(model.memory, model.MEMORY_LIMIT, "MB"),
    "processor": _role_table(
        model.processor, model.PROCESSOR_LIMIT, "% of a core"
    ),
    "network": _role_table(model.network, model.BYTES_LIMIT, "bytes a second"),
    "traffic": traffic,
    "keeper": keeper,
}
