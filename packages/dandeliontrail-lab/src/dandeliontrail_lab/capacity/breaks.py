"""The lines that break a limit at size, and what would carry them.

Each remedy is a mechanism that is not there yet, with its cost worked out
from the same slopes.
"""

import dataclasses

from dandeliontrail.coordination import leases

from . import model

LEASE_ENTRY_BYTES = 250.0
NARROW_HISTOGRAMS = 0.5
UNACKNOWLEDGED = 0.1
DOMAINS = 10


def rows(data):
    """Yield (role, resource, amount, limit, biggest, mechanism, cost)."""
    size = model.AT_SIZE
    for role in ("entry", "relay"):
        for resource, lines_of, limit, unit in RESOURCES:
            lines = lines_of(size, data, role)
            amount = model.total(lines)
            if amount <= limit:
                continue
            biggest = max(lines, key=_amount)
            mechanism, cost = REMEDIES[role, resource](size, data)
            yield (
                role,
                resource,
                f"{amount:,.3g} {unit}",
                f"{limit:g}",
                f"{biggest.what} ({biggest.amount:,.3g})",
                mechanism,
                cost,
            )
    yield from _keeper(size, data)


def _keeper(size, data):
    """Yield what the log adds to the keepers' leader."""
    share = model.keeper_processor(size, data)
    sent = model.keeper_bytes(size, data)
    fetchers = size.relays + 5
    shorter = size.__class__(**{**dataclasses.asdict(size), "nodes": fetchers})
    mechanism = (
        "instances fetch the log from a relay of their domain, relays from"
        " the keepers; keepers are set aside"
    )
    if share > model.PROCESSOR_LIMIT:
        yield (
            "keeper, leading",
            "processor",
            f"{share:.3g} % of a core",
            f"{model.PROCESSOR_LIMIT:g}",
            "learners that ask for entries",
            mechanism,
            f"{model.keeper_processor(shorter, data):.2g} % of a core",
        )
    if sent > model.BYTES_LIMIT:
        yield (
            "keeper, leading",
            "bytes",
            f"{sent:,.0f} B/s",
            f"{model.BYTES_LIMIT:g}",
            "answers to learners, heartbeats five times a second",
            mechanism,
            f"{model.keeper_bytes(shorter, data):,.0f} B/s",
        )


def _amount(line):
    return line.amount


RESOURCES = (
    ("memory", model.memory, model.MEMORY_LIMIT, "MB"),
    ("processor", model.processor, model.PROCESSOR_LIMIT, "% of a core"),
    ("bytes", model.network, model.BYTES_LIMIT, "B/s"),
)


def _usage_mb(size, data):
    """Return the memory of one publisher's rows, in MB."""
    rows_held = size.organisations * model.CLASSES_OF_AN_ORGANISATION
    return data.fit("usage_row_bytes").slope * rows_held / model.MB


def _entry_memory(size, data):
    saved = data.fit("histogram_bytes").slope * size.organisations / model.MB
    saved *= 1 - NARROW_HISTOGRAMS
    saved += data.fit("prefix_bytes").slope * model.PREFIX_ENTRIES / 2e6
    saved += _usage_mb(size, data) * (1 - UNACKNOWLEDGED)
    left = model.total(model.memory(size, data, "entry")) - saved
    return (
        "own usage rows dropped once a relay has folded them; of an"
        " organisation only first token and total, the other two by class"
        " alone; prefixes only of the engines of the own region, half the"
        " table",
        f"{saved:.1f} MB less: {left:.1f} MB",
    )


def _relay_memory(size, data):
    lines = model.memory(size, data, "relay")
    dropped = ("histograms", "usage", "prompt prefixes")
    kept = sum(line.amount for line in lines if line.what not in dropped)
    sums = 2 * _usage_mb(size, data)
    return (
        "set aside for control, hence without histograms and prefixes; each"
        " relay folds the rows of its domain into one publisher's sums, held"
        " by the two relays of the domain, and a query asks all ten domains",
        f"{sums:.1f} MB for the sums of both: {kept + sums:.1f} MB",
    )


def _entry_processor(size, data):
    lines = model.processor(size, data, "entry")
    per_tick = data.fit("tick_us").slope * size.servers
    ticks = per_tick * model.TICKS_A_SECOND / model.MICROSECONDS * 100.0
    left = model.total(lines) - ticks
    return (
        "a queue of lease ends in place of a look at every server in each"
        " tick, and counts that are kept up to date",
        f"{ticks:.2f} % less: {left:.2f} %",
    )


def _relay_processor(size, data):
    spent = model.total(model.processor(size, data, "relay"))
    return (
        "set aside for control: its whole core may go to it",
        f"{spent:.0f} % of one core on {size.relays} of"
        f" {model.SET_ASIDE_LIMIT} instances",
    )


def _entry_bytes(size, data):
    flow = data.flow(size.flow, "entry")
    rows_sent = flow.by_kind.get("UsageRows", 0.0)
    saved = rows_sent * 0.75
    return (
        "usage rows every 2 s in place of 0.5 s: rows of one organisation"
        " and class are merged; a crash then loses up to 2 s of counts",
        f"{saved:.0f} B/s less: {flow.sent_bytes - saved:,.0f} B/s",
    )


def _relay_bytes(size, data):
    flow = data.flow(size.flow, "relay")
    entry = data.flow(size.flow, "entry")
    rows_sent = flow.by_kind.get("UsageRows", 0.0)
    domain = size.nodes / DOMAINS * entry.by_kind.get("UsageRows", 0.0)
    left = flow.sent_bytes - rows_sent + domain / 2
    return (
        "set aside for control; and the same sums: what comes in from half a"
        " domain goes to its other relay only, not to nineteen",
        f"rows are {rows_sent / flow.sent_bytes:.0%} of"
        f" {flow.sent_bytes / 1000:,.0f} KB/s: {left / 1000:,.0f} KB/s left",
    )


REMEDIES = {
    ("entry", "memory"): _entry_memory,
    ("entry", "processor"): _entry_processor,
    ("entry", "bytes"): _entry_bytes,
    ("relay", "memory"): _relay_memory,
    ("relay", "processor"): _relay_processor,
    ("relay", "bytes"): _relay_bytes,
}


def holder(data):
    """Return what giving orders adds, as (what, amount) rows."""
    size = model.AT_SIZE
    renewals = 1.0 / (leases.LEASE * leases.RENEW_BELOW)
    entry = data.fit("change_us").at(size.organisations)
    orders = 2.0 * size.starts_a_day
    return [
        ("renewals of the lease, a second", renewals),
        (
            "bytes a second to each instance for them",
            renewals * LEASE_ENTRY_BYTES,
        ),
        (
            "% of a core everywhere for them",
            renewals * entry / model.MICROSECONDS * 100.0,
        ),
        ("orders a day, two for each restarted worker", orders),
        ("orders a second in the worst minute (a domain back)", 250 / 60.0),
    ]
