"""What operators read: objects, servers, instances, usage, histograms."""

import bisect
import typing

import msgspec

from dandeliontrail.coordination import quorum_log_status
from dandeliontrail import events
from dandeliontrail.resources import checks

from .. import wsgi
from . import duty_views
from . import placement_status


class InForce(msgspec.Struct):
    """How many instances have a version in force, of how many known."""

    instances: int
    of: int


class Status(msgspec.Struct):
    """The observed part of an object."""

    conditions: list[str]
    in_force: InForce


class Object(msgspec.Struct):
    """One declared object, as the API shows it."""

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
    """A backend server as this instance knows it; times in seconds."""

    name: str
    kind: str
    url: str
    failure_domain: str
    serving: bool
    leaving: bool
    heard_ago: float
    announcement: typing.Any


class InstanceView(msgspec.Struct):
    """An instance as this one knows it; ``heard_ago`` in seconds."""

    name: str
    failure_domain: str
    region: str
    address: str
    applied: int
    heard_ago: float
    standing: str


class UsageView(msgspec.Struct):
    """What an organisation used in one class on one UTC day."""

    day: str
    organisation: str
    request_class: str
    requests: int
    prompt_tokens: int
    output_tokens: int
    wasted_tokens: int


class HistoryView(msgspec.Struct):
    """One accepted change; ``objects`` are those it touched."""

    version: int
    author: str
    operation_id: str
    objects: list[str]


def get(host, words):
    """Return what ``/apis/v1/`` and ``words`` name."""
    reader = _READERS.get(words[0])
    if reader and len(words) == 1:
        return reader(host)
    if words[0] == "status":
        return _status(host)
    if len(words) == 1:
        return _list(host, words[0])
    if len(words) == 2 and reader:
        return _named(reader(host), words)
    if len(words) == 2:
        return _shown(host, held(host, *words))
    raise wsgi.not_found("/".join(words))


def held(host, kind, name):
    """Return the stored object, or raise the problem that it is not."""
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


def _named(listing, words):
    for item in listing.items:
        if item.name == words[1]:
            return item
    raise wsgi.Problem(
        404,
        "not_found",
        f"There is no {'/'.join(words)}.",
        "list the kind to see the names that exist",
    )


def _list(host, kind_text):
    try:
        kind = checks.kind_of(kind_text)
    except checks.errors.ResourceInvalid as exc:
        raise wsgi.Problem(404, "unknown_kind", exc.message, exc.remedy)
    store = host.state.store
    found = store.objects[kind]
    counter = _Counter(host)
    items = [_object(host, found[name], counter) for name in sorted(found)]
    return Listing(kind_text, store.version, items)


def _object(host, resource, counter):
    found = placement_status.conditions(host.state, resource)
    return Object(
        resource.kind.value,
        resource.name,
        resource.version,
        resource.spec,
        Status(["Accepted", *found], counter.count(resource.version)),
    )


def after_write(host, words, result):
    """Return the object that was written, or the bare result.

    Someone else may have deleted it again by now, and a dry run may never
    have made it.
    """
    found = host.state.store.get(checks.kind_of(words[0]), words[1])
    return _object(host, found, _Counter(host)) if found else result


class _Counter:
    """Counts the instances that have a version in force.

    With 1,600 objects in a listing and 530 instances, the versions are
    sorted once and not counted for each object anew.
    """

    __slots__ = ("_applied",)

    def __init__(self, host):
        now = host.clock.now()
        applied = [item.applied for item in host.state.members.alive(now)]
        applied.append(host.state.store.version)
        self._applied = sorted(applied)

    def count(self, version):
        """Return how many instances are at ``version`` or past it."""
        known = len(self._applied)
        below = bisect.bisect_left(self._applied, version)
        return InForce(known - below, known)


def _shown(host, resource):
    """Return one object to someone who may be watching it land.

    Heartbeats cross some links only; the others are asked for their
    versions, and the next look shows what they say.
    """
    host.submit(events.InForceAsked(resource.version))
    return _object(host, resource, _Counter(host))


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
    """Return how the configuration stands, as Prometheus text."""
    status = host.state.log.status(host.clock.now())
    gauges = {
        "applied": status.applied,
        "stale": int(status.stale),
        "ready": int(status.ready),
        "leads": int(status.role == "leader"),
        "keeper_stopped": int(status.keeper_stopped),
        "confirmed_ago_seconds": status.confirmed_ago,
    }
    named = {f"configuration_{name}": gauges[name] for name in gauges}
    named.update(duty_views.gauges(host.state))
    return "".join(
        f"dandeliontrail_{name} {value}\n" for name, value in named.items()
    )


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
            round(now - server.heard, 3),
            server.announcement,
        )
        for name, server in sorted(host.state.registry.servers.items())
    ]
    return Listing("backendservers", host.state.store.version, items)


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
    held = host.state.usage
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
        for key, totals in sorted(held.totals.daily.items())
    ]
    # Not the version of the log: two instances whose numbers are equal
    # hold the same usage.
    return Listing("usage", held.version(), items)


def _histograms(host):
    series = host.metrics.series()
    return Listing("histograms", host.state.store.version, series)


class StatusView(msgspec.Struct):
    """One instance at a glance.

    ``reach`` is ``majority``, ``minority``, ``own_failure_domain`` or
    ``nobody``: whom of the other instances it hears.
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
        host.open_exchanges(),
        host.waiting(),
        len(state.registry.serving(now)),
        len(state.registry.servers),
        len(state.members.alive(now)),
        state.members.reach(now).value,
        state.log.status(now),
    )


_READERS = {
    "backendservers": _servers,
    "instances": _instances,
    "serverorders": _server_orders,
    "usage": _usage,
    "histograms": _histograms,
    "history": _history,
}
