"""Read access to objects, servers, instances, usage and histograms."""

import bisect
import typing

import msgspec

from dandeliontrail.coordination import quorum_log_status
from dandeliontrail import events
from dandeliontrail.resources import checks

from .. import wsgi
from . import duty_views
from . import limit_views
from . import log_views
from . import placement_status
from . import prefill_views
from . import rest_views
from . import retry_views
from . import version_views


class InForce(msgspec.Struct):
    """How many of the ``of`` known instances have a version in force."""

    instances: int
    of: int


class Status(msgspec.Struct):
    """The observed status of an object."""

    conditions: list[str]
    in_force: InForce


class Object(msgspec.Struct):
    """One declared object, as the API returns it."""

    kind: str
    name: str
    version: int
    spec: typing.Any
    status: Status


class Listing(msgspec.Struct):
    """All objects of a kind, at one version of the log."""

    kind: str
    version: int
    items: list[typing.Any]


class ServerView(msgspec.Struct):
    """A backend server as this instance knows it.

    ``heard_ago`` is the age of its last announcement in seconds, ``limit``
    the requests per second that it takes from all instances, if it names that.
    """

    name: str
    kind: str
    url: str
    failure_domain: str
    serving: bool
    leaving: bool
    heard_ago: float
    limit: float | None
    announcement: typing.Any


class InstanceView(msgspec.Struct):
    """An instance as this one knows it.

    ``heard_ago`` is the time since the last contact in seconds.
    """

    name: str
    failure_domain: str
    region: str
    address: str
    applied: int
    heard_ago: float
    standing: str


class UsageView(msgspec.Struct):
    """The usage of an organisation in one class on one UTC day."""

    day: str
    organisation: str
    request_class: str
    requests: int
    prompt_tokens: int
    output_tokens: int
    wasted_tokens: int


class HistoryView(msgspec.Struct):
    """One accepted change; ``objects`` are those that it changed."""

    version: int
    author: str
    operation_id: str
    objects: list[str]


def get(host, segments):
    """Return the resource at the path ``segments`` below ``/apis/v1/``."""
    collection = _COLLECTIONS.get(segments[0])
    if collection and len(segments) == 1:
        return collection(host)
    if segments[0] == "status":
        return _status(host)
    if len(segments) == 1:
        return _list_objects(host, segments[0])
    if len(segments) == 2 and collection:
        return _item_named(collection(host), segments)
    if len(segments) == 2:
        return _show_object(host, stored_object(host, *segments))
    raise wsgi.not_found("/".join(segments))


def stored_object(host, kind, name):
    """Return a stored object.

    Raises ``wsgi.Problem`` with status 404 if the kind is unknown or there is
    no such object.
    """
    try:
        found = host.state.store.get(checks.kind_of(kind), name)
    except checks.errors.ResourceInvalid as exc:
        raise wsgi.Problem(404, "unknown_kind", exc.message, exc.remedy)
    if found is None:
        raise wsgi.Problem(
            404,
            "not_found",
            f"There is no {kind}/{name}.",
            "list the kind to see the names that exist",
        )
    return found


def _item_named(listing, segments):
    for item in listing.items:
        if item.name == segments[1]:
            return item
    raise wsgi.Problem(
        404,
        "not_found",
        f"There is no {'/'.join(segments)}.",
        "list the kind to see the names that exist",
    )


def _list_objects(host, kind_text):
    try:
        kind = checks.kind_of(kind_text)
    except checks.errors.ResourceInvalid as exc:
        raise wsgi.Problem(404, "unknown_kind", exc.message, exc.remedy)
    store = host.state.store
    found = store.objects[kind]
    counter = _InForceCounter(host)
    items = [
        _object_view(host, found[name], counter) for name in sorted(found)
    ]
    return Listing(kind_text, store.version, items)


def _object_view(host, resource, counter):
    found = placement_status.conditions(host.state, resource)
    return Object(
        resource.kind.value,
        resource.name,
        resource.version,
        resource.spec,
        Status(["Accepted", *found], counter.count(resource.version)),
    )


def after_write(host, segments, result):
    """Return the object that was written, or ``result`` if there is none.

    It may have been deleted by another write meanwhile, and a dry run does
    not create it.
    """
    found = host.state.store.get(checks.kind_of(segments[0]), segments[1])
    return (
        _object_view(host, found, _InForceCounter(host)) if found else result
    )


class _InForceCounter:
    """Counts the instances that have a version in force.

    The versions of the instances are sorted once per listing instead of
    being counted for each object: a listing may have 1,600 objects, with 530
    instances.
    """

    __slots__ = ("_applied",)

    def __init__(self, host):
        now = host.clock.now()
        applied = [item.applied for item in host.state.members.alive(now)]
        applied.append(host.state.store.version)
        self._applied = sorted(applied)

    def count(self, version):
        """Return how many instances are at ``version`` or later."""
        known = len(self._applied)
        below = bisect.bisect_left(self._applied, version)
        return InForce(known - below, known)


def _show_object(host, resource):
    """Return one object and request fresh versions from the instances.

    The reader may be waiting until the object is in force everywhere.
    Heartbeats are sent over some links only, so the other instances are asked
    for their versions; the next read includes their replies.
    """
    host.submit(events.InForceAsked(resource.version))
    return _object_view(host, resource, _InForceCounter(host))


def _history(host):
    items = [
        HistoryView(
            item.version,
            item.author,
            item.operation_id,
            [f"{step.kind.value}/{step.name}" for step in item.steps],
        )
        for item in host.state.store.history.items
    ]
    return Listing("history", host.state.store.version, items)


METRICS_TEXT = ("Content-Type", "text/plain; version=0.0.4")


def reply_metrics(host, start_response, by=""):
    """Reply with all counters and histograms in the Prometheus format."""
    text = host.metrics.text(by) + log_metrics(host)
    return wsgi.reply(start_response, 200, text.encode(), [METRICS_TEXT])


def log_metrics(host):
    """Return gauges about the configuration log, as Prometheus text."""
    status = host.state.log.status(host.clock.now())
    named = log_views.gauges(status)
    named.update(duty_views.gauges(host.state))
    named.update(limit_views.gauges(host.state))
    named.update(prefill_views.gauges(host.state, host.clock.now()))
    named.update(version_views.gauges(host.state))
    named.update(
        retry_views.gauges(host.reducer.policy.retry_budget, host.clock.now())
    )
    named.update(rest_views.gauges(host))
    lost = host.reducer.policy.lost_servers()
    named["backend_servers_unreachable"] = len(lost)
    named["tunnels_open"] = host.open_tunnels
    named.update(_held_gauges(host.client_account))
    return "".join(
        f"dandeliontrail_{name} {value}\n" for name, value in named.items()
    )


def _held_gauges(account):
    """Return what is held for clients, in bytes, and who was cut for it."""
    if account is None:
        return {}
    named = {"clients_held_limit_bytes": account.capacity}
    for stage, size in account.by_stage.items():
        named[f'clients_held_bytes{{stage="{stage.value}"}}'] = size
    for stage, count in account.cuts.items():
        named[f'clients_cut_total{{stage="{stage.value}"}}'] = count
    return named


def _servers(host):
    now = host.clock.now()
    items = [
        ServerView(
            name,
            server.announcement.kind,
            server.announcement.url,
            server.announcement.failure_domain,
            server.serves(now),
            server.announcement.leaving,
            round(now - server.heard_at, 3),
            host.state.limits.limit_of(name),
            server.announcement,
        )
        for name, server in sorted(host.state.registry.servers.items())
    ]
    return Listing("backendservers", host.state.store.version, items)


def _software_versions(host):
    items = version_views.software_versions(host)
    return Listing("softwareversions", host.state.store.version, items)


def _server_orders(host):
    items = duty_views.server_orders(host)
    return Listing("serverorders", host.state.store.version, items)


def _instances(host):
    now = host.clock.now()
    own = host.state.identity
    items = [
        InstanceView(
            own.instance,
            own.failure_domain,
            own.region,
            own.address,
            host.state.store.version,
            0.0,
            "alive",
        )
    ]
    for name, member in sorted(host.state.members.members.items()):
        items.append(
            InstanceView(
                name,
                member.failure_domain,
                member.region,
                member.address,
                member.applied,
                round(now - member.heard, 3),
                member.standing.value,
            )
        )
    return Listing("instances", host.state.store.version, items)


def _usage(host):
    usage = host.state.usage
    items = [
        UsageView(
            key.day,
            key.organisation,
            key.class_name,
            totals.requests,
            totals.prompt_tokens,
            totals.output_tokens,
            totals.wasted_tokens,
        )
        for key, totals in sorted(usage.totals.daily.items())
    ]
    # The version is that of the usage, not of the log: two instances with
    # equal versions hold the same usage.
    return Listing("usage", usage.version(), items)


def _histograms(host):
    series = host.metrics.series()
    return Listing("histograms", host.state.store.version, series)


class StatusView(msgspec.Struct):
    """A summary of one instance.

    ``reach`` tells which other instances it hears: ``majority``,
    ``minority``, ``own_failure_domain`` or ``nobody``.
    """

    instance: str
    failure_domain: str
    version: int
    open_requests: int
    waiting: dict[str, int]
    serving_backend_servers: int
    backend_servers: int
    instances_heard: int
    reach: str
    configuration: quorum_log_status.LogStatus


def _status(host):
    state = host.state
    now = host.clock.now()
    return StatusView(
        state.identity.instance,
        state.identity.failure_domain,
        state.store.version,
        host.open_exchange_count(),
        host.waiting(),
        len(state.registry.serving(now)),
        len(state.registry.servers),
        len(state.members.alive(now)),
        state.members.reach(now).value,
        state.log.status(now),
    )


_COLLECTIONS = {
    "backendservers": _servers,
    "instances": _instances,
    "serverorders": _server_orders,
    "softwareversions": _software_versions,
    "usage": _usage,
    "histograms": _histograms,
    "history": _history,
}
