"""The tables of docs/CAPACITY.md, generated from the data file.

The page is prose with marked tables; only the text between the marks of a
table is replaced.
"""

import re

from . import limit_breaches
from . import model

TABLE_PLACEHOLDER = re.compile(
    r"(<!-- table (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)
ROLES = ("entry", "relay")


def render_page(text, data):
    """Return the text of the page with every table generated anew."""

    def table(match):
        table_text = TABLES[match["name"]](data)
        return f"{match[1]}{table_text}{match[3]}"

    return TABLE_PLACEHOLDER.sub(table, text)


def _markdown_table(headings, rows):
    rule = ["---"] * len(headings)
    lines = [headings, rule, *rows]
    return "".join(f"| {' | '.join(map(str, row))} |\n" for row in lines)


def _format_number(value):
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    if abs(value) >= 1:
        return f"{value:.1f}"
    return f"{value:.3g}"


def measured(data):
    """Return the table of the command and machine of the measurement."""
    rows = [
        ["command", f"`{data.command}`"],
        ["Python", data.python],
        ["cores of the machine", data.cores],
        ["load of the machine at the end", data.load_average],
    ]
    return _markdown_table(["What", "Value"], rows)


def slopes(data):
    """Return the table of all fits."""
    rows = [
        [
            item.what,
            _format_number(item.start),
            f"{_format_number(item.slope)} a {item.per}",
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
    return _markdown_table(headings, rows)


def layers(data):
    """Return the table of the memory that each layer of code adds."""
    rows = []
    before = 0.0
    for item in data.layers:
        added = (item.bytes - before) / model.MB
        rows.append(
            [
                item.name,
                _format_number(added),
                _format_number(item.bytes / 1e6),
            ]
        )
        before = item.bytes
    idle = data.fit("idle_memory").start
    rows.append(
        [
            "running, idle",
            _format_number((idle - before) / 1e6),
            _format_number(idle / 1e6),
        ]
    )
    return _markdown_table(["Layer", "Adds, MB", "Sum, MB"], rows)


def flows(data):
    """Return the table of what nodes send and work at each size."""
    rows = [
        [
            item.nodes,
            item.kind,
            item.count,
            _format_number(item.sent_bytes),
            _format_number(item.worst_sent_bytes),
            _format_number(item.received_bytes),
            _format_number(item.batches),
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
    return _markdown_table(headings, rows)


def _role_table(lines_of, limit, unit):
    """Return a function that makes one resource's tables, by role."""

    def make_tables(data):
        parts = []
        for role in ROLES:
            by_size = [lines_of(size, data, role) for size in model.SIZES]
            parts.append(_role_sums(role, by_size, limit, unit))
        return "\n".join(parts)

    return make_tables


def _role_sums(role, by_size, limit, unit):
    amounts = {}
    for index, lines in enumerate(by_size):
        for line in lines:
            key = (line.what, line.carried_by)
            amounts.setdefault(key, [0.0] * len(by_size))
            amounts[key][index] = line.amount
    rows = [
        [what, component, *map(_format_number, values)]
        for (what, component), values in amounts.items()
    ]
    sums = [model.total(lines) for lines in by_size]
    rows.append(
        ["**sum**", "", *[f"**{_format_number(item)}**" for item in sums]]
    )
    rows.append(["limit", "", *[_format_number(limit)] * len(sums)])
    rows.append(
        ["margin", "", *[f"{(limit - item) / limit:+.0%}" for item in sums]]
    )
    headings = [f"{role}: {unit}", "Carried by", "Today", "At size"]
    return _markdown_table(headings, rows)


def traffic(data):
    """Return the table of a node's work for requests."""
    by_size = [model.traffic(size, data) for size in model.SIZES]
    rows = [
        [
            today[0],
            _format_number(today[1]),
            _format_number(at_size[1]),
            today[2],
        ]
        for today, at_size in zip(*by_size)
    ]
    return _markdown_table(
        ["Traffic of a node", "Today", "At size", "Unit"], rows
    )


def keeper(data):
    """Return the table of what the log adds to the keepers' leader."""
    rows = []
    for size in model.SIZES:
        rows.append(
            [
                size.name,
                _format_number(model.keeper_processor(size, data)),
                _format_number(model.keeper_bytes(size, data)),
                _format_number(size.changes_a_day),
            ]
        )
    headings = ["Size", "% of a core", "Sent, B/s", "Changes a day"]
    return _markdown_table(headings, rows)


def exceeded_limits(data):
    """Return the table of exceeded limits and their remedies."""
    headings = [
        "Role",
        "What",
        "At size",
        "Limit",
        "Largest line",
        "Mechanism that would carry it",
        "Its cost",
    ]
    return _markdown_table(headings, limit_breaches.rows(data))


def order_giving(data):
    """Return the table of what giving orders adds to an instance."""
    rows = [
        [what, _format_number(amount)]
        for what, amount in limit_breaches.order_giving(data)
    ]
    return _markdown_table(["What", "Amount"], rows)


def worst_cases(data):
    """Return the table of the measured worst cases."""
    rows = [
        [
            item.name,
            f"{item.struck} of {item.nodes}",
            _format_number(item.mean_bytes),
            _format_number(item.peak_bytes),
            _format_number(item.received_by_struck / model.MB),
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
    return _markdown_table(headings, rows)


def latency(data):
    """Return the table of where the time to the first token goes.

    Waiting for the processor is the mean wait of an M/M/1 queue.  Times are in
    ms.
    """
    request_ms = data.fit("relay_us").start / 1000.0
    decision_ms = (
        data.fit("decision_us").at(model.TARGET_SIZE.servers) / 1000.0
    )
    busy_percent = sum(
        amount
        for _, amount, unit in model.traffic(model.TARGET_SIZE, data)
        if unit == "% of a core"
    )
    busy_share = min(0.95, busy_percent / 100.0)
    wait_ms = busy_share / (1.0 - busy_share) * request_ms
    own_ms = request_ms + wait_ms
    rows = [
        ["caller to instance and back", "3", "3", "the users' figure"],
        [
            "work on the request",
            _format_number(request_ms),
            _format_number(request_ms),
            "ours",
        ],
        [
            "of it decisions",
            _format_number(decision_ms),
            _format_number(decision_ms),
            "ours",
        ],
        [
            f"waiting for the one core, {busy_share:.0%} busy",
            _format_number(wait_ms),
            _format_number(wait_ms),
            "ours, M/M/1 mean",
        ],
        ["instance to engine and back", "2", "80", "assumed"],
        [
            "left for the engine's queue and prompt",
            _format_number(310 - 5 - own_ms),
            _format_number(310 - 83 - own_ms),
            "the rest of 310",
        ],
    ]
    headings = ["Part", "In region, ms", "Across regions, ms", "Whose"]
    return _markdown_table(headings, rows)


TABLES = {
    "breaks": exceeded_limits,
    "holder": order_giving,
    "worst": worst_cases,
    "latency": latency,
    "measured": measured,
    "slopes": slopes,
    "layers": layers,
    "flows": flows,
    "memory": _role_table(model.memory, model.MEMORY_LIMIT_MB, "MB"),
    "processor": _role_table(
        model.processor, model.PROCESSOR_LIMIT_PERCENT, "% of a core"
    ),
    "network": _role_table(
        model.network, model.SENT_LIMIT_BYTES_PER_SECOND, "bytes a second"
    ),
    "traffic": traffic,
    "keeper": keeper,
}
