"""Commands that show the state of the whole system: status, usage."""

import collections

import gevent
import msgspec
import rich.console

from .. import api
from .. import keeper_tables
from .. import options
from .. import tables


class Unreachable(msgspec.Struct):
    """An instance that could not be reached, and the error."""

    server: str
    error: str


class Overview(msgspec.Struct):
    """The combined state of all instances that could be reached."""

    instances: list[dict]
    unreachable: list[Unreachable]
    latency: list[tables.Quantiles]


def status(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the state of all given instances, with merged latency histograms.

    Example: dandelionctl status --server http://127.0.0.1:8002
    """
    found = collect_overview(target.apis())
    options.show(found, output, _overview_tables)


def collect_overview(servers):
    """Query all instances concurrently and return an :class:`Overview`.

    Instances that cannot be reached are listed in ``unreachable``.  Raises
    :class:`api.ApiError` only if no instance can be reached.
    """
    greenlets = [gevent.spawn(_query_instance, server) for server in servers]
    answers = [greenlet.get() for greenlet in greenlets]
    responses = [item for item in answers if not isinstance(item, Unreachable)]
    failures = [item for item in answers if isinstance(item, Unreachable)]
    if not responses:
        raise api.ApiError(
            0, failures[0].error, "check --server, or give another instance"
        )
    series = collections.defaultdict(list)
    for _, histograms in responses:
        for item in histograms:
            series[(item.by, item.name, item.metric)].append(item)
    return Overview(
        [state for state, _ in responses], failures, tables.quantiles(series)
    )


def _query_instance(server):
    try:
        state = server.get("status")
        listing = server.get("histograms")
    except api.ApiError as exc:
        return Unreachable(server.url, exc.message)
    return state, msgspec.convert(listing["items"], list[tables.Series])


def _overview_tables(found):
    parts = [
        tables.status(found.instances),
        keeper_tables.configuration(found.instances),
    ]
    if found.latency:
        parts.append(tables.latency(found.latency))
    for item in found.unreachable:
        parts.append(f"no answer from {item.server}: {item.error}")
    return rich.console.Group(*parts)


def usage(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the usage of each organisation: requests and tokens.

    Example: dandelionctl usage --output json
    """
    options.show(target.api().get("usage"), output, tables.listing)


def register(app):
    """Add this module's commands to ``app``."""
    for command in (status, usage):
        app.command(command)
