"""Commands that show the system as a whole: status, usage."""

import collections

import gevent
import msgspec
import rich.console

from .. import api
from .. import options
from .. import tables


class Unreachable(msgspec.Struct):
    """An instance that did not answer, and why."""

    server: str
    error: str


class Overview(msgspec.Struct):
    """What all instances that could be reached say, put together."""

    instances: list[dict]
    unreachable: list[Unreachable]
    latency: list[tables.Quantiles]


def status(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the state of all instances named, with merged histograms.

    Example: dandelionctl status --server http://127.0.0.1:8002
    """
    found = survey(target.apis())
    options.show(found, output, _panels)


def survey(servers):
    """Ask all instances at once and return an :class:`Overview`.

    One that does not answer is listed as such.  Only if none answers is
    that an error.
    """
    jobs = [gevent.spawn(_ask, server) for server in servers]
    answers = [job.get() for job in jobs]
    heard = [item for item in answers if not isinstance(item, Unreachable)]
    silent = [item for item in answers if isinstance(item, Unreachable)]
    if not heard:
        raise api.ApiError(
            0, silent[0].error, "check --server, or name another instance"
        )
    series = collections.defaultdict(list)
    for _, histograms in heard:
        for item in histograms:
            series[(item.by, item.name, item.metric)].append(item)
    return Overview(
        [state for state, _ in heard], silent, tables.quantiles(series)
    )


def _ask(server):
    try:
        state = server.get("status")
        listing = server.get("histograms")
    except api.ApiError as exc:
        return Unreachable(server.url, exc.message)
    return state, msgspec.convert(listing["items"], list[tables.Series])


def _panels(found):
    parts = [tables.status(found.instances)]
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
    """Show what each organisation used.

    Example: dandelionctl usage --output json
    """
    options.show(target.api().get("usage"), output, tables.listing)


def register(app):
    """Add the commands of this module."""
    for command in (status, usage):
        app.command(command)
