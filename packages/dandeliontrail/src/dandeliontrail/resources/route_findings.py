"""Warnings about the routes of a revision."""

from ..decisions import routing
from . import findings


def find(routes):
    """Yield the warnings about ``routes``, in the order of the revision."""
    in_force = {_address(route): route for route in routes}
    for route in routes:
        for code, message, remedy in (
            *_unreachable(route, in_force[_address(route)]),
            *_unused_weights(route),
            *_times(route),
            *_attempts(route),
            *_stream_settings(route),
        ):
            field = f"routes.{route.name}"
            yield findings.warning(code, field, message, remedy)


def _address(route):
    """Return what a route is looked up by; hosts are compared without case."""
    return route.host.lower(), route.path_prefix


def _unreachable(route, in_force):
    """Yield why no request ever matches a route.

    ``in_force`` is the last route of the same address.  If it has the same
    spelling as well, that is an error of the revision.
    """
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield (
            "never-matches",
            f"path prefix {prefix!r} does not begin and end with a slash.",
            "begin and end the prefix with a slash",
        )
    if not route.host:
        yield (
            "never-matches",
            "the host is empty.",
            "give the host that callers use",
        )
    elif routing.without_port(route.host) != route.host.lower():
        yield (
            "never-matches",
            f"host {route.host!r} contains a port.",
            "give the host without its port",
        )
    if route.host != in_force.host:
        yield (
            "never-matches",
            f"it is hidden by routes.{in_force.name}, which has the same path"
            f" prefix and host {in_force.host!r}; case does not count.",
            "remove one of the two routes, or change its address",
        )


def _unused_weights(route):
    used = {share.service for share in route.split if share.weight > 0}
    zero = {share.service for share in route.split if share.weight == 0}
    for service in sorted(zero - used):
        yield (
            "weight-zero",
            f"service {service!r} has weight 0, so it never receives a"
            " request of this route.",
            "give it a weight above 0, or remove it from the split",
        )


def _times(route):
    if 0 < route.target >= route.timeout:
        yield (
            "target-beyond-timeout",
            f"the target of {route.target:g} s is not below the timeout of"
            f" {route.timeout:g} s, so no response can be late.",
            "give a target below the timeout",
        )
    if 0 < route.longest_pause > route.timeout:
        yield (
            "pause-beyond-timeout",
            f"the longest pause of {route.longest_pause:g} s is above the"
            f" timeout of {route.timeout:g} s.",
            "give a longest pause of at most the timeout",
        )


def _attempts(route):
    if route.max_attempts < 1:
        yield (
            "no-attempt",
            f"{route.max_attempts} attempts are allowed.",
            "allow at least one attempt",
        )
    if route.max_attempts > 1 and not route.allows_repeats:
        yield (
            "attempts-unused",
            f"{route.max_attempts} attempts are allowed, but the route is"
            " neither repeatable nor a resumable stream.",
            "allow one attempt, or make the route repeatable or resumable",
        )


def _stream_settings(route):
    if route.streamed:
        return
    for name, is_set in (
        ("resumable", route.resumable),
        ("the longest pause", route.longest_pause > 0),
    ):
        if is_set:
            yield (
                "stream-only",
                f"{name} is set, but the route is not streamed.",
                "stream the route, or remove the setting",
            )
