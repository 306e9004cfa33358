"""Checks a revision for errors and warnings, and compares two revisions."""

import collections

import msgspec

from . import comparison
from . import findings
from . import revisions
from . import route_findings
from . import service_findings


def check(revision):
    """Return the findings of a revision, sorted.

    There is an error exactly if :func:`.revisions.check` rejects it.
    """
    found = [findings.invalid(exc) for exc in revisions.find_errors(revision)]
    found.extend(route_findings.find(revision.routes))
    found.extend(_service_warnings(revision))
    found.extend(_organisation_warnings(revision))
    found.extend(_negative_numbers(revision))
    return findings.in_order(found)


def _service_warnings(revision):
    timeouts = collections.defaultdict(list)
    for route in revision.routes:
        for name in {item.service for item in route.split if item.weight > 0}:
            timeouts[name].append(route.timeout)
    for service in revision.services:
        yield from service_findings.find(service, timeouts.get(service.name))


def _organisation_warnings(revision):
    for organisation in revision.organisations:
        if not organisation.keys:
            yield findings.warning(
                "no-keys",
                f"organisations.{organisation.name}",
                "it has no keys, so none of its requests is accepted.",
                "give it a key, or remove it",
            )
    keyed = any(not route.public for route in revision.routes)
    if keyed and not revision.organisations:
        outcome = "accepted without a key"
        if revision.needs_key:
            outcome = "refused but those of public routes"
        yield findings.warning(
            "no-organisation",
            "organisations",
            f"there are none, so every request is {outcome}.",
            "declare an organisation with a key, or make all routes public",
        )


def _negative_numbers(revision):
    if revision.number < 0:
        yield _negative("number", "number", revision.number)
    for field, item in _entries(revision):
        for name, value in _numbers(item):
            if value < 0:
                yield _negative(field, name, value)


def _negative(field, name, value):
    return findings.warning(
        "negative",
        field,
        f"{name} is {value}.",
        "give a number that is not below 0",
    )


def _numbers(item, prefix=""):
    """Yield the path and value of each number of an entry.

    Those that other rules judge are left out: weights, which are in a list,
    and the price of spot servers.
    """
    for name in item.__struct_fields__:
        value = getattr(item, name)
        if isinstance(value, msgspec.Struct):
            yield from _numbers(value, f"{prefix}{name}.")
        elif isinstance(value, bool) or name == "spot_price":
            continue
        elif isinstance(value, (int, float)):
            yield prefix + name, value


def check_number(revision, in_force):
    """Return a warning if ``revision`` would be acknowledged without effect.

    The same document under the same number is what is in force already, and
    causes no warning.
    """
    if revision.number > in_force.number:
        return []
    same_number = revision.number == in_force.number
    if same_number and revision.document == in_force.document:
        return []
    return [
        findings.warning(
            "number-not-above",
            "number",
            f"{revision.number} is not above {in_force.number}, the number in"
            " force, so the revision has no effect.",
            f"give a number above {in_force.number}",
        )
    ]


def differences(before, after):
    """Return the differences of two revisions, sorted by field.

    Their numbers and the bytes of their documents are not compared.
    """
    return comparison.differences(_attributes(before), _attributes(after))


def _attributes(revision):
    for field, item in _entries(revision):
        attributes = msgspec.to_builtins(item)
        if isinstance(item, revisions.Route):
            attributes["split"].sort(key=_by_service)
        elif isinstance(item, revisions.Organisation):
            attributes["keys"].sort()
        yield field, attributes


def _by_service(share):
    return share["service"], share["weight"]


def _entries(revision):
    """Yield each entry of a revision with its field."""
    for kind in ("routes", "services", "organisations"):
        for item in getattr(revision, kind):
            yield f"{kind}.{item.name}", item
    yield "limits", revision.limits
