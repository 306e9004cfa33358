"""Warnings about the services of a revision."""

from . import findings


def find(service, timeouts):
    """Yield the warnings about ``service``.

    ``timeouts`` are those of its routes, and ``None`` if it has none.
    """
    for code, message, remedy in (
        *_routes(timeouts),
        *_connections(service),
        *_scaling(service.scaling, timeouts),
    ):
        field = f"services.{service.name}"
        yield findings.warning(code, field, message, remedy)


def _routes(timeouts):
    if not timeouts:
        yield (
            "unused-service",
            "no route sends requests to it.",
            "name it in a route with a weight above 0, or remove it",
        )


def _connections(service):
    slots = service.engine.slots if service.engine else 0
    if 0 < service.max_connections < slots:
        yield (
            "connections-below-slots",
            f"at most {service.max_connections} connections to a server leave"
            f" some of the {slots} slots of its engine unused.",
            f"allow at least {slots} connections",
        )


def _scaling(scaling, timeouts):
    if scaling is None:
        return
    if scaling.most == 0 or scaling.fewest > scaling.most:
        yield (
            "scaling-bounds",
            f"fewest is {scaling.fewest} and most is {scaling.most}.",
            "give a most above 0 and a fewest that is not above it",
        )
    if not 0 <= scaling.spot_price <= 1:
        yield (
            "scaling-price",
            f"a spot server costs {scaling.spot_price:g} times as much as a"
            " regular one.",
            "give a price from 0 to 1",
        )
    if timeouts and 0 < scaling.boot_seconds > max(timeouts):
        yield (
            "boot-beyond-timeout",
            f"a new server is ready after {scaling.boot_seconds:g} s, and the"
            f" longest timeout of its routes is {max(timeouts):g} s.",
            "give a route a longer timeout, or keep more servers",
        )
