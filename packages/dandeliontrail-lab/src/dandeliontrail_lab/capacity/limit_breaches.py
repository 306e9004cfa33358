"""Limits that are exceeded at the target size, and possible remedies.

Each remedy is a mechanism that does not exist yet; its cost is estimated from
the same fits.
"""

import dataclasses

from dandeliontrail.coordination import leases

from . import model

LEASE_ENTRY_BYTES = 250.0
# The share of histogram memory that is left if an organisation keeps two of
# its four histograms.
NARROW_HISTOGRAM_SHARE = 0.5
# The share of a publisher's own usage rows that no relay has folded yet.
UNACKNOWLEDGED_SHARE = 0.1
FAILURE_DOMAINS = 10


def rows(data):
    """Yield (role, resource, amount, limit, biggest, mechanism, cost)."""
    size = model.TARGET_SIZE
    for role in ("entry", "relay"):
        for resource, lines_of, limit, unit in RESOURCES:
            lines = lines_of(size, data, role)
            amount = model.total(lines)
            if amount <= limit:
                continue
            biggest = max(lines, key=_amount_of)
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
    yield from _keeper_rows(size, data)


def _keeper_rows(size, data):
    """Yield rows for what the log adds to the keepers' leader."""
    processor_percent = model.keeper_processor(size, data)
    sent_bytes = model.keeper_bytes(size, data)
    fetcher_count = size.relays + 5
    reduced_size = size.__class__(
        **{**dataclasses.asdict(size), "nodes": fetcher_count}
    )
    mechanism = (
        "instances fetch the log from a relay of their domain, relays from"
        " the keepers; keepers are set aside"
    )
    if processor_percent > model.PROCESSOR_LIMIT_PERCENT:
        yield (
            "keeper, leading",
            "processor",
            f"{processor_percent:.3g} % of a core",
            f"{model.PROCESSOR_LIMIT_PERCENT:g}",
            "learners that ask for entries",
            mechanism,
            f"{model.keeper_processor(reduced_size, data):.2g} % of a core",
        )
    if sent_bytes > model.SENT_LIMIT_BYTES_PER_SECOND:
        yield (
            "keeper, leading",
            "bytes",
            f"{sent_bytes:,.0f} B/s",
            f"{model.SENT_LIMIT_BYTES_PER_SECOND:g}",
            "answers to learners, heartbeats five times a second",
            mechanism,
            f"{model.keeper_bytes(reduced_size, data):,.0f} B/s",
        )


def _amount_of(line):
    return line.amount


RESOURCES = (
    ("memory", model.memory, model.MEMORY_LIMIT_MB, "MB"),
    (
        "processor",
        model.processor,
        model.PROCESSOR_LIMIT_PERCENT,
        "% of a core",
    ),
    ("bytes", model.network, model.SENT_LIMIT_BYTES_PER_SECOND, "B/s"),
)


def _usage_mb(size, data):
    """Return the memory of one publisher's usage rows, in MB."""
    rows_held = size.organisations * model.CLASSES_PER_ORGANISATION
    return data.fit("usage_row_bytes").slope * rows_held / model.MB


def _entry_memory(size, data):
    saved_mb = (
        data.fit("histogram_bytes").slope * size.organisations / model.MB
    )
    saved_mb *= 1 - NARROW_HISTOGRAM_SHARE
    saved_mb += data.fit("prefix_bytes").slope * model.PREFIX_ENTRIES / 2e6
    saved_mb += _usage_mb(size, data) * (1 - UNACKNOWLEDGED_SHARE)
    remaining_mb = model.total(model.memory(size, data, "entry")) - saved_mb
    return (
        "own usage rows dropped once a relay has folded them; of an"
        " organisation only first token and total, the other two by class"
        " alone; prefixes only of the engines of the own region, half the"
        " table",
        f"{saved_mb:.1f} MB less: {remaining_mb:.1f} MB",
    )


def _relay_memory(size, data):
    lines = model.memory(size, data, "relay")
    dropped_lines = ("histograms", "usage", "prompt prefixes")
    kept_mb = sum(
        line.amount for line in lines if line.what not in dropped_lines
    )
    sums_mb = 2 * _usage_mb(size, data)
    return (
        "set aside for control, hence without histograms and prefixes; each"
        " relay folds the rows of its domain into one publisher's sums, held"
        " by the two relays of the domain, and a query asks all ten domains",
        f"{sums_mb:.1f} MB for the sums of both: {kept_mb + sums_mb:.1f} MB",
    )


def _entry_processor(size, data):
    lines = model.processor(size, data, "entry")
    tick_us = data.fit("tick_us").slope * size.servers
    ticks_percent = (
        tick_us
        * model.TICKS_PER_SECOND
        / model.MICROSECONDS_PER_SECOND
        * 100.0
    )
    remaining_percent = model.total(lines) - ticks_percent
    return (
        "a queue of lease ends in place of a look at every server in each"
        " tick, and counts that are kept up to date",
        f"{ticks_percent:.2f} % less: {remaining_percent:.2f} %",
    )


def _relay_processor(size, data):
    used_percent = model.total(model.processor(size, data, "relay"))
    return (
        "set aside for control: its whole core may go to it",
        f"{used_percent:.0f} % of one core on {size.relays} of"
        f" {model.MAX_DEDICATED_INSTANCES} instances",
    )


def _entry_bytes(size, data):
    flow = data.flow(size.flow, "entry")
    row_bytes = flow.by_kind.get("UsageRows", 0.0)
    saved = row_bytes * 0.75
    return (
        "usage rows every 2 s in place of 0.5 s: rows of one organisation"
        " and class are merged; a crash then loses up to 2 s of counts",
        f"{saved:.0f} B/s less: {flow.sent_bytes - saved:,.0f} B/s",
    )


def _relay_bytes(size, data):
    flow = data.flow(size.flow, "relay")
    entry = data.flow(size.flow, "entry")
    row_bytes = flow.by_kind.get("UsageRows", 0.0)
    domain_row_bytes = (
        size.nodes / FAILURE_DOMAINS * entry.by_kind.get("UsageRows", 0.0)
    )
    left = flow.sent_bytes - row_bytes + domain_row_bytes / 2
    return (
        "set aside for control; and the same sums: what comes in from half a"
        " domain goes to its other relay only, not to nineteen",
        f"rows are {row_bytes / flow.sent_bytes:.0%} of"
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


def order_giving(data):
    """Return what the instance that gives orders does in addition.

    The result is (what, amount) rows.
    """
    size = model.TARGET_SIZE
    renewals_per_second = 1.0 / (
        leases.LEASE_SECONDS * leases.RENEW_BELOW_FRACTION
    )
    entry_us = data.fit("change_us").at(size.organisations)
    orders_per_day = 2.0 * size.starts_a_day
    return [
        ("renewals of the lease, a second", renewals_per_second),
        (
            "bytes a second to each instance for them",
            renewals_per_second * LEASE_ENTRY_BYTES,
        ),
        (
            "% of a core everywhere for them",
            renewals_per_second
            * entry_us
            / model.MICROSECONDS_PER_SECOND
            * 100.0,
        ),
        ("orders a day, two for each restarted worker", orders_per_day),
        ("orders a second in the worst minute (a domain back)", 250 / 60.0),
    ]
