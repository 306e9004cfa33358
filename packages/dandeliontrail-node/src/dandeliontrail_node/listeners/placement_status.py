"""The status of a model placement: its orders and what prevents it."""

from dandeliontrail.resources import specs

NO_REPORT = "no instance has reported on it yet"


def conditions(state, resource):
    """Return the status conditions of a placement, one line each.

    Other kinds of resources have none.
    """
    if resource.kind is not specs.Kind.MODEL_PLACEMENTS:
        return []
    lines = []
    for domain, report in sorted(state.orders.reports.items()):
        lines.extend(_domain_conditions(domain, report, resource.name))
    return lines or [NO_REPORT]


def _domain_conditions(domain, report, name):
    reporter = f"(orders by {report.holder}, fencing {report.fencing})"
    for item in report.placements:
        if item.placement == name:
            yield f"{domain}: {item.condition} {reporter}"
    for item in report.orders:
        if item.placement == name:
            answer_state = "answered" if item.answered else "no answer yet"
            yield (
                f"{domain}: {item.order} given {item.given_ago:.0f} s before"
                f" the report, {answer_state}, {item.attempts} attempts"
            )
